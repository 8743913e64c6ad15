package node

import (
	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/pool/scheduler"
	"marjoramlug.example/marjoramlug/transport"
)

// The messages of forwarded jobs: on a connection that this entry has dialled it sends
// ForwardOrders and receives ForwardReport, on an accepted one the reverse.

// dialledPeer notifies the core of a connection over which it can forward jobs.
func (p *peers) dialledPeer(c transport.Conn) {
	id := p.links.add(c)
	p.entry.post(entryEvent{event: scheduler.PeerConnected{
		Peer: scheduler.PeerSession(id), Name: c.Peer().Name, Zone: c.Peer().Zone,
	}})
}

func (p *peers) reported(c transport.Conn, m *message.ForwardReport) {
	if id := p.links.id(c); id != 0 {
		p.entry.post(entryEvent{event: scheduler.PeerReported{Peer: scheduler.PeerSession(id), Report: m}})
	}
}

func (p *peers) forwardReceived(c transport.Conn, m *message.ForwardOrders) {
	if id := p.links.id(c); id != 0 {
		p.entry.post(entryEvent{event: scheduler.ForwardReceived{
			Origin: scheduler.PeerSession(id), Name: c.Peer().Name, Orders: m,
		}})
	}
}

// noteForward counts what became of a forwarded job and logs it.
func (e *Entry) noteForward(n scheduler.ForwardNote) {
	e.opts.Metrics.Add("forward."+n.What.String(), 1)
	e.opts.Log.Failure().Str("event", "job forwarded").Str("what", n.What.String()).Str("job", n.Job.ID).
		Str("queue", n.Job.Queue).Str("peer", n.Peer).Int("tasks", n.Job.Tasks).Int64("took_ms", n.Took.Milliseconds()).
		Str("detail", n.Detail).Msg("")
}
