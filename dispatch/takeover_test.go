package dispatch

import (
	"testing"
	"time"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/verdict"
)

var (
	earlierOwnerStart = message.StartID{Owner: 99, Seq: 1}
	requestedShards   = []message.ShardEpoch{{Shard: testShard, Epoch: 9}}
)

// beginTakeover begins a takeover with the given roster and agent "a" connected.
// It returns a job of two tasks that was submitted ten seconds earlier.
func beginTakeover(t *testing.T, roster ...string) (*harness, Session, *message.Submit) {
	h := newHarness(t, testOptions())
	job := h.job("j", 2)
	h.now = h.now.Add(10 * time.Second)
	s := h.connect("a", 1, 2)
	h.step(ShardAcquired{Shard: testShard, Epoch: 9, Roster: roster})
	h.is.Equal(takeSent[*message.JournalRequest](h)[0].Shards, requestedShards)
	return h, s, job
}

func entryOf(job *message.Submit, index int, state message.StartState) message.JournalEntry {
	return message.JournalEntry{
		Shard: testShard, Job: job.Job, Index: index, ID: earlierOwnerStart,
		Fingerprint: job.Fingerprint, State: state,
	}
}

// sendJournal sends an agent's journal that is complete since before the job.
func (h *harness) sendJournal(s Session, entries ...message.JournalEntry) {
	h.send(s, &message.Journal{Shards: requestedShards, Entries: entries, CompleteSince: epoch.Add(-time.Hour).UnixMilli()})
}

func TestTakeoverHoldsOldJobsAndStartsNewOnes(t *testing.T) {
	h, s, job := beginTakeover(t, "a")
	h.submit(job)
	h.is.Equal(len(h.starts()), 0)
	h.now = h.now.Add(2 * time.Second)
	h.submit(h.job("new", 1))
	h.is.Equal(len(h.starts()), 1)
	h.sendJournal(s)
	h.is.Equal(len(h.starts()), 1) // only one credit was left
	h.is.Equal(h.core.Queued(), 1)
}

// advanceWithHeartbeats advances the time while an agent sends heartbeats.
func (h *harness) advanceWithHeartbeats(s Session, d time.Duration) {
	const interval = 500 * time.Millisecond
	for ; d > 0; d -= interval {
		h.advance(interval)
		h.sequence++
		h.send(s, &message.Heartbeat{Sequence: h.sequence})
	}
}

// TestNewJobsWaitForStaleStartsOrJournals: starts of the previous owner can arrive
// for five seconds after the acquisition. A new job must not start before that
// unless all journals have arrived.
func TestNewJobsWaitForStaleStartsOrJournals(t *testing.T) {
	const wait = 5 * time.Second
	for name, test := range map[string]struct {
		roster      []string
		journalSent bool
		elapsed     time.Duration
		starts      int
	}{
		"one journal missing, before the wait":  {[]string{"a", "b"}, true, wait - time.Second, 0},
		"one journal missing, after the wait":   {[]string{"a", "b"}, true, wait, 1},
		"all journals missing, before the wait": {[]string{"a"}, false, wait - time.Second, 0},
		"no journal missing, before the wait":   {[]string{"a"}, true, wait - time.Second, 1},
		"no agent ever started, without a wait": {nil, false, wait - time.Second, 1},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, testOptions())
			s := h.connect("a", 1, 2)
			h.step(ShardAcquired{Shard: testShard, Epoch: 9, StartsFrom: h.now.Add(wait), Roster: test.roster})
			h.advanceWithHeartbeats(s, 2*time.Second) // beyond the clock skew, so that the job is new
			w := h.submit(h.job("new", 1))
			if test.journalSent {
				h.sendJournal(s)
			}
			h.advanceWithHeartbeats(s, test.elapsed-2*time.Second)
			starts := h.starts()
			h.is.Equal(len(starts), test.starts)
			h.advanceWithHeartbeats(s, wait) // after the wait it starts in each case
			starts = append(starts, h.starts()...)
			h.is.Equal(len(starts), 1)
			h.finish(s, starts[0], ran)
			h.assertComplete(w)
		})
	}
}

func TestTakeoverReattachesRunningTasks(t *testing.T) {
	h, s, job := beginTakeover(t, "a")
	w := h.submit(job)
	h.sendJournal(s, entryOf(job, 0, message.StartRunning))
	starts := h.starts()
	h.is.Equal(len(starts), 1)
	h.is.Equal(starts[0].Index, 1)
	h.finish(s, starts[0], ran)
	h.send(s, &message.Result{ID: earlierOwnerStart, Result: ran})
	h.assertComplete(w)
	h.assertIdle()
}

func TestTakeoverCollectsEndedTasks(t *testing.T) {
	h, s, job := beginTakeover(t, "a")
	first, second := entryOf(job, 0, message.StartEnded), entryOf(job, 1, message.StartEnded)
	second.ID.Seq++
	first.Result, second.Result = ran, ran
	h.send(s, &message.Journal{Shards: requestedShards, Entries: []message.JournalEntry{first}, More: true})
	w := h.submit(job)
	h.is.Equal(h.replies[w], nil) // the journal is not complete
	h.sendJournal(s, second)
	h.assertComplete(w)
	h.is.Equal(len(h.starts()), 0)
	h.assertIdle()
}

func TestResultBeforeItsJournalEntry(t *testing.T) {
	h, s, job := beginTakeover(t, "a")
	w := h.submit(job)
	h.send(s, &message.Result{ID: earlierOwnerStart, Result: ran})
	h.sendJournal(s, entryOf(job, 0, message.StartRunning))
	h.finish(s, h.starts()[0], ran)
	h.assertComplete(w)
	h.assertIdle()
}

