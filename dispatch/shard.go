package dispatch

import (
	"time"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/verdict"
)

// shard is the state of one shard of the service.
type shard struct {
	owned bool
	epoch message.Epoch
	// noEarlierJobs is set when no job of an earlier owner can be submitted any
	// more, or when there never was another owner.
	noEarlierJobs bool
	// acquiredAt is when the shard was acquired. Jobs first submitted later can
	// have been submitted to this owner only.
	acquiredAt time.Time
	// startsFrom is when new jobs need not wait for the journals any longer.
	startsFrom time.Time
	jobs       []*job
	// takeover is nil when none is in progress.
	takeover *takeover
	// missingJournals names the agents of the roster whose journals have not
	// arrived.
	missingJournals map[string]bool
	// completeSince is the time since which no journal has evicted a start.
	completeSince time.Time
	// recovered holds the jobs of earlier owners found in the journals that have
	// not been submitted here yet.
	recovered     map[message.JobKey][]*recoveredJob
	resubmitTimer *timer
}

func (s *shard) add(j *job) {
	j.listIndex = len(s.jobs)
	s.jobs = append(s.jobs, j)
}

func (s *shard) remove(j *job) {
	last := len(s.jobs) - 1
	s.jobs[j.listIndex] = s.jobs[last]
	s.jobs[j.listIndex].listIndex = j.listIndex
	s.jobs[last] = nil
	s.jobs = s.jobs[:last]
}

// isNew reports whether a job submitted at the given time cannot have reached an
// earlier owner.
func (s *shard) isNew(at time.Time, skew time.Duration) bool {
	return s.noEarlierJobs || at.After(s.acquiredAt.Add(skew))
}

// covers reports whether the journals hold every start of a job submitted at
// the given time. Both times are truncated to milliseconds, so equal times do
// not show which came first and do not count as covered.
func (s *shard) covers(at time.Time, skew time.Duration) bool {
	return len(s.missingJournals) == 0 && s.completeSince.Before(at.Add(-skew))
}

// acquire makes this core the owner of a shard.
func (c *Core) acquire(ev ShardAcquired) {
	if ev.Shard < 0 || ev.Shard >= message.ShardsPerService {
		return
	}
	sh := &c.shards[ev.Shard]
	if sh.owned && sh.epoch == ev.Epoch {
		return
	}
	if sh.owned {
		c.release(ev.Shard)
	}
	*sh = shard{owned: true, epoch: ev.Epoch, noEarlierJobs: ev.First, acquiredAt: c.now, startsFrom: ev.StartsFrom}
	c.queueBlocked = false
	if !ev.First {
		c.takeOver(ev.Shard, ev.Roster)
	}
}

// endResubmissions ends the period in which a job of an earlier owner may still
// be submitted again, and discards the jobs recovered from journals.
func (c *Core) endResubmissions(sh *shard) {
	if sh.takeover != nil {
		c.endTakeover(sh)
	}
	c.dropRecovered(sh)
	sh.noEarlierJobs, sh.missingJournals = true, nil
}

// release releases a shard and discards its jobs. The relays submit them again
// to the next owner.
func (c *Core) release(index int) {
	if index < 0 || index >= message.ShardsPerService || !c.shards[index].owned {
		return
	}
	sh := &c.shards[index]
	c.counters.Released++
	for len(sh.jobs) > 0 {
		c.handOff(sh.jobs[len(sh.jobs)-1])
	}
	c.dropShardStarts(index)
	c.records.removeShard(index)
	c.timers.remove(sh.resubmitTimer)
	if sh.takeover != nil {
		c.timers.remove(sh.takeover.timeout)
		c.timers.remove(sh.takeover.newJobsTimer)
	}
	c.dropRecovered(sh)
	*sh = shard{}
}

// handOff removes a job and refuses its waiters with ReasonNotOwner, after which
// the relays submit it to the next owner.
func (c *Core) handOff(j *job) {
	v := verdict.NotRun
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state != taskQueued || t.mayHaveRun {
			v = verdict.MayHaveRun
		}
		if t.state == taskQueued {
			c.queue.Remove(&t.queued)
			c.unqueue(t)
		}
	}
	c.refuseJob(j, refusal(v, verdict.ReasonNotOwner, "the job's shard has moved to another entry"))
}

// refuseJob answers all waiters of a job and removes it without a record.
func (c *Core) refuseJob(j *job, a *message.JobAnswer) {
	for _, w := range j.waiters {
		delete(c.waiters, w)
		c.refuse(w, a)
	}
	c.notifyJobEnded(j, JobOther)
	c.removeJob(j)
}

// dropShardStarts discards the starts of a shard. The agents report their results
// to the next owner.
func (c *Core) dropShardStarts(index int) {
	for _, a := range c.agentList {
		for i := len(a.starts) - 1; i >= 0; i-- {
			if st := a.starts[i]; st.shard == index {
				c.dropStart(st)
			}
		}
	}
}
