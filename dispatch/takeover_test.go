package dispatch

import (
	"testing"
	"time"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/verdict"
)

var (
	earlierStart = message.StartID{Owner: 99, Seq: 1}
	asked        = []message.ShardEpoch{{Shard: testShard, Epoch: 9}}
)

// succeed begins a takeover with the given roster; agent "a" is connected. The
// job of two tasks was submitted ten seconds earlier.
func succeed(t *testing.T, roster ...string) (*rig, Session, *message.Submit) {
	r := newRig(t, testOptions())
	job := r.job("j", 2)
	r.now = r.now.Add(10 * time.Second)
	s := r.connect("a", 1, 2)
	r.step(ShardAcquired{Shard: testShard, Epoch: 9, Roster: roster})
	r.is.Equal(take[*message.JournalRequest](r)[0].Shards, asked)
	return r, s, job
}

func entryOf(job *message.Submit, index int, state message.TaskState) message.JournalEntry {
	return message.JournalEntry{
		Shard: testShard, Job: job.Job, Index: index, ID: earlierStart,
		Fingerprint: job.Fingerprint, State: state,
	}
}

// tell sends agent "a"'s journal; it is complete from before the job.
func (r *rig) tell(s Session, entries ...message.JournalEntry) {
	r.say(s, &message.Journal{Shards: asked, Entries: entries, CompleteSince: epoch.Add(-time.Hour).UnixMilli()})
}

func TestTakeoverHoldsOldJobsAndStartsNewOnes(t *testing.T) {
	r, s, job := succeed(t, "a")
	r.submit(job)
	r.is.Equal(len(r.starts()), 0)
	r.now = r.now.Add(2 * time.Second)
	r.submit(r.job("new", 1))
	r.is.Equal(len(r.starts()), 1)
	r.tell(s)
	r.is.Equal(len(r.starts()), 1) // one credit is left
	r.is.Equal(r.core.Queued(), 1)
}

// beat lets time pass while an agent sends heartbeats.
func (r *rig) beat(s Session, d time.Duration) {
	const interval = 500 * time.Millisecond
	for ; d > 0; d -= interval {
		r.pass(interval)
		r.stamp++
		r.say(s, &message.Heartbeat{Stamp: r.stamp})
	}
}

// TestNewJobsWaitForStaleStartsOrJournals has starts of the previous owner on
// their way for five seconds after the acquisition.
func TestNewJobsWaitForStaleStartsOrJournals(t *testing.T) {
	const wait = 5 * time.Second
	for name, test := range map[string]struct {
		roster []string
		told   bool
		passed time.Duration
		starts int
	}{
		"agents unheard of, before the wait":    {[]string{"a", "b"}, true, wait - time.Second, 0},
		"agents unheard of, after the wait":     {[]string{"a", "b"}, true, wait, 1},
		"journals missing, before the wait":     {[]string{"a"}, false, wait - time.Second, 0},
		"all journals here, before the wait":    {[]string{"a"}, true, wait - time.Second, 1},
		"no agent ever started, without a wait": {nil, false, wait - time.Second, 1},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, testOptions())
			s := r.connect("a", 1, 2)
			r.step(ShardAcquired{Shard: testShard, Epoch: 9, StartsFrom: r.now.Add(wait), Roster: test.roster})
			r.beat(s, 2*time.Second) // beyond the clocks' skew, so that the job is new
			w := r.submit(r.job("new", 1))
			if test.told {
				r.tell(s)
			}
			r.beat(s, test.passed-2*time.Second)
			starts := r.starts()
			r.is.Equal(len(starts), test.starts)
			r.beat(s, wait) // at last it starts in each case
			starts = append(starts, r.starts()...)
			r.is.Equal(len(starts), 1)
			r.finish(s, starts[0], ran)
			r.complete(w)
		})
	}
}

func TestTakeoverReattachesWhatRuns(t *testing.T) {
	r, s, job := succeed(t, "a")
	w := r.submit(job)
	r.tell(s, entryOf(job, 0, message.TaskRunning))
	starts := r.starts()
	r.is.Equal(len(starts), 1)
	r.is.Equal(starts[0].Index, 1)
	r.finish(s, starts[0], ran)
	r.say(s, &message.Result{ID: earlierStart, Result: ran})
	r.complete(w)
	r.idle()
}

func TestTakeoverCollectsWhatHasEnded(t *testing.T) {
	r, s, job := succeed(t, "a")
	first, second := entryOf(job, 0, message.TaskEnded), entryOf(job, 1, message.TaskEnded)
	second.ID.Seq++
	first.Result, second.Result = ran, ran
	r.say(s, &message.Journal{Shards: asked, Entries: []message.JournalEntry{first}, More: true})
	w := r.submit(job)
	r.is.Equal(r.replies[w], nil) // the journal is not whole
	r.tell(s, second)
	r.complete(w)
	r.is.Equal(len(r.starts()), 0)
	r.idle()
}

func TestResultOvertakesItsJournalEntry(t *testing.T) {
	r, s, job := succeed(t, "a")
	w := r.submit(job)
	r.say(s, &message.Result{ID: earlierStart, Result: ran})
	r.tell(s, entryOf(job, 0, message.TaskRunning))
	r.finish(s, r.starts()[0], ran)
	r.complete(w)
	r.idle()
}

