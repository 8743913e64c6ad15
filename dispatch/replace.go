package dispatch

import (
	"cmp"
	"slices"
)

// replacePolicies moves the queued tasks, endpoints and free credits to other
// plug-ins. Estimates that the former plug-ins have learned are lost.
func (c *Core) replacePolicies(ev PoliciesReplaced) {
	c.queue, c.placement, c.admission = ev.Queue, ev.Placement, ev.Admission
	c.hookPolicies()
	c.configure(c.service)
	for _, a := range c.agentList {
		c.placeEndpoints(a)
		c.placeCredits(a)
	}
	for _, j := range c.jobsByArrival() {
		for i := range j.tasks {
			t := &j.tasks[i]
			t.queued.QueueState = nil
			if t.state == taskQueued {
				c.queue.Push(c.now, &t.queued)
			}
		}
	}
}

// placeCredits adds an agent's free credits to the placement.
func (c *Core) placeCredits(a *agent) {
	if a.session == nil {
		return
	}
	for _, g := range a.session.free {
		c.placement.Add(Credit{Session: a.session.id, ID: g.Credit, Agent: a.name, Zone: a.zone, Endpoint: g.Endpoint})
	}
}

func (c *Core) jobsByArrival() []*job {
	jobs := make([]*job, 0, len(c.jobs))
	for _, j := range c.jobs {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(a, b *job) int {
		return cmp.Compare(a.tasks[0].queued.JobSeq, b.tasks[0].queued.JobSeq)
	})
	return jobs
}
