package command

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"marjoramlug.example/marjoramlug/embedded"
	"marjoramlug.example/marjoramlug/load"
	"marjoramlug.example/marjoramlug/settings"
)

type loadCommand struct {
	Server    []string      `help:"Base URL of an entry of a running system; may be repeated."`
	Embedded  bool          `help:"Start a system in this process and load it."`
	Profile   string        `default:"trials" enum:"trials,tray" help:"Workload: trials or tray."`
	Duration  time.Duration `default:"20s" help:"How long jobs are sent."`
	Load      float64       `default:"0.8" help:"Share of the endpoints' capacity that is offered; 2 is twice the capacity."`
	Seed      uint64        `default:"1" help:"Seed of the arrivals."`
	Fault     []string      `help:"Faults at a third of the run, separated by commas: slow-endpoint, fail-fast, kill-agent, kill-owner, stop-owner, log-down, cancel-wave, burst, drain."`
	Deadline  time.Duration `help:"How long after its sending a job's answer is of use."`
	RoundTrip time.Duration `default:"1ms" help:"Part of the ideal response that no system avoids."`
	Entries   int           `default:"3" help:"Entries of the embedded system."`
	Owners    int           `default:"1" help:"Entries that share the service."`
	JSON      bool          `name:"json" help:"Print the report as JSON."`
	Report    string        `type:"path" help:"Folder for plots of the report."`
}

// Help shows examples below the usage.
func (loadCommand) Help() string {
	return `Examples:
  marjoramlug load --embedded --profile trials --duration 20s
  marjoramlug load --embedded --profile tray --load 0.95 --fault kill-owner
  marjoramlug load --server http://127.0.0.1:8001 --profile trials --report plots

Exit codes: 0 nothing broken, 1 a duplicate start, a partial or crossed answer or
a false refusal was seen, 2 wrong usage.`
}

// errGuaranteeViolated reports that the load saw a violation, such as a duplicate
// start.
var errGuaranteeViolated = errors.New("a guarantee was violated; see the report")

// loadStartTimeout bounds the start of an embedded system.
const loadStartTimeout = 30 * time.Second

// Run sends the load and prints the report.
func (c loadCommand) Run() error {
	opts, err := c.options()
	if err != nil {
		return err
	}
	target, stop, err := c.target(opts.Profile)
	if err != nil {
		return err
	}
	defer stop()
	ctx, cancel := interruptible()
	defer cancel()
	report, err := load.NewRunner(opts, target).Run(ctx)
	if err != nil {
		return err
	}
	return c.print(report)
}

func (c loadCommand) options() (load.Options, error) {
	profile, err := load.ProfileByName(c.Profile)
	if err != nil {
		return load.Options{}, fmt.Errorf("%w: %w", ErrUsage, err)
	}
	faults, err := load.ParseFaults(c.Fault)
	if err != nil {
		return load.Options{}, fmt.Errorf("%w: %w", ErrUsage, err)
	}
	if c.Embedded == (len(c.Server) > 0) {
		return load.Options{}, fmt.Errorf("%w: give either --embedded or --server", ErrUsage)
	}
	profile.Service.Owners = c.Owners
	return load.Options{
		Profile: profile, Duration: c.Duration, Load: c.Load, Seed: c.Seed, Faults: faults,
		RoundTrip: c.RoundTrip, Deadline: c.Deadline, Progress: printProgress,
	}, nil
}

func printProgress(p load.Progress) {
	fmt.Fprintf(os.Stderr, "%4.0f s: sent %d, answered %d, failed %d\n", p.Elapsed.Seconds(), p.Sent, p.Answered, p.Failed)
}

// target starts the embedded system, or returns the running one. The returned
// function stops an embedded system.
func (c loadCommand) target(profile load.Profile) (load.Target, func(), error) {
	if !c.Embedded {
		return load.Remote(c.Server), func() {}, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), loadStartTimeout)
	defer cancel()
	system, err := embedded.Start(ctx, embedded.Options{
		Service:   profile.Service,
		Zones:     profile.Zones,
		Entries:   c.Entries,
		Speeds:    profile.Speeds,
		Slots:     profile.Slots,
		Ownership: settings.Ownership{},
		Logger:    newLogger("error"),
	})
	if err != nil {
		return nil, nil, err
	}
	return load.Embedded(system), system.Kill, nil
}

func (c loadCommand) print(report *load.Report) error {
	write := report.WriteTable
	if c.JSON {
		write = report.WriteJSON
	}
	if err := write(os.Stdout); err != nil {
		return err
	}
	if c.Report != "" {
		if err := report.WritePlots(c.Report); err != nil {
			return err
		}
	}
	if report.Violations.Any() {
		return errGuaranteeViolated
	}
	return nil
}
