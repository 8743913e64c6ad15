//go:build review

package driver

import (
	"net/http"
	"time"
)

const taskTime = 900 * time.Millisecond

func confirmWork(string) (time.Duration, string) { return taskTime, "done" }

// judgeCancel reports whether a task of a job was started later than cancel_ms after its
// cancelling was acknowledged, by a machine that was in touch since inTouch.
func judgeCancel(c *cluster, id string, acknowledged, inTouch time.Duration) int {
	late := c.record.startsAfter(id, max(acknowledged+cancelBound, inTouch))
	if len(late) == 0 {
		c.record.line("UNASKED held: no task of %s started later than %v after %.3f s", id, cancelBound, acknowledged.Seconds())
		return ruleHeld
	}
	c.record.line("UNASKED broken: %d tasks of %s started later than %v after its cancelling was acknowledged, or should have been, at %.3f s; the last one, %s on %s, %.3f s after it",
		len(late), id, cancelBound, acknowledged.Seconds(), late[len(late)-1].task, late[len(late)-1].runner, (late[len(late)-1].start - acknowledged).Seconds())
	return ruleBroken
}

// hasStarted reports whether a task of the job has started, without which its cancelling
// would prove nothing.
func hasStarted(rec *record, id string) bool {
	if len(rec.startsAfter(id, 0)) > 0 {
		return true
	}
	rec.line("no task has started")
	return false
}

// cancelAtAnotherEntry cancels a job at an entry other than the one that runs it. The
// disruption is that the latter's process was killed, and started again by the platform,
// before it took the job.
func cancelAtAnotherEntry(rec *record, trouble bool) int {
	return withCluster(rec, confirmWork, func(c *cluster) int {
		taker, other := c.entries[0], c.entries[1]
		inTouch := time.Duration(0)
		if trouble {
			taker.kill()
			rec.line("fault %s: SIGKILL", taker.name)
			time.Sleep(restartDelay)
			if err := c.start(taker); err != nil {
				rec.line("could not restart: %v", err)
				return notRun
			}
			rec.line("fault %s: started again", taker.name)
			inTouch = rec.now() + contactTime
		}
		if !c.awaitReady(taker, time.Now().Add(startupLimit)) {
			return notRun
		}
		rec.line("ready %s", taker.name)
		id := newID()
		// Ten waves of tasks on eleven runners that take ten each.
		ended := c.post(taker, id, jobSpec(1100, taskTime), 30*time.Second)
		for begin := time.Now(); len(rec.startsAfter(id, 0)) == 0; time.Sleep(10 * time.Millisecond) {
			if time.Since(begin) > 5*time.Second {
				rec.line("no task has started")
				return notRun
			}
		}
		time.Sleep(300 * time.Millisecond)
		status, _ := c.call(http.MethodDelete, other, id, nil, 0)
		acknowledged := rec.now()
		if status/100 != 2 && status != http.StatusGone {
			rec.line("the cancelling was not acknowledged")
			return notRun
		}
		time.Sleep(cancelBound + 5*time.Second)
		select {
		case a := <-ended:
			rec.line("the job's POST was answered at %.3f s", a.at.Seconds())
		default:
			rec.line("the job's POST has no answer yet")
		}
		return judgeCancel(c, id, acknowledged, inTouch)
	})
}

// copyOfACancelledJob sends a job, cancels it, and sends a copy of its request some
// seconds after the answer to the first one. The copy is the disruption.
func copyOfACancelledJob(rec *record, trouble bool) int {
	return withCluster(rec, confirmWork, func(c *cluster) int {
		id, body, deadline := newID(), jobSpec(4, taskTime), 1500*time.Millisecond
		ended := c.post(c.entries[0], id, body, deadline)
		time.Sleep(300 * time.Millisecond)
		if !hasStarted(rec, id) {
			return notRun
		}
		status, _ := c.call(http.MethodDelete, c.entries[0], id, nil, 0)
		acknowledged := rec.now()
		if status/100 != 2 {
			rec.line("the cancelling was not acknowledged")
			return notRun
		}
		if first := <-ended; first.status/100 != 2 {
			rec.line("the POST was not answered with 2xx")
			return notRun
		}
		time.Sleep(cancelBound + 500*time.Millisecond)
		if trouble {
			rec.line("fault a copy of the request arrives")
			<-c.post(c.entries[1], id, body, deadline)
		}
		time.Sleep(2 * time.Second)
		return judgeCancel(c, id, acknowledged, 0)
	})
}
