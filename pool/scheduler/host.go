package scheduler

import (
	"math"
	"slices"
	"time"

	"marjoramlug.example/marjoramlug/kernel"
	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/verdict"
)

// maxNeed bounds the resources of a task of another entry's job: far above those of any
// endpoint, and low enough for sums over all tasks.
var maxNeed = message.Resources{MilliCPU: 1 << 32, MemoryMB: 1 << 32, Accelerators: 1 << 32}

const (
	// hostedWaiter marks the waiters of jobs that came from another entry.
	hostedWaiter Waiter = 1 << 63
	// maxReportedEndpoints bounds the endpoints in a report of free capacity. The entries
	// of the largest deployment see a third of them.
	maxReportedEndpoints = 64
	// heldUpGap is the time between two steps, which come every 10 ms at least, from which
	// this process is short of processor time; for heldUpMemory after it, it accepts no
	// jobs of others. The quota of a small entry is granted every 100 ms.
	heldUpGap    = 50 * time.Millisecond
	heldUpMemory = 500 * time.Millisecond
)

// origin is this entry's view, as a host, of another entry that may forward jobs to it.
type origin struct {
	session PeerSession
	name    string
	// timestamp is that of the last report, echoed the newest one that the origin has
	// returned: the origin was there at that time, by this entry's clock.
	timestamp, echoed int64
	lastSent          time.Duration
	// jobs holds the waiters of the origin's jobs, by request.
	jobs    kernel.OrderedMap[uint64, Waiter]
	asked   bool
	answers []message.ForwardAnswer
}

// hostedJob identifies where the answer for a waiter goes.
type hostedJob struct {
	origin  *origin
	request uint64
}

func (c *Core) handleForward(ev ForwardReceived) {
	o := c.origins[ev.Origin]
	if o == nil {
		o = &origin{session: ev.Origin, name: ev.Name}
		c.origins[ev.Origin] = o
		c.originList = append(c.originList, o)
	}
	if ev.Orders.ReportTimestamp <= o.timestamp {
		o.echoed = max(o.echoed, ev.Orders.ReportTimestamp)
	}
	o.asked = o.asked || ev.Orders.Ask
	for i := range ev.Orders.Jobs {
		c.host(o, &ev.Orders.Jobs[i])
	}
	for _, request := range ev.Orders.Cancels {
		c.dropHosted(o, request)
	}
}

// host submits a job of another entry, unless it is refused at once.
func (c *Core) host(o *origin, f *message.ForwardedJob) {
	if o.jobs.Has(f.Request) {
		return
	}
	in := &Job{
		ID: f.ID, Queue: f.Queue, Service: f.Service, Urgent: f.Urgent, Payload: f.Payload, Tasks: f.Tasks, Need: f.Need,
		Estimate: time.Duration(f.EstimateMicros) * time.Microsecond, Stretch: f.Stretch,
		Slack: time.Duration(f.SlackMicros) * time.Microsecond, Spread: f.Spread, Attempts: f.Attempts,
		Deadline: c.now + time.Duration(f.DeadlineMicros)*time.Microsecond, ConnectedAt: c.now, FirstRun: f.FirstRun,
		Priority: f.Priority, Caller: f.Caller,
	}
	received := c.now - time.Duration(f.AgeMicros)*time.Microsecond - hopDelay/2
	c.lastHosted++
	w := hostedWaiter | c.lastHosted
	c.hosted[w] = &hostedJob{origin: o, request: f.Request}
	o.jobs.Set(f.Request, w)
	known := c.jobs[in.ID]
	switch cause := c.whyNotHosted(o, in, received); {
	case known != nil && (known.forward.away != nil || c.isStale(o)), known == nil && c.remainingRuns[in.ID] > 0:
		// Neither "not run" would be true, nor may two entries wait for each other.
		c.answer(w, message.Refusal(verdict.MayHaveRun, verdict.ReasonUnavailable, "an earlier submission may still run"))
		return
	case known == nil && !c.Completed(in.ID) && cause != "":
		c.answer(w, message.Refusal(verdict.NotRun, verdict.ReasonQueueFull, cause))
		return
	}
	c.noteForward(ForwardReceivedJob, in, o.name, "", 0)
	c.submitFrom(w, in, o.name, received)
}

