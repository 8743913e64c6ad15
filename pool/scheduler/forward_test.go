package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/verdict"
)

// cluster runs several entries, each with agents of its own, and the connections between
// them: each entry opens one to each other.
type cluster struct {
	sims []*simulation
	// delay is the time that a message between entries takes.
	delay   time.Duration
	transit []transitMessage
	// cut holds the pairs of sender and receiver whose messages wait until the cut ends.
	cut map[[2]int]bool
	// frozen entries process nothing; what arrives waits.
	frozen map[int]bool
	inbox  map[int][]Event
	notes  map[ForwardEvent]int
	// sentTo counts the forwarded jobs by receiver.
	sentTo map[string]int
}

type transitMessage struct {
	from, to int
	at       time.Duration
	event    Event
}

// newCluster starts one entry for each number of agents, in zones of two entries.
func newCluster(t *testing.T, agents ...int) *cluster {
	cl := &cluster{
		delay: 2 * time.Millisecond, cut: map[[2]int]bool{}, frozen: map[int]bool{}, inbox: map[int][]Event{},
		notes: map[ForwardEvent]int{}, sentTo: map[string]int{},
	}
	for i, n := range agents {
		sim := newSimulation(t, 0, 64000)
		sim.core.opts.LoadSharingPeers, sim.core.opts.Zone = 1, zoneOf(i)
		sim.core.opts.HeartbeatTimeout, sim.core.opts.ResubmitDelay = 400*time.Millisecond, 1300*time.Millisecond
		sim.forward = func(a Action) { cl.send(i, a) }
		cl.sims = append(cl.sims, sim)
		for range n {
			sim.addAgent(64000)
		}
	}
	for i, sim := range cl.sims {
		for k := range cl.sims {
			if k != i {
				sim.apply(PeerConnected{Peer: PeerSession(k), Name: fmt.Sprint("entry-", k), Zone: zoneOf(k)})
			}
		}
	}
	cl.advance(settleTime + heldUpMemory + 100*time.Millisecond)
	return cl
}

func zoneOf(entry int) string { return fmt.Sprint("zone-", entry/2) }

func (cl *cluster) send(from int, action Action) {
	now := cl.sims[from].now
	put := func(to int, ev Event) {
		cl.transit = append(cl.transit, transitMessage{from: from, to: to, at: now + cl.delay, event: ev})
	}
	switch action := action.(type) {
	case SendForwardOrders:
		put(int(action.Peer), ForwardReceived{Origin: PeerSession(from), Name: fmt.Sprint("entry-", from), Orders: action.Orders})
	case SendForwardReport:
		put(int(action.Origin), PeerReported{Peer: PeerSession(from), Report: action.Report})
	case ForwardNote:
		cl.notes[action.What]++
		if action.What == ForwardSent {
			cl.sentTo[action.Peer]++
		}
	}
}

// advance simulates the given time. Agents send a report every 100 ms.
func (cl *cluster) advance(d time.Duration) {
	for range d / simulationTick {
		now := cl.sims[0].now + simulationTick
		kept := cl.transit[:0]
		for _, m := range cl.transit {
			if m.at > now || cl.cut[[2]int{m.from, m.to}] {
				kept = append(kept, m)
				continue
			}
			cl.inbox[m.to] = append(cl.inbox[m.to], m.event)
		}
		cl.transit = kept
		for i, sim := range cl.sims {
			if cl.frozen[i] {
				sim.now = now
				continue
			}
			events := cl.inbox[i]
			cl.inbox[i] = nil
			sim.advance()
			for _, ev := range events {
				sim.apply(ev)
			}
			if now%(100*simulationTick) == 0 {
				for a := range sim.agents {
					sim.report(a, &message.RunReport{})
				}
			}
		}
	}
}

// fill submits long jobs that use all endpoints of an entry for 3 s.
func (cl *cluster) fill(entry int) {
	for range 5 * len(cl.sims[entry].agents) {
		cl.sims[entry].submitExactly(jobKind{queue: "fill", tasks: 2}, 3*time.Second, 3*time.Second)
	}
}

