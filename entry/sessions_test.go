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
	_ "marjoramlug.example/marjoramlug/plugin/standard" // the policies of the cores
	"marjoramlug.example/marjoramlug/settings"
	"marjoramlug.example/marjoramlug/transport"
)

func (f *fakeFollower) RegisterAgent(string, string) bool {
	if f.onRegister != nil {
		f.onRegister()
	}
	return f.onRegister == nil
}
func (f *fakeFollower) Generation() uint64                                 { return 1 }
func (f *fakeFollower) Owners(string) []ownership.Member                   { return nil }
func (f *fakeFollower) Members() []ownership.Member                        { return f.members }
func (f *fakeFollower) MayAct(string, int, message.Epoch) bool             { return true }
func (f *fakeFollower) HandlePeer(string, message.Message) message.Message { return nil }

// fakeAgent keeps what an entry sends it.
type fakeAgent struct{ views []*message.View }

func (*fakeAgent) Connected(transport.Conn)           {}
func (*fakeAgent) Disconnected(transport.Conn, error) {}
func (a *fakeAgent) Received(_ transport.Conn, m message.Message) {
	if v, ok := m.(*message.View); ok {
		a.views = append(a.views, v)
	}
}

func dialAgent(t *testing.T, b *bench, h transport.Handler) transport.Conn {
	t.Helper()
	hello := message.Hello{Role: message.RoleAgent, Name: "agent-1", Incarnation: 7}
	c, err := b.network.Dial(t.Context(), b.entry.Address(), hello, h)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func (b *bench) received(service string, kind message.Kind) uint64 {
	c, _ := b.entry.ServiceCounters(service)
	return c.Received.Of(kind)
}

// TestBusyServiceKeepsTheIdleOneAlive has an agent that serves two services and,
// as it may, sends no heartbeats while it sends other stamped messages.
func TestBusyServiceKeepsTheIdleOneAlive(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I, b *bench) {
		c := dialAgent(t, b, &fakeAgent{})
		send := func(m message.Message) {
			is.NoErr(c.Send(m))
			synctest.Wait()
		}
		send(&message.Announce{Service: "busy", Sequence: 1})
		send(&message.Announce{Service: "idle", Sequence: 2})
		const seconds = 10
		for stamp := message.Sequence(3); stamp < 3+seconds; stamp++ {
			time.Sleep(time.Second)
			send(&message.Credits{Service: "busy", Sequence: stamp})
		}
		is.Equal(b.received("busy", message.KindCredits), uint64(seconds))
		is.Equal(b.received("idle", message.KindHeartbeat), uint64(seconds))
		counters, _ := b.entry.ServiceCounters("idle")
		is.Equal(counters.Agents, 1) // still connected
		is.Equal(counters.AgentsLost, uint64(0))
	})
}

// eager is a network on which an agent is there as soon as the entry listens.
type eager struct{ *transport.Memory }

func (n eager) Listen(address string, self message.Hello, h transport.Handler) (transport.Listener, error) {
	l, err := n.Memory.Listen(address, self, h)
	if err == nil {
		c, _ := n.Dial(context.Background(), address, message.Hello{Role: message.RoleAgent, Name: "a"}, &fakeAgent{})
		err = c.Send(&message.Heartbeat{Configuration: true, Services: []string{"trials"}})
		synctest.Wait()
	}
	return l, err
}

func TestAgentThatIsThereAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cfg := settings.Entry{Identity: settings.Identity{Name: "self"}, Listen: "self:1", HTTP: "127.0.0.1:0"}
		e, err := New(cfg, Options{Network: eager{transport.NewMemory()}, Log: memory.New(memory.Options{})})
		is.NoErr(err)
		synctest.Wait()
		is.Equal(e.sessions.size(), 1)
		e.Kill()
	})
}

