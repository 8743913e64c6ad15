// Package deadline admits the jobs that the service can finish in time. It
// refuses at once the jobs that exceed the rate of their caller or team, that do
// not fit into the queue, or that would miss their deadline by the learned run
// times and the tasks queued ahead.
package deadline

import (
	"fmt"
	"math/bits"
	"time"

	"marjoramlug.example/marjoramlug/config"
	"marjoramlug.example/marjoramlug/dispatch"
	"marjoramlug.example/marjoramlug/kernel"
	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/verdict"
)

// ID is the plug-in's module ID.
const ID kernel.ModuleID = "admission.deadline"

func init() {
	kernel.Register(kernel.Module{ID: ID, New: func() any { return New() }})
}

const (
	// defaultQueueTasks and defaultQueueBytes bound the queue of a service that
	// sets no limits.
	defaultQueueTasks = 100_000
	defaultQueueBytes = 64 << 20
	// defaultTasksPerJob bounds a job of a service that sets no limit.
	defaultTasksPerJob = 2_000
	// normalQueueShare is the share of the queue that tasks which are not urgent may
	// fill.
	normalQueueShare = 0.8
	// meanRunTasks is the number of recent tasks that the mean run time is based on.
	meanRunTasks = 1_000
	// minFreeShare is the minimum share of the slots that is assumed to remain for a
	// job when later jobs overtake it.
	minFreeShare = 0.05
	// highLoad is the load above which the queue may never empty. The load is the
	// share of the slots that recently admitted work keeps busy.
	highLoad = 0.8
	// minRetry and maxRetry bound the time after which a refused caller is asked to
	// retry.
	minRetry = 100 * time.Millisecond
	maxRetry = time.Minute
)

// Admission decides by limits, rates and deadlines.
type Admission struct {
	limits config.Limits
	rates  *rates
	// waits corrects the estimated waits.
	waits waitCalibration
	// meanRun is the mean learned run time, in seconds, of the tasks admitted
	// recently.
	meanRun float64
	// urgent and normal hold the recently admitted work of each urgency, and the
	// part of it that starts before tasks which were already waiting.
	urgent, normal overtaking
}

// New returns an admission with the default limits.
func New() *Admission {
	a := &Admission{rates: newRates(), waits: newWaitCalibration()}
	a.Configure(config.Service{})
	return a
}

// Configure sets limits and quotas.
func (a *Admission) Configure(service config.Service) {
	a.limits = service.Limits
	setDefault(&a.limits.QueueTasks, defaultQueueTasks)
	setDefault(&a.limits.QueueBytes, defaultQueueBytes)
	setDefault(&a.limits.TasksPerJob, defaultTasksPerJob)
	a.rates.configure(service)
}

func setDefault[T int | int64](limit *T, value T) {
	if *limit == 0 {
		*limit = value
	}
}

// Admit returns nil when it admits the job. The rates are checked last, so that
// a job refused for another reason does not count against them.
func (a *Admission) Admit(now time.Time, job *message.Submit, load dispatch.Load) *dispatch.Refusal {
	if r := a.tooLarge(job); r != nil {
		return r
	}
	e := a.estimate(now, job, load)
	if r := a.queueFull(job, load, e); r != nil {
		return r
	}
	if r := a.tooLate(now, job, e); r != nil {
		return r
	}
	if r := a.rates.take(now, job); r != nil {
		return r
	}
	a.learn(now, e)
	if job.Deadline != 0 {
		a.waits.track(now, job.Job, e)
	}
	return nil
}

// JobEnded corrects the estimates by how a job ended.
func (a *Admission) JobEnded(now time.Time, job message.JobKey, end dispatch.JobEnd) {
	a.waits.ended(now, job, end)
}

func (a *Admission) tooLarge(job *message.Submit) *dispatch.Refusal {
	if len(job.Tasks) <= a.limits.TasksPerJob {
		return nil
	}
	detail := fmt.Sprintf("the job has %d tasks, %d are allowed", len(job.Tasks), a.limits.TasksPerJob)
	return &dispatch.Refusal{Reason: verdict.ReasonTooLarge, Detail: detail}
}

// queueFull refuses a job that would exceed the bounds of the queue, a part of
// which is reserved for urgent jobs.
func (a *Admission) queueFull(job *message.Submit, load dispatch.Load, e estimate) *dispatch.Refusal {
	share := 1.0
	if !e.urgent {
		share = normalQueueShare
	}
	tasks := load.Queued + len(job.Tasks)
	size := load.QueuedBytes + payloadSize(job)
	if float64(tasks) <= share*float64(a.limits.QueueTasks) && float64(size) <= share*float64(a.limits.QueueBytes) {
		return nil
	}
	return &dispatch.Refusal{
		Reason:     verdict.ReasonQueueFull,
		Detail:     "the queue has no room for the job",
		RetryAfter: clampRetry(e.drain),
	}
}

func payloadSize(job *message.Submit) int64 {
	size := 0
	for i := range job.Tasks {
		t := &job.Tasks[i]
		size += len(t.Method) + len(t.Path) + len(t.Body)
		for _, h := range t.Header {
			size += len(h.Name) + len(h.Value)
		}
	}
	return int64(size)
}

