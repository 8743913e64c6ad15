package dispatch

import (
	"time"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/verdict"
)

// maxHeldTasks limits the tasks that wait for the end of takeovers.
const maxHeldTasks = 200_000

// takeover is the state of a shard acquired from another owner while the agents'
// journals are collected.
type takeover struct {
	// timeout ends the takeover. newJobsTimer ends the wait of new jobs.
	timeout, newJobsTimer *timer
	held                  []heldJob
}

// heldJob is a job that waits for a takeover, because an earlier owner may have
// started it or because starts of the earlier owner may still be in transit.
type heldJob struct {
	job    *job
	submit *message.Submit
}

// takeOver requests the journals of a shard from all connected agents.
func (c *Core) takeOver(index int, roster []string) {
	sh := &c.shards[index]
	c.counters.Takeovers++
	sh.recovered = make(map[message.JobKey][]*recoveredJob)
	sh.missingJournals = make(map[string]bool, len(roster))
	for _, name := range roster {
		sh.missingJournals[name] = true
	}
	sh.resubmitTimer = c.timers.add(c.now.Add(c.retention()+c.opts.ClockSkew), func() { c.endResubmissions(sh) })
	for _, a := range c.agentList {
		if a.session != nil {
			c.requestJournal(a.session, index)
		}
	}
	if len(roster) == 0 {
		return
	}
	sh.takeover = &takeover{}
	sh.takeover.newJobsTimer = c.timers.add(sh.startsFrom, func() { c.resumeNewJobs(sh) })
	end := c.now.Add(c.opts.TakeoverTimeout)
	if end.Before(sh.startsFrom) {
		end = sh.startsFrom
	}
	sh.takeover.timeout = c.timers.add(end, func() {
		c.counters.TakeoverTimeouts++
		c.endTakeover(sh)
	})
}

// staleStartsExpired reports whether new jobs need not wait for starts of an earlier
// owner: no takeover is in progress, or agents no longer accept those starts.
func (c *Core) staleStartsExpired(sh *shard) bool {
	return sh.takeover == nil || !c.now.Before(sh.startsFrom)
}

// resumeNewJobs resumes the held jobs that waited only for the starts of the
// earlier owner to expire.
func (c *Core) resumeNewJobs(sh *shard) {
	held := sh.takeover.held
	sh.takeover.held = nil
	for _, h := range held {
		if sh.isNew(h.job.submittedAt, c.opts.ClockSkew) && len(sh.recovered[h.job.key]) == 0 {
			c.resumeJob(sh, h)
		} else {
			sh.takeover.held = append(sh.takeover.held, h)
		}
	}
}

// resumeJob resolves a held job unless it has ended since.
func (c *Core) resumeJob(sh *shard, h heldJob) {
	if c.jobs[h.job.key] == h.job {
		c.held -= len(h.job.tasks)
		c.resolveJob(sh, h.job, h.submit)
	}
}

func (c *Core) requestJournal(s *session, index int) {
	s.out.journalRequests = append(s.out.journalRequests, message.ShardEpoch{Shard: index, Epoch: c.shards[index].epoch})
	c.post(s)
}

// requestJournals requests from a newly connected agent the journals of all shards
// that are being taken over, and those that were still missing when a takeover
// timed out.
func (c *Core) requestJournals(s *session) {
	for i := range c.shards {
		sh := &c.shards[i]
		if sh.takeover != nil || sh.missingJournals[s.agent.name] {
			c.requestJournal(s, i)
		}
	}
}

// journal handles one part of an agent's journal.
func (c *Core) journal(s *session, m *message.Journal) {
	current := c.currentShards(m.Shards)
	for i := range m.Entries {
		e := &m.Entries[i]
		if e.Shard >= 0 && e.Shard < len(current) && current[e.Shard] {
			c.applyJournalEntry(s, e)
		}
	}
	if m.More {
		return
	}
	s.pendingJournals--
	if s.pendingJournals <= 0 {
		s.early = nil
	}
	for i := range current {
		if current[i] {
			c.journalReceived(&c.shards[i], s.agent.name, time.UnixMilli(m.CompleteSince))
		}
	}
}

