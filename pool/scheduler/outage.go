package scheduler

import "time"

// firstRetransmission bounds TCP's first retransmission timeout. Each later timeout
// is about as long as the data has been in transit by then.
const firstRetransmission = 250 * time.Millisecond

// outage is a period in which this process could not receive what callers sent. TCP
// delivers that later, also after its sender has given up and submitted elsewhere: both a
// request and the end of a connection may be old news.
type outage struct {
	start, end time.Duration
	// handled is set once the jobs and connections from before its end are given up.
	handled bool
}

// lastArrival returns the time until which TCP may deliver what was sent in the outage.
func (o *outage) lastArrival() time.Duration {
	return o.end + (o.end - o.start) + firstRetransmission
}

// covers reports whether a connection may have been opened before the outage ended.
func (o *outage) covers(connectedAt time.Duration) bool { return connectedAt < o.end }

// resubmitAge returns the age from which on the caller of a request may have submitted
// it at another entry.
func (c *Core) resubmitAge() time.Duration { return c.opts.ResubmitDelay - pauseMargin }

// recordOutage records a period in which nothing was received, unless it was so short that
// all that was sent in it arrives before its caller gives up.
func (c *Core) recordOutage(start, end time.Duration) {
	o := outage{start: start, end: end}
	if o.lastArrival()-start <= c.resubmitAge() {
		return
	}
	if start < c.outage.lastArrival() {
		// What was sent in the previous outage may have been held up again.
		o.start = c.outage.start
	}
	c.outage = o
	c.emit(ObserveAcceptQueue{})
}

// mayBeResubmitted reports whether a request that arrives now may be so old that its
// caller has submitted it elsewhere.
func (c *Core) mayBeResubmitted(connectedAt time.Duration) bool {
	o := &c.outage
	return o.covers(connectedAt) && c.now-o.start > c.resubmitAge() && c.now < o.lastArrival()
}

// mayHaveLeft reports whether the caller of a job was last seen so long ago that it may have
// submitted the job elsewhere since. The end of its connection is an event behind the job's, which
// has waited for this core.
func (c *Core) mayHaveLeft(in *Job) bool {
	return in.CallerSeenAt > 0 && c.now-in.CallerSeenAt > c.resubmitAge()
}

// handleOutage gives up what may be too old after an outage, as soon as it may be: jobs
// whose callers may have left unnoticed are interrupted, and idle connections closed, so
// that callers send on new ones, whose requests are known to be recent.
func (c *Core) handleOutage() {
	o := &c.outage
	if o.handled || c.now-o.start <= c.resubmitAge() || c.now >= o.lastArrival() {
		return
	}
	o.handled = true
	c.counters.ProcessPauses++
	paused := (o.end - o.start).String()
	c.emit(Note{What: "entry was held up", Detail: paused})
	for _, j := range c.jobOrder {
		if o.covers(j.ConnectedAt) {
			c.finish(j, JobInterrupted, "the entry was held up for "+paused)
		}
	}
	c.emit(CloseIdleConnections{OpenedBefore: o.end})
}
