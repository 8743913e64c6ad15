package fairness

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"marjoramlug.example/marjoramlug/message"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const (
	tick = 4 * time.Millisecond
	// maxWait is how long a job of the server waits before it is refused.
	maxWait = 200 * time.Millisecond
)

// flow is a caller that submits jobs of so much work to a queue, load being work a second.
type flow struct {
	queue      string
	priority   int
	caller     string
	load, work float64
}

// server serves the jobs of flows by class and, within a class, in order.
type server struct {
	shares   *Shares
	now      time.Duration
	capacity float64
	budget   float64
	waiting  []waitingJob
	credit   map[flow]float64
	offered  map[string]float64
	served   map[string]float64
}

type waitingJob struct {
	flow   flow
	caller *Caller
	since  time.Duration
	class  Class
}

func newServer(floor, capacity float64) *server {
	return &server{shares: New(floor), capacity: capacity, credit: map[flow]float64{}}
}

// run plays flows and then counts the served share of each caller's and queue's load from
// the given time on.
func (s *server) run(length, countFrom time.Duration, flows ...flow) {
	begin := s.now
	s.offered, s.served = map[string]float64{}, map[string]float64{}
	count := func(m map[string]float64, f flow) {
		if s.now-begin >= countFrom {
			m[f.queue] += f.work
			m[f.queue+"/"+f.caller] += f.work
		}
	}
	for ; s.now-begin < length; s.now += tick {
		for _, f := range flows {
			for s.credit[f] += f.load * tick.Seconds(); s.credit[f] >= f.work; s.credit[f] -= f.work {
				count(s.offered, f)
				c := s.shares.Offer(s.now, f.queue, f.priority, f.caller, f.work)
				s.waiting = append(s.waiting, waitingJob{flow: f, caller: c, since: s.now})
			}
		}
		s.shares.Update(s.now)
		for i := range s.waiting {
			s.waiting[i].class = s.shares.Class(s.waiting[i].caller)
		}
		slices.SortStableFunc(s.waiting, func(a, b waitingJob) int { return int(a.class - b.class) })
		s.budget = min(s.budget+s.capacity*tick.Seconds(), s.capacity*0.1)
		kept := s.waiting[:0]
		blocked := false
		for _, j := range s.waiting {
			blocked = blocked || s.budget < j.flow.work
			switch {
			case !blocked:
				s.budget -= j.flow.work
				s.shares.Serve(s.now, j.caller, j.flow.work)
				count(s.served, j.flow)
			case s.now-j.since < maxWait:
				kept = append(kept, j)
			}
		}
		s.waiting = kept
	}
}

func (s *server) share(name string) float64 { return s.served[name] / s.offered[name] }

// want fails if the served share of a queue or caller is not in the given range.
func (s *server) want(t *testing.T, name string, least, most float64) {
	t.Helper()
	if got := s.share(name); got < least || got > most {
		t.Errorf("%s: %.2f served, want %.2f to %.2f", name, got, least, most)
	}
}

// TestBurstOfOneQueue guards against a burst that is paid for by another queue of its
// priority, or that starves a queue of a lower one.
func TestBurstOfOneQueue(t *testing.T) {
	s := newServer(0.5, 100)
	steady, low := flow{"steady", 1, "a", 30, 0.1}, flow{"low", 2, "a", 30, 0.1}
	s.run(5*time.Second, 0, steady, low, flow{"burst", 1, "a", 30, 0.1})
	for _, queue := range []string{"steady", "low", "burst"} {
		s.want(t, queue, 0.99, 1)
	}
	s.run(15*time.Second, 5*time.Second, steady, low, flow{"burst", 1, "b", 150, 0.1})
	s.want(t, "steady", 0.97, 1)
	s.want(t, "low", 0.45, 0.6)    // the floor is half of its fair share, which is all of it
	s.want(t, "burst", 0.33, 0.40) // 55 of 150
}

// TestHotCaller guards against a caller with most of a queue's load that takes the shares of
// the others, and against its own starvation.
func TestHotCaller(t *testing.T) {
	s := newServer(1, 100)
	flows := []flow{{"q", 1, "hot", 100, 0.1}}
	for i := range 10 {
		flows = append(flows, flow{"q", 1, fmt.Sprint(i), 6, 0.1})
	}
	s.run(15*time.Second, 6*time.Second, flows...)
	s.want(t, "q/hot", 0.33, 0.47) // 40 of 100
	for i := range 10 {
		s.want(t, fmt.Sprint("q/", i), 0.95, 1)
	}
}

