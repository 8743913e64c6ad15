package dispatch_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"marjoramlug.example/marjoramlug/message"
)

const (
	// nominalSpeed is the speed at which a task takes its nominal time.
	nominalSpeed = 2.0
	// declaredSpread is the standard deviation of the logarithm of the error of
	// declared run times.
	declaredSpread = 1.5
	minWork        = 50 * time.Millisecond
	maxWork        = time.Second
	// minLongWork and maxLongWork limit the work of the few long tasks.
	minLongWork = 2 * time.Second
	maxLongWork = 8 * time.Second
)

// jobType is a type of jobs within a profile.
type jobType struct {
	class  string
	group  string
	urgent bool
	// share is this type's share of all tasks.
	share float64
	// minTasks and maxTasks limit the number of tasks of a job.
	minTasks, maxTasks int
	callers            int
	longShare          float64
	deadline           time.Duration
}

// profile is a mix of job types and the number of availability zones of the fleet.
type profile struct {
	name     string
	zones    int
	jobTypes []jobType
}

var trials = profile{name: "trials", zones: 3, jobTypes: []jobType{
	{class: "moisture", group: "single", urgent: true, share: 0.1, minTasks: 1, maxTasks: 1, callers: 30, deadline: 2 * time.Second},
	{class: "press", group: "small", urgent: true, share: 0.1, minTasks: 2, maxTasks: 6, callers: 10, deadline: 2 * time.Second},
	{class: "label", group: "single", share: 0.2, minTasks: 1, maxTasks: 1, callers: 40, deadline: 10 * time.Second},
	{class: "blend", group: "small", share: 0.3, minTasks: 2, maxTasks: 20, callers: 12, longShare: 0.01, deadline: 10 * time.Second},
	{class: "trial", group: "large", share: 0.3, minTasks: 20, maxTasks: 120, callers: 6, longShare: 0.02, deadline: 20 * time.Second},
}}

var tray = profile{name: "tray", zones: 4, jobTypes: []jobType{
	{class: "checkin", group: "single", urgent: true, share: 0.4, minTasks: 1, maxTasks: 1, callers: 200, deadline: 2 * time.Second},
	{class: "route", group: "small", urgent: true, share: 0.3, minTasks: 2, maxTasks: 12, callers: 40, deadline: 5 * time.Second},
	{class: "ledger", group: "large", urgent: true, share: 0.3, minTasks: 20, maxTasks: 80, callers: 10, longShare: 0.02, deadline: 10 * time.Second},
}}

// arrival is one job of a workload. Its work is in nominal run times.
type arrival struct {
	at      time.Duration
	jobType *jobType
	submit  *message.Submit
	work    []time.Duration
	ideal   time.Duration
	// ended is set once the job has been answered.
	ended bool
	// cancelled jobs end without counting as failed.
	cancelled bool
}

// fleet returns 10 backends with 8 slots each and speeds from 1 to 3.
func fleet(zones int) []*backend {
	const backends, slots = 10, 8
	list := make([]*backend, backends)
	for i := range list {
		// The stride mixes speeds and availability zones.
		speed := 1 + 2*float64(i*3%backends)/(backends-1)
		list[i] = &backend{
			name: fmt.Sprintf("runner-%d", i), zone: fmt.Sprintf("zone-%c", 'a'+i%zones), slots: slots, speed: speed,
		}
	}
	return list
}

func (b *backend) runTime(work time.Duration) time.Duration {
	return time.Duration(float64(work) * nominalSpeed / b.speed)
}

// capacity returns the nominal work, in seconds, that the fleet does per second.
func capacity(fleet []*backend) float64 {
	sum := 0.0
	for _, b := range fleet {
		sum += float64(b.slots) * b.speed / nominalSpeed
	}
	return sum
}

func (f *jobType) meanWork() float64 {
	short := (maxWork - minWork).Seconds() / math.Log(float64(maxWork)/float64(minWork))
	long := (minLongWork + maxLongWork).Seconds() / 2
	return (1-f.longShare)*short + f.longShare*long
}

func (f *jobType) draw(random *rand.Rand) time.Duration {
	if random.Float64() < f.longShare {
		return minLongWork + time.Duration(random.Float64()*float64(maxLongWork-minLongWork))
	}
	return time.Duration(float64(minWork) * math.Pow(float64(maxWork)/float64(minWork), random.Float64()))
}

