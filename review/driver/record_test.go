//go:build review

package driver

import (
	"context"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

func contextWithCancel() (context.Context, context.CancelFunc) {
	return context.WithCancel(context.Background())
}

// run is a run of a task as its runner saw it.
type run struct {
	runner, task string
	start, end   time.Duration
	outcome      string
}

// record writes what was sent, answered and run, with the time since the script began.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
	runs  []*run
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, begin: time.Now()}, nil
}

func (r *record) now() time.Duration { return time.Since(r.begin) }

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lineLocked(format, args...)
}

func (r *record) lineLocked(format string, args ...any) {
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) started(runner, task string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, &run{runner: runner, task: task, start: time.Since(r.begin)})
	r.lineLocked("run   %s begins on %s", task, runner)
}

func (r *record) ended(runner, task, outcome string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range r.runs {
		if x.runner == runner && x.task == task && x.end == 0 {
			x.end, x.outcome = time.Since(r.begin), outcome
		}
	}
	r.lineLocked("run   %s ends on %s: %s", task, runner, outcome)
}

// startsAfter returns the runs of a job that began later than the given time.
func (r *record) startsAfter(job string, after time.Duration) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []run
	for _, x := range r.runs {
		if strings.HasPrefix(x.task, job+".") && x.start > after {
			list = append(list, *x)
		}
	}
	return list
}
