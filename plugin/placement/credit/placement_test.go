package credit

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramlug.example/marjoramlug/dispatch"
	"marjoramlug.example/marjoramlug/message"
)

var noon = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

const slots = 8

// fixture is a placement with endpoints of one slot count. Credits of endpoint
// i belong to session i.
type fixture struct {
	*Placement
	now  time.Time
	next message.CreditID
}

func newFixture(endpoints int) *fixture {
	f := &fixture{Placement: New(), now: noon}
	for i := range endpoints {
		f.SetEndpoint(key(i), "zone", message.EndpointInfo{Name: "e", Slots: slots})
	}
	return f
}

func key(i int) dispatch.EndpointKey {
	return dispatch.EndpointKey{Agent: fmt.Sprintf("agent%02d", i), Endpoint: "e"}
}

// addCredit makes a credit of endpoint i available.
func (f *fixture) addCredit(i int) {
	f.next++
	f.Add(dispatch.Credit{Session: dispatch.Session(i), ID: f.next, Agent: key(i).Agent, Endpoint: "e"})
}

// learn observes a number of runs at endpoint i.
func (f *fixture) learn(i, runs int, run time.Duration, failed bool) {
	for range runs {
		f.Observe(f.now, key(i), "class", run, failed)
	}
}

// pick returns the number of the endpoint that a task is placed at, or -1.
func (f *fixture) pick() int {
	c, ok := f.Pick(f.now, &dispatch.QueuedTask{Class: "class"})
	if !ok {
		return -1
	}
	return int(c.Session)
}

// A task is placed at the endpoint with the shortest learned run times, whatever
// its availability zone.
func TestFastestFirst(t *testing.T) {
	is := is.New(t)
	f := newFixture(3)
	for i, run := range []time.Duration{300, 100, 200} {
		f.learn(i, 50, run*time.Millisecond, false)
	}
	for i := range 3 {
		f.addCredit(i)
	}
	is.Equal([]int{f.pick(), f.pick(), f.pick(), f.pick()}, []int{1, 2, 0, -1})
}

// Among endpoints of equal cost, one in the owner's availability zone is chosen.
func TestOwnZoneBreaksTies(t *testing.T) {
	is := is.New(t)
	f := newFixture(0)
	f.SetZone("b")
	for i, zone := range []string{"a", "b"} {
		f.SetEndpoint(key(i), zone, message.EndpointInfo{Name: "e", Slots: slots})
		f.addCredit(i)
	}
	is.Equal(f.pick(), 1)
}

// A single very long run does not make a fast endpoint rank behind a slower one.
func TestLongTaskDoesNotMakeEndpointSlow(t *testing.T) {
	is := is.New(t)
	f := newFixture(2)
	for range 50 {
		f.learn(0, 1, 100*time.Millisecond, false)
		f.learn(1, 1, 200*time.Millisecond, false)
	}
	f.learn(0, 1, 10*time.Second, false)
	f.addCredit(0)
	f.addCredit(1)
	is.Equal(f.pick(), 0)
}

// A slow slot stays unused while the fast ones would complete the backlog sooner,
// but for no longer than maxUnusedTime.
func TestSlowSlotIsUsedOnlyForLongBacklog(t *testing.T) {
	is := is.New(t)
	f := newFixture(2)
	for range 2 * minRebuildRuns {
		f.learn(0, 1, 100*time.Millisecond, false)
		f.learn(1, 1, 900*time.Millisecond, false)
	}
	f.addCredit(1)
	f.SetBacklog(1)
	is.True(!f.CanRun(f.now, dispatch.Need{}))
	is.Equal(f.NextChange(), f.now.Add(maxUnusedTime))
	f.SetBacklog(100)
	is.True(f.CanRun(f.now, dispatch.Need{}))
	f.SetBacklog(1)
	f.now = f.now.Add(maxUnusedTime)
	is.True(f.CanRun(f.now, dispatch.Need{}))
}

// learnAll observes the same number of runs at each endpoint; those at endpoints
// for which fails returns true fail.
func (f *fixture) learnAll(endpoints, runs int, fails func(endpoint int) bool) {
	for range runs {
		for i := range endpoints {
			f.learn(i, 1, 100*time.Millisecond, fails(i))
		}
	}
}

func none(int) bool { return false }
func all(int) bool  { return true }

// An endpoint that fails all its runs is quarantined within a few runs, however
// fast it fails, and gets single trial tasks at doubling delays.
func TestOutlierIsQuarantined(t *testing.T) {
	is := is.New(t)
	f := newFixture(10)
	f.learnAll(10, 20, none)
	f.learn(3, 8, time.Millisecond, true)
	for range 3 {
		f.addCredit(3)
	}
	is.Equal(f.pick(), -1)
	is.Equal(f.Slots(), 9*slots)
	is.True(f.CouldRun(dispatch.Need{}))
	for pause := minTrialDelay; pause <= 8*minTrialDelay; pause *= 2 {
		is.Equal(f.NextChange(), f.now.Add(pause))
		f.now = f.now.Add(pause - 1)
		is.Equal(f.pick(), -1)
		f.now = f.now.Add(1)
		is.Equal(f.pick(), 3)
		is.Equal(f.pick(), -1)
		f.learn(3, 1, time.Millisecond, true)
		f.addCredit(3)
	}
}

// Successful trial tasks end a quarantine.
func TestTrialsEndQuarantine(t *testing.T) {
	is := is.New(t)
	f := newFixture(10)
	f.learnAll(10, 20, none)
	f.learn(3, 8, time.Millisecond, true)
	f.now = f.now.Add(minTrialDelay)
	for range requiredTrials {
		is.Equal(f.Slots(), 9*slots)
		f.addCredit(3)
		is.Equal(f.pick(), 3)
		f.learn(3, 1, 100*time.Millisecond, false)
	}
	is.Equal(f.Slots(), 10*slots)
	now, begun := f.Quarantined()
	is.Equal(now, 0)
	is.Equal(begun, uint64(1))
}

// When all endpoints fail, at most maxQuarantinedShare of them are quarantined,
// and the quarantines end once the peers' failures have been observed.
func TestCommonFailuresEndQuarantine(t *testing.T) {
	is := is.New(t)
	f := newFixture(10)
	f.learnAll(10, 20, none)
	for i := range 10 {
		// Endpoints fail one after the other, so that each is an outlier at first.
		f.learn(i, 20, time.Millisecond, true)
		is.True(f.Slots() >= 7*slots)
	}
	f.learnAll(10, 20, all)
	for i := range 3 {
		f.addCredit(i)
	}
	for range 30 {
		if f.Free() == 0 {
			break
		}
		f.now = f.now.Add(maxTrialDelay)
		i := f.pick()
		f.learn(i, 1, time.Millisecond, true)
		f.addCredit(i)
	}
	is.Equal(f.Slots(), 10*slots)
}

// A class that fails at all endpoints causes no quarantine.
func TestFailingClassQuarantinesNoEndpoint(t *testing.T) {
	is := is.New(t)
	f := newFixture(4)
	f.learnAll(4, 20, none)
	for range 20 {
		for i := range 4 {
			f.Observe(f.now, key(i), "broken", time.Millisecond, true)
		}
	}
	is.Equal(f.Slots(), 4*slots)
}
