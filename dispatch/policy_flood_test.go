package dispatch_test

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	floodJob      = 1900
	floodInterval = 4 * time.Second
	// singlesPerSecond is the job rate of the caller of single tasks.
	singlesPerSecond = 10
)

var (
	singleJobs = jobType{class: "label", group: "alone", minTasks: 1, maxTasks: 1, callers: 1}
	floodJobs  = jobType{class: "trial", group: "flood", minTasks: floodJob, maxTasks: floodJob, callers: 1}
)

// playFlood simulates a caller of single tasks, alone or with a second caller of
// the same team that submits jobs of 1,900 tasks faster than they can run.
func playFlood(policy policySet, flooded bool, end time.Duration) *sim {
	backends := fleet(trials.zones)
	random := newRandom()
	var list []*arrival
	for at := time.Duration(0); at < end; at += time.Duration(random.ExpFloat64() / singlesPerSecond * float64(time.Second)) {
		list = append(list, singleJobs.arrival(random, at, len(list), backends))
	}
	for at := time.Duration(0); flooded && at < end; at += floodInterval {
		list = append(list, floodJobs.arrival(random, at, len(list), backends))
	}
	slices.SortStableFunc(list, func(a, b *arrival) int { return cmp.Compare(a.at, b.at) })
	s := newSim(policy, 1, scenario{}.service(), backends)
	s.results.from, s.results.to = warmUp, end
	for i, a := range list {
		a.setTimes(false)
		s.at(a.at, func() { s.submit(i, a) })
	}
	s.run(end + drainTime)
	return s
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(simSeed, 0)) }
