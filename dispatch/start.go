package dispatch

import (
	"time"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/verdict"
)

// maxNotRun is the number of NotRun results after which a task ends with that
// verdict. Without it a task that every agent refuses would be requeued forever.
const maxNotRun = 100

// start is a start message that an agent may have accepted and whose result has
// not arrived.
type start struct {
	id        message.StartID
	shard     int
	agent     *agent
	listIndex int // index in the agent's list of starts
	session   Session
	endpoint  string
	class     string
	// at is when the start was decided. It is zero for a start of an earlier
	// owner.
	at     time.Time
	caller *usage
	team   *usage
	// task is nil when the job has ended, and for a start of an earlier owner.
	task *task
	// recovered is set for a start of an earlier owner, until it is cancelled or
	// its recovered job is discarded.
	recovered *recoveredTask
}

// startTasks starts queued tasks as long as credits, limits and the lease
// allow it.
func (c *Core) startTasks() {
	for !c.queueBlocked && !c.startsSuspended && c.now.Before(c.lease) && c.placement.Free() > 0 && c.queue.Len() > 0 {
		if !c.startNext() {
			c.queueBlocked = true
		}
	}
}

func (c *Core) startNext() bool {
	q := c.next()
	if q == nil {
		return false
	}
	credit, ok := c.placement.Pick(c.now, q)
	s := c.sessions[credit.Session]
	if !ok || s == nil {
		c.queue.Requeue(c.now, q)
		return ok
	}
	t := q.Handle.(*task)
	c.unqueue(t)
	c.start(t, s, credit)
	return true
}

func (c *Core) canRun(q *QueuedTask) bool {
	j := q.Handle.(*task).job
	return !j.caller.atLimit() && !j.team.atLimit() && c.placement.CanRun(c.now, q.Need)
}

// start uses a credit to start a task that was just removed from the queue.
func (c *Core) start(t *task, s *session, credit Credit) {
	c.startSeq++
	st := &start{
		id:       message.StartID{Owner: c.owner, Seq: c.startSeq},
		shard:    t.job.shard,
		session:  s.id,
		endpoint: credit.Endpoint,
		class:    t.queued.Class,
		at:       c.now,
		task:     t,
	}
	if !t.everStarted {
		t.everStarted = true
		t.job.started++
	}
	t.state = taskRunning
	t.start = st
	c.addStart(st, s.agent, t.job)
	c.counters.Starts++
	s.removeFree(credit.ID)
	if c.shared() {
		s.reportedQueue = c.queue.Len()
	}
	c.send(s, c.startMessage(st, s, credit.ID))
}

// startMessage returns the message that starts a task. It also reports this
// owner's queue to the agent.
func (c *Core) startMessage(st *start, s *session, credit message.CreditID) *message.Start {
	t := st.task
	return &message.Start{
		Service:     c.opts.Service,
		Shard:       st.shard,
		Epoch:       c.shards[st.shard].epoch,
		Job:         t.job.key,
		Index:       t.index,
		ID:          st.id,
		Credit:      credit,
		Endpoint:    st.endpoint,
		Sequence:    s.sequence,
		Fingerprint: t.job.fingerprint,
		Task:        t.job.payload[t.index],
		Queued:      s.reportedQueue,
		Urgent:      c.queue.Urgent(),
		Callers:     c.waitingCallers(),
	}
}

// addStart adds a start at an agent. j is nil when no job has claimed it.
func (c *Core) addStart(st *start, a *agent, j *job) {
	st.agent = a
	c.starts[st.id] = st
	a.add(st)
	if j != nil {
		c.charge(st, j)
	}
}

// charge counts a start against its caller's and team's limits.
func (c *Core) charge(st *start, j *job) {
	st.caller = c.usage.addRunning(j.caller)
	st.team = c.usage.addRunning(j.team)
}

