//go:build review

package rig

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"time"
)

// record holds what clients, the operator and the runners have seen. It is safe for concurrent
// use.
type record struct {
	mu    sync.Mutex
	began time.Time
	lines []string
	// runs holds all runs by job, current the ones that have not ended by runner and task.
	runs    map[string][]*seenRun
	current map[string]*seenRun
	broken  []string
}

// seenRun is a run as its runner saw it.
type seenRun struct {
	runner, task string
	start, end   time.Time
	how          string
}

func newRecord() *record {
	return &record{began: time.Now(), runs: map[string][]*seenRun{}, current: map[string]*seenRun{}}
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addLocked(format, args...)
}

func (r *record) addLocked(format string, args ...any) {
	r.lines = append(r.lines, fmt.Sprintf("%7.3f s  ", time.Since(r.began).Seconds())+fmt.Sprintf(format, args...))
}

// violation notes that the rule is broken.
func (r *record) violation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, fmt.Sprintf(format, args...))
	r.addLocked("BROKEN: "+format, args...)
}

func jobOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}

func (r *record) started(runner, task string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run := &seenRun{runner: runner, task: task, start: time.Now()}
	r.runs[jobOf(task)] = append(r.runs[jobOf(task)], run)
	r.current[runner+" "+task] = run
	r.addLocked("runner %s: starts %s", runner, task)
}

func (r *record) ended(runner, task, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if run := r.current[runner+" "+task]; run != nil {
		run.end, run.how = time.Now(), how
		delete(r.current, runner+" "+task)
	}
	r.addLocked("runner %s: %s ends %s", runner, task, how)
}

// runsOf returns copies of the runs of a job. The end of a run that goes on is zero.
func (r *record) runsOf(job string) []seenRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []seenRun
	for _, run := range r.runs[job] {
		list = append(list, *run)
	}
	return list
}

// overlap returns the first two runs of one task of a job that were alive at the same time, and
// for how long.
func (r *record) overlap(job string) (a, b seenRun, d time.Duration) {
	list := r.runsOf(job)
	end := func(s seenRun) time.Time {
		if s.end.IsZero() {
			return time.Now()
		}
		return s.end
	}
	for i := range list {
		for k := i + 1; k < len(list); k++ {
			if list[i].task != list[k].task {
				continue
			}
			from, to := list[i].start, end(list[i])
			if list[k].start.After(from) {
				from = list[k].start
			}
			if e := end(list[k]); e.Before(to) {
				to = e
			}
			if to.After(from) {
				return list[i], list[k], to.Sub(from)
			}
		}
	}
	return a, b, 0
}

// write writes the record.
func (r *record) write(w io.Writer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, line := range r.lines {
		_, _ = fmt.Fprintln(w, line)
	}
}
