package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/verdict"
)

func (m *stateMachine) drawJob(t *rapid.T) *modelJob {
	s := &message.Submit{Shard: testShard, Single: rapid.Bool().Draw(t, "single")}
	s.Job = message.JobKey{Caller: rapid.SampledFrom([]string{"desk", "bench"}).Draw(t, "caller")}
	s.Job.Team = rapid.SampledFrom([]string{"", "kiln"}).Draw(t, "team")
	s.Job.Job = fmt.Sprint(rapid.IntRange(0, 1+len(m.jobs)).Draw(t, "job ID"))
	tasks := 1
	if !s.Single {
		tasks = rapid.IntRange(1, 5).Draw(t, "tasks")
	}
	for i := range tasks {
		task := message.Task{Path: fmt.Sprint(len(m.jobs), i), Idempotent: rapid.Bool().Draw(t, "idempotent")}
		task.Urgent = rapid.Bool().Draw(t, "urgent")
		task.Accelerator = rapid.SampledFrom([]string{"", "", "", "", "", "", "gpu", "tpu"}).Draw(t, "accelerator")
		s.Tasks = append(s.Tasks, task)
	}
	s.Fingerprint = message.Fingerprint(s.Tasks)
	skew := rapid.IntRange(-1000, 1000).Draw(t, "skew")
	if rapid.IntRange(0, 3).Draw(t, "says when") > 0 {
		s.SubmittedAt = m.now.UnixMilli() + int64(skew)
	}
	if rapid.IntRange(0, 3).Draw(t, "deadline") == 0 {
		s.Deadline = m.now.UnixMilli() + int64(rapid.IntRange(-1, 20_000).Draw(t, "in"))
	}
	return &modelJob{submit: s, submitted: m.now}
}

// drawAgent draws one of the agents that meet the condition, or skips the action.
func (m *stateMachine) drawAgent(t *rapid.T, condition func(*modelAgent) bool) *modelAgent {
	var fitting []*modelAgent
	for _, a := range m.agents {
		if condition(a) {
			fitting = append(fitting, a)
		}
	}
	if len(fitting) == 0 {
		t.Skip("no agent")
	}
	return rapid.SampledFrom(fitting).Draw(t, "agent")
}

func (m *stateMachine) deliver(a *modelAgent) {
	msg := a.out[0]
	a.out = a.out[1:]
	m.step(AgentMessage{Session: a.session, Message: msg})
}

var outcomes = []message.TaskResult{ran, ran, ran, notRun, {Verdict: verdict.MayHaveRun, Reason: verdict.ReasonBadResponse}}

// actions returns the steps of normal operation and one that draws a fault.
func (m *stateMachine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"": func(*rapid.T) {},
		"submit": func(t *rapid.T) {
			j := m.drawJob(t)
			m.jobs = append(m.jobs, j)
			m.submit(j)
		},
		"resubmit": func(t *rapid.T) {
			j := m.drawKnownJob(t)
			if j.submit.SubmittedAt == 0 && m.now.Sub(j.submitted) >= testOptions().ResubmitWindow {
				t.Skip("a caller resubmits only within the window")
			}
			m.submit(j)
		},
		"cancel": func(t *rapid.T) { m.step(JobCancelled{Job: m.drawKnownJob(t).submit.Job}) },
		"agent speaks": func(t *rapid.T) {
			m.deliver(m.drawAgent(t, func(a *modelAgent) bool { return len(a.out) > 0 }))
		},
		"agent reads": func(t *rapid.T) {
			m.drawAgent(t, func(a *modelAgent) bool { return len(a.in) > 0 }).receive()
		},
		"all is delivered": func(*rapid.T) { m.deliverAll() },
		"task ends": func(t *rapid.T) {
			a := m.drawAgent(t, func(a *modelAgent) bool { return len(a.running()) > 0 })
			a.finish(rapid.SampledFrom(a.running()).Draw(t, "entry"), rapid.SampledFrom(outcomes).Draw(t, "outcome"))
		},
		"late start": func(t *rapid.T) {
			if len(m.late) == 0 || !m.now.Before(m.lateUntil) {
				t.Skip("no start is in transit")
			}
			i := rapid.IntRange(0, len(m.late)-1).Draw(t, "start")
			late := m.late[i]
			m.late = slices.Delete(m.late, i, i+1)
			late.agent.startLate(late.start)
		},
		"grant":     func(t *rapid.T) { m.drawAgent(t, connected).grant() },
		"reconnect": func(t *rapid.T) { m.connect(m.drawAgent(t, func(a *modelAgent) bool { return a.session == 0 })) },
		"time passes": func(t *rapid.T) {
			m.advance(rapid.SampledFrom([]time.Duration{1, 10, 500}).Draw(t, "ms") * time.Millisecond)
		},
		"long time passes": func(t *rapid.T) {
			for range rapid.SampledFrom([]int{3, 20, 60}).Draw(t, "seconds") {
				m.sendHeartbeats()
				m.advance(time.Second)
			}
		},
		"fault": func(t *rapid.T) {
			faults := m.faults()
			name := rapid.SampledFrom(slices.Sorted(maps.Keys(faults))).Draw(t, "fault")
			faults[name](t)
		},
	}
}