func TestJournalIsSentAgainAfterReconnection(t *testing.T) {
	r, s, job := succeed(t, "a", "b")
	w := r.submit(job)
	r.say(s, &message.Journal{Shards: asked, More: true, Entries: []message.JournalEntry{entryOf(job, 0, message.TaskRunning)}})
	s = r.connect("a", 1, 2)
	r.is.Equal(len(take[*message.JournalRequest](r)), 1)
	ended := entryOf(job, 0, message.TaskEnded)
	ended.Result = ran
	r.tell(s, ended)
	r.tell(r.connect("b", 1, 0))
	r.finish(s, r.starts()[0], ran)
	r.complete(w)
	r.idle()
}

func TestTakeoverWithoutEveryJournal(t *testing.T) {
	for name, answer := range map[string]func(*rig, Session, *message.Submit){
		"agent missing": func(r *rig, s Session, _ *message.Submit) {
			r.tell(s)
			for range 10 {
				r.say(s, &message.Heartbeat{})
				r.pass(time.Second / 2)
			}
		},
		"journal does not reach back": func(r *rig, s Session, job *message.Submit) {
			r.tell(s)
			since := job.SubmittedAt - testOptions().ClockSkew.Milliseconds()
			r.say(r.connect("b", 1, 0), &message.Journal{Shards: asked, CompleteSince: since})
		},
	} {
		t.Run(name, func(t *testing.T) {
			r, s, job := succeed(t, "a", "b")
			w := r.submit(job)
			answer(r, s, job)
			r.failed(w, verdict.MayHaveRun, verdict.ReasonJournalMissing)
			r.is.Equal(len(r.starts()), 0)
			r.idle()
		})
	}
}

func TestPartOfAJobStandsInAnIncompleteJournal(t *testing.T) {
	r, s, job := succeed(t, "a", "b")
	w := r.submit(job)
	ended := entryOf(job, 0, message.TaskEnded)
	ended.Result = ran
	r.tell(s, ended)
	r.pass(testOptions().TakeoverTimeout)
	a := r.failed(w, verdict.MayHaveRun, verdict.ReasonTaskFailed)
	r.is.True(a.Tasks[0].Complete())
	r.is.Equal(a.Tasks[1].Reason, verdict.ReasonJournalMissing)
}

func TestOtherContentOfAnEarlierJob(t *testing.T) {
	r, s, job := succeed(t, "a")
	other := r.job("j", 1)
	other.SubmittedAt = job.SubmittedAt
	first := r.submit(other)
	r.failed(r.submit(job), verdict.MayHaveRun, verdict.ReasonContentMismatch)
	r.tell(s, entryOf(job, 0, message.TaskRunning))
	r.failed(first, verdict.MayHaveRun, verdict.ReasonContentMismatch)
	r.is.Equal(len(r.starts()), 0)
}

func TestDeadlineDuringTakeover(t *testing.T) {
	r, _, job := succeed(t, "a")
	job.Deadline = r.now.Add(time.Second).UnixMilli()
	w := r.submit(job)
	r.pass(time.Second)
	r.failed(w, verdict.MayHaveRun, verdict.ReasonDeadline)
	r.idle()
}

func TestAdmissionAfterTakeoverIsTrue(t *testing.T) {
	r, s, job := succeed(t, "a")
	r.core.admission.(*openAdmission).refuse = &Refusal{Reason: verdict.ReasonQueueFull}
	w := r.submit(job)
	r.is.Equal(r.replies[w], nil) // it may have run as long as the journal is missing
	r.tell(s)
	r.failed(w, verdict.NotRun, verdict.ReasonQueueFull)
	r.idle()
}

func TestLateJournalIsNotKept(t *testing.T) {
	r, s, job := succeed(t, "a")
	for range 4 {
		r.say(s, &message.Heartbeat{})
		r.pass(40 * time.Second)
		s = r.connect("a", 1, 0)
	}
	r.tell(s, entryOf(job, 0, message.TaskRunning))
	r.is.Equal(len(r.core.shards[testShard].recovered), 0)
	r.idle()
}

func TestJobOutlivesTheWindowAndItsOwner(t *testing.T) {
	r := newRig(t, testOptions())
	job := r.job("j", 2)
	job.SubmittedAt, job.ReceivedAt = 0, r.now.UnixMilli()
	r.now = r.now.Add(testOptions().ResubmitWindow + 3*time.Second)
	s := r.connect("a", 1, 2)
	r.step(ShardAcquired{Shard: testShard, Epoch: 9, Roster: []string{"a"}})
	w := r.submit(job)
	r.is.Equal(len(r.starts()), 0)
	r.tell(s, entryOf(job, 0, message.TaskRunning))
	r.is.Equal(r.replies[w], nil)
}

func TestReleaseSendsWaitersToTheNextOwner(t *testing.T) {
	r := newOwner(t)
	s := r.connect("a", 1, 1)
	started, queued := r.submit(r.job("j", 1)), r.submit(r.job("k", 1))
	st := r.starts()[0]
	r.step(ShardReleased{Shard: testShard})
	r.failed(started, verdict.MayHaveRun, verdict.ReasonNotOwner)
	r.failed(queued, verdict.NotRun, verdict.ReasonNotOwner)
	r.idle()
	r.finish(s, st, ran)
	r.is.Equal(r.core.Counters().DuplicateResults, uint64(1))
}
