package core

import (
	"slices"
	"strings"
	"time"

	"marjoramlug.example/marjoramlug/message"
)

// endpoint is the state of an announced endpoint.
type endpoint struct {
	key     EndpointKey
	address string
	info    message.EndpointInfo
	// running counts accepted starts that have not ended, and liveCredits the live
	// credits for its slots. Their sum exceeds the capacity only after the endpoint has
	// announced fewer slots while tasks were running.
	running     int
	liveCredits int
	lastSeen    time.Time
	// leaveRequested is set when the endpoint has asked to leave.
	leaveRequested bool
}

// capacity returns the number of tasks that the endpoint may run at a time.
func (e *endpoint) capacity() int {
	if e.info.Leaving {
		return 0
	}
	if e.info.Connections > 0 {
		return min(e.info.Slots, e.info.Connections)
	}
	return e.info.Slots
}

func (e *endpoint) free() int { return e.capacity() - e.running - e.liveCredits }

// service is the state of a service with endpoints at this agent.
type service struct {
	name string
	// endpoints is sorted by name.
	endpoints []*endpoint
	// version is incremented by each change that must be announced to the owners.
	version uint64
}

func (s *service) find(name string) (int, bool) {
	return slices.BinarySearchFunc(s.endpoints, name, func(e *endpoint, name string) int {
		return strings.Compare(e.key.Name, name)
	})
}

func (s *service) infos() []message.EndpointInfo {
	infos := make([]message.EndpointInfo, 0, len(s.endpoints))
	for _, e := range s.endpoints {
		infos = append(infos, e.info)
	}
	return infos
}

// maxEndpoints bounds the endpoints of an agent: hundreds of times as many as a machine runs.
const maxEndpoints = 1024

func (c *Core) endpoints() int {
	n := 0
	for _, s := range c.services {
		n += len(s.endpoints)
	}
	return n
}

func (c *Core) endpoint(key EndpointKey) *endpoint {
	s := c.services[key.Service]
	if s == nil {
		return nil
	}
	i, ok := s.find(key.Name)
	if !ok {
		return nil
	}
	return s.endpoints[i]
}

// handleAnnouncement adds or updates an endpoint. A draining agent ignores
// announcements, one with maxEndpoints those of further endpoints.
func (c *Core) handleAnnouncement(now time.Time, e EndpointAnnounced) {
	if c.draining {
		return
	}
	e.Info.Leaving = false
	if c.endpoint(EndpointKey{e.Service, e.Info.Name}) == nil && c.endpoints() >= maxEndpoints {
		c.count(EndpointRefused)
		return
	}
	s := c.services[e.Service]
	if s == nil {
		s = &service{name: e.Service}
		c.services[e.Service] = s
		c.servicesChanged()
	}
	i, ok := s.find(e.Info.Name)
	if !ok {
		key := EndpointKey{e.Service, e.Info.Name}
		ep := &endpoint{key: key, address: e.Address, info: e.Info, lastSeen: now}
		s.endpoints = slices.Insert(s.endpoints, i, ep)
		s.version++
		c.count(EndpointNew)
		c.reconcile(now)
		return
	}
	ep := s.endpoints[i]
	if ep.leaveRequested && ep.address == e.Address {
		// The announcement was probably sent before the endpoint asked to leave. If
		// the endpoint has returned instead, the announcement that it repeats after
		// its removal adds it again.
		return
	}
	ep.lastSeen, ep.leaveRequested = now, false
	ep.address = e.Address
	if equalInfo(ep.info, e.Info) {
		return
	}
	ep.info = e.Info
	s.version++
	c.withdrawExcess(now, ep)
	c.reconcile(now)
}

func equalInfo(a, b message.EndpointInfo) bool {
	return a.Slots == b.Slots && a.Connections == b.Connections && a.Memory == b.Memory &&
		a.Leaving == b.Leaving && slices.Equal(a.Accelerators, b.Accelerators)
}

// markLeaving lets the running tasks of an endpoint finish, withdraws its credits
// and grants no more of its slots.
func (c *Core) markLeaving(now time.Time, ep *endpoint) {
	if !ep.info.Leaving {
		ep.info.Leaving = true
		c.services[ep.key.Service].version++
		c.withdrawExcess(now, ep)
	}
	c.removeIfIdle(ep)
}

// removeIfIdle removes a leaving endpoint once no task runs on it, and reports
// whether it did.
func (c *Core) removeIfIdle(ep *endpoint) bool {
	if !ep.info.Leaving || ep.running > 0 {
		return false
	}
	s := c.services[ep.key.Service]
	i, ok := s.find(ep.key.Name)
	if !ok {
		return false
	}
	s.endpoints = slices.Delete(s.endpoints, i, i+1)
	s.version++
	c.count(EndpointRemoved)
	c.emit(EndpointReleased{ep.key})
	return true
}

// expireEndpoints marks endpoints as leaving that have not repeated their
// announcement in time.
func (c *Core) expireEndpoints(now time.Time) {
	changed := false
	for _, s := range c.sortedServices() {
		for _, ep := range slices.Clone(s.endpoints) {
			if ep.info.Leaving || now.Sub(ep.lastSeen) <= c.opts.AnnounceTimeout {
				continue
			}
			c.count(EndpointExpired)
			c.markLeaving(now, ep)
			changed = true
		}
	}
	if changed {
		c.reconcile(now)
	}
}

// withdrawExcess withdraws credits of an endpoint until its free capacity is not
// negative or it has no credits left.
func (c *Core) withdrawExcess(now time.Time, ep *endpoint) {
	for _, s := range c.sessions {
		if ep.free() >= 0 {
			return
		}
		var ids []message.CreditID
		for id, key := range s.credits {
			if key == ep.key {
				ids = append(ids, id)
			}
		}
		slices.Sort(ids)
		excess := min(len(ids), -ep.free())
		c.withdraw(now, s, ep.key.Service, ids[len(ids)-excess:])
	}
}

func (c *Core) withdraw(now time.Time, s *session, service string, ids []message.CreditID) {
	if len(ids) == 0 {
		return
	}
	for _, id := range ids {
		c.removeCredit(s, id)
		c.count(CreditWithdrawn)
	}
	c.send(s, &message.Withdraw{Service: service, Sequence: c.nextSequence(now, s), Credits: ids})
}

func (c *Core) sortedServices() []*service {
	sorted := make([]*service, 0, len(c.services))
	for _, s := range c.services {
		sorted = append(sorted, s)
	}
	slices.SortFunc(sorted, func(a, b *service) int { return strings.Compare(a.name, b.name) })
	return sorted
}
