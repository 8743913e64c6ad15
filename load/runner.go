package load

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"marjoramlug.example/marjoramlug/api"
	"marjoramlug.example/marjoramlug/kernel"
	"marjoramlug.example/marjoramlug/verdict"
)

const (
	// answerTimeout bounds the wait for the answer to a job, from its submission.
	answerTimeout = 60 * time.Second
	// burstFactor is the arrival rate during FaultBurst relative to the normal
	// rate; burstDuration is how long the burst lasts.
	burstFactor   = 5
	burstDuration = 2 * time.Second
	// faultFraction is the fraction of the run after which faults are injected.
	faultFraction = 1.0 / 3
	// logOutageFraction is the fraction of the run that FaultLogDown lasts, so
	// that it ends before the run does.
	logOutageFraction = 1.0 / 3
)

// Runner sends one open loop of jobs. Latency is measured from the time at which
// a job is planned to be sent, so that a slow sender does not hide it.
type Runner struct {
	opts    Options
	target  Target
	checker *checker
	tally   *tally
	start   time.Time

	sent, answered, failed atomic.Int64
	nextServer             atomic.Int64

	mu     sync.Mutex
	active map[string]activeJob
}

// activeJob is a job that has not been answered yet.
type activeJob struct {
	caller string
	id     string
}

// NewRunner returns a runner that sends the load of opts to the target.
func NewRunner(opts Options, target Target) *Runner {
	return &Runner{
		opts:    opts,
		target:  target,
		checker: newChecker(),
		tally:   newTally(),
		active:  map[string]activeJob{},
	}
}

// Run sends the whole load, waits for the answers and returns the report. It
// fails if the context ends or a fault cannot be injected.
func (r *Runner) Run(ctx context.Context) (*Report, error) {
	r.start = time.Now()
	stopProgress := r.reportProgress()
	defer stopProgress()
	faults := make(chan error, 1)
	go func() { faults <- r.injectFaults(ctx) }()
	var jobs sync.WaitGroup
	n := 0
	for _, a := range r.plan() {
		if !waitUntil(ctx, r.start.Add(a.At)) {
			return nil, ctx.Err()
		}
		n++
		id := fmt.Sprintf("%x-%d", r.start.UnixNano(), n)
		jobs.Go(func() { r.submit(ctx, a, id) })
	}
	jobs.Wait()
	if err := <-faults; err != nil {
		return nil, fmt.Errorf("inject faults: %w", err)
	}
	return r.report(), nil
}

// plan draws all arrivals, including those of the burst if FaultBurst is among
// the faults.
func (r *Runner) plan() []Arrival {
	rate := r.opts.Profile.Rate(r.opts.Load)
	arrivals := drawUntil(NewGenerator(r.opts.Profile, r.opts.Seed, rate), r.opts.Duration)
	if !r.hasFault(FaultBurst) {
		return arrivals
	}
	extra := drawUntil(NewGenerator(r.opts.Profile, r.opts.Seed+1, rate*(burstFactor-1)), burstDuration)
	offset := r.faultTime()
	for i := range extra {
		extra[i].At += offset
	}
	return merge(arrivals, extra)
}

func drawUntil(g *Generator, limit time.Duration) []Arrival {
	var arrivals []Arrival
	for {
		a := g.Next()
		if a.At > limit {
			return arrivals
		}
		arrivals = append(arrivals, a)
	}
}

// merge merges two sequences of arrivals, each sorted by time.
func merge(a, b []Arrival) []Arrival {
	merged := make([]Arrival, 0, len(a)+len(b))
	for len(a) > 0 && len(b) > 0 {
		if a[0].At <= b[0].At {
			merged, a = append(merged, a[0]), a[1:]
		} else {
			merged, b = append(merged, b[0]), b[1:]
		}
	}
	return append(append(merged, a...), b...)
}

func (r *Runner) hasFault(f Fault) bool { return slices.Contains(r.opts.Faults, f) }

func (r *Runner) faultTime() time.Duration {
	return time.Duration(faultFraction * float64(r.opts.Duration))
}

