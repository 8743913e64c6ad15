package fairness

import (
	"maps"
	"math"
	"slices"
	"time"

	"marjoramlug.example/marjoramlug/message"
)

const (
	// remoteValidity is how long the loads of another entry count: entries send them each
	// second, and two messages may be lost.
	remoteValidity = 3 * time.Second
	// maxEntries and maxQueues bound what is kept of other entries.
	maxEntries = 1000
	maxQueues  = 256
)

// remote holds the loads of another entry.
type remote struct {
	entry string
	at    time.Duration
	loads []remoteLoad
}

type remoteLoad struct {
	queue           *Queue
	offered, served float64
}

// Loads returns the loads of the queues at this entry, for the other entries.
func (s *Shares) Loads(now time.Duration) map[string]message.QueueLoad {
	s.advance(now)
	loads := make(map[string]message.QueueLoad, len(s.queues))
	for name, q := range s.byName {
		if offered := s.rate(q.offered); offered >= 1 && len(loads) < maxQueues {
			loads[name] = message.QueueLoad{Offered: offered, Served: s.rate(q.served), Priority: q.priority}
		}
	}
	return loads
}

// SetRemote replaces the loads of another entry. With them, all entries allocate the same part
// of the load of a queue, whatever part of it reaches them.
func (s *Shares) SetRemote(now time.Duration, entry string, loads map[string]message.QueueLoad) {
	s.advance(now)
	s.remotes = slices.DeleteFunc(s.remotes, func(r remote) bool { return r.entry == entry || now-r.at > remoteValidity })
	if len(s.remotes) >= maxEntries || len(loads) > maxQueues {
		return
	}
	r := remote{entry: entry, at: now}
	for _, name := range slices.Sorted(maps.Keys(loads)) {
		load := loads[name]
		if !valid(load.Offered) || !valid(load.Served) || s.byName[name] == nil && len(s.queues) >= maxQueues {
			continue
		}
		r.loads = append(r.loads, remoteLoad{s.queue(name, load.Priority), load.Offered, load.Served})
	}
	s.remotes = append(s.remotes, r)
}

func valid(load float64) bool { return load >= 0 && !math.IsInf(load, 1) }

// countTotals adds up the loads of all entries.
func (s *Shares) countTotals() {
	for _, q := range s.queues {
		q.totalOffered, q.totalServed = s.rate(q.offered), s.rate(q.served)
	}
	for _, r := range s.remotes {
		if s.now-r.at > remoteValidity {
			continue
		}
		for _, load := range r.loads {
			load.queue.totalOffered += load.offered
			load.queue.totalServed += load.served
		}
	}
}
