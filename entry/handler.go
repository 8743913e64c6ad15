package entry

import (
	"context"

	"marjoramlug.example/marjoramlug/dispatch"
	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/transport"
)

// Connected implements transport.Handler.
func (e *Entry) Connected(c transport.Conn) {
	<-e.built
	switch c.Peer().Role {
	case message.RoleAgent:
		e.sessions.connected(c)
	case message.RoleEntry:
		e.relayConns.add(c)
	default:
		e.metrics.Add("peer.refused", 1)
		c.Close()
	}
}

// Disconnected implements transport.Handler.
func (e *Entry) Disconnected(c transport.Conn, cause error) {
	switch c.Peer().Role {
	case message.RoleAgent:
		e.sessions.disconnected(c)
	case message.RoleEntry:
		e.relayConns.remove(c)
		e.peers.connClosed(c)
		e.relay.connClosed(c)
	}
}

// Received implements transport.Handler.
func (e *Entry) Received(c transport.Conn, m message.Message) {
	e.messages.Received(m.Kind())
	if c.Peer().Role == message.RoleAgent {
		e.sessions.received(c, m)
		return
	}
	e.receivedFromEntry(c, m)
}

func (e *Entry) receivedFromEntry(c transport.Conn, m message.Message) {
	switch m := m.(type) {
	case *message.Submit, *message.StatusRequest, *message.CancelJob, *message.Abandon:
		e.receiveRequest(e.relayConns.id(c), m)
	case *message.Answer:
		e.relay.deliver(c, m.Request, &m.Answer)
	case *message.Status:
		e.relay.deliver(c, m.Request, m)
	case *message.PromiseRequest, *message.Promise, *message.StateRequest, *message.StateReply:
		e.receivedByReplica(c, m)
	default:
		e.metrics.Add("peer.message.unexpected", 1)
	}
}

func (e *Entry) receivedByReplica(c transport.Conn, m message.Message) {
	reply := e.replica.HandleMessage(c.Peer().Name, m)
	if reply != nil {
		_ = e.send(c, reply) // on failure the peer repeats its request
	}
}

// receiveRequest passes a request of a relaying entry, or of this entry itself, to
// the core of its service.
func (e *Entry) receiveRequest(relayID uint64, m message.Message) {
	switch m := m.(type) {
	case *message.Submit:
		waiter := dispatch.Waiter{Relay: relayID, Request: m.Request}
		e.loop(m.Service).post(dispatch.JobSubmitted{Waiter: waiter, Submit: m})
	case *message.Abandon:
		waiter := dispatch.Waiter{Relay: relayID, Request: m.Request}
		e.loop(m.Service).post(dispatch.WaiterDisconnected{Waiter: waiter})
	case *message.StatusRequest:
		go e.answerStatus(relayID, m.Request, m.Service, m.Job)
	case *message.CancelJob:
		e.loop(m.Service).post(dispatch.JobCancelled{Job: m.Job})
		go e.answerStatus(relayID, m.Request, m.Service, m.Job)
	}
}

// answerStatus sends a job's state to the entry that requested it.
func (e *Entry) answerStatus(relayID, request uint64, service string, job message.JobKey) {
	var status message.Status
	ctx, cancel := context.WithTimeout(e.ctx, dialTimeout)
	defer cancel()
	if !e.loop(service).inspectCore(ctx, func(c *dispatch.Core) { status = c.Status(job) }) {
		status.NotOwner = true
	}
	status.Request = request
	if relayID == localRelay {
		e.relay.deliver(nil, request, &status)
		return
	}
	if conn, ok := e.relayConns.conn(relayID); ok {
		_ = e.send(conn, &status) // the relaying entry repeats its request when the connection ends
	}
}
