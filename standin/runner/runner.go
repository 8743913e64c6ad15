// Package runner is a stand-in for a runner of the users' platform and implements
// its published protocol: it starts runs under leases and fencing tokens and
// lists the runs that have ended. It counts starts beyond its capacity, which
// must never happen.
package runner

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Options describe a runner.
type Options struct {
	Name    string
	Service string
	Address string
	// HeartbeatAddress is the host and port to which the runner sends its heartbeats.
	HeartbeatAddress string
	// Zone is announced as its availability zone, if set.
	Zone string
	// CPU is its capacity in thousandths of a core, until SetCapacity changes it; each
	// task takes TaskCPU.
	CPU, TaskCPU int64
	// ShrinkGrace is the time for which starts may still use a capacity that has shrunk.
	ShrinkGrace time.Duration
	// Lease is the maximum time from a call to the end of the lease that it sets.
	Lease time.Duration
	// StopTime is the time from a stop to the end of the run.
	StopTime time.Duration
	// Heartbeat is the interval between heartbeats.
	Heartbeat time.Duration
	// Work returns the duration and the outcome of a task's run; the default is
	// 20 ms and "done".
	Work func(task string) (time.Duration, string)
}

// Runner is one incarnation of a runner. It is safe for concurrent use.
type Runner struct {
	opts      Options
	startTime time.Time
	state     string

	mu         sync.Mutex
	seq        int64
	fence      int64
	leaseEnd   time.Time
	running    map[runKey]*run
	highestRun map[string]int64
	ended      []endedRun
	lastEnd    int64
	changed    chan struct{}
	// capacity is the present capacity, former lists the ones before it.
	capacity int64
	former   []formerCapacity
	// unanswered is the number of calls that are executed and then left unanswered.
	unanswered int
	// starts counts the starts of each task, startsOverCapacity the starts beyond
	// the capacity.
	starts             map[string]int
	startsOverCapacity int
	// warmAt is the time at which the runner is warm again.
	warmAt  time.Time
	crashed bool
	// onStart and onEnd notify a checker that observes several runners. The outcome
	// "done" means that the work of the run is complete.
	onStart func(task string)
	onEnd   func(task, outcome string)
}

// formerCapacity is a capacity that ended at a time.
type formerCapacity struct {
	cpu     int64
	endedAt time.Time
}

type runKey struct {
	task   string
	number int64
}

type run struct {
	key       runKey
	startedAt time.Time
	duration  time.Duration
	timer     *time.Timer
	stop      bool
}

// percent is the progress of a run, in whole percent below 100.
func (r *run) percent() int { return min(99, int(100*time.Since(r.startedAt)/max(r.duration, 1))) }

type endedRun struct {
	seq     int64
	key     runKey
	outcome string
}

// New returns a runner that does not send heartbeats yet.
func New(o Options) *Runner {
	if o.Work == nil {
		o.Work = func(string) (time.Duration, string) { return 20 * time.Millisecond, "done" }
	}
	return &Runner{
		opts: o, capacity: o.CPU, startTime: time.Now(), state: "ready", running: map[runKey]*run{}, highestRun: map[string]int64{},
		starts: map[string]int{}, changed: make(chan struct{}),
	}
}

// Watch sets functions that are called at each start and end of a task.
func (r *Runner) Watch(onStart func(task string), onEnd func(task, outcome string)) {
	r.onStart, r.onEnd = onStart, onEnd
}

// Starts returns the number of starts of each task.
func (r *Runner) Starts() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	starts := map[string]int{}
	for task, n := range r.starts {
		starts[task] = n
	}
	return starts
}

// StartsOverCapacity is the number of starts beyond the capacity.
func (r *Runner) StartsOverCapacity() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.startsOverCapacity
}

// SetCapacity changes the capacity, in thousandths of a core. Tasks that run go on.
func (r *Runner) SetCapacity(cpu int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.former = append(r.former, formerCapacity{r.capacity, time.Now()})
	r.capacity = cpu
}

// capacityLimit returns the capacity up to which tasks may be started: the largest one
// of the last ShrinkGrace.
func (r *Runner) capacityLimit() int64 {
	limit := r.capacity
	for _, f := range r.former {
		if time.Since(f.endedAt) < r.opts.ShrinkGrace {
			limit = max(limit, f.cpu)
		}
	}
	return limit
}

// Drain makes the following heartbeats report the state "draining".
func (r *Runner) Drain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = "draining"
}

// Crash ends all runs without reporting them, as a killed process does.
// The runner must not be used afterwards.
func (r *Runner) Crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashed = true
	for key, run := range r.running {
		run.timer.Stop()
		delete(r.running, key)
		if r.onEnd != nil {
			r.onEnd(key.task, "crashed")
		}
	}
}

// LeaveUnanswered leaves the next n calls unanswered after executing them.
func (r *Runner) LeaveUnanswered(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unanswered = n
}

// SetCold makes the runner announce that it stays slow for the given time. Its tasks take as
// long as Options.Work says.
func (r *Runner) SetCold(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.warmAt = time.Now().Add(d)
}

func (r *Runner) clock() int64 { return 1000 + time.Since(r.startTime).Milliseconds() }

// Heartbeat sends heartbeats until ctx ends.
func (r *Runner) Heartbeat(ctx context.Context) {
	for ctx.Err() == nil {
		r.sendHeartbeat(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(r.opts.Heartbeat):
		}
	}
}