// TestAllQueuesAtOnce guards against the starvation of the lowest priority when the load of all
// queues is above the capacity, and against another order of priorities than configured.
func TestAllQueuesAtOnce(t *testing.T) {
	s := newServer(0.5, 100)
	s.run(15*time.Second, 6*time.Second, flow{"0", 0, "a", 30, 0.1}, flow{"1", 1, "a", 60, 0.1}, flow{"2", 2, "a", 60, 0.1})
	s.want(t, "0", 0.98, 1)
	s.want(t, "1", 0.82, 0.92) // 52.5 of 60
	s.want(t, "2", 0.25, 0.35) // 17.5 of 60
}

// TestManyUrgentJobs guards against urgent jobs that alone exceed the capacity and take the
// floors of the other priorities.
func TestManyUrgentJobs(t *testing.T) {
	s := newServer(0.5, 100)
	s.run(15*time.Second, 6*time.Second, flow{"0", 0, "a", 200, 0.1}, flow{"1", 1, "a", 20, 0.1}, flow{"2", 2, "a", 20, 0.1})
	s.want(t, "0", 0.36, 0.43) // 80 of 200
	s.want(t, "1", 0.45, 0.6)
	s.want(t, "2", 0.45, 0.6)
}

// TestLargeAmongSmallJobs guards against shares that count jobs: of two callers with the same
// load, neither the one with large jobs nor the one with small jobs may get most.
func TestLargeAmongSmallJobs(t *testing.T) {
	s := newServer(1, 100)
	s.run(20*time.Second, 6*time.Second, flow{"q", 1, "large", 100, 5}, flow{"q", 1, "small", 100, 0.1})
	s.want(t, "q/large", 0.4, 0.6)
	s.want(t, "q/small", 0.4, 0.6)
}

// TestCallersThatLeave guards against capacity that is kept for callers that have left, and
// against memory that grows with their number; a caller with much of the load stays tracked
// exactly meanwhile.
func TestCallersThatLeave(t *testing.T) {
	is := is.New(t)
	s := newServer(1, 100)
	hot := flow{"q", 1, "hot", 80, 0.1}
	s.run(10*time.Second, 5*time.Second, hot, flow{"q", 1, "leaves", 80, 0.1})
	s.want(t, "q/hot", 0.55, 0.7)
	s.run(10*time.Second, 5*time.Second, hot)
	s.want(t, "q/hot", 0.98, 1)
	for i := range 10_000 {
		s.now += time.Millisecond
		s.shares.Offer(s.now, "q", 1, fmt.Sprint("passing-", i), 0.05)
		s.shares.Offer(s.now, "q", 1, "hot", 0.05)
	}
	q := s.shares.byName["q"]
	is.Equal(len(q.callers.list), maxCallers)
	is.Equal(len(q.callers.byName), maxCallers)
	tracked := s.shares.rate(q.callers.byName["hot"].offered)
	is.True(math.Abs(tracked-50) < 5) // 50 a second
}

// TestManyEqualCallers guards against callers beyond the tracked ones that get more, or less,
// than those that are tracked.
func TestManyEqualCallers(t *testing.T) {
	s := newServer(1, 100)
	var flows []flow
	for i := range 4 * maxCallers {
		flows = append(flows, flow{"q", 1, fmt.Sprint(i), 0.8, 0.1})
	}
	s.run(15*time.Second, 6*time.Second, flows...)
	s.want(t, "q", 0.45, 0.5)
	shares := map[bool][]float64{}
	for i, f := range flows {
		tracked := s.shares.byName["q"].callers.byName[f.caller] != nil
		shares[tracked] = append(shares[tracked], s.share(fmt.Sprint("q/", i)))
	}
	for tracked, list := range shares {
		sum := 0.0
		for _, v := range list {
			sum += v
		}
		if mean := sum / float64(len(list)); mean < 0.3 || mean > 0.7 {
			t.Errorf("tracked %v: %.2f served", tracked, mean)
		}
	}
}

// TestNothingIsLimitedAtUsualLoad guards against limits, and log lines about them, while all is
// served: by rounding errors, and as work is served a little after it is offered.
func TestNothingIsLimitedAtUsualLoad(t *testing.T) {
	s := newServer(0.5, 100)
	flows := []flow{{"a", 0, "x", 10.7, 0.1}, {"b", 1, "x", 20.3, 0.13}, {"c", 1, "x", 20.3, 0.7}, {"d", 2, "x", 30.1, 0.9}}
	s.run(2*time.Second, 0, flows...)
	for range 400 {
		s.run(20*time.Millisecond, 0, flows...)
		for name, q := range s.shares.byName {
			if q.Limited() {
				t.Fatalf("queue %s is limited after %v", name, s.now)
			}
		}
	}
}

