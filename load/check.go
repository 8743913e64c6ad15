package load

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"

	"marjoramlug.example/marjoramlug/api"
	"marjoramlug.example/marjoramlug/standin/endpoint"
	"marjoramlug.example/marjoramlug/verdict"
)

// Violations counts breaches of what must always hold. All must be zero.
type Violations struct {
	// DuplicateStarts is the number of tasks that endpoints started more than once.
	DuplicateStarts int `json:"duplicate_starts"`
	// Partial is the number of answers marked complete that lack a result.
	Partial int `json:"partial_answers"`
	// Crossed is the number of results that belong to another task.
	Crossed int `json:"crossed_answers"`
	// FalseRefusals is the number of tasks said not to have run that had.
	FalseRefusals int `json:"false_refusals"`
}

// Any reports whether something was breached.
func (v Violations) Any() bool { return v != Violations{} }

// String lists the counts.
func (v Violations) String() string {
	return fmt.Sprintf("duplicate starts %d, partial answers %d, crossed answers %d, false refusals %d",
		v.DuplicateStarts, v.Partial, v.Crossed, v.FalseRefusals)
}

// checker compares what callers were told with what endpoints saw. It is safe
// for concurrent use.
type checker struct {
	mu      sync.Mutex
	partial int
	crossed int
	// notRun holds the keys of tasks that callers were told have not run.
	notRun map[string]bool
}

func newChecker() *checker { return &checker{notRun: map[string]bool{}} }

// answered checks one job's answer. keys are the tasks' keys in order.
func (c *checker) answered(keys []string, resp *api.JobResponse, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if resp == nil || len(resp.Tasks) == 0 {
		if err != nil && verdict.Of(err) == verdict.NotRun {
			c.markNotRun(keys)
		}
		return
	}
	if len(resp.Tasks) != len(keys) {
		c.partial++
		return
	}
	for i, task := range resp.Tasks {
		c.task(keys[i], task, resp.State)
	}
}

func (c *checker) markNotRun(keys []string) {
	for _, key := range keys {
		c.notRun[key] = true
	}
}

func (c *checker) task(key string, task api.TaskResponse, state api.State) {
	completed := task.Verdict == verdict.Ran && task.Reason == verdict.ReasonNone
	switch {
	case completed && task.Status == http.StatusOK && replyKey(task) != key:
		c.crossed++
	case !completed && state == api.StateComplete:
		c.partial++
	case task.Verdict == verdict.NotRun:
		c.notRun[key] = true
	}
}

// result compares with the number of starts that endpoints saw for each key.
func (c *checker) violations(starts map[string]int) Violations {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := Violations{Partial: c.partial, Crossed: c.crossed}
	for key, n := range starts {
		if n > 1 {
			v.DuplicateStarts++
		}
		if n > 0 && c.notRun[key] {
			v.FalseRefusals++
		}
	}
	return v
}

// replyKey is the key of the task whose answer an endpoint gave.
func replyKey(task api.TaskResponse) string {
	var reply endpoint.TaskReply
	if err := json.Unmarshal(task.Bytes(), &reply); err != nil {
		return ""
	}
	return reply.Key
}
