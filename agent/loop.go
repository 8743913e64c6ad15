package agent

import (
	"context"
	"maps"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"marjoramlug.example/marjoramlug/agent/core"
	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/transport"
)

// loop passes one event at a time to the core until ctx ends.
func (a *Agent) loop(ctx context.Context) {
	ticker := time.NewTicker(a.settings.Heartbeat / ticksPerHeartbeat)
	defer ticker.Stop()
	a.step(ctx, event{core: core.Tick{}})
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
			a.step(ctx, event{core: core.Tick{}})
		case e := <-a.events:
			a.step(ctx, e)
		}
	}
	close(a.stopped)
	for _, conn := range a.sessions {
		conn.Close()
	}
	for _, cancel := range a.runs {
		cancel()
	}
	a.wg.Wait()
	a.closeUnprocessed()
	a.runner.close()
}

// closeUnprocessed closes the connections of queued events that the loop has not
// processed.
func (a *Agent) closeUnprocessed() {
	for {
		select {
		case e := <-a.events:
			if e.conn != nil {
				e.conn.Close()
			}
		default:
			return
		}
	}
}

func (a *Agent) step(ctx context.Context, e event) {
	if e.connsRequest != nil {
		e.connsRequest <- slices.Collect(maps.Values(a.sessions))
		return
	}
	a.recordEvent(e)
	for _, action := range a.core.Step(time.Now(), e.core) {
		a.perform(ctx, action)
	}
}

// recordEvent updates the loop's own state for an event that the core is about to
// process.
func (a *Agent) recordEvent(e event) {
	switch ev := e.core.(type) {
	case core.SessionOpened:
		a.sessions[ev.Session] = e.conn
		a.notifyChange("connected", ev.Peer.Name+" at "+ev.Address, nil)
	case core.SessionClosed:
		delete(a.sessions, ev.Session)
	case core.TaskEnded:
		if cancel := a.runs[ev.ID]; cancel != nil {
			cancel()
			delete(a.runs, ev.ID)
		}
	case core.EndpointLeaving:
		if e.released != nil {
			a.releaseWaiters[ev.Key] = append(a.releaseWaiters[ev.Key], e.released)
		}
	case core.Received:
		a.opts.Metrics.Add("agent.message.received."+ev.Message.Kind().String(), 1)
	}
}

func (a *Agent) perform(ctx context.Context, action core.Action) {
	switch action := action.(type) {
	case core.Send:
		a.send(action)
	case core.Run:
		a.startRun(ctx, action)
	case core.CancelRun:
		if cancel := a.runs[action.ID]; cancel != nil {
			cancel()
		}
	case core.Dial:
		a.dial(ctx, action.Address)
	case core.Disconnect:
		if conn := a.sessions[action.Session]; conn != nil {
			a.spawn(conn.Close)
		}
	case core.EndpointReleased:
		a.endpointReleased(action.Key)
	case core.Drained:
		close(a.drained)
	case core.Count:
		a.opts.Metrics.Add(string(action.Counter), 1)
	}
}

// send queues a message. If the connection does not accept it, the connection is
// closed, and its peer learns what it has missed after reconnecting.
func (a *Agent) send(action core.Send) {
	conn := a.sessions[action.Session]
	if conn == nil {
		return
	}
	if err := conn.Send(action.Message); err != nil {
		a.opts.Metrics.Add("agent.send.failed", 1)
		a.spawn(conn.Close)
		return
	}
	a.opts.Metrics.Add("agent.message.sent."+action.Message.Kind().String(), 1)
}

func (a *Agent) startRun(ctx context.Context, run core.Run) {
	ctx, cancel := context.WithCancel(ctx)
	a.runs[run.ID] = cancel
	a.spawn(func() {
		startTime := time.Now()
		result := a.runner.run(ctx, run)
		a.opts.Metrics.Observe("agent.run", run.Team, run.Task.Class, time.Since(startTime))
		a.post(event{core: core.TaskEnded{ID: run.ID, Result: result}})
	})
}

func (a *Agent) dial(ctx context.Context, address string) {
	a.nextSession++
	handler := &sessionHandler{agent: a, id: a.nextSession, address: address}
	a.spawn(func() {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		if _, err := a.opts.Network.Dial(ctx, address, a.self, handler); err != nil {
			a.opts.Metrics.Add("agent.dial.failed", 1)
			a.post(event{core: core.DialFailed{Address: address}})
		}
	})
}

func (a *Agent) endpointReleased(key core.EndpointKey) {
	for _, released := range a.releaseWaiters[key] {
		close(released)
	}
	delete(a.releaseWaiters, key)
	a.runner.forget(key)
	a.notifyChange("endpoint gone", key.Service+"/"+key.Name, nil)
}

// closeSessions sends what is queued on all sessions and closes them.
func (a *Agent) closeSessions(ctx context.Context) error {
	conns := make(chan []transport.Conn, 1)
	if !a.post(event{connsRequest: conns}) {
		return nil
	}
	var group errgroup.Group
	for _, conn := range <-conns {
		group.Go(func() error { return transport.Shutdown(ctx, conn) })
	}
	return group.Wait()
}

func (a *Agent) spawn(f func()) { a.wg.Go(f) }

// sessionHandler converts the events of a connection into events of the loop.
type sessionHandler struct {
	agent   *Agent
	id      core.SessionID
	address string
}

// Connected implements transport.Handler.
func (h *sessionHandler) Connected(c transport.Conn) {
	if c.Peer().Role != message.RoleEntry {
		h.agent.opts.Metrics.Add("agent.dial.not_an_entry", 1)
		c.Close()
		return
	}
	opened := core.SessionOpened{Session: h.id, Address: h.address, Peer: c.Peer()}
	if !h.agent.post(event{core: opened, conn: c}) {
		c.Close()
	}
}

// Received implements transport.Handler.
func (h *sessionHandler) Received(_ transport.Conn, m message.Message) {
	h.agent.post(event{core: core.Received{Session: h.id, Message: m}})
}

// Disconnected implements transport.Handler.
func (h *sessionHandler) Disconnected(c transport.Conn, cause error) {
	if c.Peer().Role != message.RoleEntry {
		h.agent.post(event{core: core.DialFailed{Address: h.address}})
		return
	}
	h.agent.post(event{core: core.SessionClosed{Session: h.id}})
	h.agent.notifyChange("disconnected", c.Peer().Name+" at "+h.address, cause)
}
