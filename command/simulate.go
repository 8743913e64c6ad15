package command

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime"

	"marjoramlug.example/marjoramlug/emulator"
	"marjoramlug.example/marjoramlug/validation"
)

type simulateCommand struct {
	File string `arg:"" type:"existingfile" help:"Experiment in YAML: fleet, classes, faults and seeds."`
	Jobs int    `default:"0" help:"Runs at a time; 0 leaves two processors free."`
	JSON bool   `name:"json" help:"Print the results as JSON in place of the table."`
	CSV  string `name:"csv" type:"path" help:"File for the worth of each window, as CSV."`
}

// Help shows examples below the usage.
func (simulateCommand) Help() string {
	return `Plays a pool in simulated time: the product's decisions with models of endpoints,
callers, the network and faults. The same seed gives the same result. The policy
"perfect" is one queue with perfect knowledge, for comparison.

Examples:
  marjoramlug simulate examples/experiments/small.yaml
  marjoramlug simulate examples/experiments/large-herd-kill.yaml --csv windows.csv

Exit codes: 0 played, 1 a guarantee was violated or the run was interrupted, 2 wrong
usage or a fault in the experiment.`
}

// freeProcessors is the number of processors that simulations leave to others.
const freeProcessors = 2

// Run plays the experiment and prints the report.
func (c simulateCommand) Run() error {
	x, err := emulator.Load(c.File)
	if validation.FaultsOf(err) != nil {
		return fmt.Errorf("%w: %w", ErrUsage, err)
	}
	if err != nil {
		return err
	}
	parallel := c.Jobs
	if parallel <= 0 {
		parallel = max(1, runtime.NumCPU()-freeProcessors)
	}
	ctx, cancel := interruptible()
	defer cancel()
	report, err := emulator.RunAll(ctx, x, parallel, func(policy string, r *emulator.Result) {
		fmt.Fprintf(os.Stderr, "%s, seed %d: worth %.3f, worst windows %.3f\n", policy, r.Seed, r.Worth, r.WorstWindows)
	})
	if err != nil {
		return err
	}
	if err := c.print(os.Stdout, report, x); err != nil {
		return err
	}
	if report.Interrupted {
		return errors.New("interrupted: the report holds the runs that were played to their end")
	}
	return nil
}

func (c simulateCommand) print(w io.Writer, report *emulator.Report, x *emulator.Experiment) error {
	if c.CSV != "" {
		var rows bytes.Buffer
		if err := report.WriteCSV(&rows); err != nil {
			return err
		}
		if err := os.WriteFile(c.CSV, rows.Bytes(), 0o644); err != nil {
			return err
		}
	}
	if c.JSON {
		return printIndented(w, report)
	}
	return report.WriteTable(w, x)
}
