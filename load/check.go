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

// Violations counts violated invariants. Each count must be 0.
type Violations struct {
	// DuplicateStarts is the number of tasks that endpoints started more than once.
	DuplicateStarts int `json:"duplicate_starts"`
	// PartialAnswers counts the answers whose number of tasks is not that of the
	// job, and the tasks without a result in answers marked complete.
	PartialAnswers int `json:"partial_answers"`
	// CrossedAnswers counts the completed tasks with status 200 whose body does not
	// carry the task's own key.
	CrossedAnswers int `json:"crossed_answers"`
	// FalseRefusals is the number of tasks that were reported as not run although
	// an endpoint started them.
	FalseRefusals int `json:"false_refusals"`
}

// Any reports whether an invariant was violated.
func (v Violations) Any() bool { return v != Violations{} }

// String returns the counts with their names.
func (v Violations) String() string {
	return fmt.Sprintf("duplicate starts %d, partial answers %d, crossed answers %d, false refusals %d",
		v.DuplicateStarts, v.PartialAnswers, v.CrossedAnswers, v.FalseRefusals)
}

// checker compares the answers to callers with the starts that endpoints
// counted. It is safe for concurrent use.
type checker struct {
	mu      sync.Mutex
	partial int
	crossed int
	// notRun holds the keys of tasks that were reported to callers as not run.
	notRun map[string]bool
}

func newChecker() *checker { return &checker{notRun: map[string]bool{}} }

// answered checks the answer to one job. keys holds the keys of its tasks, in
// the job's order. An answer without tasks is not counted as partial.
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

// task checks one task of an answer with the given state. key is the task's key.
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

// violations returns all violations found. starts is the number of starts that
// endpoints counted for each key; nil omits the checks against them.
func (c *checker) violations(starts map[string]int) Violations {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := Violations{PartialAnswers: c.partial, CrossedAnswers: c.crossed}
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

// replyKey returns the key of the task in an endpoint's reply, or "" if the
// body cannot be decoded.
func replyKey(task api.TaskResponse) string {
	var reply endpoint.TaskReply
	if err := json.Unmarshal(task.Bytes(), &reply); err != nil {
		return ""
	}
	return reply.Key
}
