//go:build review

package driver

import (
	"net/http"
	"time"
)

// ackBound is ack_ms of the site, configBound config_apply_ms.
const (
	ackBound    = 4000 * time.Millisecond
	configBound = 2000 * time.Millisecond
)

// cancelOnRemovedQueue cancels a job whose queue the operator has removed since it was
// accepted for work. The disruption is that change of the configuration.
func cancelOnRemovedQueue(rec *record, trouble bool) int {
	return withCluster(rec, confirmWork, func(c *cluster) int {
		entry, id := c.entries[0], newID()
		// 18 waves of tasks on eleven runners that take ten each.
		c.post(entry, id, jobSpec(1900, taskTime), 60*time.Second)
		time.Sleep(300 * time.Millisecond)
		if !hasStarted(rec, id) {
			return notRun
		}
		if trouble {
			c.configure(2, false)
			rec.line("fault version 2 of the configuration, without the job's queue, is acknowledged")
		}
		time.Sleep(configBound + 500*time.Millisecond)
		asked := rec.now()
		acknowledged := time.Duration(0)
		// A client that gets no acknowledgement asks again.
		for acknowledged == 0 && rec.now()-asked < ackBound {
			if status, _ := c.call(http.MethodDelete, entry, id, nil, 0); status/100 == 2 || status == http.StatusGone {
				acknowledged = rec.now()
			}
			time.Sleep(time.Second)
		}
		if acknowledged == 0 {
			// The rule counts from the time at which the acknowledgement was due.
			acknowledged = asked + ackBound
			rec.line("no acknowledgement of the cancelling %v after it was asked for", ackBound)
		}
		time.Sleep(cancelBound + 6*time.Second)
		return judgeCancel(c, id, acknowledged, 0)
	})
}
