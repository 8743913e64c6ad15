package ownership_test

import (
	"fmt"
	"time"

	"marjoramlug.example/marjoramlug/ownership"
)

// A single member joins, becomes the owner of a new service's shards, and renews
// its lease. A slice stands in for the log.
func Example() {
	now := time.Unix(1_700_000_000, 0)
	core := ownership.New(ownership.Member{ID: "entry-1", Address: "10.0.0.1:7443"}, ownership.Options{
		TTL:           6 * time.Second,
		Drift:         500 * time.Millisecond,
		AcceptWindow:  2500 * time.Millisecond,
		OrphanTimeout: time.Hour,
	})
	log := []ownership.LogRecord{{
		Offset:  1,
		Service: &ownership.ServiceChange{Name: "press", Owners: 1},
	}}
	acquired := 0
	var handle func(ownership.Event)
	handle = func(ev ownership.Event) {
		for _, action := range core.Step(now, ev) {
			switch a := action.(type) {
			case ownership.Append:
				next := ownership.LogRecord{Offset: log[len(log)-1].Offset + 1, Record: &a.Record}
				log = append(log, next)
				handle(ownership.AppendDone{ID: a.ID})
			case ownership.ShardAcquired:
				acquired++
			case ownership.LeaseChanged:
				fmt.Println("lease holds for", a.Until.Sub(now))
			}
		}
	}
	for read := 0; read < len(log) && read < 3; read++ {
		handle(log[read])
		handle(ownership.CaughtUp{Began: now})
		now = now.Add(2 * time.Second)
	}
	fmt.Println("shards acquired:", acquired)
	// Output:
	// lease holds for 4s
	// lease holds for 4s
	// shards acquired: 16
}
