package dispatch

import (
	"maps"
	"slices"
	"time"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/verdict"
)

// agent is an agent that is connected, or that has disconnected while the core
// still waits for the results of its running tasks.
type agent struct {
	name        string
	incarnation uint64
	zone        string
	// registered is set when the agent's name is in the log's roster.
	registered bool
	listIndex  int // index in Core.agentList
	// session is nil while the agent is disconnected.
	session   *session
	endpoints map[string]message.EndpointInfo
	// placed names the endpoints that the placement holds.
	placed map[string]bool
	starts []*start
	// lostTimer fires when a disconnected agent has not reconnected within
	// AgentTimeout.
	lostTimer *timer
}

func (a *agent) add(st *start) {
	st.listIndex = len(a.starts)
	a.starts = append(a.starts, st)
}

func (a *agent) remove(st *start) {
	last := len(a.starts) - 1
	a.starts[st.listIndex] = a.starts[last]
	a.starts[st.listIndex].listIndex = st.listIndex
	a.starts[last] = nil
	a.starts = a.starts[:last]
}

// session is one connection to an agent.
//
// sequence is the highest sequence number received from the agent.
// heartbeatTimer checks that lastReceived, the time of the last message, is
// within AgentTimeout.
type session struct {
	id             Session
	agent          *agent
	sequence       message.Sequence
	lastReceived   time.Time
	heartbeatTimer *timer
	// pendingGrants holds the credits of an agent that is not in the roster yet.
	pendingGrants []message.Grant
	out           outbox
	// free lists the granted credits that have not been used.
	free []message.Grant
	// reportedQueue is the queue length last reported to the agent.
	reportedQueue int
	// surplus is true while the session is listed in demand.surplus.
	surplus bool
	// early holds results for unknown starts until the requested journals have
	// arrived.
	early map[message.StartID]message.TaskResult
	// pendingJournals counts the journals requested on this session that have
	// not arrived.
	pendingJournals int
}

// connect begins a session and ends an earlier one of the same agent. An event
// for a session older than the current one is ignored: its AgentDisconnected
// event follows.
func (c *Core) connect(ev AgentConnected) {
	a := c.agents[ev.Agent]
	if a == nil {
		a = c.newAgent(ev.Agent)
	}
	if a.session != nil {
		if ev.Session < a.session.id {
			return
		}
		c.endSession(a.session)
	}
	if a.incarnation != ev.Incarnation {
		c.failStarts(a, "the agent was restarted")
		c.removeEndpoints(a)
	}
	c.timers.remove(a.lostTimer)
	a.lostTimer = nil
	a.incarnation, a.zone, a.registered = ev.Incarnation, ev.Zone, ev.Registered
	s := &session{id: ev.Session, agent: a, lastReceived: c.now}
	a.session = s
	c.sessions[s.id] = s
	c.watchHeartbeats(s)
	c.requestJournals(s)
	c.inquire(s)
}

func (c *Core) newAgent(name string) *agent {
	a := &agent{
		name:      name,
		listIndex: len(c.agentList),
		endpoints: make(map[string]message.EndpointInfo),
		placed:    make(map[string]bool),
	}
	c.agents[name] = a
	c.agentList = append(c.agentList, a)
	return a
}

func (c *Core) removeAgent(a *agent) {
	last := len(c.agentList) - 1
	c.agentList[a.listIndex] = c.agentList[last]
	c.agentList[a.listIndex].listIndex = a.listIndex
	c.agentList[last] = nil
	c.agentList = c.agentList[:last]
	delete(c.agents, a.name)
}

// register makes an agent eligible for starts and adds its pending credits.
func (c *Core) register(name string) {
	a := c.agents[name]
	if a == nil || a.registered {
		return
	}
	a.registered = true
	c.placeEndpoints(a)
	if s := a.session; s != nil {
		grants := s.pendingGrants
		s.pendingGrants = nil
		c.grant(s, grants)
	}
}

