package scheduler

import (
	"math"

	"marjoramlug.example/marjoramlug/message"
)

// Entries tell each other of crashes, so that what is known of a job outlives the
// entry that had it.

// recordCrashes takes in crashes that an agent or another entry has reported. Those of
// an agent are shared with the other entries, so that each entry counts all crashes and
// all completed jobs of a queue that is blamed.
func (c *Core) recordCrashes(crashes []message.EndpointCrash, fromAgent bool) {
	var added []message.EndpointCrash
	for i := range crashes {
		if c.recordCrash(&crashes[i], fromAgent) {
			added = append(added, crashes[i])
		}
	}
	if len(added) > 0 && fromAgent {
		c.emit(ShareCrashes{Notice: &message.CrashNotice{Crashes: added}})
	}
}

// RecentCrashes returns what an entry that has just started needs to know.
func (c *Core) RecentCrashes() *message.CrashNotice {
	notice := &message.CrashNotice{Blame: c.blameOfQueues()}
	for _, k := range c.crashes.All() {
		crash := c.crashMessage(k)
		for _, cj := range k.jobs {
			for task := range cj.runs.All() {
				crash.Runs = append(crash.Runs, cj.runMessage(task))
			}
		}
		notice.Crashes = append(notice.Crashes, crash)
	}
	return notice
}

// crashMessage returns the message for a crash, without runs.
func (c *Core) crashMessage(k *crashRecord) message.EndpointCrash {
	return message.EndpointCrash{
		Endpoint: k.id.endpoint, Incarnation: k.id.incarnation, AgoMillis: (c.now - k.at).Milliseconds(),
	}
}

// runMessage returns the message for the run of a task under a crash.
func (cj *crashedJob) runMessage(task int) message.CrashedRun {
	r := cj.runs.Get(task)
	return message.CrashedRun{
		Run: message.RunRef{Job: cj.suspect.job, Task: task, Number: r.number}, Unconfirmed: r.unconfirmed,
		Queue: cj.queue.name, AgeMillis: r.age.Milliseconds(), Completed: r.completed || cj.acquitted,
	}
}

// blameOfQueues returns the blame of the queues that are blamed for crashes.
func (c *Core) blameOfQueues() map[string]float64 {
	blame := map[string]float64{}
	for _, q := range c.queueList {
		if q.blame >= minQueueBlame {
			blame[q.name] = q.blame
		}
	}
	return blame
}

// takeNotice takes in what another entry knows of crashes.
func (c *Core) takeNotice(notice *message.CrashNotice) {
	c.recordCrashes(notice.Crashes, false)
	for name, blame := range notice.Blame {
		if !math.IsNaN(blame) {
			q := c.queueOf(name)
			q.blame = max(q.blame, min(blame, maxQueueBlame))
		}
	}
}
