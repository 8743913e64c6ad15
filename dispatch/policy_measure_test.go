package dispatch_test

import (
	"slices"
	"time"

	"marjoramlug.example/marjoramlug/dispatch"
	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/verdict"
)

const (
	// roundTrip is the round trip between caller and service, which is the same
	// for all policies.
	roundTrip = 7 * time.Millisecond
	// failTime is how long a failing endpoint takes for each task.
	failTime = time.Millisecond
)

// samples holds the measured values of one metric.
type samples []float64

func (s samples) mean() float64 {
	sum := 0.0
	for _, x := range s {
		sum += x
	}
	return sum / float64(max(len(s), 1))
}

func (s samples) quantile(q float64) float64 {
	if len(s) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(s))
	return sorted[int(q*float64(len(sorted)-1))]
}

// measurement collects the results of a simulation. Only jobs that arrive at or
// after from and before to are counted, except in wrongVerdicts, slowRefusals and
// work.
type measurement struct {
	from, to time.Duration
	jobs     map[message.JobKey]*arrival
	waiters  map[dispatch.Waiter]*arrival
	// ratios holds the ratio of response time to ideal time of complete jobs, by
	// group, by urgency and for all jobs. waits holds the time from submission to
	// a task's run in seconds, by urgency.
	ratios map[string]samples
	// responses holds the response time of the same jobs in seconds, by group.
	responses map[string]samples
	waits     map[string]samples
	// chosen holds for each task the ratio of the time from submission to the end
	// of its run to the run time on the chosen endpoint.
	chosen          samples
	runs            samples
	messages        int
	probers         []prober
	useful          int
	started         map[startKey]int
	startedAt       map[string][]time.Duration
	duplicateStarts int
	complete        int
	failed          int
	refused         int
	// wrongVerdicts counts answers with the verdict NotRun to jobs of which a task
	// had run.
	wrongVerdicts int
	// slowRefusals counts refusals later than the submission of their job.
	slowRefusals int
	// late counts admitted jobs that missed their deadline.
	late int
	// work is the nominal work, in seconds, of the jobs completed in the measured
	// time.
	work      float64
	maxQueued int
}

// prober is a placement that sends probes to endpoints before it chooses one.
type prober interface{ Messages() uint64 }

type startKey struct {
	job   message.JobKey
	index int
}

func newMeasurement() *measurement {
	return &measurement{
		jobs:      map[message.JobKey]*arrival{},
		waiters:   map[dispatch.Waiter]*arrival{},
		ratios:    map[string]samples{},
		responses: map[string]samples{},
		waits:     map[string]samples{},
		started:   map[startKey]int{},
		startedAt: map[string][]time.Duration{},
	}
}

func (m *measurement) counts(a *arrival) bool { return a.at >= m.from && a.at < m.to }

func urgency(urgent bool) string {
	if urgent {
		return "urgent"
	}
	return "other"
}

// begin records that a task begins to run and returns its run time.
func (m *measurement) begin(now time.Duration, be *backend, x *execution) time.Duration {
	a := m.jobs[x.start.Job]
	key := startKey{x.start.Job, x.start.Index}
	m.started[key]++
	if m.started[key] > 1 {
		m.duplicateStarts++
	}
	m.startedAt[be.name] = append(m.startedAt[be.name], now)
	run := be.runTime(a.work[x.start.Index])
	if be.failing {
		return failTime
	}
	if m.counts(a) {
		wait := now - a.at
		name := urgency(a.jobType.urgent)
		m.waits[name] = append(m.waits[name], wait.Seconds())
		m.chosen = append(m.chosen, (wait+run+roundTrip).Seconds()/(run+roundTrip).Seconds())
		m.runs = append(m.runs, run.Seconds())
	}
	return run
}

// completed counts the start and result messages of a run as useful if its job
// has not ended.
func (m *measurement) completed(x *execution) {
	if !m.jobs[x.start.Job].ended {
		m.useful += 2
	}
}

// answered records the answer to a job.
func (m *measurement) answered(now time.Duration, w dispatch.Waiter, answer *message.JobAnswer) {
	a := m.waiters[w]
	a.ended = true
	m.checkVerdict(a, answer)
	if answer.Failed && len(answer.Tasks) == 0 && now > a.at {
		m.slowRefusals++
	}
	if !answer.Failed && now >= m.from && now < m.to {
		m.work += a.totalWork()
	}
	if !m.counts(a) {
		return
	}
	switch {
	case a.cancelled:
	case !answer.Failed:
		m.succeeded(now, a)
	case len(answer.Tasks) == 0:
		m.refused++
	case answer.Reason == verdict.ReasonDeadline:
		m.late++
	default:
		m.failed++
	}
}

func (m *measurement) checkVerdict(a *arrival, answer *message.JobAnswer) {
	if answer.Verdict != verdict.NotRun {
		return
	}
	for i := range a.work {
		if m.started[startKey{a.submit.Job, i}] > 0 {
			m.wrongVerdicts++
			return
		}
	}
}

func (m *measurement) succeeded(now time.Duration, a *arrival) {
	m.complete++
	response := (now - a.at + roundTrip).Seconds()
	ratio := response / a.ideal.Seconds()
	m.responses[a.jobType.group] = append(m.responses[a.jobType.group], response)
	for _, name := range []string{"all", urgency(a.jobType.urgent), a.jobType.group} {
		m.ratios[name] = append(m.ratios[name], ratio)
	}
}

// perTask returns the messages per task that ran: useful ones are the start and
// result messages that a job waited for, wasted ones all others, including
// probes.
func (m *measurement) perTask() (useful, wasted float64) {
	tasks := float64(max(len(m.started), 1))
	other := m.messages - m.useful
	for _, p := range m.probers {
		other += int(p.Messages())
	}
	return float64(m.useful) / tasks, float64(other) / tasks
}

// goodput returns the share of the capacity used for jobs that completed in the
// measured time.
func (m *measurement) goodput(capacity float64) float64 {
	return m.work / (capacity * (m.to - m.from).Seconds())
}

// startShare returns a backend's share of the starts between two times.
func (m *measurement) startShare(name string, from, to time.Duration) float64 {
	own, all := 0, 0
	for backend, starts := range m.startedAt {
		for _, at := range starts {
			if at < from || at >= to {
				continue
			}
			all++
			if backend == name {
				own++
			}
		}
	}
	return float64(own) / float64(max(all, 1))
}