// disconnect ends a session. The agent has AgentTimeout to reconnect before it
// is removed.
func (c *Core) disconnect(id Session) {
	s := c.sessions[id]
	if s == nil {
		return
	}
	a := s.agent
	c.endSession(s)
	a.lostTimer = c.timers.add(c.now.Add(c.opts.AgentTimeout), func() { c.removeLostAgent(a) })
}

// endSession removes a session and its credits.
func (c *Core) endSession(s *session) {
	delete(c.sessions, s.id)
	s.agent.session = nil
	c.placement.DropSession(s.id)
	c.timers.remove(s.heartbeatTimer)
}

// removeLostAgent removes an agent that did not reconnect, or sent nothing, within
// AgentTimeout. Its running tasks end with the verdict MayHaveRun, as their outcome
// is unknown.
func (c *Core) removeLostAgent(a *agent) {
	if len(a.starts) > 0 {
		c.counters.AgentsLost++
	}
	c.failStarts(a, "the agent was lost")
	c.removeEndpoints(a)
	c.removeAgent(a)
}

// failStarts ends all starts of an agent whose journal is unavailable.
func (c *Core) failStarts(a *agent, detail string) {
	r := message.TaskResult{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonAgentLost, Detail: detail}
	for len(a.starts) > 0 {
		st := a.starts[len(a.starts)-1]
		c.dropStart(st)
		c.failStart(st, r)
	}
}

// failStart applies r to a dropped start whose result will not arrive.
func (c *Core) failStart(st *start, r message.TaskResult) {
	switch {
	case st.recovered != nil:
		c.applyRecoveredOutcome(st, r)
	case st.task != nil:
		c.startEnded(st, r)
	}
}

// watchHeartbeats removes an agent that sends nothing for AgentTimeout although
// its connection is open.
func (c *Core) watchHeartbeats(s *session) {
	due := s.lastReceived.Add(c.opts.AgentTimeout)
	s.heartbeatTimer = c.timers.add(due, func() {
		if s.lastReceived.Add(c.opts.AgentTimeout).After(c.now) {
			c.watchHeartbeats(s)
			return
		}
		a := s.agent
		c.endSession(s)
		c.removeLostAgent(a)
		c.actions = append(c.actions, Disconnect{Session: s.id})
	})
}

// receive handles a message from an agent.
func (c *Core) receive(id Session, m message.Message) {
	c.counters.Received.add(m.Kind())
	s := c.sessions[id]
	if s == nil {
		c.counters.StaleMessages++
		c.counters.Wasted.add(m.Kind())
		return
	}
	s.lastReceived = c.now
	switch m := m.(type) {
	case *message.Announce:
		s.noteSequence(m.Sequence)
		c.announce(s.agent, m.Endpoints)
	case *message.Credits:
		s.noteSequence(m.Sequence)
		c.grant(s, m.Grants)
	case *message.Withdraw:
		s.noteSequence(m.Sequence)
		c.withdraw(s, m.Credits)
	case *message.Heartbeat:
		s.noteSequence(m.Sequence)
	case *message.Result:
		s.noteSequence(m.Sequence)
		c.result(s, m)
		c.grant(s, m.Grants)
	case *message.Journal:
		c.journal(s, m)
	case *message.InquiryReply:
		c.inquiryReply(s, m)
	}
}

// keepEarlyResult keeps a result that arrived before the journal that lists its
// start.
func (s *session) keepEarlyResult(m *message.Result) {
	if s.pendingJournals == 0 {
		return
	}
	if s.early == nil {
		s.early = make(map[message.StartID]message.TaskResult)
	}
	s.early[m.ID] = m.Result
}

// noteSequence records the sequence number of a received message.
func (s *session) noteSequence(sequence message.Sequence) { s.sequence = max(s.sequence, sequence) }

// announce replaces an agent's set of endpoints.
func (c *Core) announce(a *agent, endpoints []message.EndpointInfo) {
	clear(a.endpoints)
	for _, e := range endpoints {
		a.endpoints[e.Name] = e
	}
	for _, name := range slices.Sorted(maps.Keys(a.placed)) {
		if e, ok := a.endpoints[name]; !ok || e.Leaving {
			c.removeEndpoint(a, name)
		}
	}
	c.placeEndpoints(a)
}