// whyNotHosted returns why this entry does not run a job for another one, or an empty text.
func (c *Core) whyNotHosted(o *origin, in *Job, received time.Duration) string {
	j := &job{Job: in, queue: c.queueOf(in.Queue), received: received, suspect: c.suspects.Get(in.ID)}
	switch {
	case in.Tasks < 1 || in.Tasks > c.opts.MaxWaiting, in.Estimate <= 0, math.IsNaN(in.Stretch) || in.Stretch < 0,
		!in.Need.Fits(maxNeed) || !(message.Resources{}).Fits(in.Need):
		return "invalid job"
	case c.isStale(o):
		return "the message is too old"
	case !c.hasSpareCapacity() || j.queue.deadly || j.suspect != nil:
		return "no capacity for jobs of other entries"
	}
	limit := c.runTimeLimit(j)
	// Tasks that wait here, also those that came in this step, are started first.
	wanted, n := int64(c.waiting+in.Tasks), int64(0)
	for _, a := range c.agentList {
		if c.eligible(a, j, false) && c.runTime(j, a) <= limit {
			n += j.copies(a.freeCapacity(), wanted-n)
		}
	}
	if n < wanted {
		return "not enough free capacity"
	}
	return ""
}

// isStale reports whether nothing proves that the origin was there in the last heartbeat
// timeout. It does not matter when its messages are read: an echo dates from after the
// report that it returns, by the clock of this entry.
func (c *Core) isStale(o *origin) bool {
	return o.echoed == 0 || c.now-time.Duration(o.echoed)*time.Microsecond > c.opts.HeartbeatTimeout
}

// hasSpareCapacity reports whether other entries may use free capacity: nothing of this
// entry waits for it, this process is not short of processor time, and no endpoints are
// isolated because of crashes.
func (c *Core) hasSpareCapacity() bool {
	return c.opts.LoadSharingPeers > 0 && !c.stopping && c.now-c.settlingSince > settleTime &&
		c.now-c.heldUpAt > heldUpMemory && c.isolations == nil && c.demand.Count == 0
}

// spareCapacity returns the free capacity that other entries may use, by service.
func (c *Core) spareCapacity() []message.FreeCapacity {
	if !c.hasSpareCapacity() {
		return nil
	}
	var free []message.FreeCapacity
	listed := 0
	for _, a := range c.agentList {
		if !a.isReady() || a.failures >= failuresToPause || a.freeCapacity().MilliCPU <= 0 || listed == maxReportedEndpoints {
			continue
		}
		listed++
		at := slices.IndexFunc(free, func(f message.FreeCapacity) bool { return f.Service == a.endpoint.Service })
		if at < 0 {
			at = len(free)
			free = append(free, message.FreeCapacity{Service: a.endpoint.Service})
		}
		free[at].Endpoints = append(free[at].Endpoints, message.FreeEndpoint{
			Free: a.freeCapacity(), SlownessPermille: int64(1000 * c.runTimeFactor(1, a)),
		})
	}
	return free
}

// answer answers a waiter: a caller of this entry, or another entry.
func (c *Core) answer(w Waiter, a message.JobAnswer) {
	h := c.hosted[w]
	if h == nil {
		c.emit(Answer{Waiter: w, Answer: a})
		return
	}
	delete(c.hosted, w)
	h.origin.jobs.Delete(h.request)
	h.origin.answers = append(h.origin.answers, message.ForwardAnswer{Request: h.request, Answer: a})
}

// dropHosted drops a job of an origin that does not wait for its answer any more.
func (c *Core) dropHosted(o *origin, request uint64) {
	if w := o.jobs.Get(request); w != 0 {
		o.jobs.Delete(request)
		delete(c.hosted, w)
		c.dropWaiter(w)
	}
}

// checkOrigins drops the jobs of origins that may have given them up. A pause of this
// process counts: an origin that gets no reports gives its jobs up as well.
func (c *Core) checkOrigins() {
	for _, o := range c.originList {
		if !c.isStale(o) {
			continue
		}
		for request := range o.jobs.All() {
			c.dropHosted(o, request)
			o.answers = append(o.answers, message.ForwardAnswer{
				Request: request, Answer: message.Refusal(verdict.MayHaveRun, verdict.ReasonUnavailable, "no contact with the entry that forwarded it"),
			})
		}
	}
}

func (c *Core) disconnectOrigin(id PeerSession) {
	o := c.origins[id]
	if o == nil {
		return
	}
	delete(c.origins, id)
	c.originList = slices.DeleteFunc(c.originList, func(other *origin) bool { return other == o })
	for request := range o.jobs.All() {
		c.dropHosted(o, request)
	}
}

// flushOrigins sends reports to the origins that wait for an answer or have jobs here.
func (c *Core) flushOrigins() {
	var free []message.FreeCapacity
	computed := false
	for _, o := range c.originList {
		if !o.asked && len(o.answers) == 0 && (o.jobs.Len() == 0 || c.now-o.lastSent < Heartbeat) {
			continue
		}
		if !computed {
			free, computed = c.spareCapacity(), true
		}
		o.timestamp = max(o.timestamp+1, c.now.Microseconds())
		c.emit(SendForwardReport{Origin: o.session, Report: &message.ForwardReport{
			Timestamp: o.timestamp, Free: free, Answers: o.answers,
		}})
		o.asked, o.answers, o.lastSent = false, nil, c.now
	}
}
