// Package load implements the load generator: it sends an open loop of jobs to a
// system, checks every answer against the starts that the stand-in endpoints
// counted, and reports messages per task and response times relative to the
// ideal.
package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"marjoramlug.example/marjoramlug/config"
)

// Profile describes a workload and the endpoints that it is sized for.
type Profile struct {
	Name    string
	Service config.Service
	Zones   []string
	// Speeds has one element per endpoint: its speed relative to the slowest,
	// which has speed 1.
	Speeds []float64
	// Slots is the number of slots of each endpoint.
	Slots int
	// Classes are drawn at random with the probabilities of their shares, which
	// sum to 1.
	Classes []Class
	Callers int
}

// Class is a class of requests.
type Class struct {
	Name   string
	Method string
	Path   string
	Share  float64
}

// Run times of a task on an endpoint of speed 1: most are log-uniform over the
// short range, a share of longRunShare is uniform over the long range.
const (
	minShortRun  = 100 * time.Millisecond
	maxShortRun  = 2 * time.Second
	minLongRun   = 4 * time.Second
	maxLongRun   = 8 * time.Second
	longRunShare = 0.02
)

// Job sizes in tasks: most jobs have a single task, some are small, the rest are
// large.
const (
	singleShare = 0.70
	smallShare  = 0.25
	maxSmallJob = 16
	minLargeJob = 32
	maxLargeJob = 128
)

// mixedSpeeds are the speeds of ten endpoints on hardware of several generations.
var mixedSpeeds = []float64{1, 1, 1.25, 1.5, 1.5, 2, 2, 2.5, 3, 3}

// Profiles returns the profiles by name.
func Profiles() map[string]Profile {
	trials := Profile{
		Name:   "trials",
		Zones:  []string{"zone-a", "zone-b", "zone-c"},
		Speeds: mixedSpeeds,
		Slots:  8,
		Classes: []Class{
			{Name: "moisture", Method: "POST", Path: "/moisture", Share: 0.20},
			{Name: "settings", Method: "PUT", Path: "/settings", Share: 0.30},
			{Name: "label", Method: "POST", Path: "/labels", Share: 0.50},
		},
		Callers: 30,
		Service: config.Service{
			Name: "trials",
			Rules: []config.Rule{
				{Name: "moisture", Method: "POST", PathPrefix: "/moisture", Urgent: true, Idempotent: true},
				{Name: "settings", Method: "PUT", PathPrefix: "/settings", Idempotent: true},
				{Name: "label", Method: "POST", PathPrefix: "/labels"},
			},
		},
	}
	tray := Profile{
		Name:   "tray",
		Zones:  []string{"zone-a", "zone-b", "zone-c", "zone-d"},
		Speeds: mixedSpeeds,
		Slots:  8,
		Classes: []Class{
			{Name: "checkin", Method: "POST", Path: "/checkins", Share: 0.50},
			{Name: "pickup", Method: "PUT", Path: "/pickups", Share: 0.20},
			{Name: "credit", Method: "POST", Path: "/credits", Share: 0.30},
		},
		Callers: 100,
		Service: config.Service{
			Name: "tray",
			Rules: []config.Rule{
				{Name: "checkin", Method: "POST", PathPrefix: "/checkins", Urgent: true},
				{Name: "pickup", Method: "PUT", PathPrefix: "/pickups", Urgent: true, Idempotent: true},
				{Name: "credit", Method: "POST", PathPrefix: "/credits", Urgent: true},
			},
		},
	}
	return map[string]Profile{trials.Name: trials, tray.Name: tray}
}

// ProfileByName returns the profile of the given name, and an error if there is
// none.
func ProfileByName(name string) (Profile, error) {
	p, ok := Profiles()[name]
	if !ok {
		return Profile{}, fmt.Errorf("unknown profile %q; known profiles: trials, tray", name)
	}
	return p, nil
}

// Fastest returns the speed of the fastest endpoint.
func (p Profile) Fastest() float64 {
	fastest := 0.0
	for _, s := range p.Speeds {
		fastest = max(fastest, s)
	}
	return fastest
}

// capacity returns the work that all slots complete per second, in seconds of run
// time at speed 1.
func (p Profile) capacity() float64 {
	sum := 0.0
	for _, s := range p.Speeds {
		sum += s
	}
	return sum * float64(p.Slots)
}

