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
	mu     sync.Mutex
	begun  time.Time
	alive  map[string]int
	starts map[string]int
	done   map[string]bool
	failed map[string]int
	broken []string
	// notRun lists jobs that were refused as not run and submitted only once.
	notRun []string
	counts map[string]int
}

func newRecord() *record {
	return &record{
		begun: time.Now(), alive: map[string]int{}, starts: map[string]int{}, done: map[string]bool{},
		failed: map[string]int{}, counts: map[string]int{},
	}
}

// addViolation notes a broken promise; r.mu is held.
func (r *record) addViolation(format string, args ...any) {
	r.broken = append(r.broken, fmt.Sprintf("%.3f s: ", time.Since(r.begun).Seconds())+fmt.Sprintf(format, args...))
}

// violation notes a broken promise that is not about tasks.
func (r *record) violation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addViolation(format, args...)
}

func (r *record) count(what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[what]++
}

// taskStarted and taskEnded come from endpoints.
func (r *record) taskStarted(task string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.alive[task]++
	r.starts[jobOf(task)]++
	r.counts["starts"]++
	if r.alive[task] > 1 {
		r.addViolation("%s ran twice at the same time", task)
	}
}

func (r *record) taskEnded(task, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.alive[task]--
	switch how {
	case "done":
		r.done[task] = true
	case "failed":
		r.failed[task]++
	}
}

// jobOf returns the job of a task named JOB.0.0.INDEX.
func jobOf(task string) string { return task[:strings.IndexByte(task, '.')] }

// completed checks an answer that says that a job is complete.
func (r *record) completed(job string, tasks int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts["completed"]++
	for i := range tasks {
		if !r.done[job+".0.0."+strconv.Itoa(i)] {
			r.addViolation("%s was answered as completed, but task %d of %d was not done", job, i, tasks)
		}
	}
}

func (r *record) isDone(task string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.done[task]
}

// gaveUp checks an answer that says that a task has failed as often as it may.
func (r *record) gaveUp(job string, tasks, attempts int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts["failed"]++
	for i := range tasks {
		if r.failed[job+".0.0."+strconv.Itoa(i)] >= attempts {
			return
		}
	}
	r.addViolation("%s was answered as failed, but no task of it had failed %d times", job, attempts)
}

// refused notes an answer that says that a job has not run.
func (r *record) refused(job string) {
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
	for task, n := range r.alive {
		if n > 0 {
			r.addViolation("%s still runs after everything has ended", task)
		}
	}
	return r.broken
}
