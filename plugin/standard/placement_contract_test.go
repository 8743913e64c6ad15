package standard

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"marjoramlug.example/marjoramlug/dispatch"
	"marjoramlug.example/marjoramlug/message"
)

// placementModel is the reference model of a placement: endpoints and free
// credits in plain maps. It has no quarantine, so no run fails here.
type placementModel struct {
	placement dispatch.Placement
	now       time.Time
	infos     map[dispatch.EndpointKey]message.EndpointInfo
	free      map[dispatch.Credit]bool
	next      message.CreditID
}

func (m *placementModel) eligible(c dispatch.Credit) bool {
	info, known := m.infos[dispatch.EndpointKey{Agent: c.Agent, Endpoint: c.Endpoint}]
	return known && !info.Leaving
}

func meets(info message.EndpointInfo, need dispatch.Need) bool {
	if need.Accelerator != "" && (len(info.Accelerators) == 0 || info.Accelerators[0] != need.Accelerator) {
		return false
	}
	return info.Memory == 0 || info.Memory >= need.Memory
}

func (m *placementModel) canRun(need dispatch.Need) bool {
	for c := range m.free {
		if m.eligible(c) && meets(m.infos[dispatch.EndpointKey{Agent: c.Agent, Endpoint: c.Endpoint}], need) {
			return true
		}
	}
	return false
}

func drawKey(t *rapid.T) dispatch.EndpointKey {
	return dispatch.EndpointKey{Agent: fmt.Sprint("agent", rapid.IntRange(0, 2).Draw(t, "agent")), Endpoint: "e"}
}

func drawNeed(t *rapid.T) dispatch.Need {
	return dispatch.Need{
		Memory:      int64(rapid.IntRange(0, 2).Draw(t, "memory")),
		Accelerator: rapid.SampledFrom([]string{"", "", "gpu"}).Draw(t, "accelerator"),
	}
}

func (m *placementModel) set(t *rapid.T) {
	key := drawKey(t)
	info := message.EndpointInfo{
		Name: key.Endpoint, Slots: rapid.IntRange(1, 8).Draw(t, "slots"),
		Memory: int64(rapid.IntRange(0, 2).Draw(t, "has")), Leaving: rapid.Bool().Draw(t, "leaving"),
	}
	if rapid.Bool().Draw(t, "gpu") {
		info.Accelerators = []string{"gpu"}
	}
	m.infos[key] = info
	m.placement.SetEndpoint(key, "zone", info)
}

func (m *placementModel) remove(t *rapid.T) {
	key := drawKey(t)
	delete(m.infos, key)
	for c := range m.free {
		if c.Agent == key.Agent {
			delete(m.free, c)
		}
	}
	m.placement.RemoveEndpoint(key)
}

func (m *placementModel) add(t *rapid.T) {
	key := drawKey(t)
	m.next++
	c := dispatch.Credit{
		Session: dispatch.Session(rapid.IntRange(1, 2).Draw(t, "session")), ID: m.next,
		Agent: key.Agent, Zone: "zone", Endpoint: key.Endpoint,
	}
	m.free[c] = true
	m.placement.Add(c)
	m.placement.Add(c)
}

func (m *placementModel) withdraw(t *rapid.T) {
	session := dispatch.Session(rapid.IntRange(1, 2).Draw(t, "session"))
	id := message.CreditID(rapid.IntRange(1, 20).Draw(t, "credit"))
	want := false
	for c := range m.free {
		if c.Session == session && c.ID == id {
			want = true
			delete(m.free, c)
		}
	}
	if got := m.placement.Withdraw(session, id); got != want {
		t.Fatalf("withdrew credit %d of session %d: %v, want %v", id, session, got, want)
	}
}

func (m *placementModel) drop(t *rapid.T) {
	session := dispatch.Session(rapid.IntRange(1, 2).Draw(t, "session"))
	for c := range m.free {
		if c.Session == session {
			delete(m.free, c)
		}
	}
	m.placement.DropSession(session)
}

func (m *placementModel) pick(t *rapid.T) {
	task := &dispatch.QueuedTask{Need: drawNeed(t), Class: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "class")}
	want := m.canRun(task.Need)
	c, ok := m.placement.Pick(m.now, task)
	switch {
	case ok != want:
		t.Fatalf("Pick returned %v for %+v, want %v", ok, task.Need, want)
	case ok && (!m.free[c] || !m.eligible(c)):
		t.Fatalf("picked credit %+v, which is not available", c)
	case ok && !meets(m.infos[dispatch.EndpointKey{Agent: c.Agent, Endpoint: c.Endpoint}], task.Need):
		t.Fatalf("picked credit %+v, which does not meet %+v", c, task.Need)
	}
	delete(m.free, c)
}

func (m *placementModel) observe(t *rapid.T) {
	run := time.Duration(rapid.IntRange(0, 5000).Draw(t, "run")) * time.Millisecond
	m.now = m.now.Add(run)
	m.placement.Observe(m.now, drawKey(t), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "class"), run, false)
}

func (m *placementModel) check(t *rapid.T) {
	free, slots, couldRun := 0, 0, false
	for c := range m.free {
		if m.eligible(c) {
			free++
		}
	}
	need := drawNeed(t)
	for _, info := range m.infos {
		if !info.Leaving {
			slots += info.Slots
			couldRun = couldRun || meets(info, need)
		}
	}
	if got := m.placement.Free(); got != free {
		t.Fatalf("free is %d, want %d", got, free)
	}
	if got := m.placement.Slots(); got != slots {
		t.Fatalf("slots is %d, want %d", got, slots)
	}
	if got := m.placement.CanRun(m.now, need); got != m.canRun(need) {
		t.Fatalf("can run %+v: %v, want %v", need, got, !got)
	}
	if got := m.placement.CouldRun(need); got != couldRun {
		t.Fatalf("could run %+v: %v, want %v", need, got, couldRun)
	}
}

// A placement uses each credit once, only for tasks whose need the endpoint
// meets, and places every task that can be placed.
func TestPlacementUsesEachCreditOnce(t *testing.T) {
	eachModule(t, "placement", func(t *testing.T, newModule func() dispatch.Placement) {
		rapid.Check(t, func(t *rapid.T) {
			m := &placementModel{
				placement: newModule(), now: noon,
				infos: map[dispatch.EndpointKey]message.EndpointInfo{}, free: map[dispatch.Credit]bool{},
			}
			t.Repeat(map[string]func(*rapid.T){
				"set": m.set, "remove": m.remove, "add": m.add, "withdraw": m.withdraw,
				"drop": m.drop, "pick": m.pick, "observe": m.observe, "": m.check,
			})
		})
	})
}
