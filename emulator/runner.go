package emulator

import (
	"context"
	"encoding/csv"
	"fmt"
	"io"
	"strconv"
	"sync"
	"text/tabwriter"

	"golang.org/x/sync/errgroup"
)

// Policies that an experiment compares.
const (
	// PolicyProduct is the product's own: the cores of entries and agents.
	PolicyProduct = "product"
	// PolicyReservations is PolicyProduct with the setting reservations.
	PolicyReservations = "reservations"
	// PolicyPerfect is one queue with perfect knowledge.
	PolicyPerfect = "perfect"
	// PolicySharing is the product's own with capacity shared by the setting sharing.floor.
	PolicySharing = "sharing"
)

// Report holds the results of an experiment, by policy and in the order of its seeds.
type Report struct {
	Policies []PolicyResults `json:"policies"`
	// Interrupted is set when not all runs were played to their end.
	Interrupted bool `json:"interrupted,omitempty"`
}

// PolicyResults are the results of one policy, without interrupted runs.
type PolicyResults struct {
	Policy  string    `json:"policy"`
	Results []*Result `json:"results"`
}

// RunAll plays an experiment with all its seeds and policies, several runs at a time,
// and calls progress after each. When ctx ends, it returns the runs that were played
// to their end, with Report.Interrupted set.
func RunAll(ctx context.Context, x *Experiment, parallel int, progress func(policy string, r *Result)) (*Report, error) {
	results := make([][]*Result, len(x.Policies))
	var group errgroup.Group
	group.SetLimit(max(parallel, 1))
	var mu sync.Mutex // serializes progress
	for p, policy := range x.Policies {
		results[p] = make([]*Result, len(x.Seeds))
		for i, seed := range x.Seeds {
			group.Go(func() error {
				r := RunPolicy(ctx, x, policy, seed)
				results[p][i] = r
				mu.Lock()
				defer mu.Unlock()
				progress(policy, r)
				return nil
			})
		}
	}
	// The runs return no errors.
	_ = group.Wait()
	report := &Report{Interrupted: ctx.Err() != nil}
	for p, policy := range x.Policies {
		list := PolicyResults{Policy: policy}
		for _, r := range results[p] {
			if r.Interrupted {
				continue
			}
			list.Results = append(list.Results, r)
			if r.Overlaps+r.OverCapacity+r.OverBudget > 0 {
				return report, fmt.Errorf("policy %s, seed %d: %d overlapping runs, %d starts over capacity, %d over the budget of crashes",
					policy, r.Seed, r.Overlaps, r.OverCapacity, r.OverBudget)
			}
		}
		report.Policies = append(report.Policies, list)
	}
	return report, nil
}

// WriteTable writes a row for each policy and one for each of its classes: means over
// the seeds with their 95 % confidence intervals.
func (r *Report) WriteTable(w io.Writer, x *Experiment) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "policy\truns\tworth\tworst windows\tworst class\tcrashes\tstarts\tmessages a start\tbusiest entry\t")
	for _, p := range r.Policies {
		interval := func(figure func(*Result) float64) string {
			i := IntervalOf(p.Results, figure)
			return fmt.Sprintf("%.3f ± %.3f", i.Mean, i.Half)
		}
		mean := func(figure func(*Result) float64) float64 { return IntervalOf(p.Results, figure).Mean }
		_, _ = fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%s\t%.1f\t%.0f\t%.2f\t%.2f\t\n", p.Policy, len(p.Results),
			interval(func(r *Result) float64 { return r.Worth }),
			interval(func(r *Result) float64 { return r.WorstWindows }),
			interval((*Result).WorstClass),
			mean(func(r *Result) float64 { return float64(r.Crashes) }),
			mean(func(r *Result) float64 { return float64(r.Starts) }),
			mean(func(r *Result) float64 { return share(float64(r.Messages), float64(r.Starts)) }),
			mean(func(r *Result) float64 { return r.BusiestEntry }))
	}
	_, _ = fmt.Fprintln(table, "\t\t\t\t\t\t\t\t\t")
	_, _ = fmt.Fprintln(table, "policy\tclass\tworth\tin time\tlate\trefused\tfailed, too late\trefused after\t")
	for _, p := range r.Policies {
		for c, class := range x.Classes {
			part := func(count func(ClassResult) int) float64 {
				return IntervalOf(p.Results, func(r *Result) float64 {
					return share(float64(count(r.Classes[c])), float64(r.Classes[c].Jobs))
				}).Mean
			}
			_, _ = fmt.Fprintf(table, "%s\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.2f\t\n", p.Policy, class.Name,
				IntervalOf(p.Results, func(r *Result) float64 { return r.Classes[c].Worth }).Mean,
				part(func(r ClassResult) int { return r.InTime }), part(func(r ClassResult) int { return r.Late }),
				part(func(r ClassResult) int { return r.Refused }), part(func(r ClassResult) int { return r.Failed + r.Useless }),
				IntervalOf(p.Results, func(r *Result) float64 { return r.Classes[c].RefusedAfter }).Mean)
		}
	}
	r.writeWidths(table, x)
	r.writeCallers(table, x)
	// The errors of the lines above are kept by the writer and returned here.
	return table.Flush()
}

// WriteCSV writes a row for each run and window: policy, seed, the window's start in
// seconds, jobs and worth.
func (r *Report) WriteCSV(w io.Writer) error {
	rows := csv.NewWriter(w)
	_ = rows.Write([]string{"policy", "seed", "from_s", "jobs", "worth"})
	for _, p := range r.Policies {
		for _, result := range p.Results {
			for _, window := range result.Windows {
				_ = rows.Write([]string{
					p.Policy, strconv.FormatInt(result.Seed, 10), strconv.FormatFloat(window.From.Seconds(), 'f', -1, 64),
					strconv.Itoa(window.Jobs), strconv.FormatFloat(window.Worth, 'f', 4, 64),
				})
			}
		}
	}
	rows.Flush()
	return rows.Error()
}
