package soak

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// record is what endpoints and callers have seen, and which promises were
// broken. It is safe for concurrent use.
type record struct {
	mu         sync.Mutex
	startedAt  time.Time
	running    map[string]int
	starts     map[string]int
	done       map[string]bool
	failures   map[string]int
	violations []string
	// notRun lists jobs that were refused as not run and submitted only once.
	notRun []string
	counts map[string]int
}

func newRecord() *record {
	return &record{
		startedAt: time.Now(), running: map[string]int{}, starts: map[string]int{}, done: map[string]bool{},
		failures: map[string]int{}, counts: map[string]int{},
	}
}

// addViolation notes a broken promise; r.mu is held.
func (r *record) addViolation(format string, args ...any) {
	r.violations = append(r.violations, fmt.Sprintf("%.3f s: ", time.Since(r.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

// violation notes a broken promise that is not about tasks.
func (r *record) violation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addViolation(format, args...)
}

func (r *record) count(event string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[event]++
}

// taskStarted and taskEnded come from endpoints.
func (r *record) taskStarted(task string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running[task]++
	r.starts[jobOf(task)]++
	r.counts["starts"]++
	if r.running[task] > 1 {
		r.addViolation("%s ran twice at the same time", task)
	}
}

func (r *record) taskEnded(task, outcome string) {
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

// completed checks an answer that says that a job is complete.
func (r *record) jobCompleted(job string, tasks int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts["completed"]++
	for i := range tasks {
		if !r.done[job+".0.0."+strconv.Itoa(i)] {
			r.addViolation("%s was answered as completed, but task %d of %d was not done", job, i, tasks)
		}
	}
}

func (r *record) isTaskDone(task string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.done[task]
}

// gaveUp checks an answer that says that a task has failed as often as it may.
func (r *record) jobFailed(job string, tasks, maxAttempts int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts["failed"]++
	for i := range tasks {
		if r.failures[job+".0.0."+strconv.Itoa(i)] >= maxAttempts {
			return
		}
	}
	r.addViolation("%s was answered as failed, but no task of it had failed %d times", job, maxAttempts)
}

// refused notes an answer that says that a job has not run.
func (r *record) jobRefused(job string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts["refused"]++
	r.notRun = append(r.notRun, job)
}

// finish checks what only the end shows and returns all that was broken.
func (r *record) finish() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, job := range r.notRun {
		if n := r.starts[job]; n > 0 {
			r.addViolation("%s was refused as not run, but %d starts were seen", job, n)
		}
	}
	for task, n := range r.running {
		if n > 0 {
			r.addViolation("%s still runs after everything has ended", task)
		}
	}
	return r.violations
}
