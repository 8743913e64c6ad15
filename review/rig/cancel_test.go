//go:build review

package rig

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// acknowledged reports whether the answer to a DELETE acknowledges the cancelling.
func acknowledged(a answer) bool { return a.status/100 == 2 || a.status == http.StatusGone }

// cancelledCopy submits a job whose first connection breaks, so that the client sends it again,
// cancels it, and lets a copy of the submission arrive seconds after the answer.
func cancelledCopy(r *record, trouble bool) error {
	c, err := newCluster(r, 2, 3)
	if c != nil {
		defer c.close()
	}
	if err != nil {
		return err
	}
	first, second := c.entries[0], c.entries[1]
	j := c.newJob(900*time.Millisecond, clientDeadline)
	broken, breakIt := context.WithCancel(context.Background())
	go c.call(broken, http.MethodPost, first, j)
	if err := c.awaitRuns(j); err != nil {
		breakIt()
		return err
	}
	breakIt()
	r.add("the connection to %s is reset", first.name)
	time.Sleep(retransmit)
	answered := make(chan answer, 1)
	go func() { answered <- c.post(second, j) }()
	if err := c.awaitRuns(j); err != nil {
		return err
	}
	if a := c.delete(second, j); !acknowledged(a) {
		return fmt.Errorf("%w: DELETE gets %s", errNotRun, a)
	}
	acked := time.Now()
	if a := <-answered; a.status/100 != 2 {
		return fmt.Errorf("%w: POST gets %s after the cancelling", errNotRun, a)
	}
	time.Sleep(cancelWithin + 500*time.Millisecond)
	if trouble {
		r.add("a copy of the submission arrives, %.1f s after the 2xx answer", time.Since(acked).Seconds())
		c.post(first, j)
	}
	time.Sleep(500 * time.Millisecond)
	for _, run := range r.runsOf(j.id) {
		if late := run.start.Sub(acked); late > cancelWithin {
			r.violation("UNASKED: %s starts on %s %.3f s after its job's cancelling was acknowledged", run.task, run.runner, late.Seconds())
		}
	}
	return nil
}

// restartedCancel kills an entry, which is started again at once and takes a job as soon as it is
// ready. The client cancels the job at the other entry.
func restartedCancel(r *record, trouble bool) error {
	c, err := newCluster(r, 2, 3)
	if c != nil {
		defer c.close()
	}
	if err != nil {
		return err
	}
	first, second := c.entries[0], c.entries[1]
	if trouble {
		r.add("%s is killed", first.name)
		first.signal(syscall.SIGKILL)
		<-first.exited
		time.Sleep(300 * time.Millisecond)
		if err := first.run(); err != nil {
			return err
		}
		r.add("%s is started again", first.name)
	}
	if err := c.awaitReady(first); err != nil {
		return err
	}
	return c.cancelElsewhere(first, second)
}

// cancelElsewhere submits a job to an entry, cancels it at another one, and checks that its tasks
// have ended in time.
func (c *cluster) cancelElsewhere(first, second *process) error {
	j := c.newJob(6*time.Second, 8*time.Second)
	answered := make(chan answer, 1)
	go func() { answered <- c.post(first, j) }()
	if err := c.awaitRuns(j); err != nil {
		return err
	}
	time.Sleep(200 * time.Millisecond)
	a := c.delete(second, j)
	if !acknowledged(a) {
		return fmt.Errorf("%w: DELETE gets %s", errNotRun, a)
	}
	acked := time.Now()
	<-answered
	c.checkStopped(j, acked.Add(cancelWithin), "its job's cancelling was acknowledged with "+a.String())
	return nil
}

// checkStopped checks that no task of a job runs after limit and the time for a stop.
func (c *cluster) checkStopped(j job, limit time.Time, since string) {
	time.Sleep(time.Until(limit.Add(stopTime)))
	for _, run := range c.record.runsOf(j.id) {
		end := run.end
		if end.IsZero() {
			end = time.Now()
		}
		if end.After(limit.Add(stopTime)) {
			c.record.violation("UNASKED: %s runs on %s until %.3f s after %v since %s", run.task, run.runner, end.Sub(limit).Seconds(), cancelWithin, since)
		}
	}
}

// droppedRoute drops the route of a running job, and then its client cancels it.
func droppedRoute(r *record, trouble bool) error {
	c, err := newCluster(r, 2, 3)
	if c != nil {
		defer c.close()
	}
	if err != nil {
		return err
	}
	j := c.newJob(9*time.Second, 10*time.Second)
	answered := make(chan answer, 1)
	go func() { answered <- c.post(c.entries[0], j) }()
	if err := c.awaitRuns(j); err != nil {
		return err
	}
	if trouble {
		c.configure("other")
	} else {
		c.configure("q", "other")
	}
	time.Sleep(500 * time.Millisecond)
	sent := time.Now()
	limit := sent.Add(ackWithin)
	for n := 0; time.Since(sent) < ackWithin; n++ {
		if a := c.delete(c.entries[n%2], j); acknowledged(a) {
			limit = time.Now()
			break
		}
		time.Sleep(time.Second)
	}
	<-answered
	c.checkStopped(j, limit.Add(cancelWithin), "its job's cancelling was acknowledged or had waited for "+ackWithin.String())
	return nil
}
