package core

import (
	"math"
	"time"

	"marjoramlug.example/marjoramlug/message"
)

// ownerIdleTime is how long an owner with an empty queue must have started nothing
// before its credits may be withdrawn for an owner with demand.
const ownerIdleTime = 100 * time.Millisecond

// grants holds the credits granted by one decision, by session.
type grants map[*session][]message.Grant

// allocate grants all free slots of a service to its owners as credits.
func (c *Core) allocate(sv *service) grants {
	granted := grants{}
	for _, ep := range sv.endpoints {
		for ep.free() > 0 {
			s := c.selectOwner(sv.name)
			if s == nil {
				return granted
			}
			granted[s] = append(granted[s], c.grant(s, ep))
		}
	}
	return granted
}

// grant grants a free slot of ep to s. The ID of the credit is unique across all
// sessions and incarnations, so that a start that names a credit of an earlier
// session is never accepted in a later one.
func (c *Core) grant(s *session, ep *endpoint) message.Grant {
	c.lastCredit++
	s.credits[c.lastCredit] = ep.key
	s.ownerStates[ep.key.Service].charge()
	s.ownerStates[ep.key.Service].liveCredits++
	ep.liveCredits++
	c.count(CreditGranted)
	return message.Grant{Credit: c.lastCredit, Endpoint: ep.key.Name}
}

// selectOwner returns the owner that gets the next credit, or nil if the service
// has none. Owners with demand come first, among them those with urgent demand, then
// the one furthest behind its fair share. Fair shares are proportional to the
// numbers of waiting callers: if they were proportional to the numbers of queued
// tasks, a single caller with many tasks could starve the other owners. Owners
// without demand get equal numbers of credits.
func (c *Core) selectOwner(service string) *session {
	var best *session
	for _, s := range c.sessions {
		o := s.ownerStates[service]
		if o != nil && (best == nil || o.before(best.ownerStates[service])) {
			best = s
		}
	}
	return best
}

// hasDemand reports whether the owner has demand, that is, more queued tasks than
// credits.
func (o *ownerState) hasDemand() bool { return o.queued > o.liveCredits }

// hasUrgentDemand reports whether the owner has more urgent queued tasks than
// credits.
func (o *ownerState) hasUrgentDemand() bool { return o.urgent > o.liveCredits }

// before reports whether the owner gets a credit before other; see selectOwner.
func (o *ownerState) before(other *ownerState) bool {
	switch {
	case o.hasDemand() != other.hasDemand():
		return o.hasDemand()
	case !o.hasDemand():
		return o.liveCredits < other.liveCredits
	case o.hasUrgentDemand() != other.hasUrgentDemand():
		return o.hasUrgentDemand()
	default:
		return o.tag < other.tag
	}
}

// charge advances the tag of the owner by one credit. Tags are the start tags of
// start-time fair queueing (P. Goyal, H. Vin and H. Cheng, SIGCOMM 1996), with the
// number of waiting callers as the weight.
func (o *ownerState) charge() { o.tag += 1 / float64(max(o.callers, 1)) }

// updateDemand records the demand of an owner. The tag of an owner without demand
// until now is raised to the smallest tag of the other owners with demand, so that
// it has no claim to credits from the time when it asked for none.
func (c *Core) updateDemand(service string, o *ownerState, queued, urgent, callers int) {
	hadNoDemand := !o.hasDemand()
	o.queued, o.urgent, o.callers = queued, urgent, callers
	if !hadNoDemand || !o.hasDemand() {
		return
	}
	minTag := math.Inf(1)
	for _, s := range c.sessions {
		if other := s.ownerStates[service]; other != nil && other != o && other.hasDemand() {
			minTag = min(minTag, other.tag)
		}
	}
	if !math.IsInf(minTag, 1) {
		o.tag = max(o.tag, minTag)
	}
}

// sendGrants sends credits in messages of their own, for grants that no result
// carries.
func (c *Core) sendGrants(now time.Time, service string, g grants) {
	for _, s := range c.sessions {
		if list := g[s]; len(list) > 0 {
			c.send(s, &message.Credits{Service: service, Sequence: c.nextSequence(now, s), Grants: list})
		}
	}
}

func (c *Core) distribute(now time.Time, sv *service) {
	c.sendGrants(now, sv.name, c.allocate(sv))
}

// handleDemand records the demand of an owner and removes the credits that it
// returns.
func (c *Core) handleDemand(now time.Time, s *session, m *message.Demand) {
	o, sv := s.ownerStates[m.Service], c.services[m.Service]
	if o == nil || sv == nil {
		return
	}
	for _, id := range m.Returned {
		if key := s.credits[id]; key.Service != m.Service {
			continue
		}
		c.removeCredit(s, id)
		c.count(CreditReturned)
	}
	c.updateDemand(sv.name, o, m.Queued, m.Urgent, m.Callers)
	c.reclaim(now, s, sv)
	c.distribute(now, sv)
}

// reclaim withdraws up to half, rounded up, of the credits of each idle owner while
// s has demand.
func (c *Core) reclaim(now time.Time, s *session, sv *service) {
	o := s.ownerStates[sv.name]
	shortfall := o.queued - o.liveCredits
	for _, other := range c.sessions {
		otherState := other.ownerStates[sv.name]
		if shortfall <= 0 {
			return
		}
		if other == s || otherState == nil || otherState.queued > 0 || now.Sub(otherState.lastStart) < ownerIdleTime {
			continue
		}
		ids := other.creditsOf(sv.name)
		n := min(shortfall, (len(ids)+1)/2)
		c.withdraw(now, other, sv.name, ids[len(ids)-n:])
		shortfall -= n
	}
}