// tooLate refuses a job that would probably miss its deadline.
func (a *Admission) tooLate(now time.Time, job *message.Submit, e estimate) *dispatch.Refusal {
	if job.Deadline == 0 {
		return nil
	}
	left := time.UnixMilli(job.Deadline).Sub(now)
	expected := time.Duration(float64(e.wait)*a.waits.factorOf(e.jobKind()).now(now)) + e.run
	if expected <= left {
		return nil
	}
	return &dispatch.Refusal{
		Reason:     verdict.ReasonDeadline,
		Detail:     fmt.Sprintf("the job would take about %v, its deadline is in %v", expected.Round(time.Millisecond), left),
		RetryAfter: clampRetry(expected - left),
	}
}

func clampRetry(d time.Duration) time.Duration { return min(max(d, minRetry), maxRetry) }

// estimate is the expected wait and run time of a job.
type estimate struct {
	urgent bool
	// mean is the mean learned run time of the job's tasks in seconds, 0 when
	// nothing has been learned.
	mean  float64
	tasks int
	// wait is the time until the job's last task starts, run the time that the task
	// takes then; both are 0 when no run times or no slots are known. drain is the
	// time until the whole queue has been worked off.
	wait, run, drain time.Duration
	// overtakenShare is the share of its urgency's queue that the job overtakes.
	overtakenShare float64
}

func (e estimate) jobKind() jobKind {
	return jobKind{urgent: e.urgent, size: bits.Len(uint(e.tasks)) / 2}
}

// estimate assumes that all slots work off the tasks ahead and the job's own at
// the mean run time, and that the job's last task takes the longest run time of
// the job's classes. Meanwhile later jobs that overtake this one take a part of
// the slots, as they did recently.
func (a *Admission) estimate(now time.Time, job *message.Submit, load dispatch.Load) estimate {
	e := estimate{urgent: true, tasks: len(job.Tasks)}
	longest, sum := 0.0, 0.0
	for i := range job.Tasks {
		t := &job.Tasks[i]
		run := load.Expected(t.Class, 0).Seconds()
		longest = max(longest, run)
		sum += run
		e.urgent = e.urgent && t.Urgent
	}
	e.mean = sum / float64(e.tasks)
	if load.Slots == 0 || longest == 0 {
		return e
	}
	mean := a.meanRun
	if mean == 0 {
		mean = e.mean
	}
	e.run = seconds(longest)
	e.drain = seconds(float64(load.Queued) * mean / float64(load.Slots))
	a.estimateWait(now, job, load, mean, &e)
	return e
}

// estimateWait combines two estimates. arrivalWait is the wait in the order of
// arrival, with a part of the slots lost to later jobs that overtake; shareWait is
// the wait at the rate of the caller's share. If shareWait is lower, it applies.
// Otherwise the load decides: up to highLoad the queue will empty, and arrivalWait
// is right; at full load other jobs keep arriving, and shareWait is right; in
// between both are weighted. Without a rate, the plain wait in the order of
// arrival applies.
func (a *Admission) estimateWait(now time.Time, job *message.Submit, load dispatch.Load, mean float64, e *estimate) {
	waiting := load.Queued
	if e.urgent {
		waiting = load.QueuedUrgent
	}
	slots := float64(load.Slots)
	free := max(load.Slots-load.Running, 0)
	inOrder := float64(max(waiting+e.tasks-free, 0)) * mean / slots
	shareWait, known := inOrder, false
	if load.Shares != nil && inOrder > 0 {
		var estimated time.Duration
		if estimated, known = load.Shares.EstimateWait(now, job.Job.Team, job.Job.Caller, e.urgent, e.tasks); known {
			shareWait = estimated.Seconds()
		}
	}
	if shareWait < inOrder {
		e.overtakenShare = 1 - shareWait/inOrder
	}
	arrivalWait := inOrder / max(1-a.slotsTakenByLater(now, *e)/slots, minFreeShare)
	if !known || shareWait < arrivalWait {
		e.wait = seconds(min(shareWait, arrivalWait))
		return
	}
	admittedLoad := a.urgent.busySlots(now) / slots
	if !e.urgent {
		admittedLoad += a.normal.busySlots(now) / slots
	}
	weight := min(max((admittedLoad-highLoad)/(1-highLoad), 0), 1)
	e.wait = seconds(arrivalWait + (shareWait-arrivalWait)*weight)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// slotsTakenByLater returns the mean number of slots that later jobs are expected
// to take before this job: for a job that is not urgent, the slots of all urgent
// work; for any job, also those of its urgency's overtaking work, reduced by the
// share of the queue that the job itself overtakes.
func (a *Admission) slotsTakenByLater(now time.Time, e estimate) float64 {
	if e.urgent {
		return a.urgent.overtaking(now) * (1 - e.overtakenShare)
	}
	return a.urgent.busySlots(now) + a.normal.overtaking(now)*(1-e.overtakenShare)
}

// learn updates the mean run time and the work of the job's urgency with an
// admitted job.
func (a *Admission) learn(now time.Time, e estimate) {
	if e.mean == 0 {
		return
	}
	if a.meanRun == 0 {
		a.meanRun = e.mean
	}
	weight := min(float64(e.tasks)/meanRunTasks, 1)
	a.meanRun += (e.mean - a.meanRun) * weight
	work := &a.normal
	if e.urgent {
		work = &a.urgent
	}
	work.add(now, e.mean*float64(e.tasks), e.overtakenShare)
}
