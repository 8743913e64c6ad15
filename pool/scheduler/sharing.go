package scheduler

import (
	"fmt"
	"time"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/pool/fairness"
)

// headStartShare is the part of the time that a job can wait by which a wide job goes ahead of
// narrow ones of its class that came before it: its last task starts later than theirs.
const headStartShare = 0.5

// limitNoteInterval is the shortest time between two log lines about the limit of a queue,
// which may change often while the offered load is close to it.
const limitNoteInterval = time.Second

// The classes fit in a band of the demands.
const _ = uint(demandBandWidth - fairness.Classes)

// sharing divides the entry's capacity between priorities, queues and callers, as
// Options.SharingFloor asks for.
type sharing struct {
	shares *fairness.Shares
	// backlogAt is the time at which queue.backlog was last counted for all queues.
	backlogAt time.Duration
	// rate is the start rate at rateAt.
	rate   float64
	rateAt time.Duration
}

// share is a job's part in the sharing.
type share struct {
	caller *fairness.Caller
	// queuedAt is the time that orders jobs of the same class.
	queuedAt time.Duration
	// place and work are the job's entry in queue.backlog as of countedAt.
	place     fairness.Place
	work      float64
	countedAt time.Duration
}

func newSharing(floor float64) *sharing {
	if floor <= 0 {
		return nil
	}
	return &sharing{shares: fairness.New(floor)}
}

// QueueLoads returns the loads of the queues for the other entries; nil without
// Options.SharingFloor.
func (c *Core) QueueLoads() map[string]message.QueueLoad {
	if c.sharing == nil {
		return nil
	}
	return c.sharing.shares.Loads(c.now)
}

// priority returns the priority of a job's queue.
func (j *Job) priority() int {
	if j.Urgent {
		return 0
	}
	return max(j.Priority, 1)
}

// shareSubmitted counts a submitted job. Confined jobs are not counted, as they use other
// endpoints.
func (c *Core) shareSubmitted(j *job) {
	j.share.queuedAt = j.received
	s := c.sharing
	if s == nil {
		return
	}
	work := j.work(len(j.tasks))
	if j.isConfined() {
		work = 0
	}
	j.share.caller = s.shares.Offer(c.now, j.Queue, j.priority(), j.Caller, work)
	j.queue.share = j.share.caller.QueueOf()
	ahead := duration(work / max(s.shares.Capacity(), minStartRateMilliCPU))
	canWait := max(j.objective()-j.expectedRunTime(), 0)
	j.share.queuedAt -= min(ahead, time.Duration(headStartShare*float64(canWait)))
}

// shareStarted counts started tasks; a negative number takes back starts that an agent has
// refused.
func (c *Core) shareStarted(j *job, tasks int) {
	if c.sharing != nil && !j.isConfined() {
		c.sharing.shares.Serve(c.now, j.share.caller, j.work(tasks))
	}
}

// shareEnded counts a refused job, removes an answered one from the backlog, and reports whether
// the job was refused beyond its share.
func (c *Core) shareEnded(j *job, outcome Outcome) bool {
	s := c.sharing
	if s == nil {
		return false
	}
	beyond := outcome == JobRefused && !s.class(j).IsWithin()
	if beyond {
		c.counters.BeyondShare++
	}
	if outcome == JobRefused {
		s.shares.Refuse(c.now, j.work(j.waiting))
	}
	c.removeFromBacklog(j)
	return beyond
}

// removeFromBacklog removes a job that no longer waits here from the backlog of this step.
func (c *Core) removeFromBacklog(j *job) {
	if s := c.sharing; s != nil && j.share.countedAt == s.backlogAt {
		j.queue.backlog.Remove(j.share.place, j.share.work)
		j.share.countedAt = 0
	}
}

// noteLimitedQueues logs queues that become limited, and those that no longer are.
func (c *Core) noteLimitedQueues() {
	if c.sharing == nil {
		return
	}
	c.sharing.shares.Update(c.now)
	for _, q := range c.queueList {
		if q.share == nil || q.share.Limited() == q.limitNoted || c.now-q.limitNotedAt < limitNoteInterval {
			continue
		}
		q.limitNoted, q.limitNotedAt = q.share.Limited(), c.now
		what := "queue no longer limited"
		if q.limitNoted {
			what = "queue limited"
		}
		allocated, offered := c.sharing.shares.Allocation(q.share)
		c.emit(Note{What: what, Subject: q.name, Detail: fmt.Sprintf("%.0f of %.0f cores offered", allocated/1000, offered/1000)})
	}
}