func (r *Runner) injectFaults(ctx context.Context) error {
	if len(r.opts.Faults) == 0 || !waitUntil(ctx, r.start.Add(r.faultTime())) {
		return nil
	}
	for _, f := range r.opts.Faults {
		if f == FaultCancelWave {
			r.cancelWave(ctx)
			continue
		}
		if err := r.target.Inject(ctx, f); err != nil {
			return err
		}
	}
	if !r.hasFault(FaultLogDown) {
		return nil
	}
	outage := time.Duration(logOutageFraction * float64(r.opts.Duration))
	waitUntil(ctx, r.start.Add(r.faultTime()+outage))
	if t, ok := r.target.(*embeddedTarget); ok {
		t.system.SetLogDown(false)
	}
	return nil
}

// cancelWave cancels about half of the active jobs.
func (r *Runner) cancelWave(ctx context.Context) {
	r.mu.Lock()
	var wave []activeJob
	for _, job := range r.active {
		if len(wave)*2 <= len(r.active) {
			wave = append(wave, job)
		}
	}
	r.mu.Unlock()
	var wg sync.WaitGroup
	for _, job := range wave {
		wg.Go(func() {
			if client, err := r.client(job.caller); err == nil {
				_, _ = client.Cancel(ctx, r.opts.Profile.Service.Name, job.id)
			}
		})
	}
	wg.Wait()
}

func (r *Runner) submit(ctx context.Context, a Arrival, id string) {
	r.sent.Add(1)
	r.track(id, activeJob{caller: a.Caller, id: id})
	defer r.untrack(id)
	intended := r.start.Add(a.At)
	job, keys := r.request(a, id, intended)
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	client, err := r.client(a.Caller)
	if err != nil {
		r.failed.Add(1)
		return
	}
	resp, err := client.Submit(ctx, job)
	took := time.Since(intended)
	r.answered.Add(1)
	r.checker.answered(keys, resp, err)
	if err != nil {
		r.failed.Add(1)
		r.tally.recordFailure(verdict.Of(err), verdict.ReasonOf(err))
		return
	}
	r.tally.recordJob(r.opts, a, resp, took)
}

// client returns a client for a caller. Successive clients submit first to
// successive entries, which spreads the jobs over all entries; each resubmission
// goes to the entry after the last one tried.
func (r *Runner) client(caller string) (*api.Client, error) {
	servers := r.target.Servers()
	first := int(r.nextServer.Add(1)) % len(servers)
	rotated := append(append([]string{}, servers[first:]...), servers[:first]...)
	return api.NewClient(api.ClientOptions{Servers: rotated, Caller: caller})
}

func (r *Runner) request(a Arrival, id string, intended time.Time) (api.Job, []string) {
	job := api.Job{Service: r.opts.Profile.Service.Name, ID: id, SubmittedAt: intended}
	if r.opts.Deadline > 0 {
		job.Deadline = intended.Add(r.opts.Deadline)
	}
	keys := make([]string, len(a.Tasks))
	for i, t := range a.Tasks {
		keys[i] = fmt.Sprintf("%s.%d", id, i)
		job.Tasks = append(job.Tasks, api.TaskRequest{
			Method:         t.Class.Method,
			Path:           fmt.Sprintf("%s?key=%s&run_millis=%d", t.Class.Path, keys[i], t.Work.Milliseconds()),
			DeclaredMillis: t.Declared.Milliseconds(),
		})
	}
	return job, keys
}

func (r *Runner) track(id string, job activeJob) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.active[id] = job
}

func (r *Runner) untrack(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.active, id)
}

// reportProgress calls the progress function once a second until the returned
// function is called.
func (r *Runner) reportProgress() func() {
	if r.opts.Progress == nil {
		return func() {}
	}
	done := make(chan struct{})
	go func() {
		ticker := time.NewTicker(time.Second)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				r.opts.Progress(Progress{
					Elapsed:  time.Since(r.start),
					Sent:     int(r.sent.Load()),
					Answered: int(r.answered.Load()),
					Failed:   int(r.failed.Load()),
				})
			case <-done:
				return
			}
		}
	}()
	return func() { close(done) }
}

func waitUntil(ctx context.Context, at time.Time) bool {
	return kernel.Sleep(ctx, time.Until(at))
}
