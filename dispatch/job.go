package dispatch

import (
	"time"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/verdict"
)

// job is a job that has not ended.
type job struct {
	key         message.JobKey
	shard       int
	listIndex   int // index in the shard's list of jobs
	fingerprint uint64
	single      bool
	submittedAt time.Time
	tasks       []task
	payload     []message.Task
	// results is allocated when the first task ends. The answer shares it.
	results []message.TaskResult
	// remaining counts the tasks that have not ended, started those that have
	// been started at least once.
	remaining, started int
	// held is true while the tasks must not start because a takeover is in
	// progress.
	held     bool
	waiters  []Waiter
	deadline *timer
	caller   *usage
	team     *usage
}

type taskState uint8

const (
	taskCreated taskState = iota
	taskQueued
	taskRunning
	taskEnded
)

// task is one task of a job that has not ended.
type task struct {
	job   *job
	index int
	state taskState
	start *start
	// recovered replaces start while starts of earlier owners may still run.
	recovered *recoveredTask
	// mayHaveRun is set when an earlier start of an idempotent request may have
	// run, so that the task's verdict can no longer be NotRun.
	mayHaveRun bool
	// everStarted is set when the core has decided to start the task.
	everStarted bool
	retries     int
	// notRunCount counts the starts that were not run, except for lack of a
	// lease.
	notRunCount int
	queued      QueuedTask
	group       *needGroup
	groupPos    int
}

// addJob adds a job. Its tasks are not queued yet.
func (c *Core) addJob(s *message.Submit, at time.Time) *job {
	c.jobSeq++
	j := &job{
		key:         s.Job,
		shard:       s.Shard,
		fingerprint: s.Fingerprint,
		single:      s.Single,
		submittedAt: at,
		tasks:       make([]task, len(s.Tasks)),
		payload:     s.Tasks,
		remaining:   len(s.Tasks),
		caller:      c.usage.caller(s.Job.Team, s.Job.Caller),
		team:        c.usage.team(s.Job.Team),
	}
	for i := range j.tasks {
		c.initTask(j, i, s.Deadline)
	}
	c.jobs[j.key] = j
	c.shards[j.shard].add(j)
	c.counters.Jobs++
	if s.Deadline != 0 {
		j.deadline = c.timers.add(time.UnixMilli(s.Deadline), func() { c.expire(j) })
	}
	return j
}

// initTask initializes a task and the fields that the policies read.
func (c *Core) initTask(j *job, index int, deadline int64) {
	t, payload := &j.tasks[index], &j.payload[index]
	t.job, t.index = j, index
	t.queued = QueuedTask{
		Team:         j.key.Team,
		Caller:       j.key.Caller,
		Class:        payload.Class,
		Urgent:       payload.Urgent,
		Need:         needOf(payload),
		Bytes:        payloadSize(payload),
		JobRemaining: &j.remaining,
		JobSeq:       c.jobSeq,
		Declared:     time.Duration(payload.DeclaredMillis) * time.Millisecond,
		Submitted:    c.now,
		Handle:       t,
	}
	if deadline != 0 {
		t.queued.Deadline = time.UnixMilli(deadline)
	}
}

func payloadSize(t *message.Task) int {
	size := len(t.Method) + len(t.Path) + len(t.Body)
	for _, h := range t.Header {
		size += len(h.Name) + len(h.Value)
	}
	return size
}

func (c *Core) enqueueAll(j *job) {
	for i := range j.tasks {
		if j.tasks[i].state == taskCreated {
			c.enqueue(&j.tasks[i])
		}
	}
}

func (c *Core) enqueue(t *task) {
	t.state = taskQueued
	c.queuedBytes += int64(t.queued.Bytes)
	c.queue.Push(c.now, &t.queued)
	c.joinNeed(t)
	c.queueBlocked = false
}

// requeue puts a task back at the head of its caller's queue.
func (c *Core) requeue(t *task) {
	t.state = taskQueued
	c.queuedBytes += int64(t.queued.Bytes)
	c.queue.Requeue(c.now, &t.queued)
	c.joinNeed(t)
	c.queueBlocked = false
}

// unqueue updates the queue size and need groups after a task has been removed
// from the queue.
func (c *Core) unqueue(t *task) {
	c.queuedBytes -= int64(t.queued.Bytes)
	c.leaveNeed(t)
}

// endTask records a task's result, and ends the job with its last task.
func (c *Core) endTask(t *task, r message.TaskResult) {
	if t.mayHaveRun && r.Verdict == verdict.NotRun {
		r.Verdict = verdict.MayHaveRun
	}
	t.end(r)
	j := t.job
	c.notifyProgress(t)
	if j.remaining == 0 {
		c.endJob(j, verdict.ReasonNone)
	}
}

// end marks a task as ended.
func (t *task) end(r message.TaskResult) {
	j := t.job
	if j.results == nil {
		j.results = make([]message.TaskResult, len(j.tasks))
	}
	t.state = taskEnded
	j.results[t.index] = r
	j.remaining--
}

// endJob answers a job's waiters and replaces the job by a record. reason is why
// the job ended early, or verdict.ReasonNone.
func (c *Core) endJob(j *job, reason verdict.Reason) {
	a := j.answer(reason)
	if a.Failed {
		c.counters.Failed++
	} else {
		c.counters.Completed++
	}
	for _, w := range j.waiters {
		delete(c.waiters, w)
		c.answer(w, a)
	}
	c.notifyJobEnded(j, jobEndOf(a, reason))
	c.removeJob(j)
	c.addRecord(j, a)
}

// addRecord keeps a record of an ended job. Its retention includes the clock
// skew, so that the record outlives every submission time that still counts as
// recent.
func (c *Core) addRecord(j *job, a *message.JobAnswer) {
	c.counters.AnswersEvicted += c.records.add(&record{
		key:         j.key,
		shard:       j.shard,
		fingerprint: j.fingerprint,
		tasks:       len(j.tasks),
		started:     j.started,
		expires:     c.now.Add(c.retention() + c.opts.ClockSkew),
		verdict:     a.Verdict,
		answer:      a,
		bytes:       answerSize(a),
	})
}

// removeJob removes a job and all references to it.
func (c *Core) removeJob(j *job) {
	if j.held {
		c.held -= len(j.tasks)
	}
	c.timers.remove(j.deadline)
	delete(c.jobs, j.key)
	c.shards[j.shard].remove(j)
	c.usage.unref(j.caller)
	c.usage.unref(j.team)
}

// answer builds a job's answer from its tasks' results.
func (j *job) answer(reason verdict.Reason) *message.JobAnswer {
	a := &message.JobAnswer{Verdict: verdict.NotRun, Tasks: j.results}
	for i := range j.results {
		r := &j.results[i]
		a.Verdict = verdict.Worse(a.Verdict, r.Verdict)
		if !r.Complete() {
			a.Failed = true
			a.Reason = firstReason(a.Reason, r.Reason)
		}
	}
	if a.Failed && len(j.tasks) > 1 {
		a.Reason = verdict.ReasonTaskFailed
	}
	if reason != verdict.ReasonNone {
		a.Reason = reason
	}
	return a
}

func firstReason(a, b verdict.Reason) verdict.Reason {
	if a != verdict.ReasonNone {
		return a
	}
	return b
}

func (j *job) status() message.Status {
	return message.Status{
		Known:   true,
		Tasks:   len(j.tasks),
		Started: j.started,
		Done:    len(j.tasks) - j.remaining,
	}
}
