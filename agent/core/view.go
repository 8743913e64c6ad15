package core

import (
	"slices"
	"time"

	"marjoramlug.example/marjoramlug/message"
)

// view is the last reported state of owners and entries.
type view struct {
	generation uint64
	services   map[string]message.ServiceView
	// entryAddresses are the addresses of entries, those in the agent's availability
	// zone first.
	entryAddresses []string
}

// handleView applies a view of a higher generation than the current one. It applies
// one of the same generation only if it comes from the view session.
func (c *Core) handleView(now time.Time, s *session, m *message.View) {
	older := m.Generation < c.view.generation
	same := m.Generation == c.view.generation
	if older || (same && s != c.viewSession) {
		return
	}
	c.view.generation = m.Generation
	if len(m.Entries) > 0 {
		c.view.entryAddresses = m.Entries
	}
	for _, sv := range m.Services {
		c.view.services[sv.Service] = sv
	}
	c.reconcile(now)
}

// reconcile updates announcements, credits and connections to match the view, the
// endpoints and the open sessions.
func (c *Core) reconcile(now time.Time) {
	for _, sv := range c.sortedServices() {
		for _, s := range c.sessions {
			c.reconcileOwner(now, s, sv)
		}
		c.distribute(now, sv)
		if len(sv.endpoints) == 0 {
			delete(c.services, sv.name)
			c.servicesChanged()
		}
	}
	c.connect(now)
}

// reconcileOwner announces the endpoints of a service to a session's peer if it
// owns shards of the service, and withdraws its credits if it no longer does.
func (c *Core) reconcileOwner(now time.Time, s *session, sv *service) {
	o := s.ownerStates[sv.name]
	if !c.owns(s, sv.name) {
		if o != nil {
			c.withdraw(now, s, sv.name, s.creditsOf(sv.name))
			delete(s.ownerStates, sv.name)
		}
		return
	}
	if o == nil {
		if len(sv.endpoints) == 0 {
			return
		}
		o = &ownerState{}
		s.ownerStates[sv.name] = o
	}
	if o.announced != sv.version {
		o.announced = sv.version
		c.send(s, &message.Announce{Service: sv.name, Sequence: c.nextSequence(now, s), Endpoints: sv.infos()})
	}
	if len(sv.endpoints) == 0 {
		delete(s.ownerStates, sv.name)
	}
}

// owns reports whether a session's peer owns shards of a service.
func (c *Core) owns(s *session, service string) bool {
	return slices.ContainsFunc(c.view.services[service].Owners, func(o message.OwnerInfo) bool {
		return o.Name == s.peer.Name
	})
}

// creditsOf returns a session's live credits of a service in ascending order.
func (s *session) creditsOf(service string) []message.CreditID {
	var ids []message.CreditID
	for id, key := range s.credits {
		if key.Service == service {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// servicesChanged records that the set of services must be sent again on the view
// session.
func (c *Core) servicesChanged() {
	for _, s := range c.sessions {
		s.servicesSent = false
	}
}

// sendHeartbeats sends a heartbeat on each session on which no sequence number was
// sent for the heartbeat interval.
func (c *Core) sendHeartbeats(now time.Time) {
	for _, s := range c.sessions {
		if s == c.viewSession {
			c.requestView(now, s)
		}
		if now.Sub(s.lastSequenceAt) >= c.opts.Heartbeat {
			c.send(s, &message.Heartbeat{Sequence: c.nextSequence(now, s)})
		}
	}
}

// requestView requests changes of the view once per heartbeat interval. When the set
// of services has changed, it sends the set and requests a whole view by naming
// generation 0.
func (c *Core) requestView(now time.Time, s *session) {
	if s.servicesSent && now.Sub(s.lastViewRequest) < c.opts.Heartbeat {
		return
	}
	m := &message.Heartbeat{Sequence: c.nextSequence(now, s), RequestView: true, Generation: c.view.generation}
	if !s.servicesSent {
		m.Generation = 0
		for _, sv := range c.sortedServices() {
			m.Services = append(m.Services, sv.name)
		}
	}
	s.servicesSent = true
	s.lastViewRequest = now
	c.send(s, m)
}
