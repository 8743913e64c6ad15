//go:build review

package stage

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// testRunner is a runner as PROTOCOL.md describes it: one incarnation, orders by call,
// capacity that it does not guard.
type testRunner struct {
	name, life, address, control string
	rec                          *record
	// work is the duration of a task that starts now.
	work func() time.Duration
	born time.Time

	mu         sync.Mutex
	seq        int64
	drainUntil time.Time
	fence      int64
	leaseEnd   time.Time
	running    map[runKey]*testRun
	highest    map[string]int64
	ended      [][]any
	lastEnd    int64
	changed    chan struct{}
	gone       bool
}

type runKey struct {
	task   string
	number int64
}

type testRun struct {
	began time.Time
	work  time.Duration
	timer *time.Timer
	stop  bool
}

func newRunner(name, life, address, control string, rec *record, work func() time.Duration) *testRunner {
	return &testRunner{
		name: name, life: life, address: address, control: control, rec: rec, work: work, born: time.Now(),
		running: map[runKey]*testRun{}, highest: map[string]int64{}, changed: make(chan struct{}),
	}
}

func (r *testRunner) clock() int64 { return 1000 + time.Since(r.born).Milliseconds() }

// beat sends a heartbeat and reports whether it was acknowledged.
func (r *testRunner) beat() bool {
	r.mu.Lock()
	r.seq++
	beat := map[string]any{
		"service": service, "address": r.address, "zone": "bambous", "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"free_capacity": map[string]int64{"cpu": runnerCPU, "mem_mb": 131072, "gpu": 0}, "labels": []string{"a", "r1-1"},
		"clock_ms": r.clock(), "seq": r.seq, "born": r.born.UnixMilli(),
	}
	if !r.drainUntil.IsZero() {
		beat["state"], beat["remaining_ms"] = "draining", max(time.Until(r.drainUntil).Milliseconds(), 0)
	}
	r.mu.Unlock()
	body, err := json.Marshal(beat)
	check(err)
	return r.register(http.MethodPut, string(body))
}

func (r *testRunner) register(method, body string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+r.control+"/instances/"+r.name, strings.NewReader(body))
	check(err)
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode/100 == 2
}

// beatUntil sends heartbeats until ctx ends.
func (r *testRunner) beatUntil(ctx context.Context) {
	for ctx.Err() == nil {
		r.beat()
		select {
		case <-ctx.Done():
		case <-time.After(heartbeat):
		}
	}
}

// drain reports that the runner leaves and returns whether that was acknowledged.
func (r *testRunner) drain(serves time.Duration) bool {
	r.mu.Lock()
	r.drainUntil = time.Now().Add(serves)
	r.mu.Unlock()
	return r.beat()
}

// end terminates everything that runs.
func (r *testRunner) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gone = true
	for key, run := range r.running {
		run.timer.Stop()
		delete(r.running, key)
		r.rec.runEnded(r.life, key.task, key.number, "its runner has ended")
	}
}

type runnerCall struct {
	Task     string `json:"task"`
	Run      int64  `json:"run"`
	UntilMS  int64  `json:"until_ms"`
	Fence    int64  `json:"fencing_token"`
	SeenUpTo int64  `json:"seen_upto"`
	WaitMS   int64  `json:"wait_ms"`
}

// ServeHTTP implements http.Handler.
func (r *testRunner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	var c runnerCall
	status, body := http.StatusBadRequest, map[string]any{}
	if err := json.NewDecoder(req.Body).Decode(&c); err == nil {
		status, body = r.answer(req, c)
	}
	body["clock_ms"], body["born"] = r.clock(), r.born.UnixMilli()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (r *testRunner) answer(req *http.Request, c runnerCall) (int, map[string]any) {
	if want := req.Header.Get("X-Expect-Instance"); want != "" && want != r.name {
		return http.StatusMisdirectedRequest, map[string]any{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.gone {
		panic(http.ErrAbortHandler)
	}
	if c.Fence < r.fence {
		return http.StatusConflict, map[string]any{"reason": "fence"}
	}
	r.fence = c.Fence
	switch req.URL.Path {
	case "/run-start":
		return r.start(c)
	case "/run-stop":
		r.stop(c)
		return http.StatusOK, map[string]any{}
	case "/hold":
		return r.hold(req.Context(), c)
	}
	return http.StatusNotFound, map[string]any{}
}

func (r *testRunner) start(c runnerCall) (int, map[string]any) {
	key := runKey{c.Task, c.Run}
	if c.UntilMS < r.clock() {
		return http.StatusConflict, map[string]any{"reason": "late"}
	}
	r.extend(c.UntilMS)
	if r.running[key] != nil {
		return http.StatusOK, map[string]any{}
	}
	if r.highest[c.Task] >= c.Run {
		return http.StatusConflict, map[string]any{"reason": "old"}
	}
	run := &testRun{began: time.Now(), work: r.work()}
	run.timer = time.AfterFunc(run.work, func() { r.finish(key, "done") })
	r.running[key] = run
	r.rec.runStarted(r.life, c.Task, c.Run)
	return http.StatusOK, map[string]any{}
}

func (r *testRunner) stop(c runnerCall) {
	key := runKey{c.Task, c.Run}
	switch run := r.running[key]; {
	case run == nil:
		r.highest[c.Task] = max(r.highest[c.Task], c.Run)
	case !run.stop:
		run.stop = true
		time.AfterFunc(stopTime/2, func() { r.finish(key, "stopped") })
	}
}

func (r *testRunner) finish(key runKey, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run := r.running[key]
	if run == nil {
		return
	}
	run.timer.Stop()
	delete(r.running, key)
	r.lastEnd++
	r.ended = append(r.ended, []any{r.lastEnd, key.task, key.number, how, ""})
	r.highest[key.task] = max(r.highest[key.task], key.number)
	r.rec.runEnded(r.life, key.task, key.number, how)
	close(r.changed)
	r.changed = make(chan struct{})
}

// extend prolongs the lease of everything that runs, to at most lease from now.
func (r *testRunner) extend(untilMS int64) {
	left := min(time.Duration(untilMS-r.clock())*time.Millisecond, lease)
	if end := time.Now().Add(left); end.After(r.leaseEnd) {
		r.leaseEnd = end
		time.AfterFunc(left, r.lapse)
	}
}

func (r *testRunner) lapse() {
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

// maxEnds is the number of ends in one answer.
const maxEnds = 500

func (r *testRunner) hold(ctx context.Context, c runnerCall) (int, map[string]any) {
	if c.UntilMS > 0 {
		r.extend(c.UntilMS)
	}
	for len(r.ended) > 0 && r.ended[0][0].(int64) <= c.SeenUpTo {
		r.ended = r.ended[1:]
	}
	if len(r.ended) == 0 && c.WaitMS > 0 {
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(c.WaitMS, 2000)) * time.Millisecond):
		case <-ctx.Done():
		}
		r.mu.Lock()
	}
	running := [][]any{}
	for key, run := range r.running {
		percent := min(99, 100*time.Since(run.began)/max(run.work, 1))
		running = append(running, []any{key.task, key.number, "", percent, taskCPU})
	}
	ended := append([][]any{}, r.ended[:min(len(r.ended), maxEnds)]...)
	return http.StatusOK, map[string]any{"running": running, "ended": ended}
}

func (r *testRunner) String() string { return fmt.Sprintf("the runner %s", r.life) }