// forwardOne fills entry 0 and submits a job of one 300 ms task there, which entry 1 starts.
func (cl *cluster) forwardOne(t *testing.T) *testJob {
	t.Helper()
	cl.fill(0)
	cl.advance(50 * time.Millisecond)
	j := cl.sims[0].submitExactly(jobKind{queue: "label", tasks: 2}, 300*time.Millisecond, 300*time.Millisecond)
	cl.sims[1].runTimes[j.ID] = 300 * time.Millisecond
	cl.advance(220 * time.Millisecond)
	if cl.notes[ForwardReceivedJob] != 1 || cl.running(1, j) != 2 {
		t.Fatalf("the job was not started at the other entry: %v", cl.notes)
	}
	return j
}

// advanceUntilSent advances until a job has been forwarded.
func (cl *cluster) advanceUntilSent(t *testing.T) {
	t.Helper()
	for range 500 {
		if cl.notes[ForwardSent] > 0 {
			return
		}
		cl.advance(simulationTick)
	}
	t.Fatal("no job was forwarded")
}

// running counts the runs of a job at an entry's agents.
func (cl *cluster) running(entry int, j *testJob) int {
	n := 0
	for _, a := range cl.sims[entry].agents {
		for ref := range a.running {
			if ref.Job == j.ID {
				n++
			}
		}
	}
	return n
}

// TestJobThatWouldWaitRunsAtAnotherEntry guards against refusals while endpoints of other
// entries are free; the job must be answered once, in time.
func TestJobThatWouldWaitRunsAtAnotherEntry(t *testing.T) {
	is := is.New(t)
	cl := newCluster(t, 2, 2)
	j := cl.forwardOne(t)
	cl.advance(400 * time.Millisecond)
	is.True(j.answer != nil && !j.answer.Failed)
	is.True(j.answered-j.sent < 540*time.Millisecond)
	is.Equal(cl.notes[ForwardAccepted], 1)
	is.Equal(cl.running(0, j), 0)
}

// TestOldReleaseGetsNoJobs guards against jobs that are sent to entries that don't know
// load sharing: they never answer a request, and the job is refused within its wait.
func TestOldReleaseGetsNoJobs(t *testing.T) {
	is := is.New(t)
	cl := newCluster(t, 2, 2)
	cl.cut[[2]int{0, 1}] = true
	cl.fill(0)
	cl.advance(50 * time.Millisecond)
	j := cl.sims[0].submit(label)
	cl.advance(1500 * time.Millisecond)
	is.True(j.answer != nil && j.answer.Verdict == verdict.NotRun)
	is.Equal(cl.notes[ForwardSent], 0)
}

// TestLostContactEndsAForwardedJob guards against a job that runs at the host while its
// caller submits it again: 400 ms after the contact is lost in either direction, or one
// side is paused or has died, the origin answers "may have run" and no run of it is left.
func TestLostContactEndsAForwardedJob(t *testing.T) {
	for name, disturb := range map[string]func(cl *cluster){
		"cut both ways": func(cl *cluster) { cl.cut[[2]int{0, 1}], cl.cut[[2]int{1, 0}] = true, true },
		"cut to host":   func(cl *cluster) { cl.cut[[2]int{0, 1}] = true },
		"cut to origin": func(cl *cluster) { cl.cut[[2]int{1, 0}] = true },
		"origin frozen": func(cl *cluster) { cl.frozen[0] = true },
		"host connection ends": func(cl *cluster) {
			cl.sims[0].apply(PeerDisconnected{Peer: 1})
			cl.sims[1].apply(OriginDisconnected{Origin: 0})
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cl := newCluster(t, 2, 2)
			j := cl.forwardOne(t)
			for ref, run := range cl.allRuns(1) {
				is.Equal(ref.Job, j.ID)
				run.doneAt += 10 * time.Second
			}
			disturb(cl)
			cl.advance(450 * time.Millisecond)
			is.Equal(cl.running(1, j), 0) // the host has stopped the runs
			clear(cl.frozen)
			clear(cl.cut)
			cl.advance(50 * time.Millisecond)
			is.True(j.answer != nil && j.answer.Verdict == verdict.MayHaveRun)
			is.Equal(j.answer.Reason, verdict.ReasonUnavailable)
		})
	}
}