// TestRegistrationReadAtOnceIsNotMissed has the log name the agent, on another
// owner's word, as soon as this entry has asked.
func TestRegistrationReadAtOnceIsNotMissed(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I, b *bench) {
		b.follower.onRegister = func() { observer{b.entry}.AgentRegistered("trials", "agent-1") }
		c := dialAgent(t, b, &fakeAgent{})
		is.NoErr(c.Send(&message.Announce{Service: "trials", Sequence: 1, Endpoints: []message.EndpointInfo{{Name: "e", Slots: 1}}}))
		is.NoErr(c.Send(&message.Credits{Service: "trials", Sequence: 2, Grants: []message.Grant{{Credit: 1, Endpoint: "e"}}}))
		synctest.Wait()
		counters, _ := b.entry.ServiceCounters("trials")
		is.Equal(counters.FreeCredits, 1)
	})
}

func TestPoliciesOfARunningServiceChange(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I, b *bench) {
		b.entry.loop("trials") // agents came before the configuration
		named := config.Service{Name: "trials", Policy: config.Policy{Queueing: "not-known"}}
		observer{b.entry}.Configured(named)
		observer{b.entry}.Configured(named)
		synctest.Wait()
		is.Equal(b.entry.metrics.Counters()["policy.unknown"], int64(1))
	})
}

func TestMessageForAServiceNotAnnouncedIsDropped(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I, b *bench) {
		c := dialAgent(t, b, &fakeAgent{})
		is.NoErr(c.Send(&message.Result{Service: "other"}))
		synctest.Wait()
		is.Equal(b.entry.metrics.Counters()["agent.message.unexpected"], int64(1))
	})
}

func TestConfigurationHeartbeatGetsAViewOnce(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I, b *bench) {
		agent := &fakeAgent{}
		c := dialAgent(t, b, agent)
		beat := &message.Heartbeat{Configuration: true, Services: []string{"trials"}}
		is.NoErr(c.Send(beat))
		is.NoErr(c.Send(&message.Heartbeat{Configuration: true, Generation: 1}))
		synctest.Wait()
		is.Equal(len(agent.views), 1)
		is.Equal(agent.views[0].Services[0].Service, "trials")
		is.True(agent.views[0].Services[0].Configured)
	})
}

// A start that the queue of its agent can't take goes back into the core's.
func TestStartThatFindsTheQueueFullIsKept(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I, b *bench) {
		agent := dialAgent(t, b, &fakeAgent{})
		is.NoErr(agent.Send(&message.Announce{Service: "trials", Sequence: 1, Endpoints: []message.EndpointInfo{{Name: "e", Slots: 1}}}))
		is.NoErr(agent.Send(&message.Credits{Service: "trials", Sequence: 2, Grants: []message.Grant{{Credit: 1, Endpoint: "e"}}}))
		synctest.Wait()
		session, taking := b.entry.sessions.byID[1], b.entry.sessions.byID[1].conn
		for _, c := range []transport.Conn{&fullConn{err: transport.ErrFull}, taking} {
			b.entry.sessions.mu.Lock()
			session.conn = c
			b.entry.sessions.mu.Unlock()
			for _, ev := range []dispatch.Event{
				dispatch.LeaseChanged{Until: time.Now().Add(time.Hour)},
				dispatch.ShardAcquired{Epoch: 1, First: true},
				dispatch.JobSubmitted{Submit: &message.Submit{Service: "trials", Tasks: []message.Task{{}}, SubmittedAt: time.Now().UnixMilli()}},
			} {
				b.entry.loop("trials").post(ev)
			}
			synctest.Wait()
			counters, _ := b.entry.ServiceCounters("trials")
			is.Equal(counters.Queued, 1-counters.Running)
			is.Equal(counters.Running == 1, c == taking)
		}
	})
}

// TestCancelAnswersWithTheStateAfterIt cancels many jobs, as a state read in
// another order than it was asked for would show in some of them only.
func TestCancelAnswersWithTheStateAfterIt(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I, b *bench) {
		b.follower.setOwner("self")
		loop := b.entry.loop("trials")
		for shard := range message.ShardsPerService {
			loop.post(dispatch.ShardAcquired{Shard: shard, Epoch: 1, First: true})
		}
		for n := range 50 {
			job := aJob(string(rune('a' + n)))
			job.Shard, job.SubmittedAt = message.ShardOf("trials", job.Job), time.Now().UnixMilli()
			loop.post(dispatch.JobSubmitted{Submit: job})
			status, err := b.entry.Cancel(t.Context(), "trials", job.Job)
			is.NoErr(err)
			is.True(status.Known && status.Ended)
		}
	})
}
