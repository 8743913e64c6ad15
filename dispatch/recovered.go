package dispatch

import (
	"slices"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/verdict"
)

// recoveredJob is the state, recovered from the agents' journals, of a job that
// has not been submitted to this owner yet. If a job ID was reused after the
// record of the first job had expired, there is one for each fingerprint.
type recoveredJob struct {
	fingerprint uint64
	tasks       map[int]*recoveredTask
}

// recoveredTask collects the starts of one task by earlier owners. A retried
// request may have had several.
type recoveredTask struct {
	running []*start
	// result is the best outcome so far; its verdict is NotRun as long as no
	// start is known to have run.
	result message.TaskResult
	bytes  int64
	// task is set once a job has claimed the outcome. covered reports whether the
	// journals hold every start of it.
	task    *task
	covered bool
}

// mayHaveRun reports whether some start may have run.
func (rt *recoveredTask) mayHaveRun() bool {
	return len(rt.running) > 0 || rt.result.Verdict != verdict.NotRun
}

// merge keeps one of two outcomes: a complete answer is preferred, then any
// outcome by which the task may have run.
func (rt *recoveredTask) merge(r message.TaskResult) {
	if rt.result.Complete() {
		return
	}
	if r.Complete() || rt.result.Verdict == verdict.NotRun {
		rt.result = r
	}
}

// applyJournalEntry applies one entry of an agent's journal.
func (c *Core) applyJournalEntry(s *session, e *message.JournalEntry) {
	if st := c.starts[e.ID]; st != nil {
		c.updateStart(s, st, e)
		return
	}
	if c.jobs[e.Job] != nil && !c.jobs[e.Job].held {
		return
	}
	if c.records.byKey[e.Job] != nil {
		return
	}
	rt := c.recoveredTask(e)
	early, ended := s.early[e.ID]
	switch {
	case e.State == message.StartEnded:
		c.mergeOutcome(rt, e.Result)
	case ended:
		c.mergeOutcome(rt, early)
	default:
		c.reattach(s, rt, e)
	}
}

// updateStart applies a journal entry to a start that the core already tracks.
func (c *Core) updateStart(s *session, st *start, e *message.JournalEntry) {
	if st.agent != s.agent {
		return
	}
	st.session = s.id
	if e.State == message.StartEnded {
		c.dropStart(st)
		c.applyOutcome(st, e.Result)
	}
}

// findRecovered returns the index in recovered[key] of the job with the
// fingerprint, or -1.
func (s *shard) findRecovered(key message.JobKey, fingerprint uint64) int {
	return slices.IndexFunc(s.recovered[key], func(rj *recoveredJob) bool { return rj.fingerprint == fingerprint })
}

// takeRecovered removes and returns the recovered job with the fingerprint, or
// nil.
func (s *shard) takeRecovered(key message.JobKey, fingerprint uint64) *recoveredJob {
	i := s.findRecovered(key, fingerprint)
	if i < 0 {
		return nil
	}
	rj := s.recovered[key][i]
	if len(s.recovered[key]) == 1 {
		delete(s.recovered, key)
	} else {
		s.recovered[key] = slices.Delete(s.recovered[key], i, i+1)
	}
	return rj
}

// recoveredTask returns the recovered state of an entry's task and creates it if
// there is none.
func (c *Core) recoveredTask(e *message.JournalEntry) *recoveredTask {
	sh := &c.shards[e.Shard]
	i := sh.findRecovered(e.Job, e.Fingerprint)
	if i < 0 {
		i = len(sh.recovered[e.Job])
		sh.recovered[e.Job] = append(sh.recovered[e.Job], &recoveredJob{fingerprint: e.Fingerprint, tasks: make(map[int]*recoveredTask)})
	}
	rj := sh.recovered[e.Job][i]
	rt := rj.tasks[e.Index]
	if rt == nil {
		rt = &recoveredTask{result: message.TaskResult{Verdict: verdict.NotRun}}
		rj.tasks[e.Index] = rt
	}
	return rt
}

// mergeOutcome merges an ended start's outcome. The body of a result is dropped
// if the results that no job has claimed would exceed Options.AnswerBytes.
func (c *Core) mergeOutcome(rt *recoveredTask, r message.TaskResult) {
	if r.Verdict == verdict.Unknown {
		r.Verdict = verdict.MayHaveRun
	}
	if c.recoveredBytes+resultSize(&r) > c.opts.AnswerBytes {
		r = message.TaskResult{Verdict: r.Verdict, Reason: evictedReason(r), Status: r.Status, Endpoint: r.Endpoint}
	}
	c.recoveredBytes -= rt.bytes
	rt.merge(r)
	rt.bytes = resultSize(&rt.result)
	c.recoveredBytes += rt.bytes
}

func evictedReason(r message.TaskResult) verdict.Reason {
	if r.Complete() {
		return verdict.ReasonAnswerEvicted
	}
	return r.Reason
}

// reattach tracks a running start of an earlier owner until its result arrives.
func (c *Core) reattach(s *session, rt *recoveredTask, e *message.JournalEntry) {
	st := &start{
		id:        e.ID,
		shard:     e.Shard,
		session:   s.id,
		endpoint:  e.Endpoint,
		recovered: rt,
	}
	rt.running = append(rt.running, st)
	c.counters.Reattached++
	c.addStart(st, s.agent, nil)
}

// applyRecoveredOutcome applies the outcome of a reattached start that was just
// dropped.
func (c *Core) applyRecoveredOutcome(st *start, r message.TaskResult) {
	rt := st.recovered
	rt.running = slices.DeleteFunc(rt.running, func(other *start) bool { return other == st })
	if rt.task == nil {
		c.mergeOutcome(rt, r)
		return
	}
	rt.merge(r)
	c.resolveTask(rt)
}

// resolveTask ends a claimed task once none of its starts is running. A task that
// was not run is queued if the journals hold all its starts.
func (c *Core) resolveTask(rt *recoveredTask) {
	if len(rt.running) > 0 {
		return
	}
	t := rt.task
	rt.task, t.recovered = nil, nil
	if !rt.mayHaveRun() {
		c.enqueueIfCovered(t, rt.covered)
		return
	}
	c.endTask(t, rt.result)
}

// dropRecovered discards the recovered jobs that no job has claimed.
func (c *Core) dropRecovered(sh *shard) {
	for _, jobs := range sh.recovered {
		for _, rj := range jobs {
			c.dropRecoveredJob(rj)
		}
	}
	clear(sh.recovered)
}

func (c *Core) dropRecoveredJob(rj *recoveredJob) {
	for _, rt := range rj.tasks {
		c.recoveredBytes -= rt.bytes
		for _, st := range rt.running {
			st.recovered = nil
		}
	}
}
