package command

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"marjoramlug.example/marjoramlug/api"
	"marjoramlug.example/marjoramlug/config"
	"marjoramlug.example/marjoramlug/embedded"
	"marjoramlug.example/marjoramlug/settings"
)

const (
	demoEntries          = 3
	demoSlotsPerEndpoint = 8
	demoCallers          = 12
	demoJobsPerCaller    = 10
	demoMaxTasksPerJob   = 24
	// demoJobsPerProgressLine is the number of jobs between two progress lines.
	demoJobsPerProgressLine = 30
	// demoSeed fixes the jobs, so that every demo submits the same ones.
	demoSeed = 7
	// Run times of the demo's tasks on an endpoint of speed 1.
	demoMinRunTime = 50 * time.Millisecond
	demoMaxRunTime = time.Second
	// demoMemoryBytes is the memory that the Go runtime manages without collecting more often.
	demoMemoryBytes = 160 << 20
	// demoTimeout bounds the whole demo.
	demoTimeout = time.Minute
	// demoStopTimeout bounds the graceful shutdown at its end.
	demoStopTimeout = 20 * time.Second
)

var (
	demoSpeeds = []float64{1, 1, 1.25, 1.5, 1.5, 2, 2, 2.5, 3, 3}
	demoZones  = []string{"zone-a", "zone-b", "zone-c"}
)

type demoCommand struct {
	Stay bool `help:"Keep the system running until a signal, and print a curl line."`
}

// Help shows examples below the usage.
func (demoCommand) Help() string {
	return "Examples:\n  marjoramlug demo\n  marjoramlug demo --stay"
}

// Run starts a complete system in this process, submits jobs and prints a report.
func (c demoCommand) Run() error {
	debug.SetMemoryLimit(demoMemoryBytes)
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	fmt.Printf("starting a stand-in log, %d entries and %d agents with endpoints of speed 1 to 3\n", demoEntries, len(demoSpeeds))
	system, err := embedded.Start(ctx, demoOptions())
	if err != nil {
		return err
	}
	fmt.Printf("service %q configured, %d slots announced\n", demoService().Name, len(demoSpeeds)*demoSlotsPerEndpoint)
	run := newDemoRun(system)
	if err := run.submitAll(ctx); err != nil {
		system.Kill()
		return err
	}
	reportErr := run.report(os.Stdout)
	if c.Stay && reportErr == nil {
		printCurl(system)
		return runUntilSignal(demoStopTimeout, system.Stop)
	}
	stopCtx, cancelStop := context.WithTimeout(context.Background(), demoStopTimeout)
	defer cancelStop()
	if err := system.Stop(stopCtx); err != nil {
		return err
	}
	return reportErr
}

func demoOptions() embedded.Options {
	return embedded.Options{
		Service:   demoService(),
		Zones:     demoZones,
		Entries:   demoEntries,
		Speeds:    demoSpeeds,
		Slots:     demoSlotsPerEndpoint,
		Ownership: settings.Ownership{},
		Logger:    newLogger("error"),
	}
}

func demoService() config.Service {
	return config.Service{
		Name: "demo",
		Rules: []config.Rule{
			{Name: "urgent", Method: "POST", PathPrefix: "/urgent", Urgent: true, Idempotent: true},
			{Name: "label", Method: "POST", PathPrefix: "/label"},
		},
	}
}

func printCurl(system *embedded.System) {
	fmt.Println("\nthe system stays up; try, and end it with Ctrl-C:")
	fmt.Printf("  curl -s %s/v1/services/demo/jobs -H 'Idempotency-Key: first' \\\n", system.Servers()[0])
	fmt.Println(`    -d '{"tasks":[{"path":"/label?key=a&run_millis=100"},{"path":"/urgent?key=b&run_millis=50"}]}'`)
}

// demoRun submits the demo's jobs and collects their answers.
type demoRun struct {
	system *embedded.System
	mu     sync.Mutex
	ended  []demoOutcome
}

// demoOutcome is the outcome of one job. keys and runTime have one item per task.
type demoOutcome struct {
	keys           []string
	runTime        []time.Duration
	response       time.Duration
	answer         *api.JobResponse
	resubmitAnswer *api.JobResponse
	err            error
}

func newDemoRun(system *embedded.System) *demoRun { return &demoRun{system: system} }

// submitAll runs all callers concurrently; each submits its jobs one after the
// other. Every third job is also submitted to another entry while it runs.
func (r *demoRun) submitAll(ctx context.Context) error {
	var wg sync.WaitGroup
	for caller := range demoCallers {
		wg.Go(func() { r.callerLoop(ctx, caller) })
	}
	wg.Wait()
	return ctx.Err()
}

func (r *demoRun) callerLoop(ctx context.Context, caller int) {
	random := rand.New(rand.NewPCG(demoSeed, uint64(caller)))
	for n := range demoJobsPerCaller {
		job, outcome := r.plan(random, caller, n)
		r.submit(ctx, caller, n, job, outcome)
	}
}

func (r *demoRun) plan(random *rand.Rand, caller, n int) (api.Job, demoOutcome) {
	var outcome demoOutcome
	job := api.Job{Service: demoService().Name, ID: fmt.Sprintf("job-%d", n), SubmittedAt: time.Now()}
	for i := range 1 + random.IntN(demoMaxTasksPerJob) {
		key := fmt.Sprintf("c%d-j%d-t%d", caller, n, i)
		runTime := demoMinRunTime + time.Duration(random.Int64N(int64(demoMaxRunTime-demoMinRunTime)))
		path := "/label"
		if random.IntN(5) == 0 {
			path = "/urgent"
		}
		outcome.keys = append(outcome.keys, key)
		outcome.runTime = append(outcome.runTime, runTime)
		job.Tasks = append(job.Tasks, api.TaskRequest{
			Method: "POST",
			Path:   fmt.Sprintf("%s?key=%s&run_millis=%d", path, key, runTime.Milliseconds()),
		})
	}
	return job, outcome
}

func (r *demoRun) submit(ctx context.Context, caller, n int, job api.Job, outcome demoOutcome) {
	servers := r.system.Servers()
	var wg sync.WaitGroup
	if n%3 == 0 {
		wg.Go(func() { outcome.resubmitAnswer, _ = demoSubmit(ctx, servers[(caller+1)%len(servers)], caller, job) })
	}
	begin := time.Now()
	outcome.answer, outcome.err = demoSubmit(ctx, servers[caller%len(servers)], caller, job)
	outcome.response = time.Since(begin)
	wg.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = append(r.ended, outcome)
	if len(r.ended)%demoJobsPerProgressLine == 0 {
		fmt.Printf("%d of %d jobs answered\n", len(r.ended), demoCallers*demoJobsPerCaller)
	}
}

func demoSubmit(ctx context.Context, server string, caller int, job api.Job) (*api.JobResponse, error) {
	client, err := api.NewClient(api.ClientOptions{Servers: []string{server}, Caller: fmt.Sprintf("caller-%d", caller)})
	if err != nil {
		return nil, err
	}
	return client.Submit(ctx, job)
}