func (m *stateMachine) faults() map[string]func(*rapid.T) {
	anyAgent := func(*modelAgent) bool { return true }
	return map[string]func(*rapid.T){
		"waiter gone": func(t *rapid.T) {
			w := Waiter{Request: rapid.Uint64Range(0, m.request).Draw(t, "request")}
			m.step(WaiterDisconnected{Waiter: w}) // a timer due now may still answer it
			delete(m.waiting, w)
		},
		"result repeated": func(t *rapid.T) {
			a := m.drawAgent(t, func(a *modelAgent) bool { return len(a.journal) > len(a.running()) })
			if e := rapid.SampledFrom(a.journal).Draw(t, "entry"); e.State == message.StartEnded {
				a.sendResult(&e)
			}
		},
		"withdraw": func(t *rapid.T) {
			a := m.drawAgent(t, connected)
			delete(a.credits, a.lastCredit)
			a.send(&message.Withdraw{Sequence: a.nextSequence(), Credits: []message.CreditID{a.lastCredit}})
		},
		"disconnect": func(t *rapid.T) {
			a := m.drawAgent(t, connected)
			old := a.session
			a.endSession()
			if rapid.Bool().Draw(t, "notices late") {
				m.connect(a)
			}
			m.step(AgentDisconnected{Session: old})
		},
		"restart": func(t *rapid.T) {
			a := m.drawAgent(t, anyAgent)
			m.late = slices.DeleteFunc(m.late, func(l lateStart) bool { return l.agent == a })
			a.restart(m.now)
			m.connect(a)
		},
		"evict":  func(t *rapid.T) { m.drawAgent(t, anyAgent).evict(m.now) },
		"silent": func(*rapid.T) { m.advance(testOptions().AgentTimeout) },
		"release": func(*rapid.T) {
			m.step(ShardReleased{Shard: testShard})
			m.owned = false
		},
		"acquire": func(*rapid.T) {
			if !m.owned {
				m.acquire(false)
			}
		},
		"owner dies": func(*rapid.T) {
			m.collectLateStarts()
			m.newOwner()
			m.acquire(false)
		},
		"lease ends":  func(*rapid.T) { m.step(LeaseChanged{Until: m.now}) },
		"lease comes": func(*rapid.T) { m.step(LeaseChanged{Until: m.now.Add(time.Hour)}) },
	}
}

func connected(a *modelAgent) bool { return a.session != 0 }

func (m *stateMachine) drawKnownJob(t *rapid.T) *modelJob {
	if len(m.jobs) == 0 {
		t.Skip("no job")
	}
	return rapid.SampledFrom(m.jobs).Draw(t, "job")
}

func (m *stateMachine) advance(d time.Duration) {
	m.now = m.now.Add(d)
	m.step(Tick{})
}

// sendHeartbeats delivers a heartbeat of each agent, after all its earlier
// messages.
func (m *stateMachine) sendHeartbeats() {
	for _, a := range m.agents {
		a.send(&message.Heartbeat{Sequence: a.nextSequence()})
		for len(a.out) > 0 {
			m.deliver(a)
		}
	}
}
