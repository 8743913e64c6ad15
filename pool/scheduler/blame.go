package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// A crash of an endpoint has several runs under it, of which at most one is its cause.
// Each job under a crash gets a share of the blame: the probability that the crash is
// its doing, from what was known of the job and its queue and from how soon after its
// start the endpoint crashed.

const (
	// minOtherCauseRate is the least rate, in crashes a second, at which an endpoint is
	// assumed to crash for causes that have nothing to do with runs. Before crashes have
	// been observed for long, the rate is that of assumedCrashes in assumedTime.
	minOtherCauseRate = 0.0025
	assumedCrashes    = 0.025
	assumedTime       = 10 * time.Second
	// minCrashAge is the age below which runs are suspected alike.
	minCrashAge = 5 * time.Millisecond
	// simultaneousCrashes is the time within which crashes of several endpoints count as
	// simultaneous, reportDelay the usual difference between the delays of two reports.
	simultaneousCrashes = 50 * time.Millisecond
	reportDelay         = 2 * time.Millisecond
	// commonCauseShare is the share of the crashes of other causes that strike several
	// endpoints at once, sharedJobWeight the largest factor by which another cause is more
	// likely for simultaneous crashes if a job was on all endpoints.
	commonCauseShare = 0.04
	sharedJobWeight  = 10.0
)

// assessWithSimultaneous divides the blame for a crash and for those that happened at
// the same time, as when a rack loses power. They are one event: a job is their cause
// only if it was under all of them, or if its start explains the crash better.
func (c *Core) assessWithSimultaneous(k *crashRecord) {
	event := []*crashRecord{k}
	for _, other := range c.crashes.All() {
		if other.id.endpoint != k.id.endpoint && k.isSimultaneous(other) {
			event = append(event, other)
		}
	}
	otherCauses := 1.0
	if len(event) > 1 {
		c.restorePriors(event)
		otherCauses = c.commonCauseWeight(event)
		if shareJob(event) {
			otherCauses = min(otherCauses, sharedJobWeight)
		}
	}
	for _, member := range event {
		member.otherCauses = max(member.otherCauses, otherCauses)
		member.simultaneous = member.simultaneous || len(event) > 1
		c.assess(member)
	}
}

// restorePriors resets what was assumed of the jobs under several crashes to what was
// known before the first of them.
func (c *Core) restorePriors(event []*crashRecord) {
	before := map[*suspect]float64{}
	for _, k := range event {
		for _, cj := range k.jobs {
			cj.queue.addBlame(-cj.counted)
			cj.counted = 0
			if known, ok := before[cj.suspect]; !ok || cj.known < known {
				before[cj.suspect] = cj.known
			}
		}
	}
	for _, k := range event {
		for _, cj := range k.jobs {
			cj.prior = 0
			if !cj.acquitted {
				cj.prior = max(before[cj.suspect], cj.queue.risk())
			}
		}
	}
}

// commonCauseWeight returns the factor by which a common cause makes each of several
// simultaneous crashes more likely: once it has struck one endpoint, the others crash
// within simultaneousCrashes. Chance explains them too if many endpoints have crashed in
// the second before.
func (c *Core) commonCauseWeight(event []*crashRecord) float64 {
	first := slices.MinFunc(event, func(a, b *crashRecord) int { return cmp.Compare(a.at, b.at) }).at
	before := 0.0
	for _, k := range c.crashes.All() {
		if k.at < first && first-k.at <= time.Second {
			before++
		}
	}
	window, n := simultaneousCrashes.Seconds(), float64(len(event))
	// The geometric mean of the rate of common causes and the densities of the further
	// crashes, as the weight applies to each crash.
	common := math.Pow(commonCauseShare*minOtherCauseRate*math.Pow(window, 1-n), 1/n) / minOtherCauseRate
	return max(1, min(math.Pow(before*window, 1-n), common))
}

// isSimultaneous reports whether two crashes may have the same cause. They have not if a
// run under the later one was started after the earlier one: what strikes several
// endpoints strikes them at once.
func (k *crashRecord) isSimultaneous(other *crashRecord) bool {
	first, second := k, other
	if first.at > second.at {
		first, second = second, first
	}
	gap := second.at - first.at
	if gap > simultaneousCrashes {
		return false
	}
	return !slices.ContainsFunc(second.jobs, func(cj *crashedJob) bool {
		return cj.startedWithin(gap-reportDelay) || cj.isRestartOf(first)
	})
}

// startedWithin reports whether the endpoint certainly had a run of the job that was
// started less than a time before the crash.
func (cj *crashedJob) startedWithin(d time.Duration) bool {
	for _, r := range cj.runs.All() {
		if !r.unconfirmed && r.age < d {
			return true
		}
	}
	return false
}

