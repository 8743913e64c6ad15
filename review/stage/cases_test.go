//go:build review

package stage

import (
	"bytes"
	"fmt"
	"net/http"
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
		for _, c := range []*cut{&suspended.front.cut, &suspended.peer.cut, &suspended.store.cut} {
			c.set(suspension)
		}
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

// cancelledAgain cancels a job that runs. Its submission arrives once more 3.5 s later.
func cancelledAgain(s *stage) {
	s.build()
	job, client := s.newJob(), &http.Client{}
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		status, answer := s.post(client, s.entries[0], job, 4, longTask, func() { s.rec.note("client: POST %s to %s", job, s.entries[0].name) })
		s.rec.note("client: POST was answered %d %s", status, answer)
	}()
	time.Sleep(300 * time.Millisecond)
	s.rec.note("client: DELETE %s at %s", job, s.entries[0].name)
	status, answer := s.cancel(client, s.entries[0], job)
	acknowledged := time.Now()
	s.rec.note("client: DELETE was answered %d %s", status, answer)
	if status != http.StatusOK {
		panic("the job was not cancelled")
	}
	<-answered
	time.Sleep(time.Until(acknowledged.Add(cancelTime + 500*time.Millisecond)))
	if s.trouble {
		status, answer = s.post(client, s.entries[1], job, 4, longTask, func() { s.rec.note("network: POST %s arrives again, at %s", job, s.entries[1].name) })
		s.rec.note("client: the repeated POST was answered %d %s", status, answer)
	}
	time.Sleep(time.Second)
	for _, start := range s.rec.startsAfter(job, acknowledged.Add(cancelTime)) {
		s.rec.violation("UNASKED: %s started %s, %v after its cancelling was acknowledged", start.runner, start.task,
			start.at.Sub(acknowledged).Round(time.Millisecond))
	}
}

// otherWriter sends an agent a heartbeat of another writer, with a service that is not
// in the configuration, while tasks run at the agent's runner.
func otherWriter(s *stage) {
	s.build()
	s.work.Store(int64(mediumTask))
	job := s.newJob()
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		status, answer := s.post(&http.Client{}, s.entries[0], job, 4, lowEstimate, func() { s.rec.note("client: POST %s to %s", job, s.entries[0].name) })
		s.rec.note("client: %d %s", status, answer)
	}()
	time.Sleep(550 * time.Millisecond)
	for life := range s.rec.runnersOf(job) {
		a := s.agentOf(life)
		if s.trouble {
			body := fmt.Sprintf(`{"service":"not-configured","address":"127.0.0.1:9","zone":"bambous","version":"v1","slots":8,"state":"ready",`+
				`"cold_left_ms":0,"free_capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"labels":["a","r1-3"],"clock_ms":1,"seq":1,"born":%d}`, time.Now().UnixMilli())
			req, err := http.NewRequest(http.MethodPut, "http://"+a.heartbeats+"/instances/i-other", bytes.NewReader([]byte(body)))
			check(err)
			s.rec.note("other writer: heartbeat of i-other, service not-configured, to %s", a.name)
			status, answer := answerOf(http.DefaultClient.Do(req))
			s.rec.note("other writer: %d %s", status, answer)
		}
		<-answered
		s.countStarts(life)
		break
	}
}

// countStarts notes, for information, how many tasks a runner gets in 4 s of jobs after a
// pause that is longer than its interval between heartbeats.
func (s *stage) countStarts(life string) {
	time.Sleep(2 * heartbeat)
	from := time.Now()
	all, own := 0, 0
	var clients sync.WaitGroup
	for i := range 40 {
		job := s.newJob()
		clients.Go(func() { s.post(&http.Client{}, s.entries[i%len(s.entries)], job, 4, longTask, nil) })
		time.Sleep(100 * time.Millisecond)
	}
	clients.Wait()
	for _, start := range s.rec.startsAfter("", from) {
		all++
		if start.runner == life {
			own++
		}
	}
	s.rec.note("for information: %d of the next %d starts were on %s", own, all, life)
}

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
		a.control.set(3100 * time.Millisecond)
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
	for i := range 50 {
		job := s.newJob()
		clients.Go(func() {
			status, answer := s.post(client, s.entries[i%len(s.entries)], job, 4, lowEstimate, func() { s.rec.note("client: POST %s", job) })
			s.rec.note("client: %s was answered %d %s", job, status, answer)
		})
		time.Sleep(100 * time.Millisecond)
	}
	clients.Wait()
	time.Sleep(time.Second)
}
