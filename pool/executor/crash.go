package executor

import "marjoramlug.example/marjoramlug/message"

// recordCrash records that the endpoint's process has ended without notice. A
// process that had announced its end, or under which nothing ran, is not recorded.
func (c *Core) recordCrash() {
	e := &c.endpoint
	if !e.present || e.leaving {
		return
	}
	crash := &message.EndpointCrash{Endpoint: e.name, Incarnation: e.incarnation}
	for ref, r := range c.runs.All() {
		if r.adoption == e.adoption && r.state != runInNextIncarnation {
			crash.Runs = append(crash.Runs, message.CrashedRun{Run: ref, Queue: r.queue, AgeMillis: (c.now - r.startSent).Milliseconds()})
		}
	}
	if len(crash.Runs) == 0 {
		return
	}
	c.counters.Crashes++
	c.counters.CrashedRuns += int64(len(crash.Runs))
	c.emit(EndpointCrashed{Crash: crash})
}