func (r *Runner) sendHeartbeat(ctx context.Context) {
	r.mu.Lock()
	r.seq++
	heartbeat := map[string]any{
		"service": r.opts.Service, "address": r.opts.Address, "state": r.state, "seq": r.seq,
		"born": r.startTime.UnixMilli(), "clock_ms": r.clock(), "labels": []string{"a"},
		"free_capacity": map[string]int64{"cpu": r.capacity, "mem_mb": 1 << 20, "gpu": 0},
		"cold_left_ms":  max(time.Until(r.warmAt), 0).Milliseconds(),
	}
	if r.opts.Zone != "" {
		heartbeat["zone"] = r.opts.Zone
	}
	body, _ := json.Marshal(heartbeat)
	r.mu.Unlock()
	url := "http://" + r.opts.HeartbeatAddress + "/instances/" + r.opts.Name
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return
	}
	// An agent that can't be reached receives the next heartbeat.
	if resp, err := http.DefaultClient.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}

// call is the JSON body of all calls; each uses a part of the fields.
type call struct {
	Task     string `json:"task"`
	Run      int64  `json:"run"`
	Spec     string `json:"task_spec"`
	UntilMS  int64  `json:"until_ms"`
	Fence    int64  `json:"fencing_token"`
	SeenUpTo int64  `json:"seen_upto"`
	WaitMS   int64  `json:"wait_ms"`
}

// ServeHTTP implements http.Handler.
func (r *Runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	var c call
	if err := json.NewDecoder(req.Body).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if want := req.Header.Get("X-Expect-Instance"); want != "" && want != r.opts.Name {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var status int
	var body map[string]any
	switch req.URL.Path {
	case "/run-start":
		status, body = r.start(c)
	case "/run-stop":
		status, body = r.stop(c)
	case "/hold":
		status, body = r.hold(req.Context(), c)
	default:
		http.NotFound(w, req)
		return
	}
	r.mu.Lock()
	unanswered := r.unanswered > 0
	if unanswered {
		r.unanswered--
	}
	r.mu.Unlock()
	if unanswered {
		<-req.Context().Done()
		return
	}
	body["clock_ms"], body["born"] = r.clock(), r.startTime.UnixMilli()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// fenced reports whether a call has a lower fencing token than an earlier one. If
// not, it records the call's token.
func (r *Runner) fenced(c call) bool {
	if c.Fence < r.fence {
		return true
	}
	r.fence = c.Fence
	return false
}

func conflict(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

func (r *Runner) start(c call) (int, map[string]any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := runKey{c.Task, c.Run}
	switch {
	case r.crashed:
		return http.StatusInternalServerError, map[string]any{}
	case r.fenced(c):
		return conflict("fence")
	case r.running[key] != nil:
		return http.StatusOK, map[string]any{}
	case r.highestRun[c.Task] >= c.Run:
		return conflict("old")
	case c.UntilMS < r.clock():
		return conflict("late")
	}
	r.extend(c.UntilMS)
	if int64(len(r.running)+1)*r.opts.TaskCPU > r.capacityLimit() {
		r.startsOverCapacity++
	}
	r.starts[c.Task]++
	duration, outcome := r.opts.Work(c.Task)
	r.running[key] = &run{key: key, startedAt: time.Now(), duration: duration, timer: time.AfterFunc(duration, func() { r.finish(key, outcome) })}
	if r.onStart != nil {
		r.onStart(c.Task)
	}
	return http.StatusOK, map[string]any{}
}

func (r *Runner) finish(key runKey, outcome string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run := r.running[key]
	if run == nil {
		return
	}
	run.timer.Stop()
	delete(r.running, key)
	r.lastEnd++
	r.ended = append(r.ended, endedRun{r.lastEnd, key, outcome})
	r.highestRun[key.task] = max(r.highestRun[key.task], key.number)
	if r.onEnd != nil {
		r.onEnd(key.task, outcome)
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *Runner) extend(untilMS int64) {
	left := min(time.Duration(untilMS-r.clock())*time.Millisecond, r.opts.Lease)
	if leaseEnd := time.Now().Add(left); leaseEnd.After(r.leaseEnd) {
		r.leaseEnd = leaseEnd
		time.AfterFunc(left, r.expireLeases)
	}
}

func (r *Runner) expireLeases() {
	r.mu.Lock()
	var keys []runKey
	if !time.Now().Before(r.leaseEnd) {
		for key := range r.running {
			keys = append(keys, key)
		}
	}
	r.mu.Unlock()
	for _, key := range keys {
		r.finish(key, "lapsed")
	}
}

func (r *Runner) stop(c call) (int, map[string]any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fenced(c) {
		return conflict("fence")
	}
	key := runKey{c.Task, c.Run}
	run := r.running[key]
	switch {
	case run == nil:
		r.highestRun[c.Task] = max(r.highestRun[c.Task], c.Run)
	case !run.stop:
		run.stop = true
		time.AfterFunc(r.opts.StopTime, func() { r.finish(key, "stopped") })
	}
	return http.StatusOK, map[string]any{}
}

func (r *Runner) hold(ctx context.Context, c call) (int, map[string]any) {
	r.mu.Lock()
	if r.fenced(c) {
		r.mu.Unlock()
		return conflict("fence")
	}
	if c.UntilMS > 0 {
		r.extend(c.UntilMS)
	}
	for len(r.ended) > 0 && r.ended[0].seq <= c.SeenUpTo {
		r.ended = r.ended[1:]
	}
	waiting, changed := len(r.ended) == 0 && c.WaitMS > 0, r.changed
	r.mu.Unlock()
	if waiting {
		select {
		case <-changed:
		case <-time.After(time.Duration(c.WaitMS) * time.Millisecond):
		case <-ctx.Done():
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	running, ended := [][]any{}, [][]any{}
	for key, run := range r.running {
		running = append(running, []any{key.task, key.number, "", run.percent()})
	}
	for _, e := range r.ended {
		ended = append(ended, []any{e.seq, e.key.task, e.key.number, e.outcome, ""})
	}
	return http.StatusOK, map[string]any{"running": running, "ended": ended}
}
