//go:build review

package stage

import (
	"net/http"
	"syscall"
	"time"
)

// oneConnection returns a client that keeps one connection open.
func oneConnection() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1}}
}

// lateSubmission suspends the machine of one entry for 1.8 s. A client sends a job to it
// on its open connection, waits in vain, closes the connection and sends the job again,
// 1.3 s later, to another entry, where it runs. Meanwhile the first entry serves again, and
// TCP delivers to it what the client had sent.
func lateSubmission(s *stage) {
	s.build()
	client := oneConnection()
	status, _ := s.post(client, s.entries[0], s.newJob(), 1, longTask, nil)
	if status != http.StatusOK {
		panic("the first job of the client was not served")
	}
	suspended := s.entries[0]
	if s.trouble {
		s.rec.note("the machine of %s is suspended for %v", suspended.name, suspension)
		suspended.front.cut(suspension)
		suspended.peer.set(suspension)
		suspended.store.cut(suspension)
		check(suspended.cmd.Process.Signal(syscall.SIGSTOP))
		time.AfterFunc(suspension, func() {
			_ = suspended.cmd.Process.Signal(syscall.SIGCONT)
			s.rec.note("the machine of %s goes on", suspended.name)
		})
	}
	time.Sleep(200 * time.Millisecond)
	job := s.newJob()
	status, answer := s.post(client, suspended, job, 4, longTask, func() { s.rec.note("client: POST %s to %s", job, suspended.name) })
	s.rec.note("client: %d %s", status, answer)
	if status == 0 {
		time.Sleep(resubmitDelay)
		other := s.entries[1]
		status, answer = s.post(oneConnection(), other, job, 4, longTask, func() { s.rec.note("client: POST %s again, to %s", job, other.name) })
		s.rec.note("client: %d %s", status, answer)
	}
	if status != http.StatusOK {
		panic("the job was not served")
	}
	time.Sleep(4 * time.Second)
}

// suspension is the time for which a machine is suspended.
const suspension = 1800 * time.Millisecond

// plannedEnd plays a planned end of a runner while a long task runs there.
func plannedEnd(s *stage) {
	s.routeTimeout = longDeadline
	s.build()
	s.work.Store(int64(longestTask))
	job := s.newJob()
	var status int
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		var answer string
		status, answer = s.postWithin(longDeadline, &http.Client{}, s.entries[0], job, agents, estimateOfLongest, func() {
			s.rec.note("client: POST %s to %s", job, s.entries[0].name)
		})
		s.rec.note("client: %d %s", status, answer)
	}()
	time.Sleep(100 * time.Millisecond)
	var a *agent
	for life := range s.rec.runnersOf(job) {
		a = s.agentOf(life)
	}
	if a == nil {
		panic("no task of the job runs")
	}
	if s.trouble {
		r := a.runner
		if !r.drain(drainTime) {
			panic("the heartbeat was not acknowledged")
		}
		s.rec.note("%s: draining, acknowledged", r)
		time.Sleep(drainTime + 50*time.Millisecond)
		a.silence()
		s.rec.note("%s: DELETE /instances/%s", r, r.name)
		if !r.register(http.MethodDelete, "") {
			panic("the DELETE was not acknowledged")
		}
		s.rec.note("%s: acknowledged, ends in %v", r, endTime)
		time.Sleep(endTime)
		r.end()
		_ = a.server.Close()
	}
	<-answered
	if status != http.StatusOK {
		panic("the job was not served")
	}
	time.Sleep(time.Second)
}
