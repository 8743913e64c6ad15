package emulator

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"
)

const (
	// widestShare is the share of a class's jobs that count as the widest,
	// nextWidestShare that of those just below.
	widestShare     = 0.1
	nextWidestShare = 0.2
	// highQuantile is the quantile of waits that is reported beside their mean.
	highQuantile = 0.9
)

// WidthResult is what became of the jobs of a class whose numbers of tasks lie in one range.
type WidthResult struct {
	Jobs int `json:"jobs"`
	// Tasks is the mean number of tasks.
	Tasks   float64 `json:"tasks"`
	InTime  float64 `json:"in_time"`
	Refused float64 `json:"refused"`
	Worth   float64 `json:"worth"`
	// Wait is the mean time in milliseconds from the submission of a job to the start of
	// its last task, over the jobs whose tasks have all started; HighWait is its
	// 90 % quantile.
	Wait     float64 `json:"wait_ms"`
	HighWait float64 `json:"high_wait_ms"`
}

// CallerResult is what became of the jobs of some of the callers of a class.
type CallerResult struct {
	Jobs   int     `json:"jobs"`
	InTime float64 `json:"in_time"`
}

// taskStarted records the first start of a task.
func (j *job) taskStarted(task int, now time.Duration) {
	if j.unstarted[task] {
		j.unstarted[task] = false
		j.started++
		j.lastStart = now
	}
}

// rateGroups rates the jobs of each class by their number of tasks and by their caller.
// Jobs of equal width are divided in the order of their submission, so that the division
// is the same for all policies.
func (r *Result) rateGroups(s *simulation) {
	byClass := make([][]*job, len(r.Classes))
	for i := range len(s.jobs) {
		if j := s.jobs[fmt.Sprintf("job-%d", i)]; !j.deadly && j.done {
			byClass[j.class] = append(byClass[j.class], j)
		}
	}
	for i, jobs := range byClass {
		slices.SortStableFunc(jobs, func(a, b *job) int { return cmp.Compare(len(b.works), len(a.works)) })
		widest := int(widestShare * float64(len(jobs)))
		next := int((widestShare + nextWidestShare) * float64(len(jobs)))
		c := &r.Classes[i]
		c.Widest, c.NextWidest, c.Others = rateJobs(jobs[:widest]), rateJobs(jobs[widest:next]), rateJobs(jobs[next:])
		c.FirstCaller, c.OtherCallers = rateCallers(jobs)
	}
}

func rateJobs(jobs []*job) WidthResult {
	r := WidthResult{Jobs: len(jobs)}
	var waits []float64
	for _, j := range jobs {
		r.Tasks += float64(len(j.works))
		switch j.outcome {
		case outcomeInTime:
			r.InTime++
			r.Worth++
		case outcomeLate:
			r.Worth += lateShare
		case outcomeRefused:
			r.Refused++
		}
		if j.started == len(j.works) {
			waits = append(waits, float64(j.lastStart-j.sent)/float64(time.Millisecond))
		}
	}
	n := float64(len(jobs))
	r.Tasks, r.InTime, r.Refused, r.Worth = share(r.Tasks, n), share(r.InTime, n), share(r.Refused, n), share(r.Worth, n)
	if len(waits) > 0 {
		slices.Sort(waits)
		r.Wait, r.HighWait = stat.Mean(waits, nil), stat.Quantile(highQuantile, stat.Empirical, waits, nil)
	}
	return r
}

// rateCallers rates the jobs of the first caller and those of the others.
func rateCallers(jobs []*job) (first, others CallerResult) {
	for _, j := range jobs {
		caller := &others
		if j.caller == 0 {
			caller = &first
		}
		caller.Jobs++
		if j.outcome == outcomeInTime {
			caller.InTime++
		}
	}
	first.InTime, others.InTime = share(first.InTime, float64(first.Jobs)), share(others.InTime, float64(others.Jobs))
	return first, others
}

// writeWidths writes a row for each policy, class and range of widths: means over the
// seeds.
func (r *Report) writeWidths(w io.Writer, x *Experiment) {
	_, _ = fmt.Fprintln(w, "\t\t\t\t\t\t\t\t\t")
	_, _ = fmt.Fprintln(w, "policy\tclass\tjobs by width\ttasks\tworth\tin time\trefused\twait, ms\twait of a tenth, ms\t")
	ranges := []struct {
		name string
		of   func(ClassResult) WidthResult
	}{
		{"widest tenth", func(c ClassResult) WidthResult { return c.Widest }},
		{"next fifth", func(c ClassResult) WidthResult { return c.NextWidest }},
		{"others", func(c ClassResult) WidthResult { return c.Others }},
	}
	for _, p := range r.Policies {
		for c, class := range x.Classes {
			for _, part := range ranges {
				mean := func(figure func(WidthResult) float64) float64 {
					return IntervalOf(p.Results, func(r *Result) float64 { return figure(part.of(r.Classes[c])) }).Mean
				}
				inTime := IntervalOf(p.Results, func(r *Result) float64 { return part.of(r.Classes[c]).InTime })
				_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%.1f\t%.3f\t%.3f ± %.3f\t%.3f\t%.0f\t%.0f\t\n", p.Policy, class.Name, part.name,
					mean(func(r WidthResult) float64 { return r.Tasks }), mean(func(r WidthResult) float64 { return r.Worth }),
					inTime.Mean, inTime.Half, mean(func(r WidthResult) float64 { return r.Refused }),
					mean(func(r WidthResult) float64 { return r.Wait }), mean(func(r WidthResult) float64 { return r.HighWait }))
			}
		}
	}
}

// writeCallers writes a row for each policy and class: the shares of jobs in time of the
// first caller and of the others, as means over the seeds.
func (r *Report) writeCallers(w io.Writer, x *Experiment) {
	_, _ = fmt.Fprintln(w, "\t\t\t\t")
	_, _ = fmt.Fprintln(w, "policy\tclass\tin time: first caller\tother callers\t")
	for _, p := range r.Policies {
		for c, class := range x.Classes {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%.3f\t%.3f\t\n", p.Policy, class.Name,
				IntervalOf(p.Results, func(r *Result) float64 { return r.Classes[c].FirstCaller.InTime }).Mean,
				IntervalOf(p.Results, func(r *Result) float64 { return r.Classes[c].OtherCallers.InTime }).Mean)
		}
	}
}
