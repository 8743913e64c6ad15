//go:build review

package driver

import (
	"net/http"
	"syscall"
	"time"
)

// The times of cancelDuringFreeze, from the beginning of the freeze on.
const (
	freezePost   = 300 * time.Millisecond
	freezeCancel = 800 * time.Millisecond
	freezeEnd    = 2 * time.Second
)

// cancelDuringFreeze sends a job to an entry and cancels it there half a second later. The
// disruption is that the entry's process stands still for two seconds meanwhile.
func cancelDuringFreeze(rec *record, trouble bool) int {
	return withCluster(rec, confirmWork, func(c *cluster) int {
		entry, begin := c.entries[0], time.Now()
		if trouble {
			entry.signal(syscall.SIGSTOP)
			rec.line("fault %s: SIGSTOP", entry.name)
		}
		time.Sleep(freezePost)
		id := newID()
		ended := c.post(entry, id, jobSpec(1100, taskTime), 30*time.Second)
		time.Sleep(freezeCancel - time.Since(begin))
		if !trouble && !hasStarted(rec, id) {
			return notRun
		}
		acknowledged := make(chan clientAnswer, 1)
		go func() {
			status, answer := c.call(http.MethodDelete, entry, id, nil, 0)
			acknowledged <- clientAnswer{status, answer, rec.now()}
		}()
		time.Sleep(freezeEnd - time.Since(begin))
		inTouch := time.Duration(0)
		if trouble {
			entry.signal(syscall.SIGCONT)
			rec.line("fault %s: SIGCONT", entry.name)
			inTouch = rec.now() + contactTime
		}
		cancel := <-acknowledged
		if cancel.status/100 != 2 && cancel.status != http.StatusGone {
			rec.line("the cancelling was not acknowledged")
			return notRun
		}
		time.Sleep(cancelBound + 5*time.Second)
		select {
		case <-ended:
		default:
			rec.line("the job's POST has no answer yet")
		}
		return judgeCancel(c, id, cancel.at, inTouch)
	})
}
