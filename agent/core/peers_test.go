package core

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramlug.example/marjoramlug/message"
)

func dials(actions []Action) []string {
	var addresses []string
	for _, a := range actions {
		if d, ok := a.(Dial); ok {
			addresses = append(addresses, d.Address)
		}
	}
	return addresses
}

func TestSeedsAreDialedInTurn(t *testing.T) {
	is := is.New(t)
	o := testOptions()
	o.Seeds = []string{"seed:1", "seed:2"}
	d := newDriver(o)
	first := dials(d.step(Tick{}))
	is.Equal(len(first), 1)
	is.Equal(len(dials(d.step(Tick{}))), 0) // one attempt at a time
	second := dials(d.step(DialFailed{first[0]}))
	is.Equal(len(second), 1)
	is.True(first[0] != second[0])
}

func TestBackoffGrowsToItsCapAndKeepsJitter(t *testing.T) {
	is := is.New(t)
	p := newAddresses(testOptions())
	delay := backoffBase
	for range 12 {
		p.failed(testStartTime, "seed:1")
		wait := p.state("seed:1").notBefore.Sub(testStartTime)
		is.True(wait >= delay/2 && wait <= delay)
		delay = min(2*delay, backoffCap)
	}
}

func TestLostSessionIsDialedAfterItsBackoff(t *testing.T) {
	is, d := newOwnedDriver(t, 1, 1)
	is.Equal(len(dials(d.step(SessionClosed{1}))), 0)
	d.step(DialFailed{"seed:1"})
	d.now = d.now.Add(backoffBase)
	is.Equal(dials(d.step(Tick{}))[0], "entry-1:1")
}

func TestViewSessionMovesToTheOwnZone(t *testing.T) {
	is := is.New(t)
	d := newDriver(testOptions())
	d.step(Tick{})
	actions := d.step(SessionOpened{1, "seed:1", message.Hello{Name: "entry-1", Zone: "b", Address: "b:1"}})
	is.True(sentTo[*message.Heartbeat](actions, 1)[0].RequestView)
	actions = d.step(Received{1, &message.View{Generation: 1, Entries: []string{"a:1", "b:1"}}})
	is.Equal(dials(actions), []string{"a:1"})
	actions = d.step(SessionOpened{2, "a:1", message.Hello{Name: "entry-2", Zone: "a", Address: "a:1"}})
	is.True(sentTo[*message.Heartbeat](actions, 2)[0].RequestView)

	d.step(Tick{})
	d.now = d.now.Add(sessionIdleTimeout)
	is.Equal(d.step(Tick{})[0], Disconnect{1}) // it is no longer needed
}

func TestSearchForAnEntryInTheOwnZoneEnds(t *testing.T) {
	is := is.New(t)
	d := newDriver(testOptions())
	d.step(Tick{})
	d.step(SessionOpened{1, "seed:1", message.Hello{Name: "entry-b", Zone: "b", Address: "b:1"}})
	probed := dials(d.step(Received{1, &message.View{Generation: 1, Entries: []string{"b:1", "c:1", "d:1", "e:1"}}}))
	for _, zone := range []string{"c", "d"} {
		is.Equal(probed, []string{zone + ":1"})
		hello := message.Hello{Name: "entry-" + zone, Zone: zone, Address: zone + ":1"}
		probed = dials(d.step(SessionOpened{SessionID(zone[0]), zone + ":1", hello}))
	}
	is.Equal(len(probed), 0) // e:1 is beyond maxZoneProbes
	d.now = d.now.Add(time.Minute)
	is.Equal(len(dials(d.step(Tick{}))), 0)
	is.Equal(d.core.viewSession.id, SessionID(1))
}

func TestServicesAreReportedOnceAndAfterChanges(t *testing.T) {
	is := is.New(t)
	d := newDriver(testOptions())
	d.step(SessionOpened{1, "seed:1", message.Hello{Name: "entry-1", Zone: "a"}})
	d.step(Received{1, &message.View{Generation: 4}})
	first := sentTo[*message.Heartbeat](d.announce("e1", 1), 1)[0]
	is.Equal(first.Services, []string{testService})
	is.Equal(first.Generation, uint64(0)) // requests a whole view
	d.now = d.now.Add(time.Second)
	next := sentTo[*message.Heartbeat](d.step(Tick{}), 1)
	is.Equal(len(next), 1)
	is.Equal(next[0].Services, nil)
	is.Equal(next[0].Generation, uint64(4))
}

func TestSecondSessionToAnEntryEndsTheFirst(t *testing.T) {
	is, d := newOwnedDriver(t, 1, 1)
	actions := d.step(SessionOpened{9, "other:1", message.Hello{Name: "entry-1", Incarnation: 1}})
	is.Equal(actions[0], Disconnect{1})
	is.Equal(len(sentTo[*message.Credits](actions, 9)[0].Grants), 1)
}
