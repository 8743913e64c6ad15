//go:build review

package stage

import (
	"net/http"
	"net/http/httptrace"
	"sync"
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
	time.Sleep(4 * time.Second)
}

// suspension is the time for which a machine is suspended.
const suspension = 1800 * time.Millisecond

// lateDeregistration plays a planned end of a runner behind a cut: its DELETE is held up,
// it starts again under its id, and the DELETE arrives while tasks run there.
func lateDeregistration(s *stage) {
	s.build()
	a := s.agents[0]
	s.rec.note("%s's runner drains", a.name)
	a.runner.Drain()
	time.Sleep(heartbeat + drainTime)
	connection := oneConnection()
	connection.Timeout = 2 * time.Second
	status, answer := s.beat(connection, a, 1000, "draining")
	s.rec.note("runner: heartbeat, draining: %d %s", status, answer)
	if s.trouble {
		s.rec.note("the runner is cut off from %s for 3.1 s", a.name)
		a.control.cut(3100 * time.Millisecond)
	}
	a.silence()
	go func() {
		req, err := http.NewRequest(http.MethodDelete, "http://"+a.control.address()+"/instances/i-"+a.name, nil)
		check(err)
		s.rec.note("runner: DELETE /instances/i-%s", a.name)
		status, answer := answerOf(connection.Do(req))
		s.rec.note("runner: %d %s", status, answer)
	}()
	time.Sleep(2 * time.Second)
	a.runner.Crash()
	_ = a.server.Close()
	s.rec.note("the runner has ended")
	time.Sleep(1200 * time.Millisecond)
	s.work.Store(int64(mediumTask))
	s.rec.note("the runner starts again under its id")
	s.startRunner(a)
	client := &http.Client{}
	s.await("the new incarnation to serve", func() bool {
		status, _ := s.post(client, s.entries[0], s.newJob(), 1, longTask, nil)
		return status == http.StatusOK
	})
	var clients sync.WaitGroup
	for i := range 90 {
		job := s.newJob()
		clients.Go(func() {
			status, answer := s.post(client, s.entries[i%len(s.entries)], job, 4, lowEstimate, func() { s.rec.note("client: POST %s", job) })
			s.rec.note("client: %s was answered %d %s", job, status, answer)
		})
		time.Sleep(60 * time.Millisecond)
	}
	clients.Wait()
	time.Sleep(time.Second)
}

// unacknowledgedLeave plays a planned end of a runner while a long task runs there. The
// runner's DELETE arrives, but nothing from the agent reaches the runner any more.
func unacknowledgedLeave(s *stage) {
	s.build()
	s.work.Store(int64(longestTask))
	job := s.newJob()
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		status, answer := s.postWithin(longDeadline, &http.Client{}, s.entries[0], job, agents, estimateOfLongest, func() {
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
	a.runner.Drain()
	status, answer := s.beat(http.DefaultClient, a, 1000, "draining")
	s.rec.note("runner of %s: heartbeat, draining: %d %s", a.name, status, answer)
	if status != http.StatusOK {
		panic("the heartbeat was not acknowledged")
	}
	a.silence()
	connection := oneConnection()
	connection.Timeout = time.Second
	time.Sleep(heartbeat)
	status, answer = s.beat(connection, a, 1001, "draining")
	s.rec.note("runner of %s: heartbeat, draining: %d %s", a.name, status, answer)
	time.Sleep(drainTime - heartbeat)
	if s.trouble {
		s.rec.note("for 3 s nothing from %s reaches its runner", a.name)
		a.control.out.set(3 * time.Second)
		a.calls.in.set(3 * time.Second)
		time.Sleep(50 * time.Millisecond)
	}
	req, err := http.NewRequest(http.MethodDelete, "http://"+a.control.address()+"/instances/i-"+a.name, nil)
	check(err)
	// With the acknowledgement the runner ends at once, without one some seconds later.
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotFirstResponseByte: a.runner.Crash}))
	s.rec.note("runner of %s: DELETE /instances/i-%s", a.name, a.name)
	status, answer = answerOf(connection.Do(req))
	if status != http.StatusOK {
		time.Sleep(time.Second)
		a.runner.Crash()
	}
	_ = a.server.Close()
	s.rec.note("runner of %s: the answer is %d %s; it has ended", a.name, status, answer)
	<-answered
	time.Sleep(time.Second)
}
