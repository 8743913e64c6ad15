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
	shards := make([]ownership.Shard, 0, len(n.acting))
	for shard := range n.acting {
		shards = append(shards, shard)
	}
	slices.SortFunc(shards, func(a, b ownership.Shard) int { return a.Index - b.Index })
	for _, shard := range shards {
		if r := n.acting[shard]; !n.local().Before(r.startsFrom) {
			n.sim.waitedEpoch[shard] = max(n.sim.waitedEpoch[shard], r.epoch)
		}
	}
	for range min(startsPerTick, len(shards)) {
		n.start(shards[n.sim.rng.IntN(len(shards))])
	}
}

// start starts a task under the rules for owners. The start may be delayed in a
// buffer for longer than AcceptWindow.
func (n *node) start(shard ownership.Shard) {
	sim, r := n.sim, n.acting[shard]
	t := sim.pickTask(shard)
	a := sim.agents[sim.rng.IntN(len(sim.agents))]
	heartbeatAt, received := n.heartbeats[a]
	fenced := r.journals == len(sim.agents)
	fresh := t.created > r.since || fenced
	safe := fenced || !n.local().Before(r.startsFrom)
	if !received || r.knownTasks[t.id] || !fresh || !safe || !n.core.MayAct(n.local(), shard, r.epoch) {
		return
	}
	r.knownTasks[t.id] = true
	bufferDelay := sim.upTo(4*time.Second) * time.Duration(sim.rng.IntN(2))
	sim.after(bufferDelay, nil, func() { a.accept(sim, n, shard, r.epoch, heartbeatAt, t) })
}

// pickTask returns one of the shard's last eight tasks, or a new one.
func (sim *simulation) pickTask(shard ownership.Shard) task {
	list := sim.tasks[shard]
	if len(list) > 0 && sim.chance(0.5) {
		return list[sim.rng.IntN(len(list))]
	}
	sim.submitted++
	t := task{id: sim.submitted, created: sim.now}
	list = append(list, t)
	sim.tasks[shard] = list[max(0, len(list)-8):]
	return t
}

// accept applies the agent's rules and fails the test if a start is accepted that
// must be refused. The first check precedes the epoch fence: once the successor has
// waited until StartsFrom, a late start must be refused by its age alone, as this
// agent may not have received anything from the successor yet.
func (a *agent) accept(sim *simulation, n *node, shard ownership.Shard, epoch message.Epoch, heartbeatAt time.Time, t task) {
	if a.clock.at(sim.now).Sub(heartbeatAt) > sim.options.AcceptWindow {
		return
	}
	if epoch < sim.waitedEpoch[shard] {
		sim.fail("start of %s under epoch %d of %v accepted after the owner of epoch %d waited until StartsFrom",
			n.self.ID, epoch, shard, sim.waitedEpoch[shard])
	}
	if epoch < a.fence[shard] {
		return
	}
	if epoch < sim.acceptedEpoch[shard] {
		sim.fail("start of %s under epoch %d of %v accepted after a start under epoch %d",
			n.self.ID, epoch, shard, sim.acceptedEpoch[shard])
	}
	sim.acceptedEpoch[shard] = epoch
	a.fence[shard] = epoch
	if sim.started[t.id] {
		sim.fail("task %d started twice, now by %s under epoch %d of %v", t.id, n.self.ID, epoch, shard)
	}
	sim.started[t.id] = true
	sim.accepted++
	a.journal[shard] = append(a.journal[shard], t.id)
}

// answer answers a journal request.
func (a *agent) answer(sim *simulation, n *node, shard ownership.Shard, r *ownerState) {
	a.fence[shard] = max(a.fence[shard], r.epoch)
	ids := slices.Clone(a.journal[shard])
	sim.after(sim.delay(), n, func() {
		for _, id := range ids {
			r.knownTasks[id] = true
		}
		r.journals++
	})
}
