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
	record := message.EndpointCrash{Endpoint: e.name, Incarnation: e.incarnation}
	for _, r := range c.runs.All() {
		arrived := r.state != runStarting || r.uncertain()
		if arrived && r.adoption == e.adoption && r.state != runInNextIncarnation {
			record.Runs = append(record.Runs, c.crashedRun(r))
		}
	}
	if len(record.Runs) == 0 {
		return
	}
	c.counters.Crashes++
	c.addCrash(record)
}

// amendCrash adds a run to the record of the crash of its endpoint.
func (c *Core) amendCrash(r *run) {
	e := &c.endpoint
	record := message.EndpointCrash{Endpoint: e.name, Incarnation: e.incarnation}
	for i, known := range c.crashes {
		if known.Endpoint == e.name && known.Incarnation == e.incarnation {
			record.Runs = known.Runs
			c.crashes = slices.Delete(c.crashes, i, i+1)
			break
		}
	}
	record.Runs = append(record.Runs, c.crashedRun(r))
	c.addCrash(record)
}

func (c *Core) crashedRun(r *run) message.CrashedRun {
	c.counters.CrashedRuns++
	return message.CrashedRun{
		Run: r.ref, Queue: r.queue, AgeMillis: (c.now - r.firstStart).Milliseconds(), Unconfirmed: r.acceptedAt == 0,
	}
}

func (c *Core) addCrash(record message.EndpointCrash) {
	c.crashVersion++
	c.crashes = append(c.crashes, crash{EndpointCrash: record, at: c.now, version: c.crashVersion})
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
