package dispatch

import (
	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/verdict"
)

const (
	// retryShare is the number of retries that each complete result allows.
	retryShare = 0.1
	// retryReserve limits the retries without complete results in between, so
	// that the loss of many tasks at once does not cause a retry storm.
	retryReserve = 10
	// maxRetries limits the retries of one request.
	maxRetries = 2
)

// retryBudget limits retries to a share of the recent complete results. used is
// the part of retryReserve in use; initially the whole reserve is available.
type retryBudget struct{ used float64 }

func (b *retryBudget) success() { b.used = max(0, b.used-retryShare) }

func (b *retryBudget) take() bool {
	if b.used+1 > retryReserve {
		return false
	}
	b.used++
	return true
}

// mayRetry reports whether to start a task again after a start that may have run,
// and uses the retry budget for it. Only idempotent requests outside a job are
// retried.
func (c *Core) mayRetry(t *task, r message.TaskResult) bool {
	j := t.job
	if r.Verdict != verdict.MayHaveRun || !j.single || !j.payload[t.index].Idempotent || t.retries >= maxRetries {
		return false
	}
	if r.Reason == verdict.ReasonCancelled {
		return false
	}
	if !c.budget.take() {
		c.counters.RetriesDenied++
		return false
	}
	return true
}

func (c *Core) retry(t *task) {
	t.retries++
	t.mayHaveRun = true
	c.counters.Retries++
	c.requeue(t)
}
