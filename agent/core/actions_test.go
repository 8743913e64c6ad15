package core

import (
	"slices"
	"time"

	"pgregory.net/rapid"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/verdict"
)

const testOwners = 3

// actions returns the actions of the state machine by the names under which rapid
// draws them.
func (m *stateMachine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"":         m.check,
		"announce": m.announce,
		"leave":    m.leave,
		"open":     m.open,
		"close":    m.close,
		"view":     m.view,
		"start":    m.start,
		"start2":   m.start,
		"repeat":   m.repeat,
		"end":      m.end,
		"demand":   m.demand,
		"journal":  m.requestJournal,
		"inquiry":  m.inquire,
		"wait":     m.wait,
		"tick":     func(t *rapid.T) { m.step(t, Tick{}) },
	}
}

// prepare brings the state machine to a state in which tasks can start.
func (m *stateMachine) prepare(t *rapid.T) {
	m.announceEndpoint(t, "e1", 2, 0)
	m.openSession(t, 1)
	m.openSession(t, 2)
	m.sendView(t, 1, []int{1, 2})
}

func (m *stateMachine) announce(t *rapid.T) {
	name := rapid.SampledFrom([]string{"e1", "e2"}).Draw(t, "endpoint")
	slots := rapid.IntRange(1, 4).Draw(t, "slots")
	m.announceEndpoint(t, name, slots, rapid.SampledFrom([]int{0, 2}).Draw(t, "connections"))
}

func (m *stateMachine) announceEndpoint(t *rapid.T, name string, slots, connections int) {
	// A leaving endpoint can't be announced again before its tasks have ended.
	if _, present := m.slots[name]; present || m.running[name] == 0 {
		m.slots[name] = slots
		if connections > 0 {
			m.slots[name] = min(slots, connections)
		}
	}
	info := message.EndpointInfo{Name: name, Slots: slots, Connections: connections}
	m.step(t, EndpointAnnounced{Service: testService, Address: name + ":80", Info: info})
}

func (m *stateMachine) leave(t *rapid.T) {
	name := rapid.SampledFrom([]string{"e1", "e2"}).Draw(t, "endpoint")
	delete(m.slots, name)
	m.step(t, EndpointLeaving{EndpointKey{testService, name}})
}

func (m *stateMachine) open(t *rapid.T) {
	m.openSession(t, rapid.IntRange(1, testOwners).Draw(t, "owner"))
}

func (m *stateMachine) openSession(t *rapid.T, owner int) {
	m.lastID++
	m.sessions[m.lastID] = &modelSession{
		owner: owner, open: true,
		credits: map[message.CreditID]string{}, sentTimes: map[message.Sequence]time.Time{},
	}
	for id, s := range m.sessions {
		if s.owner == owner && id != m.lastID {
			m.markClosed(id)
		}
	}
	name := ownerName(owner)
	m.step(t, SessionOpened{m.lastID, name + ":1", message.Hello{Role: message.RoleEntry, Name: name, Incarnation: 1}})
}

func (m *stateMachine) close(t *rapid.T) {
	id := m.drawSession(t)
	m.markClosed(id)
	m.step(t, SessionClosed{id})
}

func (m *stateMachine) view(t *rapid.T) {
	var owners []int
	for owner := 1; owner <= testOwners; owner++ {
		if rapid.IntRange(0, 3).Draw(t, "owns") > 0 {
			owners = append(owners, owner)
		}
	}
	m.sendView(t, m.drawSession(t), owners)
}

func (m *stateMachine) sendView(t *rapid.T, id SessionID, owners []int) {
	if !m.sessions[id].open {
		t.Skip("closed session")
	}
	m.generation++
	m.owners = map[string]bool{}
	sv := message.ServiceView{Service: testService, Configured: true}
	for _, owner := range owners {
		m.owners[ownerName(owner)] = true
		sv.Owners = append(sv.Owners, message.OwnerInfo{Name: ownerName(owner), Address: ownerName(owner) + ":1"})
	}
	m.step(t, Received{id, &message.View{Generation: m.generation, Services: []message.ServiceView{sv}}})
}

// drawSession draws a session, open or not.
func (m *stateMachine) drawSession(t *rapid.T) SessionID {
	if m.lastID == 0 {
		t.Skip("no session yet")
	}
	return SessionID(rapid.IntRange(int(max(1, int64(m.lastID)-3)), int(m.lastID)).Draw(t, "session"))
}