func TestJournalIsSentAgainAfterReconnection(t *testing.T) {
	h, s, job := beginTakeover(t, "a", "b")
	w := h.submit(job)
	h.send(s, &message.Journal{Shards: requestedShards, More: true, Entries: []message.JournalEntry{entryOf(job, 0, message.StartRunning)}})
	s = h.connect("a", 1, 2)
	h.is.Equal(len(takeSent[*message.JournalRequest](h)), 1)
	ended := entryOf(job, 0, message.StartEnded)
	ended.Result = ran
	h.sendJournal(s, ended)
	h.sendJournal(h.connect("b", 1, 0))
	h.finish(s, h.starts()[0], ran)
	h.assertComplete(w)
	h.assertIdle()
}

func TestTakeoverWithoutEveryJournal(t *testing.T) {
	for name, answer := range map[string]func(*harness, Session, *message.Submit){
		"agent missing": func(h *harness, s Session, _ *message.Submit) {
			h.sendJournal(s)
			for range 10 {
				h.send(s, &message.Heartbeat{})
				h.advance(time.Second / 2)
			}
		},
		"journal does not reach back": func(h *harness, s Session, job *message.Submit) {
			h.sendJournal(s)
			since := job.SubmittedAt - testOptions().ClockSkew.Milliseconds()
			h.send(h.connect("b", 1, 0), &message.Journal{Shards: requestedShards, CompleteSince: since})
		},
	} {
		t.Run(name, func(t *testing.T) {
			h, s, job := beginTakeover(t, "a", "b")
			w := h.submit(job)
			answer(h, s, job)
			h.assertFailed(w, verdict.MayHaveRun, verdict.ReasonJournalMissing)
			h.is.Equal(len(h.starts()), 0)
			h.assertIdle()
		})
	}
}

func TestPartOfAJobIsInAnIncompleteJournal(t *testing.T) {
	h, s, job := beginTakeover(t, "a", "b")
	w := h.submit(job)
	ended := entryOf(job, 0, message.StartEnded)
	ended.Result = ran
	h.sendJournal(s, ended)
	h.advance(testOptions().TakeoverTimeout)
	a := h.assertFailed(w, verdict.MayHaveRun, verdict.ReasonTaskFailed)
	h.is.True(a.Tasks[0].Complete())
	h.is.Equal(a.Tasks[1].Reason, verdict.ReasonJournalMissing)
}

func TestOtherContentOfAnEarlierJob(t *testing.T) {
	h, s, job := beginTakeover(t, "a")
	other := h.job("j", 1)
	other.SubmittedAt = job.SubmittedAt
	first := h.submit(other)
	h.assertFailed(h.submit(job), verdict.MayHaveRun, verdict.ReasonContentMismatch)
	h.sendJournal(s, entryOf(job, 0, message.StartRunning))
	h.assertFailed(first, verdict.MayHaveRun, verdict.ReasonContentMismatch)
	h.is.Equal(len(h.starts()), 0)
}

func TestDeadlineDuringTakeover(t *testing.T) {
	h, _, job := beginTakeover(t, "a")
	job.Deadline = h.now.Add(time.Second).UnixMilli()
	w := h.submit(job)
	h.advance(time.Second)
	h.assertFailed(w, verdict.MayHaveRun, verdict.ReasonDeadline)
	h.assertIdle()
}

func TestRefusalAfterTakeoverIsNotRun(t *testing.T) {
	h, s, job := beginTakeover(t, "a")
	h.core.admission.(*openAdmission).refuse = &Refusal{Reason: verdict.ReasonQueueFull}
	w := h.submit(job)
	h.is.Equal(h.replies[w], nil) // the job may have run as long as the journal is missing
	h.sendJournal(s)
	h.assertFailed(w, verdict.NotRun, verdict.ReasonQueueFull)
	h.assertIdle()
}

func TestLateJournalIsNotKept(t *testing.T) {
	h, s, job := beginTakeover(t, "a")
	for range 4 {
		h.send(s, &message.Heartbeat{})
		h.advance(40 * time.Second)
		s = h.connect("a", 1, 0)
	}
	h.sendJournal(s, entryOf(job, 0, message.StartRunning))
	h.is.Equal(len(h.core.shards[testShard].recovered), 0)
	h.assertIdle()
}

func TestJobOutlivesResubmitWindowAndOwner(t *testing.T) {
	h := newHarness(t, testOptions())
	job := h.job("j", 2)
	job.SubmittedAt, job.ReceivedAt = 0, h.now.UnixMilli()
	h.now = h.now.Add(testOptions().ResubmitWindow + 3*time.Second)
	s := h.connect("a", 1, 2)
	h.step(ShardAcquired{Shard: testShard, Epoch: 9, Roster: []string{"a"}})
	w := h.submit(job)
	h.is.Equal(len(h.starts()), 0)
	h.sendJournal(s, entryOf(job, 0, message.StartRunning))
	h.is.Equal(h.replies[w], nil)
}

func TestReleaseSendsWaitersToTheNextOwner(t *testing.T) {
	h := newOwner(t)
	s := h.connect("a", 1, 1)
	started, queued := h.submit(h.job("j", 1)), h.submit(h.job("k", 1))
	st := h.starts()[0]
	h.step(ShardReleased{Shard: testShard})
	h.assertFailed(started, verdict.MayHaveRun, verdict.ReasonNotOwner)
	h.assertFailed(queued, verdict.NotRun, verdict.ReasonNotOwner)
	h.assertIdle()
	h.finish(s, st, ran)
	h.is.Equal(h.core.Counters().DuplicateResults, uint64(1))
}