// isRestartOf reports whether a task of the job had another run under another crash.
func (cj *crashedJob) isRestartOf(other *crashRecord) bool {
	at := slices.IndexFunc(other.jobs, func(o *crashedJob) bool { return o.suspect == cj.suspect })
	if at < 0 {
		return false
	}
	for task, r := range cj.runs.All() {
		if earlier := other.jobs[at].runs; earlier.Has(task) && earlier.Get(task).number != r.number {
			return true
		}
	}
	return false
}

// shareJob reports whether a job was under all crashes of an event.
func shareJob(event []*crashRecord) bool {
	return slices.ContainsFunc(event[0].jobs, func(first *crashedJob) bool {
		return !slices.ContainsFunc(event, func(k *crashRecord) bool {
			return !slices.ContainsFunc(k.jobs, func(cj *crashedJob) bool { return cj.suspect == first.suspect })
		})
	})
}

// assess divides the blame for a crash.
func (c *Core) assess(k *crashRecord) {
	other := k.otherCauses * c.otherCauseRate(k)
	total := other
	for _, cj := range k.jobs {
		total += cj.odds()
	}
	k.unexplained = other / total
	for _, cj := range k.jobs {
		blame := cj.odds() / total
		// What the job was blamed for before does not count against its queue again.
		excess := func(blame float64) float64 { return max(0, blame-cj.prior) }
		counted := cj.weight * excess(blame)
		cj.queue.addBlame(counted - cj.counted)
		cj.blame, cj.counted = blame, counted
	}
	for _, cj := range k.jobs {
		cj.suspect.updateBlame()
	}
}

// otherCauseRate returns the rate, in crashes a second, at which an endpoint crashes for
// causes that have nothing to do with runs: from the other crashes that were not
// simultaneous, as far as no job is blamed for them, and the time for which this entry's
// agents have been observed.
func (c *Core) otherCauseRate(k *crashRecord) float64 {
	crashes := assumedCrashes
	for _, other := range c.crashes.All() {
		if other != k && other.ownAgent && !other.simultaneous {
			crashes += other.unexplained
		}
	}
	observed := time.Duration(len(c.agentList)) * min(c.now-c.startedAt, crashMemory)
	return max(minOtherCauseRate, crashes/(assumedTime+observed).Seconds())
}

// odds returns the weight of a job as the cause of a crash.
func (cj *crashedJob) odds() float64 {
	const highest = 0.999
	age, ok := cj.suspectedAge()
	if !ok {
		return 0
	}
	prior := min(cj.prior, highest)
	if cj.convicted {
		prior = highest
	}
	return prior / (1 - prior) * cj.queue.crashAges.density(age)
}

// crashAges is what is known of the time after which a queue's deadly runs crash their
// endpoint: the mean and the variance of its logarithm. Both are 0 while nothing is
// known.
type crashAges struct{ mean, variance float64 }

const (
	// crashAgeRange is the range of the logarithms of the times that are thought possible:
	// from some milliseconds to some seconds.
	crashAgeRange = 8
	// crashAgeWeight is the weight of one crash in the moving averages, firstVariance
	// the variance that they begin with, minVariance the lowest one.
	crashAgeWeight = 0.5
	firstVariance  = 4
	minVariance    = 0.06
	// unusualShare is the share of the crashes that are not assumed to follow the others.
	unusualShare = 0.1
)

func logAge(age time.Duration) float64 { return math.Log((age + minCrashAge).Seconds()) }

// density returns the relative density of crashes at an age. While nothing is known, all
// orders of magnitude count the same.
func (k *crashAges) density(age time.Duration) float64 {
	perLog := 1.0 / crashAgeRange
	if k.variance > 0 {
		normal := distuv.Normal{Mu: k.mean, Sigma: math.Sqrt(k.variance)}
		perLog = unusualShare*perLog + (1-unusualShare)*normal.Prob(logAge(age))
	}
	return perLog / (age + minCrashAge).Seconds()
}

// learn takes in the age of a run that has probably caused a crash.
func (k *crashAges) learn(age time.Duration) {
	if k.variance == 0 {
		k.mean, k.variance = logAge(age), firstVariance
	}
	deviation := logAge(age) - k.mean
	k.mean += crashAgeWeight * deviation
	k.variance = max(k.variance+crashAgeWeight*(deviation*deviation-k.variance), minVariance)
}

// learnCrashAges learns from the crashes for which it is known by now whether they were
// simultaneous with others.
func (c *Core) learnCrashAges() {
	for len(c.unlearned) > 0 && c.now-c.unlearned[0].at > simultaneousCrashes {
		k := c.unlearned[0]
		c.unlearned = c.unlearned[1:]
		for _, cj := range k.jobs {
			if age, ok := cj.suspectedAge(); ok && cj.blame >= strongBlame {
				cj.queue.crashAges.learn(age)
			}
		}
	}
}
