package ownership_test

import (
	"slices"
	"time"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/ownership"
)

// startsPerTick is the number of tasks that a member tries to start per tick.
const startsPerTick = 6

// submit submits tasks of the member's shards, new ones or resubmissions.
func (n *node) submit() {
	refs := make([]ownership.Shard, 0, len(n.acting))
	for ref := range n.acting {
		refs = append(refs, ref)
	}
	slices.SortFunc(refs, func(a, b ownership.Shard) int { return a.Index - b.Index })
	for _, ref := range refs {
		if r := n.acting[ref]; !n.local().Before(r.startsFrom) {
			n.sim.waitedEpoch[ref] = max(n.sim.waitedEpoch[ref], r.epoch)
		}
	}
	for range min(startsPerTick, len(refs)) {
		n.start(refs[n.sim.rng.IntN(len(refs))])
	}
}

// start starts a task under the rules for owners. The start may be delayed in a
// buffer for longer than AcceptWindow.
func (n *node) start(ref ownership.Shard) {
	sim, r := n.sim, n.acting[ref]
	t := sim.pickTask(ref)
	a := sim.agents[sim.rng.IntN(len(sim.agents))]
	heartbeatAt, received := n.heartbeats[a]
	fenced := r.journals == len(sim.agents)
	fresh := t.created > r.since || fenced
	safe := fenced || !n.local().Before(r.startsFrom)
	if !received || r.knownTasks[t.id] || !fresh || !safe || !n.core.MayAct(n.local(), ref, r.epoch) {
		return
	}
	r.knownTasks[t.id] = true
	bufferDelay := sim.upTo(4*time.Second) * time.Duration(sim.rng.IntN(2))
	sim.after(bufferDelay, nil, func() { a.accept(sim, n, ref, r.epoch, heartbeatAt, t) })
}

// pickTask returns one of the shard's last eight tasks, or a new one.
func (sim *simulation) pickTask(ref ownership.Shard) task {
	list := sim.tasks[ref]
	if len(list) > 0 && sim.chance(0.5) {
		return list[sim.rng.IntN(len(list))]
	}
	sim.submitted++
	t := task{id: sim.submitted, created: sim.now}
	list = append(list, t)
	sim.tasks[ref] = list[max(0, len(list)-8):]
	return t
}

// accept applies the agent's rules and checks the start against the oracle. The
// first oracle check precedes the epoch fence: once the successor has waited until
// StartsFrom, a late start must be refused by its age alone, as this agent may not
// have received anything from the successor yet.
func (a *agent) accept(sim *simulation, n *node, ref ownership.Shard, epoch message.Epoch, heartbeatAt time.Time, t task) {
	if a.clock.at(sim.now).Sub(heartbeatAt) > sim.options.AcceptWindow {
		return
	}
	if epoch < sim.waitedEpoch[ref] {
		sim.fail("start of %s under epoch %d of %v accepted after the wait of epoch %d",
			n.self.ID, epoch, ref, sim.waitedEpoch[ref])
	}
	if epoch < a.fence[ref] {
		return
	}
	if epoch < sim.acceptedEpoch[ref] {
		sim.fail("start of %s under epoch %d of %v accepted after the first of epoch %d",
			n.self.ID, epoch, ref, sim.acceptedEpoch[ref])
	}
	sim.acceptedEpoch[ref] = epoch
	a.fence[ref] = epoch
	if sim.started[t.id] {
		sim.fail("task %d started twice, now by %s under epoch %d of %v", t.id, n.self.ID, epoch, ref)
	}
	sim.started[t.id] = true
	sim.accepted++
	a.journal[ref] = append(a.journal[ref], t.id)
}

// answer answers a journal request.
func (a *agent) answer(sim *simulation, n *node, ref ownership.Shard, r *ownerState) {
	a.fence[ref] = max(a.fence[ref], r.epoch)
	ids := slices.Clone(a.journal[ref])
	sim.after(sim.delay(), n, func() {
		for _, id := range ids {
			r.knownTasks[id] = true
		}
		r.journals++
	})
}