func (cl *cluster) allRuns(entry int) map[message.RunRef]*testRun {
	all := map[message.RunRef]*testRun{}
	for _, a := range cl.sims[entry].agents {
		for ref, run := range a.running {
			all[ref] = run
		}
	}
	return all
}

// TestPausedHostStartsNothingAfterwards guards against a second run: what a paused host
// reads after its pause, the job and the origin's later heartbeats, may be older than the
// time after which the caller has submitted the job elsewhere.
func TestPausedHostStartsNothingAfterwards(t *testing.T) {
	interrupted := 0
	for pause := 350 * time.Millisecond; pause < 3*time.Second; pause += 150 * time.Millisecond {
		is := is.New(t)
		cl := newCluster(t, 2, 2)
		cl.fill(0)
		cl.advance(50 * time.Millisecond)
		j := cl.sims[0].submitExactly(jobKind{queue: "label", tasks: 2}, time.Second, time.Second)
		cl.advanceUntilSent(t)
		cl.frozen[1] = true
		cl.advance(pause)
		clear(cl.frozen)
		runsBefore := cl.sims[1].runs
		cl.advance(1500 * time.Millisecond)
		if j.answer != nil && j.answer.Verdict == verdict.MayHaveRun {
			interrupted++
			is.Equal(cl.sims[1].runs, runsBefore) // nothing was started after the answer
		}
	}
	if interrupted < 10 {
		t.Errorf("only %d jobs were interrupted", interrupted)
	}
}

// TestOldHeartbeatsDoNotKeepAJob guards against a host that goes on with a job after a pause
// because it reads heartbeats that the origin sent before it gave the job up.
func TestOldHeartbeatsDoNotKeepAJob(t *testing.T) {
	is := is.New(t)
	cl := newCluster(t, 2, 2)
	j := cl.forwardOne(t)
	for _, run := range cl.allRuns(1) {
		run.doneAt += 10 * time.Second
	}
	cl.frozen[1] = true
	cl.advance(300 * time.Millisecond)
	cl.cut[[2]int{0, 1}] = true // the cancellation is lost
	cl.advance(300 * time.Millisecond)
	is.True(j.answer != nil && j.answer.Verdict == verdict.MayHaveRun)
	clear(cl.frozen)
	cl.advance(20 * time.Millisecond)
	is.Equal(cl.sims[1].core.OpenJobs(), 0) // agents have stopped the runs in the pause
}

// TestHostThatRefusesGivesTheJobBack guards against an untrue "not run" and against jobs
// that are lost with a wrong report: the origin sends the job to one more peer, with higher
// run numbers, or refuses it.
func TestHostThatRefusesGivesTheJobBack(t *testing.T) {
	is := is.New(t)
	cl := newCluster(t, 2, 2, 2)
	cl.fill(0)
	cl.advance(50 * time.Millisecond)
	// Entry 1 reports free capacity, and uses it before the job arrives.
	j := cl.sims[0].submitExactly(jobKind{queue: "label", tasks: 2}, 300*time.Millisecond, 300*time.Millisecond)
	cl.sims[2].runTimes[j.ID] = 300 * time.Millisecond
	first := j.FirstRun
	cl.advanceUntilSent(t)
	cl.fill(1)
	cl.advance(500 * time.Millisecond)
	is.Equal(cl.notes[ForwardRefused], 1)
	is.Equal(cl.notes[ForwardAccepted], 1)
	is.True(j.FirstRun >= first+3*forwardRunNumbers)
	is.True(j.answer != nil && !j.answer.Failed)
}

// TestEntriesThatAreShortForwardNothingToEachOther guards against jobs that go back and
// forth between two entries that are both full.
func TestEntriesThatAreShortForwardNothingToEachOther(t *testing.T) {
	is := is.New(t)
	cl := newCluster(t, 2, 2)
	cl.fill(0)
	cl.fill(1)
	cl.advance(50 * time.Millisecond)
	for range 20 {
		cl.sims[0].submit(label)
		cl.sims[1].submit(label)
		cl.advance(20 * time.Millisecond)
	}
	cl.advance(1500 * time.Millisecond)
	is.Equal(cl.notes[ForwardSent], 0)
	for _, sim := range cl.sims {
		_, refused := sim.inTime(label.queue)
		is.Equal(refused, 1.0)
	}
}

