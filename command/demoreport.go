package command

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"marjoramlug.example/marjoramlug/api"
	"marjoramlug.example/marjoramlug/load"
	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/standin/endpoint"
)

// demoProfile describes the demo's endpoints, from which ideal response times
// are computed.
var demoProfile = load.Profile{Speeds: demoSpeeds, Slots: demoSlotsPerEndpoint}

// demoTotals are the figures of the demo's table. idealRatios holds each job's
// response time divided by its ideal response time.
type demoTotals struct {
	jobs, complete, tasks          int
	resubmitted                    int
	starts, duplicates             int
	partialAnswers, crossedAnswers int
	idealRatios                    []float64
	messages                       uint64
}

// report prints the table. It returns an error when a guarantee was violated.
func (r *demoRun) report(w io.Writer) error {
	t := r.totals()
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "jobs\t%d, complete %d, resubmitted elsewhere %d\n", t.jobs, t.complete, t.resubmitted)
	fmt.Fprintf(tw, "tasks\t%d\n", t.tasks)
	fmt.Fprintf(tw, "starts seen by endpoints\t%d\n", t.starts)
	fmt.Fprintf(tw, "duplicate starts\t%d\n", t.duplicates)
	fmt.Fprintf(tw, "partial answers\t%d\n", t.partialAnswers)
	fmt.Fprintf(tw, "crossed answers\t%d\n", t.crossedAnswers)
	fmt.Fprintf(tw, "response against the ideal\tmean %.2f, p50 %.2f, p99 %.2f\n", mean(t.idealRatios), quantile(t.idealRatios, 0.5), quantile(t.idealRatios, 0.99))
	fmt.Fprintf(tw, "messages per task\t%.2f\n", float64(t.messages)/float64(max(t.tasks, 1)))
	if err := tw.Flush(); err != nil {
		return err
	}
	if t.complete != t.jobs || t.duplicates > 0 || t.partialAnswers > 0 || t.crossedAnswers > 0 || t.starts != t.tasks {
		return fmt.Errorf("the demo violated a guarantee; see the table")
	}
	return nil
}

func (r *demoRun) totals() demoTotals {
	var t demoTotals
	for _, outcome := range r.ended {
		t.add(outcome)
	}
	for _, n := range r.system.Starts() {
		t.starts += n
		t.duplicates += max(0, n-1)
	}
	for _, c := range r.system.Counters() {
		for _, kind := range message.Kinds() {
			t.messages += c.Sent.Of(kind) + c.Received.Of(kind)
		}
	}
	return t
}

func (t *demoTotals) add(outcome demoOutcome) {
	t.jobs++
	t.tasks += len(outcome.keys)
	t.idealRatios = append(t.idealRatios, float64(outcome.response)/float64(demoProfile.Ideal(outcome.runTime)))
	if outcome.err == nil && outcome.answer.State == api.StateComplete {
		t.complete++
	}
	for _, answer := range []*api.JobResponse{outcome.answer, outcome.resubmitAnswer} {
		if answer != nil {
			t.countFaults(outcome.keys, answer)
		}
	}
	if outcome.resubmitAnswer != nil {
		t.resubmitted++
	}
}

// countFaults counts an answer with a wrong number of results as partial. In other
// answers it counts each result that can't be decoded or that belongs to another
// task as crossed.
func (t *demoTotals) countFaults(keys []string, answer *api.JobResponse) {
	if len(answer.Tasks) != len(keys) {
		t.partialAnswers++
		return
	}
	for i, task := range answer.Tasks {
		var reply endpoint.TaskReply
		if json.Unmarshal(task.Bytes(), &reply) != nil || reply.Key != keys[i] {
			t.crossedAnswers++
		}
	}
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(max(len(values), 1))
}

func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(q*float64(len(sorted)-1))]
}
