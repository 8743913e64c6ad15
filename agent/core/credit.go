package core

import (
	"math"
	"time"

	"marjoramlug.example/marjoramlug/message"
)

// ownerIdleTime is how long an owner with an empty queue must have started nothing
// before its credits may be moved to an owner that asks for some.
const ownerIdleTime = 100 * time.Millisecond

// grants are the credits that one decision hands out, by session.
type grants map[*session][]message.Grant

// allocate turns all free slots of a service into credits of its owners.
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

// grant makes a credit. Its number is unique over all sessions and restarts, so
// that a start that names a credit of an earlier session never fits a later one.
func (c *Core) grant(s *session, ep *endpoint) message.Grant {
	c.lastCredit++
	s.credits[c.lastCredit] = ep.key
	s.shares[ep.key.Service].charge()
	s.shares[ep.key.Service].outstanding++
	ep.outstanding++
	c.count(CreditGranted)
	return message.Grant{Credit: c.lastCredit, Endpoint: ep.key.Name}
}

// selectOwner returns the owner that gets the next credit. Owners with tasks
// beyond their credits come first, those with urgent ones before the others, and
// among them the one furthest behind a share by waiting callers: a share by
// waiting tasks would let one caller's flood shut the other owners out. Owners
// that wait for nothing share evenly.
func (c *Core) selectOwner(service string) *session {
	var best *session
	for _, s := range c.sessions {
		sh := s.shares[service]
		if sh != nil && (best == nil || sh.before(best.shares[service])) {
			best = s
		}
	}
	return best
}

// needsCredits reports whether the owner has waiting tasks beyond its credits.
func (sh *share) needsCredits() bool { return sh.queued > sh.outstanding }

func (sh *share) needsUrgentCredits() bool { return sh.urgent > sh.outstanding }

func (sh *share) before(other *share) bool {
	switch {
	case sh.needsCredits() != other.needsCredits():
		return sh.needsCredits()
	case !sh.needsCredits():
		return sh.outstanding < other.outstanding
	case sh.needsUrgentCredits() != other.needsUrgentCredits():
		return sh.needsUrgentCredits()
	default:
		return sh.tag < other.tag
	}
}

// charge moves the owner's tag on by one credit. Tags are the start tags of
// start-time fair queueing (P. Goyal, H. Vin and H. Cheng, SIGCOMM 1996), with the
// number of waiting callers as the weight.
func (sh *share) charge() { sh.tag += 1 / float64(max(sh.callers, 1)) }

// updateDemand notes what an owner waits for. One that had no need until now begins at
// the least tag of the others that have: credits that it did not ask for give
// it no claim.
func (c *Core) updateDemand(service string, sh *share, queued, urgent, callers int) {
	hadNoNeed := !sh.needsCredits()
	sh.queued, sh.urgent, sh.callers = queued, urgent, callers
	if !hadNoNeed || !sh.needsCredits() {
		return
	}
	minTag := math.Inf(1)
	for _, s := range c.sessions {
		if other := s.shares[service]; other != nil && other != sh && other.needsCredits() {
			minTag = min(minTag, other.tag)
		}
	}
	if !math.IsInf(minTag, 1) {
		sh.tag = max(sh.tag, minTag)
	}
}

// sendGrants sends credits that ride on no result.
func (c *Core) sendGrants(now time.Time, service string, g grants) {
	for _, s := range c.sessions {
		if list := g[s]; len(list) > 0 {
			c.send(s, &message.Credits{Service: service, Stamp: c.nextSequence(now, s), Grants: list})
		}
	}
}

func (c *Core) distribute(now time.Time, sv *service) {
	c.sendGrants(now, sv.name, c.allocate(sv))
}

// handleDemand notes what an owner could use, and takes back what it returns.
func (c *Core) handleDemand(now time.Time, s *session, m *message.Demand) {
	sh, sv := s.shares[m.Service], c.services[m.Service]
	if sh == nil || sv == nil {
		return
	}
	for _, id := range m.Returned {
		if key := s.credits[id]; key.Service != m.Service {
			continue
		}
		c.removeCredit(s, id)
		c.count(CreditReturned)
	}
	c.updateDemand(sv.name, sh, m.Queued, m.Urgent, m.Callers)
	c.reclaim(now, s, sv)
	c.distribute(now, sv)
}

// reclaim withdraws half of the credits of owners without work when s waits
// for more than it holds.
func (c *Core) reclaim(now time.Time, s *session, sv *service) {
	sh := s.shares[sv.name]
	shortfall := sh.queued - sh.outstanding
	for _, other := range c.sessions {
		idle := other.shares[sv.name]
		if shortfall <= 0 {
			return
		}
		if other == s || idle == nil || idle.queued > 0 || now.Sub(idle.lastStart) < ownerIdleTime {
			continue
		}
		ids := other.creditsOf(sv.name)
		n := min(shortfall, (len(ids)+1)/2)
		c.withdraw(now, other, sv.name, ids[len(ids)-n:])
		shortfall -= n
	}
}
