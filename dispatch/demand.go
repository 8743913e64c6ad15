package dispatch

import (
	"slices"
	"time"

	"marjoramlug.example/marjoramlug/message"
)

const (
	// demandDelay is how long an owner with queued tasks and no credits waits
	// before it requests some. The delay doubles up to demandDelayMax while no
	// credit arrives.
	demandDelay    = 10 * time.Millisecond
	demandDelayMax = time.Second
	// demandFanout is the number of agents that get each request.
	demandFanout = 2
	// surplusDelay is how long an owner without queued tasks keeps more credits
	// than its share.
	surplusDelay = 50 * time.Millisecond
)

// demand balances credits among the owners of one service. It is unused with a
// single owner. Starts carry the length of the owner's queue to agents, so a
// separate Demand message is needed only for agents whose last report was of an
// empty queue.
type demand struct {
	delay        time.Duration
	requestTimer *timer
	// cursor is the index in Core.agentList of the agent that was considered
	// last.
	cursor int
	// surplus lists sessions that have granted more than this owner's share.
	surplus     []*session
	returnTimer *timer
}

// shared reports whether several entries own shards of the service.
func (c *Core) shared() bool { return c.service.Owners > 1 }

// starving reports whether tasks are queued while the owner holds a lease but
// no credit.
func (c *Core) starving() bool {
	return c.queue.Len() > 0 && c.placement.Free() == 0 && c.now.Before(c.lease)
}

// balanceCredits sets the timers that request missing credits and return
// surplus ones.
func (c *Core) balanceCredits() {
	if !c.shared() {
		return
	}
	d := &c.demand
	if !c.starving() {
		c.timers.remove(d.requestTimer)
		d.requestTimer, d.delay = nil, 0
	} else if d.requestTimer == nil {
		d.delay = min(max(2*d.delay, demandDelay), demandDelayMax)
		d.requestTimer = c.timers.add(c.now.Add(d.delay), c.requestCredits)
	}
	if c.queue.Len() > 0 {
		c.timers.remove(d.returnTimer)
		d.returnTimer = nil
	} else if d.returnTimer == nil && len(d.surplus) > 0 {
		d.returnTimer = c.timers.add(c.now.Add(surplusDelay), c.returnSurplus)
	}
}

// requestCredits requests credits from the next agents, round robin, by reporting
// this owner's queue to them.
func (c *Core) requestCredits() {
	c.demand.requestTimer = nil
	requested := 0
	for range min(len(c.agentList), demandFanout*demandFanout) {
		c.demand.cursor = (c.demand.cursor + 1) % len(c.agentList)
		s := c.agentList[c.demand.cursor].session
		if s == nil || s.reportedQueue > 0 || len(s.agent.placed) == 0 {
			continue
		}
		s.reportedQueue = c.queue.Len()
		c.send(s, &message.Demand{
			Service: c.opts.Service, Queued: s.reportedQueue, Urgent: c.queue.Urgent(), Callers: c.waitingCallers(),
		})
		if requested++; requested == demandFanout {
			return
		}
	}
}

// noteSurplus lists a session that has granted more than this owner's share.
func (c *Core) noteSurplus(s *session) {
	if !c.shared() || s.surplus || len(s.free) <= c.share(s.agent) {
		return
	}
	s.surplus = true
	c.demand.surplus = append(c.demand.surplus, s)
}

// share returns the number of an agent's slots that this owner keeps while idle.
func (c *Core) share(a *agent) int {
	slots := 0
	for _, e := range a.endpoints {
		slots += e.Slots
	}
	return (slots + c.service.Owners - 1) / c.service.Owners
}

// returnSurplus returns the credits beyond this owner's share.
func (c *Core) returnSurplus() {
	d := &c.demand
	d.returnTimer = nil
	for _, s := range d.surplus {
		s.surplus = false
		if s.agent.session == s {
			c.returnCredits(s, len(s.free)-c.share(s.agent))
		}
	}
	d.surplus = d.surplus[:0]
}

func (c *Core) returnCredits(s *session, n int) {
	if n <= 0 {
		return
	}
	returned := make([]message.CreditID, n)
	for i := range returned {
		returned[i] = s.free[i].Credit
		c.placement.Withdraw(s.id, returned[i])
	}
	s.free = slices.Delete(s.free, 0, n)
	s.reportedQueue = 0
	c.send(s, &message.Demand{Service: c.opts.Service, Returned: returned})
}

// removeFree removes a credit from the session's list of free ones.
func (s *session) removeFree(id message.CreditID) {
	i := slices.IndexFunc(s.free, func(g message.Grant) bool { return g.Credit == id })
	if i < 0 {
		return
	}
	last := len(s.free) - 1
	s.free[i] = s.free[last]
	s.free = s.free[:last]
}
