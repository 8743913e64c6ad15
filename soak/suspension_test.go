package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// TestSuspendedEntryStartsNoOldRequest guards against two runs of a task at the same time:
// a caller sends a job to a suspended entry on an open connection, gives up and submits it
// at another entry, and TCP delivers the first request just after that.
func TestSuspendedEntryStartsNoOldRequest(t *testing.T) {
	const (
		patience   = 1500 * time.Millisecond
		suspension = 1800 * time.Millisecond
		tasks      = 5
	)
	c := newCluster(t, t.TempDir(), 2, 4)
	suspended, other := c.entries[0], c.entries[1]
	newJob := func(tasks int) callerJob {
		return callerJob{id: fmt.Sprintf("%016x", rand.Uint64()), tasks: tasks, tries: 1}
	}
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	c.submit(t.Context(), client, suspended, newJob(1)) // opens the connection

	suspended.addFault(suspension + patience + resubmitDelay)
	suspended.callers.set(networkFault{delay: patience + resubmitDelay + 100*time.Millisecond}, suspension)
	suspended.signal(syscall.SIGSTOP)
	time.AfterFunc(suspension, func() { suspended.signal(syscall.SIGCONT) })
	job := newJob(tasks)
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	if c.submit(ctx, client, suspended, job) {
		t.Fatal("the suspended entry has answered")
	}
	time.Sleep(resubmitDelay)
	job.tries++
	c.submit(t.Context(), client, other, job)
	c.submit(t.Context(), client, suspended, newJob(1)) // serves again

	c.close()
	for _, v := range append(c.record.finish(), c.panics()...) {
		t.Error(v)
	}
	if c.record.counts["completed"] == 0 {
		t.Errorf("no job was completed: %v", c.record.counts)
	}
}
