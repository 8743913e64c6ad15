package scheduler

import (
	"time"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/pool/reservation"
)

// defaultRunTime is the run time that other entries' runs are assumed to take while this
// entry runs nothing.
const defaultRunTime = 200 * time.Millisecond

// largeFactor is the multiple of the smallest need from which a task may reserve an
// endpoint: a smaller one finds room when two of the smallest have ended on one endpoint.
const largeFactor = 2

// holdInterval is the minimum interval between messages that only ask an agent to hold
// capacity or to hold it no longer. Reservations move with the runs that end: with a
// message for each move, 0.02 of the value of bursts in deployment B was lost.
const holdInterval = 25 * time.Millisecond

// reservations holds the endpoints that are reserved for large tasks that fit nowhere.
// Endpoints are identified by the index of their agent in Core.agentList.
type reservations struct {
	book *reservation.Book
	// jobs holds the jobs that claim endpoints, by ID.
	jobs map[string]*job
	// index holds the index of each agent.
	index map[*agent]int
	// override is set while an urgent job that fits nowhere else may use reserved
	// endpoints.
	override bool
}

func newReservations(opts Options) *reservations {
	if !opts.Reservations {
		return nil
	}
	return &reservations{book: reservation.NewBook(), jobs: map[string]*job{}, index: map[*agent]int{}}
}

// Reservations returns the number of reserved endpoints, and of the reservations that were
// given up as the endpoint did not become free in time.
func (c *Core) Reservations() (reserved int, givenUp int64) {
	if c.reservations == nil {
		return 0, 0
	}
	return c.reservations.book.Len(), c.reservations.book.Expired
}

// renewReservations reserves endpoints for the candidates whose tasks fit nowhere. Jobs
// that were forwarded to another entry have no waiting tasks and are not among them.
func (c *Core) renewReservations(candidates []*job) {
	r := c.reservations
	if r == nil {
		return
	}
	clear(r.jobs)
	var claims []reservation.Claim
	smallest := c.smallestNeed(candidates)
	for _, j := range candidates {
		if j.Need.MilliCPU < largeFactor*smallest.MilliCPU || j.isConfined() || c.band(j) >= bandTooLate {
			continue
		}
		if claim, fits := c.claimOf(j); !fits || r.book.Holds(j.ID) {
			claims = append(claims, claim)
			r.jobs[j.ID] = j
		}
	}
	if len(claims) == 0 && r.book.Len() == 0 {
		return
	}
	var endpoints []reservation.Endpoint
	if len(claims) > 0 {
		endpoints = c.endpointsToReserve()
	}
	r.book.Renew(c.now, endpoints, claims)
}

// smallestNeed returns the smallest need of the candidates and of the runs. Only tasks
// that need much more are kept from capacity by others: tasks of about equal need start in
// their order anyway.
func (c *Core) smallestNeed(candidates []*job) message.Resources {
	var smallest message.Resources
	consider := func(need message.Resources) {
		if smallest.IsZero() || smaller(need, smallest) {
			smallest = need
		}
	}
	for _, j := range candidates {
		consider(j.Need)
	}
	for _, a := range c.agentList {
		for _, r := range a.runs.All() {
			consider(r.job.Need)
		}
	}
	return smallest
}

// claimOf returns the claim of a job and whether one of its tasks fits now.
func (c *Core) claimOf(j *job) (claim reservation.Claim, fits bool) {
	claim = reservation.Claim{Job: j.ID, Need: j.Need, Tasks: j.waiting}
	for i, a := range c.agentList {
		if !c.eligible(a, j, false) || c.atSpreadLimit(j, a) {
			continue
		}
		claim.Eligible = append(claim.Eligible, i)
		fits = fits || j.Need.Fits(a.freeCapacity())
	}
	return claim, fits
}

// endpointsToReserve returns what is known of the endpoints, by the index of their agent.
// Those that take no tasks, as in evacuated zones, have no capacity.
func (c *Core) endpointsToReserve() []reservation.Endpoint {
	list := make([]reservation.Endpoint, len(c.agentList))
	sum, runs := 0.0, 0.0
	for i, a := range c.agentList {
		c.reservations.index[a] = i
		if !a.isReady() {
			continue
		}
		e := &list[i]
		e.Capacity, e.Free = a.endpoint.Capacity, a.freeCapacity()
		for _, r := range a.runs.All() {
			e.Runs = append(e.Runs, c.predictedRun(r))
			sum += c.runTime(r.job, a)
			runs++
		}
	}
	others := defaultRunTime
	if runs > 0 {
		others = time.Duration(sum / runs)
	}
	for i := range list {
		list[i].OthersRunTime = others
	}
	return list
}

// predictedRun returns the prediction for a run, with the present speed of its endpoint.
func (c *Core) predictedRun(r *run) reservation.Run {
	return reservation.Run{
		Need: r.job.Need, Started: r.started, Expected: time.Duration(c.runTime(r.job, r.agent)),
		Latest: r.started + overdueFactor*r.expected + overdueSlack + c.opts.StopTime,
	}
}

// reservationAllows reports whether a task of a job may start on an agent's endpoint.
func (c *Core) reservationAllows(a *agent, j *job) bool {
	r := c.reservations
	if r == nil || r.override {
		return true
	}
	reserved := r.book.At(r.indexOf(a))
	if reserved == nil || reserved.Job == j.ID {
		return true
	}
	run := reservation.Run{Need: j.Need, Started: c.now, Expected: time.Duration(c.runTime(j, a))}
	return r.book.MayStart(c.now, r.index[a], run)
}

func (r *reservations) indexOf(a *agent) int {
	if i, known := r.index[a]; known {
		return i
	}
	return -1
}

// overridesReservations reports whether a job may use reserved endpoints if it fits
// nowhere else: an urgent job does not wait for less urgent ones.
func (c *Core) overridesReservations(j *job) bool {
	return c.reservations != nil && c.reservations.book.Len() > 0 && c.band(j) == bandUrgent
}

// pickReserved is pickAmong without regard to reservations.
func (c *Core) pickReserved(j *job, t *task, inTime bool) (*agent, placement) {
	c.reservations.override = true
	defer func() { c.reservations.override = false }()
	return c.pickAmong(j, t, false, inTime)
}

// holdsReservation reports whether endpoints are reserved for a job.
func (c *Core) holdsReservation(j *job) bool {
	return c.reservations != nil && c.reservations.book.Holds(j.ID)
}

// reservedDemand returns the demand of the task for which an agent's endpoint is
// reserved.
func (c *Core) reservedDemand(a *agent) (message.RunDemand, bool) {
	r := c.reservations
	if r == nil || a.endpoint == nil {
		return message.RunDemand{}, false
	}
	reserved := r.book.At(r.indexOf(a))
	if reserved == nil {
		return message.RunDemand{}, false
	}
	j := r.jobs[reserved.Job]
	if j == nil || j.answered || j.waiting == 0 {
		return message.RunDemand{}, false
	}
	return message.RunDemand{Count: 1, Rank: c.demandRank(j), Need: j.Need, Hold: true}, true
}

// demandChanged reports whether an agent must be told that there is demand or that it
// has ended, or that capacity is to be held or no longer.
func (c *Core) demandChanged(a *agent) bool {
	demand := c.demandFor(a)
	if a.demand.Hold || demand.Hold {
		return a.demand.Hold != demand.Hold && c.now-a.lastSent >= holdInterval
	}
	return (a.demand.Count > 0) != (demand.Count > 0)
}
