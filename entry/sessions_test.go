package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"marjoramlug.example/marjoramlug/config"
	"marjoramlug.example/marjoramlug/dispatch"
	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/ownership"
	"marjoramlug.example/marjoramlug/plugin/log/memory"
	_ "marjoramlug.example/marjoramlug/plugin/standard" // registers the cores' policies
	"marjoramlug.example/marjoramlug/settings"
	"marjoramlug.example/marjoramlug/transport"
)

func (f *fakeReplica) RegisterAgent(string, string) bool {
	if f.onRegister != nil {
		f.onRegister()
	}
	return f.onRegister == nil
}
func (f *fakeReplica) Generation() uint64                                    { return 1 }
func (f *fakeReplica) Owners(string) []ownership.Member                      { return nil }
func (f *fakeReplica) Members() []ownership.Member                           { return f.members }
func (f *fakeReplica) MayAct(string, int, message.Epoch) bool                { return true }
func (f *fakeReplica) HandleMessage(string, message.Message) message.Message { return nil }

// fakeAgent records the views that an entry sends it.
type fakeAgent struct{ views []*message.View }

func (*fakeAgent) Connected(transport.Conn)           {}
func (*fakeAgent) Disconnected(transport.Conn, error) {}
func (a *fakeAgent) Received(_ transport.Conn, m message.Message) {
	if v, ok := m.(*message.View); ok {
		a.views = append(a.views, v)
	}
}

func dialAgent(t *testing.T, h *harness, handler transport.Handler) transport.Conn {
	t.Helper()
	hello := message.Hello{Role: message.RoleAgent, Name: "agent-1", Incarnation: 7}
	c, err := h.network.Dial(t.Context(), h.entry.Address(), hello, handler)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func (h *harness) received(service string, kind message.Kind) uint64 {
	c, _ := h.entry.ServiceCounters(service)
	return c.Received.Of(kind)
}

// An agent that serves two services may omit heartbeats while it sends other
// messages with sequence numbers for one of them. The other service's core must
// not take the agent for unresponsive.
func TestBusyServiceKeepsIdleServiceConnected(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I, h *harness) {
		c := dialAgent(t, h, &fakeAgent{})
		send := func(m message.Message) {
			is.NoErr(c.Send(m))
			synctest.Wait()
		}
		send(&message.Announce{Service: "busy", Sequence: 1})
		send(&message.Announce{Service: "idle", Sequence: 2})
		const seconds = 10
		for seq := message.Sequence(3); seq < 3+seconds; seq++ {
			time.Sleep(time.Second)
			send(&message.Credits{Service: "busy", Sequence: seq})
		}
		is.Equal(h.received("busy", message.KindCredits), uint64(seconds))
		is.Equal(h.received("idle", message.KindHeartbeat), uint64(seconds))
		counters, _ := h.entry.ServiceCounters("idle")
		is.Equal(counters.Agents, 1) // still connected
		is.Equal(counters.AgentsLost, uint64(0))
	})
}

// connectOnListen is a network on which an agent connects and subscribes as soon
// as the entry listens.
type connectOnListen struct{ *transport.Memory }

func (n connectOnListen) Listen(address string, self message.Hello, handler transport.Handler) (transport.Listener, error) {
	l, err := n.Memory.Listen(address, self, handler)
	if err == nil {
		c, _ := n.Dial(context.Background(), address, message.Hello{Role: message.RoleAgent, Name: "a"}, &fakeAgent{})
		err = c.Send(&message.Heartbeat{RequestView: true, Services: []string{"trials"}})
		synctest.Wait()
	}
	return l, err
}

// An agent can connect before New has built the rest of the entry; its session
// must wait for that.
func TestAgentConnectsDuringNew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cfg := settings.Entry{Identity: settings.Identity{Name: "self"}, Listen: "self:1", HTTP: "127.0.0.1:0"}
		e, err := New(cfg, Options{Network: connectOnListen{transport.NewMemory()}, Log: memory.New(memory.Options{})})
		is.NoErr(err)
		synctest.Wait()
		is.Equal(e.sessions.agentCount(), 1)
		e.Kill()
	})
}