// Ideal returns the time that idle endpoints need for a job whose tasks have the
// given run times at speed 1: its longest task on the fastest endpoint, or all
// its work spread over all slots, whichever is longer.
func (p Profile) Ideal(work []time.Duration) time.Duration {
	longest, sum := time.Duration(0), time.Duration(0)
	for _, w := range work {
		longest = max(longest, w)
		sum += w
	}
	alone := time.Duration(float64(longest) / p.Fastest())
	spread := time.Duration(float64(sum) / p.capacity())
	return max(alone, spread)
}

// meanWork returns the mean run time of a task at speed 1, in seconds.
func meanWork() float64 {
	a, b := minShortRun.Seconds(), maxShortRun.Seconds()
	logUniform := (b - a) / math.Log(b/a)
	uniform := (minLongRun.Seconds() + maxLongRun.Seconds()) / 2
	return (1-longRunShare)*logUniform + longRunShare*uniform
}

func meanJobSize() float64 {
	large := 1 - singleShare - smallShare
	return singleShare + smallShare*(2+maxSmallJob)/2 + large*(minLargeJob+maxLargeJob)/2
}

// Rate returns the number of jobs per second that loads the endpoints to the
// given share of their capacity.
func (p Profile) Rate(load float64) float64 {
	return load * p.capacity() / (meanWork() * meanJobSize())
}

// Arrival is one planned submission.
type Arrival struct {
	// At is the time of submission, from the start of the run.
	At     time.Duration
	Caller string
	Tasks  []PlannedTask
}

// taskRunTimes returns the run times of an arrival's tasks at speed 1.
func taskRunTimes(a Arrival) []time.Duration {
	work := make([]time.Duration, len(a.Tasks))
	for i, t := range a.Tasks {
		work[i] = t.Work
	}
	return work
}

// PlannedTask is one task of an arrival.
type PlannedTask struct {
	Class Class
	// Work is the run time on an endpoint of speed 1.
	Work time.Duration
	// Declared is the run time that the caller declares, which may be far off.
	Declared time.Duration
}

// Generator draws random arrivals; the same seed gives the same arrivals.
type Generator struct {
	profile Profile
	random  *rand.Rand
	rate    float64
	at      time.Duration
}

// NewGenerator returns a generator of Poisson arrivals at the given rate, in
// jobs per second.
func NewGenerator(p Profile, seed uint64, rate float64) *Generator {
	return &Generator{profile: p, random: rand.New(rand.NewPCG(seed, seed)), rate: rate}
}

// Next draws the next arrival.
func (g *Generator) Next() Arrival {
	gap := g.random.ExpFloat64() / g.rate
	g.at += time.Duration(gap * float64(time.Second))
	a := Arrival{At: g.at, Caller: fmt.Sprintf("caller-%03d", g.random.IntN(g.profile.Callers))}
	for range g.jobSize() {
		a.Tasks = append(a.Tasks, g.task())
	}
	return a
}

func (g *Generator) jobSize() int {
	u := g.random.Float64()
	switch {
	case u < singleShare:
		return 1
	case u < singleShare+smallShare:
		return 2 + g.random.IntN(maxSmallJob-1)
	default:
		return minLargeJob + g.random.IntN(maxLargeJob-minLargeJob+1)
	}
}

func (g *Generator) task() PlannedTask {
	work := g.work()
	// The declared run time is too long or too short by up to a factor of ten.
	factor := math.Pow(10, 2*g.random.Float64()-1)
	return PlannedTask{Class: g.class(), Work: work, Declared: time.Duration(float64(work) * factor)}
}

func (g *Generator) work() time.Duration {
	if g.random.Float64() < longRunShare {
		return minLongRun + time.Duration(g.random.Int64N(int64(maxLongRun-minLongRun)))
	}
	ratio := float64(maxShortRun) / float64(minShortRun)
	return time.Duration(float64(minShortRun) * math.Pow(ratio, g.random.Float64()))
}

func (g *Generator) class() Class {
	u := g.random.Float64()
	for _, c := range g.profile.Classes {
		if u -= c.Share; u < 0 {
			return c
		}
	}
	return g.profile.Classes[len(g.profile.Classes)-1]
}