// currentShards reports for which of the shards a requested journal is still
// needed: this core owns the shard under the epoch of the request, and jobs of an
// earlier owner may still be submitted to it.
func (c *Core) currentShards(shards []message.ShardEpoch) (current [message.ShardsPerService]bool) {
	for _, se := range shards {
		if se.Shard >= 0 && se.Shard < len(c.shards) {
			sh := &c.shards[se.Shard]
			current[se.Shard] = sh.owned && !sh.noEarlierJobs && sh.epoch == se.Epoch
		}
	}
	return current
}

// journalReceived records that an agent's journal of a shard has arrived.
func (c *Core) journalReceived(sh *shard, name string, completeSince time.Time) {
	if !sh.missingJournals[name] {
		return
	}
	delete(sh.missingJournals, name)
	if completeSince.After(sh.completeSince) {
		sh.completeSince = completeSince
	}
	if len(sh.missingJournals) == 0 && sh.takeover != nil {
		c.endTakeover(sh)
	}
}

// endTakeover ends a takeover and resolves the held jobs from the journals.
func (c *Core) endTakeover(sh *shard) {
	held := sh.takeover.held
	c.timers.remove(sh.takeover.timeout)
	c.timers.remove(sh.takeover.newJobsTimer)
	sh.takeover = nil
	for _, h := range held {
		c.resumeJob(sh, h)
	}
}

// submitHeld handles a job that has to wait for a takeover, or that an earlier
// owner may have started.
func (c *Core) submitHeld(w Waiter, s *message.Submit, at time.Time) {
	sh := &c.shards[s.Shard]
	if sh.takeover != nil && c.held+len(s.Tasks) > maxHeldTasks {
		v := verdict.MayHaveRun
		if sh.isNew(at, c.opts.ClockSkew) && len(sh.recovered[s.Job]) == 0 {
			v = verdict.NotRun
		}
		c.refuse(w, refusal(v, verdict.ReasonQueueFull, "too many jobs wait for the takeover of their shard"))
		return
	}
	j := c.addJob(s, at)
	c.wait(w, j)
	if sh.takeover == nil {
		c.resolveJob(sh, j, s)
		return
	}
	j.held = true
	c.held += len(s.Tasks)
	sh.takeover.held = append(sh.takeover.held, heldJob{job: j, submit: s})
}

// resolveJob claims, refuses or admits a job that an earlier owner may have
// started, depending on the journals.
func (c *Core) resolveJob(sh *shard, j *job, s *message.Submit) {
	j.held = false
	covered := sh.covers(j.submittedAt, c.opts.ClockSkew)
	switch rj := sh.takeRecovered(j.key, j.fingerprint); {
	case rj != nil:
		c.claim(j, rj, covered)
	case len(sh.recovered[j.key]) > 0:
		c.refuseJob(j, c.mismatch(s))
	case !covered && !sh.isNew(j.submittedAt, c.opts.ClockSkew):
		c.refuseJob(j, journalMissing())
	default:
		c.admitAfterTakeover(j, s)
	}
}

func journalMissing() *message.JobAnswer {
	return refusal(verdict.MayHaveRun, verdict.ReasonJournalMissing, missingDetail)
}

const missingDetail = "an earlier owner may have started it, and not every agent could tell"

// admitAfterTakeover admits a job that no earlier owner has started.
func (c *Core) admitAfterTakeover(j *job, s *message.Submit) {
	if a := c.admit(s); a != nil {
		c.refuseJob(j, a)
		return
	}
	c.enqueueAll(j)
}

// claim sets the states of a job's tasks from the journals.
func (c *Core) claim(j *job, rj *recoveredJob, covered bool) {
	for i := range j.tasks {
		t := &j.tasks[i]
		rt := rj.tasks[i]
		if rt == nil {
			c.enqueueIfCovered(t, covered)
			continue
		}
		c.recoveredBytes -= rt.bytes
		rt.task, rt.covered = t, covered
		if rt.mayHaveRun() {
			j.started++
		}
		t.state, t.recovered = taskRunning, rt
		for _, st := range rt.running {
			st.class = t.queued.Class
			c.charge(st, j)
		}
		c.resolveTask(rt)
	}
}

// enqueueIfCovered queues a task that no journal lists as run if the journals
// hold every start of its job. Otherwise the task may have run and ends with
// MayHaveRun.
func (c *Core) enqueueIfCovered(t *task, covered bool) {
	if covered {
		c.enqueue(t)
		return
	}
	c.endTask(t, message.TaskResult{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonJournalMissing, Detail: missingDetail})
}