func (s *sharing) class(j *job) fairness.Class {
	if j.runs > 0 {
		return fairness.StartedClass(j.share.caller)
	}
	return s.shares.Class(j.share.caller)
}

// sharedRank orders jobs by band and, within a band, by class: those within the shares of
// their queue and caller by priority, then the others. Urgent jobs have no band of their own,
// as their priority is part of the class.
func (c *Core) sharedRank(j *job) float64 {
	c.sharing.shares.Update(c.now)
	return float64(max(c.band(j), bandInTime))*demandBandWidth + float64(c.sharing.class(j))
}

// sharedDemandRank is like sharedRank, but puts urgent jobs within their share where entries
// without sharing put urgent jobs; see demandRank.
func (c *Core) sharedDemandRank(j *job) float64 {
	rank := c.sharedRank(j)
	if j.priority() == 0 && c.band(j) <= bandInTime && c.sharing.class(j).IsWithin() {
		return rank - bandInTime*demandBandWidth
	}
	return rank
}

// backlogPlace returns a job's place among those of its queue: by band, then jobs of callers within
// their share, then by time.
func (c *Core) backlogPlace(j *job) fairness.Place {
	rank := float64(3 * max(c.band(j), bandInTime))
	if j.runs == 0 {
		rank++
		if !c.sharing.shares.IsCallerWithin(j.share.caller) {
			rank++
		}
	}
	return fairness.Place{Rank: rank, QueuedAt: j.share.queuedAt}
}

// sharedWorkBefore is workBefore for jobs that are not confined. Of other queues it counts
// those that go first and are served completely; of limited ones only the allocation goes
// before, which sharedLoadBefore counts. A late job has all others before it.
func (c *Core) sharedWorkBefore(j *job) float64 {
	s := c.sharing
	c.countBacklog()
	place := c.backlogPlace(j)
	work := j.queue.backlog.Before(place)
	if j.share.countedAt == s.backlogAt && j.share.place.Compare(place) <= 0 {
		work -= j.share.work
	}
	for _, q := range c.queueList {
		if q != j.queue && q.share != nil && (j.late || s.shares.GoesBefore(q.share, j.share.caller, j.runs > 0)) {
			work += q.backlog.Total()
		}
	}
	return max(work, 0)
}

// countBacklog counts the waiting work, once for all reviews of a step: counted for each job,
// it would take quadratic time.
func (c *Core) countBacklog() {
	s := c.sharing
	if s.backlogAt == c.now {
		return
	}
	s.backlogAt = c.now
	s.shares.Update(c.now)
	for _, q := range c.queueList {
		q.backlog.Reset()
	}
	for _, j := range c.jobOrder {
		if j.answered || j.waiting == 0 || j.isConfined() {
			continue
		}
		j.share.place, j.share.work, j.share.countedAt = c.backlogPlace(j), j.work(j.waiting), c.now
		j.queue.backlog.Add(j.share.place, j.share.work)
	}
	for _, q := range c.queueList {
		q.backlog.Build()
	}
}

// sharedLoadBefore is loadBefore by the allocations of the other queues and callers.
func (c *Core) sharedLoadBefore(j *job) float64 {
	if j.late {
		return c.sharing.shares.Offered()
	}
	c.sharing.shares.Update(c.now)
	return c.sharing.shares.LoadBefore(j.share.caller, j.runs > 0)
}

// sharedStartRate is startRate, computed once for each time.
func (c *Core) sharedStartRate() float64 {
	s := c.sharing
	if s.rateAt != c.now {
		s.rate, s.rateAt = c.measureStartRate(), c.now
	}
	return s.rate
}

// sharedRetryAfter is retryAfter, spread over the time in which capacity becomes free.
func (c *Core) sharedRetryAfter(j *job) time.Duration {
	c.countBacklog()
	waiting := 0.0
	for _, q := range c.queueList {
		waiting += q.backlog.Total()
	}
	return c.sharing.shares.RetryAfter(j.ID, waiting, c.startRate())
}

// shareForwarded moves the offered work of a job to the entry that it was forwarded to, which
// counts it as well; a negative number takes it back.
func (c *Core) shareForwarded(j *job, tasks int) {
	if c.sharing != nil && !j.isConfined() {
		c.sharing.shares.Withdraw(c.now, j.share.caller, j.work(tasks))
	}
}
