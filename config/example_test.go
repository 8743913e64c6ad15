package config_test

import (
	"fmt"

	"marjoramlug.example/marjoramlug/config"
)

// Two operators change a service based on the same revision. Every reader of the
// log accepts the same change.
func ExampleState_Apply() {
	state := config.NewState()
	body := func(owners int) []byte {
		data, _ := config.EncodeBody(config.SchemaV1, config.Service{Name: "trials", Owners: owners})
		return data
	}
	records := []config.Record{
		{ID: "create", Service: "trials", Schema: config.SchemaV1, Expect: 0, Body: body(1)},
		{ID: "ana", Service: "trials", Schema: config.SchemaV1, Expect: 1, Body: body(2)},
		{ID: "ben", Service: "trials", Schema: config.SchemaV1, Expect: 1, Body: body(3)},
	}
	for i, r := range records {
		outcome := state.Apply(config.Revision(i+1), r)
		fmt.Printf("%s: accepted %v, in force %d %q\n", r.ID, outcome.Accepted, outcome.Revision, outcome.Winner)
	}
	trials, _ := state.Get("trials")
	fmt.Println("owners:", trials.Service.Owners)
	// Output:
	// create: accepted true, in force 1 ""
	// ana: accepted true, in force 2 ""
	// ben: accepted false, in force 2 "ana"
	// owners: 2
}

// A reader that starts after a gap becomes complete with a snapshot.
func ExampleCursor() {
	var cursor config.Cursor
	cursor.SkipTo(100) // the log has dropped the records before
	fmt.Println(cursor.Complete(), cursor.Next())
	cursor.Read(100) // read, not applied
	cursor.Adopt(99) // a snapshot that covers the gap
	fmt.Println(cursor.Complete(), cursor.Next())
	// Output:
	// false 100
	// true 100
}
