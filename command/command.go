// Package command defines the command line, with one file per subcommand.
package command

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"marjoramlug.example/marjoramlug/platform"
	_ "marjoramlug.example/marjoramlug/plugin/standard" // registers the standard plug-ins
)

// Exit codes of all subcommands.
const (
	ExitOK = 0
	// ExitFailure means that the subcommand failed.
	ExitFailure = 1
	// ExitUsage means that the command line or a settings file is wrong.
	ExitUsage = 2
)

// ErrUsage marks errors in the command line or in a settings file; they give
// ExitUsage.
var ErrUsage = errors.New("usage")

type cli struct {
	Entry    entryCommand    `cmd:"" help:"Run an entry."`
	Agent    agentCommand    `cmd:"" help:"Run an agent."`
	Platform platformCommand `cmd:"" help:"Run the product on the users' platform."`
	Standin  standinCommand  `cmd:"" help:"Run a stand-in of the platform's log or of an endpoint."`
	Demo     demoCommand     `cmd:"" help:"Run a whole system in one process and submit jobs to it."`
	Load     loadCommand     `cmd:"" help:"Send an open loop of jobs to a system and report."`
	Simulate simulateCommand `cmd:"" help:"Play a pool in simulated time and report."`
	Slopes   slopesCommand   `cmd:"" help:"Measure what each role costs per agent, start, job and record."`
	Job      jobCommand      `cmd:"" help:"Submit, look up or cancel a job."`
	Config   configCommand   `cmd:"" help:"Read and change services."`
	Owner    ownerCommand    `cmd:"" help:"List and remove the entries that own shards."`
	Check    checkCommand    `cmd:"" help:"Check settings files."`

	CheckConfig checkConfigCommand `cmd:"" help:"Check an operator's configuration of the users' platform."`

	Keys    keysCommand    `cmd:"" help:"Make certificates for mutual TLS between processes."`
	Top     topCommand     `cmd:"" help:"Show an entry live in the terminal."`
	Version versionCommand `cmd:"" help:"Print the version."`

	Completion completionCommand `cmd:"" help:"Print the line that switches on completion in your shell."`
}

// Main parses the arguments, runs the subcommand and returns the exit code.
func Main(args []string) int {
	var c cli
	parser := newParser(&c)
	complete(parser)
	ctx, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "marjoramlug:", err)
		return ExitUsage
	}
	return exitCode(ctx.Run())
}

func newParser(c *cli) *kong.Kong {
	return kong.Must(c,
		kong.Name("marjoramlug"),
		kong.Description("Dispatcher for sub-second tasks. Exit codes: 0 done, 1 failed, 2 wrong usage or settings."),
		kong.UsageOnError(),
		kong.Vars{"platform_settings": platform.SettingsVariable},
	)
}

func exitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(os.Stderr, "marjoramlug:", err)
	var coded *exitCodeError
	switch {
	case errors.As(err, &coded):
		return coded.code
	case errors.Is(err, ErrUsage):
		return ExitUsage
	default:
		return ExitFailure
	}
}
