package emulator

import (
	"cmp"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

const (
	// windowLength is the length of the windows by which a run is judged, and
	// worstWindows the number of them that count as the worst.
	windowLength = 2 * time.Second
	worstWindows = 2
	// lateObjectives is the multiple of its objective within which a late job earns
	// lateShare of its value.
	lateObjectives = 3
	lateShare      = 0.2
)

// outcome is what became of a job.
type outcome uint8

const (
	outcomeInTime outcome = iota
	outcomeLate
	// outcomeUseless is a completed job whose answer came too late to be of use.
	outcomeUseless
	outcomeRefused
	outcomeFailed
)

// Result is what one run gave.
type Result struct {
	Seed int64 `json:"seed"`
	// Worth is the value earned over the value submitted; WorstWindows is the same of
	// the two worst windows of two seconds, by the time of submission.
	Worth        float64       `json:"worth"`
	WorstWindows float64       `json:"worst_windows"`
	Windows      []Window      `json:"windows"`
	Classes      []ClassResult `json:"classes"`
	// Starts counts the runs that endpoints began, Messages the messages between
	// entries and agents.
	Starts   int `json:"starts"`
	Messages int `json:"messages"`
	// BusiestEntry is the largest share of its processor that an entry has used.
	BusiestEntry float64 `json:"busiest_entry"`
	// Overlaps counts starts of a task of which another run was alive, OverCapacity
	// starts beyond an endpoint's capacity. Both must be 0.
	Overlaps     int `json:"overlaps"`
	OverCapacity int `json:"over_capacity"`
	// Crashes counts crashes of endpoints, DeadlyJobs the jobs that crash their
	// endpoints, which are owed nothing and counted nowhere else, and OverBudget the
	// starts of their tasks beyond the budget, which must be 0.
	Crashes    int `json:"crashes"`
	DeadlyJobs int `json:"deadly_jobs"`
	OverBudget int `json:"over_budget"`
	// GivenUp counts sound jobs that were answered as failed.
	GivenUp int `json:"given_up"`
	// RefusedWhileFree counts jobs that were refused while endpoints had free capacity for
	// all their tasks, Forwarded the jobs sent to other entries, ForwardedRun those that were
	// run there, and PeerMessages the messages between entries about them.
	RefusedWhileFree int `json:"refused_while_free"`
	Forwarded        int `json:"forwarded"`
	ForwardedRun     int `json:"forwarded_run"`
	PeerMessages     int `json:"peer_messages"`
	// Interrupted is set when the run was ended before its time.
	Interrupted bool `json:"interrupted,omitempty"`
}

// Window is a part of a run.
type Window struct {
	From   time.Duration `json:"from"`
	Jobs   int           `json:"jobs"`
	Worth  float64       `json:"worth"`
	owed   float64
	earned float64
}

// ClassResult is what became of the jobs of a class.
type ClassResult struct {
	Name    string  `json:"name"`
	Jobs    int     `json:"jobs"`
	InTime  int     `json:"in_time"`
	Late    int     `json:"late"`
	Useless int     `json:"useless"`
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"`
	Worth   float64 `json:"worth"`
	// RefusedAfter is the mean time until a refusal, in objectives.
	RefusedAfter float64 `json:"refused_after"`
	// Widest holds the tenth of the jobs with the most tasks, NextWidest the 20 % below
	// it, Others the rest.
	Widest     WidthResult `json:"widest"`
	NextWidest WidthResult `json:"next_widest"`
	Others     WidthResult `json:"others"`
	// FirstCaller holds the jobs of the class's first caller, OtherCallers those of the others.
	FirstCaller  CallerResult `json:"first_caller"`
	OtherCallers CallerResult `json:"other_callers"`
}

func newResult(x *Experiment, seed int64) *Result {
	r := &Result{Seed: seed}
	for _, c := range x.Classes {
		r.Classes = append(r.Classes, ClassResult{Name: c.Name})
	}
	for from := time.Duration(0); from < x.Length; from += windowLength {
		r.Windows = append(r.Windows, Window{From: from})
	}
	return r
}

func (r *Result) submitted(j *job) {
	if j.deadly {
		r.DeadlyJobs++
		return
	}
	r.Classes[j.class].Jobs++
}

func (r *Result) ended(s *simulation, j *job, o outcome) {
	if j.deadly {
		return
	}
	c := &r.Classes[j.class]
	value := s.experiment.Classes[j.class].Value
	earned := 0.0
	switch o {
	case outcomeInTime:
		c.InTime++
		earned = value
	case outcomeLate:
		c.Late++
		earned = value * lateShare
	case outcomeUseless:
		c.Useless++
	case outcomeRefused:
		c.Refused++
		c.RefusedAfter += float64(s.clock.now-j.sent) / float64(j.objective)
	case outcomeFailed:
		c.Failed++
	}
	c.Worth += earned / value
	w := &r.Windows[min(int((j.sent-settleTime)/windowLength), len(r.Windows)-1)]
	w.Jobs++
	w.owed += value
	w.earned += earned
}

// finish computes the shares.
func (r *Result) finish(s *simulation) {
	owed, earned := 0.0, 0.0
	var played []Window
	for i := range r.Windows {
		w := &r.Windows[i]
		owed += w.owed
		earned += w.earned
		if w.owed > 0 {
			w.Worth = w.earned / w.owed
			played = append(played, *w)
		}
	}
	r.Worth = share(earned, owed)
	slices.SortFunc(played, func(a, b Window) int { return cmp.Compare(a.Worth, b.Worth) })
	worst := played[:min(worstWindows, len(played))]
	for _, w := range worst {
		r.WorstWindows += w.Worth / float64(len(worst))
	}
	for i := range r.Classes {
		c := &r.Classes[i]
		c.Worth = share(c.Worth, float64(c.Jobs))
		c.RefusedAfter = share(c.RefusedAfter, float64(c.Refused))
	}
	r.rateGroups(s)
	for _, n := range s.entries {
		r.BusiestEntry = max(r.BusiestEntry, share(float64(n.busy), float64(s.clock.now)))
	}
}

// WorstClass returns the smallest share of value that a class has earned.
func (r *Result) WorstClass() float64 {
	worst := 1.0
	for _, c := range r.Classes {
		if c.Jobs > 0 {
			worst = min(worst, c.Worth)
		}
	}
	return worst
}

func share(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}

// Interval is a mean and the half width of its 95 % confidence interval over seeds;
// the half width is 0 with fewer than two seeds.
type Interval struct {
	Mean float64 `json:"mean"`
	Half float64 `json:"half"`
}

// confidence is the upper quantile of a two-sided 95 % interval.
const confidence = 0.975

// IntervalOf returns the interval of a figure over results.
func IntervalOf(results []*Result, figure func(*Result) float64) Interval {
	values := make([]float64, len(results))
	for i, r := range results {
		values[i] = figure(r)
	}
	switch len(values) {
	case 0:
		return Interval{}
	case 1:
		return Interval{Mean: values[0]}
	}
	n := float64(len(values))
	mean, deviation := stat.MeanStdDev(values, nil)
	quantile := distuv.StudentsT{Sigma: 1, Nu: n - 1}.Quantile(confidence)
	return Interval{Mean: mean, Half: quantile * stat.StdErr(deviation, n)}
}