// workload draws the arrivals of a profile up to the time end. rate returns the
// load relative to the capacity at each time; it never exceeds peak.
func workload(p profile, seed uint64, end time.Duration, peak float64, rate func(time.Duration) float64, deadlines bool) []*arrival {
	backends := fleet(p.zones)
	mean := 0.0
	for _, f := range p.jobTypes {
		mean += f.share * f.meanWork()
	}
	tasksPerSecond := peak * capacity(backends) / mean
	drawn := end * 5 / 4
	var list []*arrival
	for i := range p.jobTypes {
		f := &p.jobTypes[i]
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		jobsPerSecond := tasksPerSecond * f.share * 2 / float64(f.minTasks+f.maxTasks)
		for at := time.Duration(0); at < drawn; {
			at += time.Duration(random.ExpFloat64() / jobsPerSecond * float64(time.Second))
			if random.Float64()*peak < rate(at) {
				list = append(list, f.arrival(random, at, len(list), backends))
			}
		}
	}
	slices.SortStableFunc(list, func(a, b *arrival) int { return cmp.Compare(a.at, b.at) })
	if rate(0) == peak {
		scaleArrivals(list, peak*capacity(backends), drawn)
	}
	list = slices.DeleteFunc(list, func(a *arrival) bool { return a.at >= end })
	for _, a := range list {
		a.setTimes(deadlines)
	}
	return list
}

// scaleArrivals scales the arrival times so that the work matches the load
// exactly. Otherwise the load would depend on how many of the few long tasks the
// seed draws.
func scaleArrivals(list []*arrival, load float64, drawn time.Duration) {
	work := 0.0
	for _, a := range list {
		work += a.totalWork()
	}
	factor := work / (load * drawn.Seconds())
	for _, a := range list {
		a.at = time.Duration(float64(a.at) * factor)
	}
}

func (f *jobType) arrival(random *rand.Rand, at time.Duration, n int, backends []*backend) *arrival {
	a := &arrival{at: at, jobType: f}
	caller := fmt.Sprintf("%s-%d", f.class, random.IntN(f.callers))
	key := message.JobKey{Team: "reseller", Caller: caller, Job: fmt.Sprintf("%s-%d", f.class, n)}
	a.submit = &message.Submit{
		Service: simService, Job: key, Shard: message.ShardOf(simService, key), Fingerprint: 1,
	}
	for range f.minTasks + random.IntN(f.maxTasks-f.minTasks+1) {
		work := f.draw(random)
		declared := float64(work.Milliseconds()) * math.Exp(random.NormFloat64()*declaredSpread)
		a.work = append(a.work, work)
		a.submit.Tasks = append(a.submit.Tasks, message.Task{
			Method: "POST", Path: "/" + f.class, Class: f.class, Urgent: f.urgent, DeclaredMillis: int64(declared),
		})
	}
	a.ideal = idealTime(a.work, backends)
	return a
}

// totalWork returns the job's nominal work in seconds.
func (a *arrival) totalWork() float64 {
	sum := 0.0
	for _, w := range a.work {
		sum += w.Seconds()
	}
	return sum
}

// setTimes sets the job's submission time and, if deadlines is set, its deadline.
func (a *arrival) setTimes(deadlines bool) {
	a.submit.SubmittedAt = epoch.Add(a.at).UnixMilli()
	if deadlines {
		limit := max(a.jobType.deadline, 3*a.ideal)
		a.submit.Deadline = epoch.Add(a.at + limit).UnixMilli()
	}
}

// idealTime returns the time that an idle fleet needs for a job: the longest tasks
// are placed first, each where it completes first, plus one round trip.
func idealTime(work []time.Duration, backends []*backend) time.Duration {
	sorted := slices.Clone(work)
	slices.SortFunc(sorted, func(a, b time.Duration) int { return cmp.Compare(b, a) })
	free := make([][]time.Duration, len(backends))
	for i, b := range backends {
		free[i] = make([]time.Duration, b.slots)
	}
	last := time.Duration(0)
	for _, w := range sorted {
		backend, slot, end := 0, 0, time.Duration(math.MaxInt64)
		for b := range free {
			s := slices.Index(free[b], slices.Min(free[b]))
			if e := free[b][s] + backends[b].runTime(w); e < end {
				backend, slot, end = b, s, e
			}
		}
		free[backend][slot] = end
		last = max(last, end)
	}
	return last + roundTrip
}
