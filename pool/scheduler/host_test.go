package scheduler

import (
	"fmt"
	"math"
	"testing"
	"time"

	"marjoramlug.example/marjoramlug/message"

	"github.com/matryer/is"
)

// TestJobCancelledAtItsHostDoesNotRun guards against a job that its caller cancels at the host
// while it waits there, and that the origin takes back and runs.
func TestJobCancelledAtItsHostDoesNotRun(t *testing.T) {
	cl := newCluster(t, 2, 2)
	j := cl.forwardOne(t)
	host := cl.sims[1]
	for i, a := range host.agents {
		// Another entry has taken the capacity.
		for ref := range a.running {
			a.end(ref, message.RunRefused, host.now)
		}
		a.used = a.capacity
		host.report(i, &message.RunReport{})
	}
	host.apply(CancelRequested{ID: j.ID})
	cl.advance(5 * time.Millisecond)
	origin := cl.sims[0]
	for i, a := range origin.agents {
		for ref := range a.running {
			a.end(ref, message.RunDone, origin.now)
		}
		origin.report(i, &message.RunReport{})
	}
	cl.advance(50 * time.Millisecond)
	is.New(t).Equal(cl.running(0, j), 0)
}

// forwardedJob returns a valid job of another entry.
func forwardedJob(request uint64) message.ForwardedJob {
	return message.ForwardedJob{
		Request: request, ID: fmt.Sprint("x", request), Queue: "q", Service: "s", Tasks: 2, Need: message.Resources{MilliCPU: 1000},
		EstimateMicros: 100_000, Stretch: 1.6, SlackMicros: 60_000, DeadlineMicros: 1_000_000,
	}
}

// receive delivers jobs of entry 0 to entry 1 and returns entry 1.
func (cl *cluster) receive(jobs ...message.ForwardedJob) *simulation {
	s := cl.sims[1]
	s.apply(ForwardReceived{Origin: 0, Name: "entry-0", Orders: &message.ForwardOrders{Ask: true}})
	asked := s.core.origins[0].timestamp
	s.now += 2 * time.Millisecond
	s.apply(ForwardReceived{Origin: 0, Name: "entry-0", Orders: &message.ForwardOrders{ReportTimestamp: asked, Jobs: jobs}})
	return s
}

// TestInvalidForwardedJobsAreRefused guards against a message of another entry that ends the
// process, or adds capacity that does not exist.
func TestInvalidForwardedJobsAreRefused(t *testing.T) {
	for name, change := range map[string]func(*message.ForwardedJob){
		"too many tasks":     func(f *message.ForwardedJob) { f.Tasks, f.Need = 1<<60, message.Resources{} },
		"no tasks":           func(f *message.ForwardedJob) { f.Tasks = -1 },
		"negative resources": func(f *message.ForwardedJob) { f.Need.MilliCPU = -64000 },
		"huge resources":     func(f *message.ForwardedJob) { f.Need.MemoryMB = math.MaxInt64 },
		"no stretch":         func(f *message.ForwardedJob) { f.Stretch = math.NaN() },
	} {
		t.Run(name, func(t *testing.T) {
			f := forwardedJob(1)
			change(&f)
			s := newCluster(t, 2, 2).receive(f)
			is.New(t).Equal(s.core.OpenJobs(), 0)
		})
	}
}

// TestHostedJobIsNotForwardedOnArrival guards against forwarding loops: jobs beyond the limit of
// waiting tasks are refused to their origin, also where a third entry has free capacity.
func TestHostedJobIsNotForwardedOnArrival(t *testing.T) {
	cl := newCluster(t, 2, 2, 2)
	cl.sims[1].apply(PeerReported{Peer: 2, Report: &message.ForwardReport{Timestamp: 1, Free: []message.FreeCapacity{{
		Service: "s", Endpoints: []message.FreeEndpoint{{Free: message.Resources{MilliCPU: 64000}, SlownessPermille: 1000}},
	}}}})
	var jobs []message.ForwardedJob
	for i := range 3 {
		f := forwardedJob(uint64(i + 1))
		f.Tasks, f.Need.MilliCPU = 1900, 5
		jobs = append(jobs, f)
	}
	for _, j := range cl.receive(jobs...).core.jobs {
		if j.forward.away != nil {
			t.Errorf("hosted job %s was forwarded to %s", j.ID, j.forward.away.name)
		}
	}
}

// TestOutdatedForwardDoesNotProveACaller guards against two runs of a task: a paused entry reads
// an old forwarded copy of a job that it has itself, whose caller has left meanwhile.
func TestOutdatedForwardDoesNotProveACaller(t *testing.T) {
	cl := newCluster(t, 2, 2)
	s := cl.sims[1]
	j := s.submitExactly(jobKind{queue: "press", tasks: 2}, 3*time.Second, 3*time.Second)
	s.apply(ForwardReceived{Origin: 0, Name: "entry-0", Orders: &message.ForwardOrders{Ask: true}})
	f := forwardedJob(1)
	f.ID, f.Queue, f.Need = j.ID, j.Queue, j.Need
	old := &message.ForwardOrders{ReportTimestamp: s.core.origins[0].timestamp, Jobs: []message.ForwardedJob{f}}
	s.now += 900 * time.Millisecond
	s.apply(Tick{})
	for i := range 30 {
		s.now += 10 * time.Millisecond
		if i == 6 {
			s.apply(ForwardReceived{Origin: 0, Name: "entry-0", Orders: old})
		}
		for a := range s.agents {
			s.report(a, &message.RunReport{})
		}
	}
	is.New(t).True(j.answer != nil) // interrupted, as its caller may have submitted it elsewhere
}
