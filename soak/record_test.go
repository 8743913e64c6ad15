package soak

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// record holds what endpoints and callers observed and which guarantees were
// violated. It is safe for concurrent use.
type record struct {
	mu        sync.Mutex
	startedAt time.Time
	// running is the number of current runs by task.
	running map[string]int
	// starts is the number of runs started by job.
	starts map[string]int
	// done tells by task whether one of its runs ended as done.
	done map[string]bool
	// failures is the number of failed runs by task.
	failures   map[string]int
	violations []string
	// notRun lists jobs that were submitted only once and refused as not run.
	notRun []string
	counts map[string]int
}

func newRecord() *record {
	return &record{
		startedAt: time.Now(), running: map[string]int{}, starts: map[string]int{}, done: map[string]bool{},
		failures: map[string]int{}, counts: map[string]int{},
	}
}

// addViolationLocked is addViolation with r.mu held.
func (r *record) addViolationLocked(format string, args ...any) {
	r.violations = append(r.violations, fmt.Sprintf("%.3f s: ", time.Since(r.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

// addViolation records a violation of a guarantee with its time.
func (r *record) addViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addViolationLocked(format, args...)
}

func (r *record) count(event string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[event]++
}

// runStarted records the start of a run that an endpoint reports, and checks
// that no other run of the task is in progress.
func (r *record) runStarted(task string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running[task]++
	r.starts[jobOf(task)]++
	r.counts["starts"]++
	if r.running[task] > 1 {
		r.addViolationLocked("%s had two runs at the same time", task)
	}
}

// runEnded records the end of a run that an endpoint reports.
func (r *record) runEnded(task, outcome string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running[task]--
	switch outcome {
	case "done":
		r.done[task] = true
	case "failed":
		r.failures[task]++
	}
}

// jobOf returns the job of a task named JOB.0.0.INDEX.
func jobOf(task string) string { return task[:strings.IndexByte(task, '.')] }

// jobCompleted checks an answer that reports a job as completed: all of its
// tasks must be done.
func (r *record) jobCompleted(job string, tasks int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts["completed"]++
	for i := range tasks {
		if !r.done[job+".0.0."+strconv.Itoa(i)] {
			r.addViolationLocked("%s was reported as completed, but task %d of %d was not done", job, i, tasks)
		}
	}
}

func (r *record) isTaskDone(task string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.done[task]
}

// jobFailed checks an answer that reports a job as failed: one of its tasks must
// have failed maxAttempts times.
func (r *record) jobFailed(job string, tasks, maxAttempts int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts["failed"]++
	for i := range tasks {
		if r.failures[job+".0.0."+strconv.Itoa(i)] >= maxAttempts {
			return
		}
	}
	r.addViolationLocked("%s was reported as failed, but none of its tasks had failed %d times", job, maxAttempts)
}

// jobRefused records an answer that reports a job as not run; finish checks it.
func (r *record) jobRefused(job string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts["refused"]++
	r.notRun = append(r.notRun, job)
}

// finish checks after the end of all processes that refused jobs had no starts
// and that no run is left, and returns all violations.
func (r *record) finish() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, job := range r.notRun {
		if n := r.starts[job]; n > 0 {
			r.addViolationLocked("%s was refused as not run, but had %d starts", job, n)
		}
	}
	for task, n := range r.running {
		if n > 0 {
			r.addViolationLocked("%s still has a run after all processes have ended", task)
		}
	}
	return r.violations
}