// placeEndpoints adds to the placement those of the agent's endpoints that may
// get starts.
func (c *Core) placeEndpoints(a *agent) {
	if !a.registered {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(a.endpoints)) {
		if e := a.endpoints[name]; !e.Leaving {
			a.placed[name] = true
			e.Memory = roundMemory(e.Memory)
			c.placement.SetEndpoint(EndpointKey{Agent: a.name, Endpoint: name}, a.zone, e)
		}
	}
	c.queueBlocked = false
}

func (c *Core) removeEndpoints(a *agent) {
	for _, name := range slices.Sorted(maps.Keys(a.placed)) {
		c.removeEndpoint(a, name)
	}
	clear(a.endpoints)
}

func (c *Core) removeEndpoint(a *agent, name string) {
	delete(a.placed, name)
	if s := a.session; s != nil {
		s.free = slices.DeleteFunc(s.free, func(g message.Grant) bool { return g.Endpoint == name })
	}
	c.placement.RemoveEndpoint(EndpointKey{Agent: a.name, Endpoint: name})
}

// grant makes an agent's credits available to the placement.
func (c *Core) grant(s *session, grants []message.Grant) {
	a := s.agent
	if !a.registered {
		s.pendingGrants = append(s.pendingGrants, grants...)
		return
	}
	for _, g := range grants {
		if a.placed[g.Endpoint] {
			c.placement.Add(Credit{Session: s.id, ID: g.Credit, Agent: a.name, Zone: a.zone, Endpoint: g.Endpoint})
			s.free = append(s.free, g)
			c.queueBlocked = false
		}
	}
	c.noteSurplus(s)
}

// withdraw removes credits that the agent has revoked. If a credit is already
// used, the agent refuses the start and answers NotRun.
func (c *Core) withdraw(s *session, credits []message.CreditID) {
	for _, id := range credits {
		c.placement.Withdraw(s.id, id)
		s.removeFree(id)
	}
	s.pendingGrants = slices.DeleteFunc(s.pendingGrants, func(g message.Grant) bool {
		return slices.Contains(credits, g.Credit)
	})
}

// inquire asks a reconnected agent for the outcome of starts sent on earlier
// sessions.
func (c *Core) inquire(s *session) {
	if len(s.agent.starts) == 0 {
		return
	}
	ids := make([]message.StartID, len(s.agent.starts))
	for i, st := range s.agent.starts {
		ids[i] = st.id
	}
	c.counters.Inquiries++
	c.send(s, &message.Inquiry{Service: c.opts.Service, Starts: ids})
}

// inquiryReply applies the outcome of the starts that the inquiry listed.
func (c *Core) inquiryReply(s *session, m *message.InquiryReply) {
	entries := make(map[message.StartID]*message.JournalEntry, len(m.Entries))
	for i := range m.Entries {
		entries[m.Entries[i].ID] = &m.Entries[i]
	}
	for _, id := range m.Asked {
		st := c.starts[id]
		if st == nil || st.agent != s.agent || st.session == s.id {
			continue
		}
		st.session = s.id
		switch e := entries[id]; {
		case e == nil:
			c.dropStart(st)
			c.applyOutcome(st, c.unlisted(st, m.EvictedUntil))
		case e.State == message.StartEnded:
			c.dropStart(st)
			c.applyOutcome(st, e.Result)
		}
	}
}

// unlisted returns the outcome of a start that an agent's reply does not list:
// NotRun, unless the agent's journal may have evicted the start.
func (c *Core) unlisted(st *start, evictedUntil int64) message.TaskResult {
	if evictedUntil == 0 || st.at.After(time.UnixMilli(evictedUntil+1).Add(c.opts.ClockSkew)) {
		return message.TaskResult{Verdict: verdict.NotRun, Reason: verdict.ReasonCreditExpired}
	}
	return message.TaskResult{
		Verdict: verdict.MayHaveRun,
		Reason:  verdict.ReasonJournalMissing,
		Detail:  "the agent's journal no longer reaches back to the start",
	}
}
