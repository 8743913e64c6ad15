package emulator

import (
	"math"
	"slices"
	"time"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/pool/scheduler"
)

// peerLink is a connection that an entry, the origin, has opened to another one, the host,
// to forward jobs. Messages arrive in the order in which they were sent.
type peerLink struct {
	sim                       *simulation
	id                        scheduler.PeerSession
	origin, host              *entryNode
	originLife, hostLife      uint64
	hostArrival, originArrive time.Duration
}

func (l *peerLink) send(to *entryNode, life uint64, arrival *time.Duration, ev scheduler.Event) {
	*arrival = max(*arrival, l.sim.clock.now+l.sim.delay())
	l.sim.clock.at(*arrival, func() {
		if to.alive && to.life == life {
			to.deliver(ev)
		}
	})
}

func (l *peerLink) toHost(ev scheduler.Event) { l.send(l.host, l.hostLife, &l.hostArrival, ev) }

func (l *peerLink) toOrigin(ev scheduler.Event) {
	l.send(l.origin, l.originLife, &l.originArrive, ev)
}

// connectPeers opens the connections between an entry that has booted and the others.
func (s *simulation) connectPeers(n *entryNode) {
	if !s.experiment.Fleet.LoadSharing {
		return
	}
	for _, other := range s.entries {
		if other != n && other.alive {
			s.openPeerLink(n, other)
			s.openPeerLink(other, n)
		}
	}
}

func (s *simulation) openPeerLink(origin, host *entryNode) {
	s.sessions++
	l := &peerLink{
		sim: s, id: scheduler.PeerSession(s.sessions), origin: origin, host: host,
		originLife: origin.life, hostLife: host.life,
	}
	s.peerLinks.Set(l.id, l)
	l.toOrigin(scheduler.PeerConnected{Peer: l.id, Name: host.name, Zone: host.zone})
}

// disconnectPeers ends the connections of an entry whose process has ended.
func (s *simulation) disconnectPeers(n *entryNode) {
	for id, l := range s.peerLinks.All() {
		if l.origin == n || l.host == n {
			l.toOrigin(scheduler.PeerDisconnected{Peer: id})
			l.toHost(scheduler.OriginDisconnected{Origin: id})
			s.peerLinks.Delete(id)
		}
	}
}

func (s *simulation) forward(action scheduler.Action) {
	switch action := action.(type) {
	case scheduler.SendForwardOrders:
		if l := s.peerLinks.Get(action.Peer); l != nil {
			s.result.PeerMessages++
			l.toHost(scheduler.ForwardReceived{Origin: l.id, Name: l.origin.name, Orders: action.Orders})
		}
	case scheduler.SendForwardReport:
		if l := s.peerLinks.Get(action.Origin); l != nil {
			s.result.PeerMessages++
			report := *action.Report
			report.Free = cloneFree(report.Free)
			l.toOrigin(scheduler.PeerReported{Peer: l.id, Report: &report})
		}
	case scheduler.ForwardNote:
		switch action.What {
		case scheduler.ForwardSent:
			s.result.Forwarded++
		case scheduler.ForwardAccepted:
			s.result.ForwardedRun++
		}
	}
}

// cloneFree copies what a host sends to several origins, which deduct from it.
func cloneFree(free []message.FreeCapacity) []message.FreeCapacity {
	free = slices.Clone(free)
	for i := range free {
		free[i].Endpoints = slices.Clone(free[i].Endpoints)
	}
	return free
}

// weightNow returns an entry's weight with the wave of its zone and the callers that have
// moved.
func (s *simulation) weightNow(n *entryNode) float64 {
	weight := n.weight
	if w := s.experiment.Waves; w.Period > 0 {
		phase := s.clock.now.Seconds()/w.Period.Seconds() + float64(slices.Index(s.zones, n.zone))/float64(len(s.zones))
		weight *= 1 + w.Amplitude*math.Sin(2*math.Pi*phase)
	}
	for _, m := range s.moves {
		if m.Zone == n.zone {
			weight += s.movedWeight(m)
		} else {
			weight *= 1 - m.Share
		}
	}
	return weight
}

// movedWeight returns the weight that each entry of a zone gains by a move to it.
func (s *simulation) movedWeight(m Fault) float64 {
	moved, entries := 0.0, 0.0
	for _, n := range s.entries {
		if n.zone == m.Zone {
			entries++
		} else {
			moved += n.weight * m.Share
		}
	}
	return moved / max(entries, 1)
}

// refusedWhileFree reports whether endpoints have free capacity for all tasks of a job.
func (s *simulation) refusedWhileFree(j *job) bool {
	left := int64(len(j.works))
	for _, a := range s.agents {
		if a.alive && a.endpoint.up {
			left -= j.need.Copies(a.endpoint.capacity.Minus(a.endpoint.used), left)
		}
	}
	return left <= 0
}
