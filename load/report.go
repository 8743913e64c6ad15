package load

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"marjoramlug.example/marjoramlug/message"
)

// Report holds the results of a run.
type Report struct {
	Profile  string        `json:"profile"`
	Load     float64       `json:"load"`
	Seed     uint64        `json:"seed"`
	Duration time.Duration `json:"duration_ns"`
	Faults   []Fault       `json:"faults,omitempty"`

	Sent     int            `json:"jobs_sent"`
	Complete int            `json:"jobs_complete"`
	Tasks    int            `json:"tasks_complete"`
	Failed   map[string]int `json:"jobs_failed,omitempty"`
	// ServerErrors counts tasks that endpoints answered with a status of 500 or above.
	ServerErrors int `json:"tasks_answered_with_server_error"`

	ResponseMillis Distribution            `json:"response_ms"`
	IdealRatio     Distribution            `json:"response_against_ideal"`
	ChosenRatio    Distribution            `json:"task_against_run_on_chosen_endpoint"`
	TaskMillis     map[string]Distribution `json:"task_ms_by_class"`
	WaitMillis     map[string]Distribution `json:"wait_ms_by_class"`

	// Checked is false if the endpoints' own counts are not available.
	Checked    bool       `json:"checked_against_endpoints"`
	Violations Violations `json:"violations"`
	// Messages counts messages between owners and agents by kind.
	Messages        map[string]MessageCount `json:"messages,omitempty"`
	MessagesPerTask float64                 `json:"messages_per_task,omitempty"`
	WastedPerTask   float64                 `json:"wasted_messages_per_task,omitempty"`

	response  *hdrhistogram.Histogram
	taskTimes map[string]*hdrhistogram.Histogram
}

// Distribution summarizes a histogram.
type Distribution struct {
	Mean float64 `json:"mean"`
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	Max  float64 `json:"max"`
}

func distributionOf(h *hdrhistogram.Histogram, scale float64) Distribution {
	return Distribution{
		Mean: h.Mean() / scale,
		P50:  float64(h.ValueAtQuantile(50)) / scale,
		P99:  float64(h.ValueAtQuantile(99)) / scale,
		Max:  float64(h.Max()) / scale,
	}
}

func (r *Runner) report() *Report {
	t := r.tally
	t.mu.Lock()
	defer t.mu.Unlock()
	const microsPerMilli = 1000
	rep := &Report{
		Profile: r.opts.Profile.Name, Load: r.opts.Load, Seed: r.opts.Seed,
		Duration: r.opts.Duration, Faults: r.opts.Faults,
		Sent: int(r.sent.Load()), Complete: t.jobs, Tasks: t.tasks, Failed: map[string]int{}, ServerErrors: t.serverErrors,
		ResponseMillis: distributionOf(t.response, microsPerMilli),
		IdealRatio:     distributionOf(t.idealRatio, ratioScale),
		ChosenRatio:    distributionOf(t.chosenRatio, ratioScale),
		TaskMillis:     map[string]Distribution{},
		WaitMillis:     map[string]Distribution{},
		response:       t.response,
		taskTimes:      t.taskTimes,
	}
	for f, n := range t.failed {
		rep.Failed[f.verdict.String()+" "+f.reason.String()] = n
	}
	for class, h := range t.taskTimes {
		rep.TaskMillis[class] = distributionOf(h, microsPerMilli)
		rep.WaitMillis[class] = distributionOf(t.taskWaits[class], microsPerMilli)
	}
	rep.addObserved(r.checker, r.target.Observed())
	return rep
}

func (rep *Report) addObserved(c *checker, o *Observed) {
	if o == nil {
		rep.Violations = c.violations(nil)
		return
	}
	rep.Checked = true
	rep.Violations = c.violations(o.Starts)
	rep.Messages = map[string]MessageCount{}
	var total, wasted uint64
	for kind, n := range o.Messages {
		if n.Total > 0 {
			rep.Messages[kind.String()] = n
		}
		total += n.Total
		wasted += n.Wasted
	}
	// Each start message counts as one task, so that the tasks of failed and
	// cancelled jobs are included.
	started := max(o.Messages[message.KindStart].Total, 1)
	rep.MessagesPerTask = float64(total) / float64(started)
	rep.WastedPerTask = float64(wasted) / float64(started)
}

// WriteJSON writes the report as JSON.
func (rep *Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(rep)
}

// WriteTable writes the report as a table of text.
func (rep *Report) WriteTable(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "profile\t%s at %.0f %% load, seed %d, %s, faults %v\n", rep.Profile, 100*rep.Load, rep.Seed, rep.Duration, rep.Faults)
	fmt.Fprintf(tw, "jobs\tsent %d, complete %d, failed %d\n", rep.Sent, rep.Complete, rep.Sent-rep.Complete)
	for _, kind := range sortedKeys(rep.Failed) {
		fmt.Fprintf(tw, "  failed\t%s: %d\n", kind, rep.Failed[kind])
	}
	fmt.Fprintf(tw, "tasks complete\t%d, of them %d server errors\n", rep.Tasks, rep.ServerErrors)
	rep.ResponseMillis.writeRow(tw, "job response, ms")
	rep.IdealRatio.writeRow(tw, "job response / ideal")
	rep.ChosenRatio.writeRow(tw, "task time / run on chosen endpoint")
	for _, class := range sortedKeys(rep.TaskMillis) {
		rep.TaskMillis[class].writeRow(tw, "task "+class+", ms")
		rep.WaitMillis[class].writeRow(tw, "  wait in queue, ms")
	}
	if rep.Checked {
		fmt.Fprintf(tw, "messages per task\t%.3f, wasted %.3f\n", rep.MessagesPerTask, rep.WastedPerTask)
		rep.writeMessageCounts(tw)
		fmt.Fprintf(tw, "checked against endpoints\t%s\n", rep.Violations)
	} else {
		fmt.Fprintf(tw, "checked on answers alone\t%s\n", rep.Violations)
	}
	return tw.Flush()
}

func (rep *Report) writeMessageCounts(w io.Writer) {
	kinds := sortedKeys(rep.Messages)
	slices.SortStableFunc(kinds, func(a, b string) int {
		return int(rep.Messages[b].Total) - int(rep.Messages[a].Total)
	})
	for _, kind := range kinds {
		n := rep.Messages[kind]
		fmt.Fprintf(w, "  %s\t%d, wasted %d\n", kind, n.Total, n.Wasted)
	}
}

func (d Distribution) writeRow(w io.Writer, name string) {
	fmt.Fprintf(w, "%s\tmean %.2f, p50 %.2f, p99 %.2f, max %.2f\n", name, d.Mean, d.P50, d.P99, d.Max)
}