// The log can contain the agent's registration, written by another owner, by the
// time this entry requests it. The core must not miss it.
func TestRegistrationReadDuringAnnounceIsNotMissed(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I, h *harness) {
		h.logReplica.onRegister = func() { observer{h.entry}.AgentRegistered("trials", "agent-1") }
		c := dialAgent(t, h, &fakeAgent{})
		is.NoErr(c.Send(&message.Announce{Service: "trials", Sequence: 1, Endpoints: []message.EndpointInfo{{Name: "e", Slots: 1}}}))
		is.NoErr(c.Send(&message.Credits{Service: "trials", Sequence: 2, Grants: []message.Grant{{Credit: 1, Endpoint: "e"}}}))
		synctest.Wait()
		counters, _ := h.entry.ServiceCounters("trials")
		is.Equal(counters.FreeCredits, 1)
	})
}

func TestPoliciesOfRunningServiceAreReplaced(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I, h *harness) {
		h.entry.loop("trials") // as when agents announce the service before its configuration is read
		named := config.Service{Name: "trials", Policy: config.Policy{Queueing: "not-known"}}
		observer{h.entry}.Configured(named)
		observer{h.entry}.Configured(named)
		synctest.Wait()
		is.Equal(h.entry.metrics.Counters()["policy.unknown"], int64(1))
	})
}

func TestMessageForUnannouncedServiceIsDropped(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I, h *harness) {
		c := dialAgent(t, h, &fakeAgent{})
		is.NoErr(c.Send(&message.Result{Service: "other"}))
		synctest.Wait()
		is.Equal(h.entry.metrics.Counters()["agent.message.unexpected"], int64(1))
	})
}

func TestUnchangedSubscriptionGetsNoSecondView(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I, h *harness) {
		agent := &fakeAgent{}
		c := dialAgent(t, h, agent)
		heartbeat := &message.Heartbeat{RequestView: true, Services: []string{"trials"}}
		is.NoErr(c.Send(heartbeat))
		is.NoErr(c.Send(&message.Heartbeat{RequestView: true, Generation: 1}))
		synctest.Wait()
		is.Equal(len(agent.views), 1)
		is.Equal(agent.views[0].Services[0].Service, "trials")
		is.True(agent.views[0].Services[0].Configured)
	})
}

// A start that finds the agent's send queue full returns to the core's queue.
func TestStartIsRequeuedWhenSendQueueIsFull(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I, h *harness) {
		agent := dialAgent(t, h, &fakeAgent{})
		is.NoErr(agent.Send(&message.Announce{Service: "trials", Sequence: 1, Endpoints: []message.EndpointInfo{{Name: "e", Slots: 1}}}))
		is.NoErr(agent.Send(&message.Credits{Service: "trials", Sequence: 2, Grants: []message.Grant{{Credit: 1, Endpoint: "e"}}}))
		synctest.Wait()
		session, openConn := h.entry.sessions.byID[1], h.entry.sessions.byID[1].conn
		for _, c := range []transport.Conn{&rejectingConn{err: transport.ErrFull}, openConn} {
			h.entry.sessions.mu.Lock()
			session.conn = c
			h.entry.sessions.mu.Unlock()
			for _, ev := range []dispatch.Event{
				dispatch.LeaseChanged{Until: time.Now().Add(time.Hour)},
				dispatch.ShardAcquired{Epoch: 1, First: true},
				dispatch.JobSubmitted{Submit: &message.Submit{Service: "trials", Tasks: []message.Task{{}}, SubmittedAt: time.Now().UnixMilli()}},
			} {
				h.entry.loop("trials").post(ev)
			}
			synctest.Wait()
			counters, _ := h.entry.ServiceCounters("trials")
			is.Equal(counters.Queued, 1-counters.Running)
			is.Equal(counters.Running == 1, c == openConn)
		}
	})
}

// The state must be read after the cancellation. The test cancels many jobs,
// because a race between the two would show in only some of them.
func TestCancelReturnsTheStateAfterCancellation(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I, h *harness) {
		h.logReplica.setOwner("self")
		loop := h.entry.loop("trials")
		for shard := range message.ShardsPerService {
			loop.post(dispatch.ShardAcquired{Shard: shard, Epoch: 1, First: true})
		}
		for n := range 50 {
			job := newJob(string(rune('a' + n)))
			job.Shard, job.SubmittedAt = message.ShardOf("trials", job.Job), time.Now().UnixMilli()
			loop.post(dispatch.JobSubmitted{Submit: job})
			status, err := h.entry.Cancel(t.Context(), "trials", job.Job)
			is.NoErr(err)
			is.True(status.Known && status.Ended)
		}
	})
}