// dropStart removes a start whose result has arrived or is no longer needed.
func (c *Core) dropStart(st *start) {
	delete(c.starts, st.id)
	st.agent.remove(st)
	c.usage.removeRunning(st.caller)
	c.usage.removeRunning(st.team)
	c.notifyRunEnded(st.caller)
	if st.task != nil {
		st.task.start = nil
	}
	c.queueBlocked = false
}

// detach detaches a running start from its job, which has ended. The start still
// occupies a slot and counts against the limits until its result arrives.
func (st *start) detach() {
	st.task.start = nil
	st.task = nil
}

// result handles the result of a start.
func (c *Core) result(s *session, m *message.Result) {
	st := c.starts[m.ID]
	if st == nil || st.agent != s.agent {
		c.unexpected(s, m)
		return
	}
	c.observe(st, &m.Result)
	c.dropStart(st)
	c.applyOutcome(st, m.Result)
}

// applyOutcome applies the outcome of a start that was just dropped.
func (c *Core) applyOutcome(st *start, r message.TaskResult) {
	switch {
	case st.recovered != nil:
		c.applyRecoveredOutcome(st, r)
	case st.task == nil:
		c.counters.LateResults++
		c.counters.Wasted.add(message.KindResult)
	case r.Verdict == verdict.NotRun:
		c.counters.Wasted.add(message.KindStart)
		c.counters.Wasted.add(message.KindResult)
		c.notRun(st.task, r)
	default:
		c.counters.Results++
		c.startEnded(st, r)
	}
}

// unexpected counts a result for which no start is pending.
func (c *Core) unexpected(s *session, m *message.Result) {
	c.counters.Wasted.add(message.KindResult)
	if m.ID.Owner == c.owner && m.ID.Seq <= c.startSeq {
		c.counters.DuplicateResults++
		return
	}
	c.counters.StaleResults++
	s.keepEarlyResult(m)
}

// notRun puts a task that was not run back into the queue, unless another start
// would be refused too.
func (c *Core) notRun(t *task, r message.TaskResult) {
	if r.Reason == verdict.ReasonNoLease {
		c.startsSuspended = true
	} else {
		t.notRunCount++
	}
	if t.notRunCount >= maxNotRun || isPermanent(r.Reason) {
		c.endTask(t, r)
		return
	}
	c.counters.Requeues++
	c.requeue(t)
}

// isPermanent reports whether another start of the task would be refused for
// the same reason.
func isPermanent(reason verdict.Reason) bool {
	switch reason {
	case verdict.ReasonInvalid, verdict.ReasonTooLarge, verdict.ReasonForbidden:
		return true
	}
	return false
}

// startEnded ends a task after its start has ended, or queues it again if a retry
// is allowed.
func (c *Core) startEnded(st *start, r message.TaskResult) {
	t := st.task
	if r.Verdict == verdict.Unknown {
		r.Verdict = verdict.MayHaveRun
	}
	if r.Endpoint == "" {
		r.Endpoint = st.endpoint
	}
	r.QueueMicros = st.at.Sub(t.queued.Submitted).Microseconds()
	if r.Complete() {
		c.budget.success()
	} else if c.mayRetry(t, r) {
		c.retry(t)
		return
	}
	c.endTask(t, r)
}

// serverError is the lowest HTTP status that counts as a failure of the endpoint.
const serverError = 500

// observe reports a result to the placement, unless the endpoint did not cause it.
// A reattached start that waits to be claimed by a job is skipped, because the class
// of its task is unknown.
func (c *Core) observe(st *start, r *message.TaskResult) {
	if st.recovered != nil && st.recovered.task == nil {
		return
	}
	failed := r.Status >= serverError
	switch r.Reason {
	case verdict.ReasonNone:
	case verdict.ReasonConnect, verdict.ReasonBadResponse, verdict.ReasonTimeout:
		failed = true
	default:
		return
	}
	key := EndpointKey{Agent: st.agent.name, Endpoint: st.endpoint}
	c.placement.Observe(c.now, key, st.class, time.Duration(r.RunMicros)*time.Microsecond, failed)
}
