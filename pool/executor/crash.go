package executor

import (
	"slices"
	"time"

	"marjoramlug.example/marjoramlug/message"
)

const (
	// crashRetention is how long a crash is reported to entries that connect: longer
	// than the deadline of any job that was on the endpoint.
	crashRetention = time.Minute
	// maxCrashes limits the number of crashes that are kept.
	maxCrashes = 16
)

// crash is a crash of the endpoint. Its version rises when runs are added, so that
// each entry is sent the newest one.
type crash struct {
	message.EndpointCrash
	at      time.Duration
	version uint64
}

// recordCrash records that the endpoint's process has ended without notice. A
// process that had announced its end, or under which nothing ran, is not recorded.
// Runs whose only start is still in flight are left out, as it may not have arrived;
// amendCrash adds them.
func (c *Core) recordCrash() {
	e := &c.endpoint
	if !e.present || e.leaving {
		return
	}
	record, at := message.EndpointCrash{Endpoint: e.name, Incarnation: e.incarnation}, e.crashTime(c.now)
	for _, r := range c.runs.All() {
		arrived := r.state != runStarting || r.uncertain()
		if arrived && r.adoption == e.adoption && r.state != runInNextIncarnation {
			record.Runs = append(record.Runs, c.crashedRun(r, at))
		}
	}
	if len(record.Runs) == 0 {
		return
	}
	c.counters.Crashes++
	c.addCrash(record, at)
}

// crashTime returns when the endpoint's process has probably ended, if its end shows now:
// at the first of the polls that have failed since its last answer.
func (e *endpoint) crashTime(now time.Duration) time.Duration {
	if e.pollFailures > 0 && e.answeredAt < e.pollFailedSince {
		return e.pollFailedSince
	}
	return now
}

// amendCrash adds a run to the record of the crash of its endpoint.
func (c *Core) amendCrash(r *run) {
	e := &c.endpoint
	record, at := message.EndpointCrash{Endpoint: e.name, Incarnation: e.incarnation}, c.now
	for i, known := range c.crashes {
		if known.Endpoint == e.name && known.Incarnation == e.incarnation {
			record.Runs, at = known.Runs, known.at
			c.crashes = slices.Delete(c.crashes, i, i+1)
			break
		}
	}
	record.Runs = append(record.Runs, c.crashedRun(r, at))
	c.addCrash(record, at)
}

// crashedRun describes a run under a crash at the given time. If it was started later,
// the process may have lived on until now.
func (c *Core) crashedRun(r *run, at time.Duration) message.CrashedRun {
	c.counters.CrashedRuns++
	if r.firstStart > at {
		at = c.now
	}
	return message.CrashedRun{
		Run: r.ref, Queue: r.queue, AgeMillis: (at - r.firstStart).Milliseconds(), Unconfirmed: r.acceptedAt == 0,
	}
}

func (c *Core) addCrash(record message.EndpointCrash, at time.Duration) {
	c.crashVersion++
	c.crashes = append(c.crashes, crash{EndpointCrash: record, at: at, version: c.crashVersion})
	c.crashes = slices.DeleteFunc(c.crashes, func(k crash) bool { return c.now-k.at > crashRetention })
	if len(c.crashes) > maxCrashes {
		c.crashes = slices.Delete(c.crashes, 0, len(c.crashes)-maxCrashes)
	}
	c.emit(EndpointCrashed{Crash: &record})
}

// crashesAfter returns the crashes that an entry has not been sent, given the version
// of the last one that it was sent.
func (c *Core) crashesAfter(version uint64) []message.EndpointCrash {
	var list []message.EndpointCrash
	for _, k := range c.crashes {
		if k.version > version {
			k.AgoMillis = (c.now - k.at).Milliseconds()
			list = append(list, k.EndpointCrash)
		}
	}
	return list
}
