//go:build review

package rig

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// backlogRate is the number of jobs a second at the busiest front of the trials site on its scale
	// days.
	backlogRate = 55
	// backlogFreeze is how long an entry is frozen.
	backlogFreeze = 4 * time.Second
	// backlogRounds is how often an entry is frozen.
	backlogRounds = 12
	// clientDeadline is how long the clients wait for an answer.
	clientDeadline = 1500 * time.Millisecond
)

// frozenBacklog freezes one entry after the other, until the rule is broken, while the clients of its zone submit jobs.
// Those that get no answer by their deadline leave, and submit the job again at another entry.
func frozenBacklog(r *record, trouble bool) error {
	c, err := newCluster(r, 3, 11)
	if c != nil {
		defer c.close()
	}
	if err != nil {
		return err
	}
	for n := 0; n < backlogRounds && len(r.broken) == 0; n++ {
		c.freezeUnderLoad(c.entries[n%len(c.entries)], c.entries[(n+1)%len(c.entries)], trouble)
	}
	return nil
}

func (c *cluster) freezeUnderLoad(frozen, other *process, trouble bool) {
	var clients sync.WaitGroup
	if trouble {
		frozen.signal(syscall.SIGSTOP)
		c.record.add("%s is frozen", frozen.name)
		time.AfterFunc(backlogFreeze, func() {
			frozen.signal(syscall.SIGCONT)
			c.record.add("%s wakes", frozen.name)
		})
	}
	jobs := make([]job, backlogRate*int(backlogFreeze/time.Second))
	next := time.NewTicker(time.Second / backlogRate)
	defer next.Stop()
	for i := range jobs {
		j := job{id: newID(), queue: "q", tasks: 2, cpu: 6200, duration: 200 * time.Millisecond, deadline: clientDeadline}
		jobs[i] = j
		c.setWork(j.id, j.duration)
		clients.Go(func() {
			if a := c.post(frozen, j); a.mayBeSentAgain() {
				time.Sleep(retransmit)
				c.post(other, j)
			}
		})
		<-next.C
	}
	clients.Wait()
	for _, j := range jobs {
		if a, b, d := c.record.overlap(j.id); d > 0 {
			c.record.violation("TWICE: %s on %s and on %s at the same time for %v", a.task, a.runner, b.runner, d)
		}
	}
}

// mayBeSentAgain reports whether clients send a job again after this answer.
func (a answer) mayBeSentAgain() bool {
	return a.status == 0 || a.status == http.StatusBadGateway || a.status == http.StatusGatewayTimeout
}
