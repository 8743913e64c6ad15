//go:build processes

package e2e

import (
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"marjoramlug.example/marjoramlug/api"
	"marjoramlug.example/marjoramlug/standin/endpoint"
	"marjoramlug.example/marjoramlug/verdict"
)

const (
	streamCallers  = 8
	tasksPerJob    = 6
	runMillis      = 150
	jobInterval    = 20 * time.Millisecond
	resubmitEvery  = 4
	streamJobLimit = 3000
)

// stream runs callers that each submit one job after the other until the stream
// is stopped, and checks every answer.
type stream struct {
	c        *cluster
	stop     atomic.Bool
	callers  sync.WaitGroup
	mu       sync.Mutex
	jobs     int
	failures []string
	// notRun lists the keys of tasks that were reported as not run.
	notRun   []string
	problems []string
}

// startStream starts streamCallers callers that submit through the given entries.
func (c *cluster) startStream(entries ...*process) *stream {
	s := &stream{c: c}
	for n := range streamCallers {
		s.callers.Go(func() { s.runCaller(n, entries) })
	}
	return s
}

func (s *stream) runCaller(n int, entries []*process) {
	for i := 0; !s.stop.Load() && i < streamJobLimit; i++ {
		client := s.c.client(fmt.Sprintf("caller-%d", n), rotate(entries, n+i)...)
		job, keys := newJob(fmt.Sprintf("c%d-j%d", n, i), tasksPerJob, runMillis)
		var resubmission sync.WaitGroup
		if i%resubmitEvery == 0 {
			other := s.c.client(fmt.Sprintf("caller-%d", n), rotate(entries, n+i+1)...)
			resubmission.Go(func() { s.submit(other, job, keys) })
		}
		s.submit(client, job, keys)
		resubmission.Wait()
		time.Sleep(jobInterval)
	}
}

// rotate returns the entries in order, starting with the n-th.
func rotate(entries []*process, n int) []*process {
	n %= len(entries)
	return append(append([]*process{}, entries[n:]...), entries[:n]...)
}

// newJob returns a job and the keys of its tasks, each of which runs for millis.
func newJob(id string, tasks, millis int) (api.Job, []string) {
	job := api.Job{Service: service, ID: id, SubmittedAt: time.Now()}
	var keys []string
	for i := range tasks {
		key := fmt.Sprintf("%s-t%d", id, i)
		keys = append(keys, key)
		job.Tasks = append(job.Tasks, api.TaskRequest{Path: fmt.Sprintf("/label?key=%s&run_millis=%d", key, millis)})
	}
	return job, keys
}

func (s *stream) submit(client *api.Client, job api.Job, keys []string) {
	resp, err := client.Submit(s.c.t.Context(), job)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.jobs++
	if err != nil {
		s.failures = append(s.failures, fmt.Sprintf("%s: %v %s", job.ID, err, taskOutcomes(resp)))
	}
	if resp == nil || len(resp.Tasks) == 0 {
		if err != nil && verdict.Of(err) == verdict.NotRun {
			s.notRun = append(s.notRun, keys...)
		}
		return
	}
	s.check(resp, keys)
}

// taskOutcomes returns the verdict, reason and detail of each task.
func taskOutcomes(resp *api.JobResponse) []string {
	if resp == nil {
		return nil
	}
	var outcomes []string
	for _, task := range resp.Tasks {
		outcomes = append(outcomes, task.Verdict.String()+" "+task.Reason.String()+" "+task.Detail)
	}
	return outcomes
}

// check records the problems of an answer. s.mu must be held.
func (s *stream) check(resp *api.JobResponse, keys []string) {
	if len(resp.Tasks) != len(keys) {
		s.problems = append(s.problems, "partial answer to "+resp.Job)
		return
	}
	for i, task := range resp.Tasks {
		var reply endpoint.TaskReply
		switch {
		case task.Verdict == verdict.NotRun:
			s.notRun = append(s.notRun, keys[i])
		case task.Verdict == verdict.Ran && task.Reason == verdict.ReasonNone:
			if json.Unmarshal(task.Bytes(), &reply) != nil || reply.Key != keys[i] {
				s.problems = append(s.problems, "answer of another task, or an invalid one, to "+keys[i])
			}
		case resp.State == api.StateComplete:
			s.problems = append(s.problems, "incomplete answer marked complete: "+keys[i])
		}
	}
}

// end stops the callers and checks the guarantees that hold under every fault:
// no task starts twice, no task that was reported as not run was started, and
// every answer is complete and belongs to its job.
func (s *stream) end(t *testing.T) {
	t.Helper()
	s.stop.Store(true)
	s.callers.Wait()
	starts := s.c.starts()
	duplicates := 0
	for key, n := range starts {
		if n > 1 {
			duplicates++
			t.Errorf("%s was started %d times", key, n)
		}
	}
	for _, key := range s.notRun {
		if starts[key] > 0 {
			t.Errorf("%s was reported as not run, but was started", key)
		}
	}
	for _, p := range s.problems {
		t.Error(p)
	}
	t.Logf("%d submissions, %d failed, %d tasks started, %d duplicate starts", s.jobs, len(s.failures), len(starts), duplicates)
	for _, f := range s.failures {
		t.Logf("  failed: %s", f)
	}
}

// endWithoutFailure is end for faults that must not make a submission fail: a
// caller that reaches a stopped entry submits to the next one.
func (s *stream) endWithoutFailure(t *testing.T) {
	t.Helper()
	s.end(t)
	if len(s.failures) > 0 {
		t.Errorf("%d submissions failed", len(s.failures))
	}
}

// awaitStarts waits until the endpoints have started more than n tasks and returns
// the time since begin.
func (c *cluster) awaitStarts(begin time.Time, n int) time.Duration {
	c.t.Helper()
	c.await("a start by the successor", func() bool { return len(c.starts()) > n })
	return time.Since(begin)
}