// TestCancelAndDisconnectReachTheHost guards against runs that outlive their caller.
func TestCancelAndDisconnectReachTheHost(t *testing.T) {
	for name, event := range map[string]func(j *testJob) Event{
		"cancel":     func(j *testJob) Event { return CancelRequested{ID: j.ID} },
		"disconnect": func(*testJob) Event { return WaiterDisconnected{Waiter: 11} },
		"stop":       func(*testJob) Event { return StopRequested{} },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cl := newCluster(t, 2, 2)
			j := cl.forwardOne(t)
			is.Equal(cl.sims[0].jobs[11], j)
			cl.sims[0].apply(event(j))
			cl.advance(20 * time.Millisecond)
			is.Equal(cl.running(1, j), 0)
			is.True(j.answer == nil || j.answer.Verdict == verdict.MayHaveRun)
		})
	}
}

// TestStoppingHost guards against jobs sent to an entry that stops, and against an untrue
// "not run" for those that it has started.
func TestStoppingHost(t *testing.T) {
	is := is.New(t)
	cl := newCluster(t, 2, 2)
	j := cl.forwardOne(t)
	cl.sims[1].apply(StopRequested{})
	cl.advance(20 * time.Millisecond)
	is.True(j.answer != nil && j.answer.Verdict == verdict.MayHaveRun)
	second := cl.sims[0].submit(label)
	cl.advance(1500 * time.Millisecond)
	is.True(second.answer != nil && second.answer.Verdict == verdict.NotRun)
	is.Equal(cl.notes[ForwardReceivedJob], 1)
}

// TestDuplicateAtTheHostJoinsTheJob guards against two runs of a job that its caller has
// submitted to both entries, and against two entries that wait for each other's answer.
func TestDuplicateAtTheHostJoinsTheJob(t *testing.T) {
	is := is.New(t)
	cl := newCluster(t, 2, 2)
	j := cl.forwardOne(t)
	again := &testJob{Job: &Job{}, sent: j.sent, runTime: j.runTime}
	*again.Job = *j.Job
	cl.sims[1].lastWaiter++
	cl.sims[1].jobs[cl.sims[1].lastWaiter] = again
	cl.sims[1].apply(JobSubmitted{Waiter: cl.sims[1].lastWaiter, Job: again.Job})
	is.Equal(cl.running(1, j), 2)
	cl.sims[0].apply(ForwardReceived{Origin: 1, Name: "entry-1", Orders: &message.ForwardOrders{
		Jobs: []message.ForwardedJob{{Request: 9, ID: j.ID, Queue: j.Queue, Service: "s", Tasks: 2, EstimateMicros: 1}},
	}})
	last := cl.transit[len(cl.transit)-1].event.(PeerReported).Report.Answers
	is.Equal(len(last), 1)
	is.Equal(last[0].Answer.Verdict, verdict.MayHaveRun) // at once, and not that it has not run
	is.Equal(cl.running(0, j), 0)
	cl.advance(400 * time.Millisecond)
	is.True(j.answer != nil && !j.answer.Failed)
	is.True(again.answer != nil && !again.answer.Failed)
}

// TestSuspectsAndHostedJobsStay guards against crashes at endpoints of other entries, and
// against jobs that are forwarded in a circle.
func TestSuspectsAndHostedJobsStay(t *testing.T) {
	is := is.New(t)
	cl := newCluster(t, 2, 2)
	cl.fill(0)
	cl.advance(50 * time.Millisecond)
	j := cl.sims[0].submit(label)
	inner := cl.sims[0].core.jobs[j.ID]
	is.True(cl.sims[0].core.mayForward(inner))
	inner.suspect = &suspect{job: j.ID}
	is.True(!cl.sims[0].core.mayForward(inner))
	inner.suspect, inner.queue.deadly = nil, true
	is.True(!cl.sims[0].core.mayForward(inner))
	inner.queue.deadly, inner.forward.origin = false, "entry-1"
	is.True(!cl.sims[0].core.mayForward(inner))
}
