package agent_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramlug.example/marjoramlug/agent"
	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/settings"
	"marjoramlug.example/marjoramlug/standin/endpoint"
	"marjoramlug.example/marjoramlug/transport"
	"marjoramlug.example/marjoramlug/verdict"
)

const service = "trials"

// fakeEntry is an entry whose messages the test sends and receives itself.
type fakeEntry struct {
	t        *testing.T
	listener transport.Listener
	conns    chan transport.Conn
	closed   chan transport.Conn
	messages chan message.Message
	conn     transport.Conn
	sequence message.Sequence
	seq      uint64
	credits  []message.Grant
}

func newFakeEntry(t *testing.T, n transport.Network, name string) *fakeEntry {
	t.Helper()
	e := &fakeEntry{
		t: t, conns: make(chan transport.Conn, 16), closed: make(chan transport.Conn, 16),
		messages: make(chan message.Message, 4096),
	}
	hello := message.Hello{Role: message.RoleEntry, Name: name, Incarnation: 1}
	var err error
	if e.listener, err = n.Listen("127.0.0.1:0", hello, e); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = e.listener.Close() })
	return e
}

func (e *fakeEntry) Connected(c transport.Conn)                   { e.conns <- c }
func (e *fakeEntry) Received(_ transport.Conn, m message.Message) { e.messages <- m }
func (e *fakeEntry) Disconnected(c transport.Conn, _ error)       { e.closed <- c }

// next returns the next message of one type; it records sequence numbers and
// credits and drops messages of other types.
func next[T message.Message](e *fakeEntry) T {
	e.t.Helper()
	for {
		select {
		case m := <-e.messages:
			e.record(m)
			if want, ok := m.(T); ok {
				return want
			}
		case <-e.t.Context().Done():
			e.t.Fatal("test ended")
		}
	}
}

func (e *fakeEntry) record(m message.Message) {
	switch m := m.(type) {
	case *message.Announce:
		e.sequence = m.Sequence
	case *message.Heartbeat:
		e.sequence = m.Sequence
	case *message.Credits:
		e.sequence = m.Sequence
		e.credits = append(e.credits, m.Grants...)
	case *message.Result:
		e.sequence = m.Sequence
		e.credits = append(e.credits, m.Grants...)
	case *message.Withdraw:
		e.sequence = m.Sequence
		e.credits = nil
	}
}

// serve accepts the connection of the agent, makes the entry the owner of the
// service and receives the announcement.
func (e *fakeEntry) serve() *message.Announce {
	e.conn = <-e.conns
	for len(next[*message.Heartbeat](e).Services) == 0 {
		// The first heartbeat may have been sent before the endpoint was announced.
		continue
	}
	e.send(e.view(1))
	return next[*message.Announce](e)
}

func (e *fakeEntry) view(generation uint64) *message.View {
	return &message.View{Generation: generation, Services: []message.ServiceView{{
		Service: service, Configured: true,
		Owners: []message.OwnerInfo{{Name: "entry-1", Address: e.listener.Address()}},
	}}}
}

func (e *fakeEntry) send(m message.Message) {
	e.t.Helper()
	if err := e.conn.Send(m); err != nil {
		e.t.Fatal(err)
	}
}

// start returns a start that spends the next credit.
func (e *fakeEntry) start(task message.Task) *message.Start {
	e.t.Helper()
	for len(e.credits) == 0 {
		next[*message.Credits](e)
	}
	e.seq++
	credit := e.credits[0]
	e.credits = e.credits[1:]
	return &message.Start{
		Service: service, Epoch: 1, Job: message.JobKey{Job: "job"}, Index: int(e.seq),
		ID: message.StartID{Owner: 1, Seq: e.seq}, Credit: credit.Credit, Endpoint: credit.Endpoint,
		Sequence: e.sequence, Task: task,
	}
}

// fixture is an agent with one endpoint and one entry.
type fixture struct {
	entry    *fakeEntry
	agent    *agent.Agent
	endpoint *endpoint.Server
	network  transport.Network
	kill     func()
}

func newFixture(t *testing.T, o endpoint.Options) *fixture {
	t.Helper()
	network := transport.NewMemory()
	f := &fixture{entry: newFakeEntry(t, network, "entry-1"), network: network}
	f.agent, f.kill = runAgent(t, network, f.entry)
	t.Cleanup(func() { f.kill() })
	o.Service, o.Name, o.Agent = service, "endpoint-1", f.agent.HTTPAddress()
	o.Slots = max(o.Slots, 1)
	f.endpoint = endpoint.New(o)
	if err := f.endpoint.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.endpoint.Kill)
	return f
}

// newServingFixture returns a fixture whose entry is connected and owns the
// service.
func newServingFixture(t *testing.T, o endpoint.Options) (*is.I, *fixture) {
	t.Helper()
	f := newFixture(t, o)
	f.entry.serve()
	return is.New(t), f
}

// runAgent runs an agent and returns a function that stops it without a drain.
func runAgent(t *testing.T, network transport.Network, e *fakeEntry) (*agent.Agent, func()) {
	t.Helper()
	a := agent.New(settings.Agent{
		Identity: settings.Identity{Name: "agent-1", Zone: "a"},
		HTTP:     "127.0.0.1:0",
		Entries:  []string{e.listener.Address()},
	}, agent.Options{Network: network})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- a.Run(ctx) }()
	return a, sync.OnceFunc(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
}

func task(key string, run time.Duration) message.Task {
	return message.Task{Method: "POST", Path: "/", Body: fmt.Appendf(nil, `{"key":%q,"run_millis":%d}`, key, run.Milliseconds())}
}

func TestTaskRunsAndItsResultBringsTheNextCredit(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, endpoint.Options{Slots: 2})
	announce := f.entry.serve()
	is.Equal(announce.Endpoints[0].Slots, 2)
	is.Equal(len(next[*message.Credits](f.entry).Grants), 2)

	f.entry.send(f.entry.start(task("t1", time.Millisecond)))
	result := next[*message.Result](f.entry)
	is.Equal(result.Result.Verdict, verdict.Ran)
	is.Equal(string(result.Result.Body), "{\"key\":\"t1\",\"endpoint\":\"endpoint-1\"}\n")
	is.Equal(len(result.Grants), 1)
	is.Equal(f.endpoint.Starts()["t1"], 1)
}
