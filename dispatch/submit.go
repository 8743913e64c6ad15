package dispatch

import (
	"time"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/verdict"
)

// submit accepts a job, joins it to a running one, answers it from a record or
// refuses it.
func (c *Core) submit(w Waiter, s *message.Submit) {
	if c.waiters[w] != nil {
		return
	}
	if refusal := c.checkSubmit(s); refusal != nil {
		c.refuse(w, refusal)
		return
	}
	if rec := c.records.byKey[s.Job]; rec != nil {
		c.replay(w, rec, s)
		return
	}
	if j := c.jobs[s.Job]; j != nil {
		c.join(w, j, s)
		return
	}
	c.submitUnknown(w, s)
}

// checkSubmit returns a refusal for a job without tasks or of a shard that this
// core does not own, else nil.
func (c *Core) checkSubmit(s *message.Submit) *message.JobAnswer {
	if s.Shard < 0 || s.Shard >= message.ShardsPerService {
		return refusal(verdict.NotRun, verdict.ReasonInvalid, "the shard does not exist")
	}
	if !c.shards[s.Shard].owned {
		// The shard's owner may have run an earlier submission.
		return refusal(verdict.MayHaveRun, verdict.ReasonNotOwner, "this entry does not own the job's shard")
	}
	if len(s.Tasks) == 0 {
		return refusal(verdict.NotRun, verdict.ReasonInvalid, "a job needs at least one task")
	}
	return nil
}

func refusal(v verdict.Verdict, reason verdict.Reason, detail string) *message.JobAnswer {
	a := message.Refusal(v, reason, detail)
	return &a
}

func (c *Core) refuse(w Waiter, a *message.JobAnswer) {
	c.counters.Refusals.add(a.Reason)
	c.answer(w, a)
}

// mismatch returns the refusal of a job whose ID is in use for other content. The
// refused content may have run if it was submitted so early that this core may
// have no record of it.
func (c *Core) mismatch(s *message.Submit) *message.JobAnswer {
	v := verdict.NotRun
	if at := c.submissionTime(s); c.tooOld(at) || !c.shards[s.Shard].isNew(at, c.opts.ClockSkew) {
		v = verdict.MayHaveRun
	}
	return refusal(v, verdict.ReasonContentMismatch, "the job ID stands for a job with other content")
}

func (c *Core) replay(w Waiter, rec *record, s *message.Submit) {
	if rec.fingerprint != s.Fingerprint {
		c.refuse(w, c.mismatch(s))
		return
	}
	c.counters.Replayed++
	c.answer(w, rec.reply())
}

func (c *Core) join(w Waiter, j *job, s *message.Submit) {
	if j.fingerprint != s.Fingerprint {
		c.refuse(w, c.mismatch(s))
		return
	}
	c.counters.Joined++
	c.wait(w, j)
}

func (c *Core) wait(w Waiter, j *job) {
	j.waiters = append(j.waiters, w)
	c.waiters[w] = j
}

func (c *Core) dropWaiter(w Waiter) {
	j := c.waiters[w]
	if j == nil {
		return
	}
	delete(c.waiters, w)
	for i, other := range j.waiters {
		if other == w {
			j.waiters = append(j.waiters[:i], j.waiters[i+1:]...)
			return
		}
	}
}

// submitUnknown handles a job that this core neither runs nor has a record of.
func (c *Core) submitUnknown(w Waiter, s *message.Submit) {
	at := c.submissionTime(s)
	sh := &c.shards[s.Shard]
	mayBeJournaled := sh.takeover != nil || len(sh.recovered[s.Job]) > 0
	switch {
	case c.tooOld(at) && !mayBeJournaled:
		c.refuse(w, refusal(verdict.MayHaveRun, verdict.ReasonJournalMissing, "the job is older than what is remembered"))
	case sh.isNew(at, c.opts.ClockSkew) && len(sh.recovered[s.Job]) == 0 && c.staleStartsExpired(sh):
		c.submitNew(w, s, at)
	default:
		c.submitHeld(w, s, at)
	}
}

// retention is how long after its first submission a job is recognized as one
// that was submitted before: a caller may submit again within one resubmission
// window, and a relay may hold that submission for another.
func (c *Core) retention() time.Duration { return 2 * c.opts.ResubmitWindow }

func (c *Core) tooOld(at time.Time) bool { return !at.After(c.now.Add(-c.retention())) }

// submissionTime returns when the caller first submitted the job. If the time is
// missing, or ahead of this clock by more than the clock skew, it returns the
// time one resubmission window before the relay received the job.
func (c *Core) submissionTime(s *message.Submit) time.Time {
	at := time.UnixMilli(s.SubmittedAt)
	if s.SubmittedAt != 0 && !c.inFuture(at) {
		return at
	}
	received := time.UnixMilli(s.ReceivedAt)
	if s.ReceivedAt == 0 || c.inFuture(received) {
		received = c.now
	}
	return received.Add(-c.opts.ResubmitWindow)
}

func (c *Core) inFuture(t time.Time) bool { return t.After(c.now.Add(c.opts.ClockSkew)) }

// submitNew admits and queues a job that no earlier owner can have received.
func (c *Core) submitNew(w Waiter, s *message.Submit, at time.Time) {
	if refusal := c.admit(s); refusal != nil {
		c.refuse(w, refusal)
		return
	}
	j := c.addJob(s, at)
	c.wait(w, j)
	c.enqueueAll(j)
}

// admit asks the admission policy and returns the refusal, if any.
func (c *Core) admit(s *message.Submit) *message.JobAnswer {
	if s.Deadline != 0 && !time.UnixMilli(s.Deadline).After(c.now) {
		return refusal(verdict.NotRun, verdict.ReasonDeadline, "the deadline has passed")
	}
	r := c.admission.Admit(c.now, s, c.load())
	if r == nil {
		return nil
	}
	a := refusal(verdict.NotRun, r.Reason, r.Detail)
	a.RetryAfterMillis = r.RetryAfter.Milliseconds()
	return a
}

func (c *Core) load() Load {
	return Load{
		Queued:       c.queue.Len(),
		QueuedUrgent: c.queue.Urgent(),
		QueuedBytes:  c.queuedBytes,
		Running:      len(c.starts),
		Slots:        c.slotShare(),
		Expected:     c.placement.Expected,
		Shares:       c.hooks.shares,
	}
}