// TestSameDecisionAtEachEntry guards against entries that limit a queue differently because
// different parts of the load reach them.
func TestSameDecisionAtEachEntry(t *testing.T) {
	is := is.New(t)
	entries := map[string]*Shares{"one": New(0.5), "other": New(0.5)}
	parts := map[string]float64{"one": 0.8, "other": 0.2}
	for now := time.Duration(0); now < 10*time.Second; now += 10 * time.Millisecond {
		for _, name := range []string{"one", "other"} {
			s := entries[name]
			first, third := s.Offer(now, "first", 0, "a", 0.3*parts[name]), s.Offer(now, "third", 1, "a", 1.2*(1-parts[name]))
			s.Serve(now, first, 0.3*parts[name])
			s.Serve(now, third, 0.25)
			if now%time.Second == 0 {
				for other, o := range entries {
					if other != name {
						o.SetRemote(now, name, s.Loads(now))
					}
				}
			}
			s.Update(now)
		}
	}
	part := map[string]float64{}
	for name, s := range entries {
		q := s.byName["third"]
		is.True(q.limited)
		part[name] = q.allocation / s.rate(q.offered)
	}
	is.True(math.Abs(part["one"]-part["other"]) < 0.03)
	is.True(math.Abs(part["one"]-0.5/1.2) < 0.05)
	// An entry that is no longer heard does not count.
	s := entries["one"]
	s.Update(s.now + 2*remoteValidity)
	is.Equal(s.byName["first"].totalOffered, s.rate(s.byName["first"].offered))
}

// TestOddLoadsOfOthersAreIgnored guards against values that would make all shares invalid, and
// against messages that fill the memory.
func TestOddLoadsOfOthersAreIgnored(t *testing.T) {
	is := is.New(t)
	s := New(0.5)
	s.SetRemote(0, "odd", map[string]message.QueueLoad{"a": {Offered: math.NaN()}, "b": {Offered: math.Inf(1)}, "c": {Served: -1}})
	many := map[string]message.QueueLoad{}
	for i := range maxQueues + 1 {
		many[fmt.Sprint(i)] = message.QueueLoad{Offered: 1}
	}
	s.SetRemote(0, "many", many)
	is.Equal(len(s.queues), 0)
}

// TestRetriesAreSpread guards against callers that were refused together and come back
// together; the delay of a job is the same each time.
func TestRetriesAreSpread(t *testing.T) {
	is := is.New(t)
	s := New(0.5)
	is.Equal(s.RetryAfter("job", 0, 100), time.Second)
	s.Refuse(0, 290)
	counts := map[time.Duration]int{}
	for i := range 3000 {
		id := fmt.Sprint("job-", i)
		after := s.RetryAfter(id, 0, 100)
		is.Equal(after, s.RetryAfter(id, 0, 100))
		counts[after]++
	}
	is.Equal(slices.Sorted(maps.Keys(counts)), []time.Duration{time.Second, 2 * time.Second, 3 * time.Second})
	for _, n := range counts {
		is.True(n > 900)
	}
	s.Refuse(0, 1e6)
	for i := range 100 {
		is.True(s.RetryAfter(fmt.Sprint(i), 0, 100) <= 5*time.Second)
	}
}

// TestBacklogCountsAsAScanDoes guards against a wrong order or sum in the index that replaces
// the scan of all waiting jobs.
func TestBacklogCountsAsAScanDoes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Backlog
		places := map[int]Place{}
		n := rapid.IntRange(0, 40).Draw(t, "jobs")
		for i := range n {
			places[i] = Place{float64(rapid.IntRange(0, 3).Draw(t, "rank")), time.Duration(rapid.IntRange(0, 9).Draw(t, "at"))}
			b.Add(places[i], float64(i+1))
		}
		b.Build()
		for range rapid.IntRange(0, n).Draw(t, "removed") {
			i := rapid.SampledFrom(slices.Sorted(maps.Keys(places))).Draw(t, "job")
			b.Remove(places[i], float64(i+1))
			delete(places, i)
		}
		at := Place{float64(rapid.IntRange(0, 3).Draw(t, "rank")), time.Duration(rapid.IntRange(0, 9).Draw(t, "at"))}
		want, total := 0.0, 0.0
		for i, p := range places {
			total += float64(i + 1)
			if p.Compare(at) <= 0 {
				want += float64(i + 1)
			}
		}
		if got := b.Before(at); got != want || b.Total() != total {
			t.Fatalf("%v before %+v, want %v; %v in all, want %v", got, at, want, b.Total(), total)
		}
	})
}