// start delivers a valid start of an owner, or one with a single fault.
func (m *stateMachine) start(t *rapid.T) {
	id := m.drawSession(t)
	s := m.sessions[id]
	var live []message.CreditID
	for credit := range s.credits {
		live = append(live, credit)
	}
	slices.Sort(live)
	m.seq++
	shard := rapid.IntRange(0, 2).Draw(t, "shard")
	start := &message.Start{
		Service: testService, Shard: shard, Epoch: m.epochs[shard], ID: message.StartID{Owner: 1, Seq: m.seq},
		Sequence: s.newestSequence, Queued: rapid.IntRange(0, 5).Draw(t, "queued"),
	}
	if len(live) > 0 {
		start.Credit = rapid.SampledFrom(live).Draw(t, "credit")
		start.Endpoint = s.credits[start.Credit]
	}
	switch rapid.IntRange(0, 7).Draw(t, "fault") {
	case 1:
		start.Credit = rapid.SampledFrom(append(s.spent, 0)).Draw(t, "spent")
	case 2:
		start.Credit = rapid.SampledFrom(append(m.everGranted, 0)).Draw(t, "granted")
	case 3:
		start.Sequence -= message.Sequence(rapid.IntRange(-1, 5).Draw(t, "back"))
	case 4:
		start.Epoch = message.Epoch(max(0, int(start.Epoch)+rapid.IntRange(-1, 1).Draw(t, "epoch")))
	case 5:
		start.Endpoint = rapid.SampledFrom([]string{"e1", "e2"}).Draw(t, "endpoint")
	}
	m.sent = append(m.sent, start)
	m.deliver(t, id, start)
}

// repeat delivers a start again, on any session.
func (m *stateMachine) repeat(t *rapid.T) {
	if len(m.sent) == 0 {
		t.Skip("nothing to repeat")
	}
	start := rapid.SampledFrom(m.sent).Draw(t, "start")
	if a := m.accepted[start.ID]; a != nil && !a.isRunning && m.now.Sub(a.ended) > testJournalWindow {
		t.Skip("a copy older than the journal")
	}
	if at, ok := m.refused[start.ID]; ok && m.now.Sub(at) > testJournalWindow {
		t.Skip("a copy older than the journal")
	}
	m.deliver(t, m.drawSession(t), start)
}

func (m *stateMachine) end(t *rapid.T) {
	var ids []message.StartID
	for id, s := range m.accepted {
		if s.isRunning {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		t.Skip("nothing runs")
	}
	slices.SortFunc(ids, func(a, b message.StartID) int { return int(a.Seq) - int(b.Seq) })
	id := rapid.SampledFrom(ids).Draw(t, "id")
	s := m.accepted[id]
	s.isRunning, s.ended = false, m.now
	m.running[s.endpoint]--
	body := make([]byte, rapid.IntRange(0, 400).Draw(t, "bytes"))
	m.step(t, TaskEnded{id, message.TaskResult{Verdict: verdict.Ran, Status: 200, Body: body}})
}

func (m *stateMachine) demand(t *rapid.T) {
	id := m.drawSession(t)
	s := m.sessions[id]
	d := &message.Demand{Service: testService, Queued: rapid.IntRange(0, 5).Draw(t, "queued")}
	if s.open && len(m.everGranted) > 0 && rapid.Bool().Draw(t, "return") {
		credit := rapid.SampledFrom(m.everGranted).Draw(t, "credit")
		d.Returned = []message.CreditID{credit}
		delete(s.credits, credit)
	}
	m.step(t, Received{id, d})
}

func (m *stateMachine) requestJournal(t *rapid.T) {
	id := m.drawSession(t)
	shard := rapid.IntRange(0, 2).Draw(t, "shard")
	epoch := m.epochs[shard] + 1
	m.step(t, Received{id, &message.JournalRequest{
		Service: testService, Shards: []message.ShardEpoch{{Shard: shard, Epoch: epoch}},
	}})
	if m.sessions[id].open {
		m.epochs[shard] = epoch
		m.checkJournal(t, shard)
	}
}

func (m *stateMachine) inquire(t *rapid.T) {
	id := m.drawSession(t)
	if len(m.sent) == 0 || !m.sessions[id].open {
		t.Skip("nothing to ask")
	}
	start := rapid.SampledFrom(m.sent).Draw(t, "start").ID
	m.step(t, Received{id, &message.Inquiry{Service: testService, Starts: []message.StartID{start}}})
	listed := len(m.replies[0].Entries) == 1
	want := m.accepted[start] != nil
	if evicted := want && !listed && m.accepted[start].accepted.UnixMilli() <= m.replies[0].EvictedUntil; listed != want && !evicted {
		t.Fatalf("start %v: listed in the reply %v, want %v", start, listed, want)
	}
}

// wait advances the time; then the endpoints repeat their announcements.
func (m *stateMachine) wait(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "millis")) * time.Millisecond)
	for name := range m.slots {
		info := m.core.endpoint(EndpointKey{testService, name}).info
		m.step(t, EndpointAnnounced{Service: testService, Address: name + ":80", Info: info})
	}
}
