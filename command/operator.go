package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"marjoramlug.example/marjoramlug/api"
	"marjoramlug.example/marjoramlug/config"
	"marjoramlug.example/marjoramlug/kernel"
	"marjoramlug.example/marjoramlug/verdict"
)

// Additional exit codes of the operator subcommands.
const (
	// ExitConflict means that another change was accepted first.
	ExitConflict = 3
	// ExitDifferent means that a comparison found differences.
	ExitDifferent = 4
)

// exitCodeError is an error with an exit code of its own.
type exitCodeError struct {
	code int
	err  error
}

// Error describes the cause.
func (e *exitCodeError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *exitCodeError) Unwrap() error { return e.err }

// operatorFlags are common to all operator subcommands.
type operatorFlags struct {
	Server string `help:"Base URL of any entry." default:"http://127.0.0.1:8001" env:"MARJORAMLUG_SERVER"`
	Token  string `help:"Token with the operator role. The variable keeps it out of the process list." env:"MARJORAMLUG_TOKEN"`
	Author string `help:"Name to be kept in the history." env:"USER"`
	JSON   bool   `name:"json" help:"Print JSON."`
}

// call runs fn with a client and a context that ends at SIGINT or after
// changeAttempts times timePerAttempt.
func (f operatorFlags) call(fn func(ctx context.Context, client *api.OperatorClient) error) error {
	client, err := api.NewOperatorClient(f.Server, f.Token, f.Author)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUsage, err)
	}
	ctx, stop := interruptible()
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, changeAttempts*timePerAttempt)
	defer cancel()
	return fn(ctx, client)
}

const (
	// timePerAttempt is the time allowed for one attempt; a subcommand may take
	// changeAttempts times as long. An entry needs up to 15 s to read a change back
	// from the log.
	timePerAttempt = 20 * time.Second
	// changeAttempts is how many times a change is sent if no answer arrives.
	changeAttempts = 3
	// changeRetryDelay is the delay between two attempts.
	changeRetryDelay = time.Second
)

// resolveChange sends a change until its outcome is known, at most
// changeAttempts times. All attempts use the same idempotency key, so that the log
// holds the change at most once.
func resolveChange(ctx context.Context, send func(key string) (api.ConfigChange, error)) (api.ConfigChange, error) {
	key := api.NewID()
	for attempt := 1; ; attempt++ {
		change, err := send(key)
		if err == nil || verdict.Of(err) == verdict.NotRun || attempt == changeAttempts {
			return change, withExitCode(err)
		}
		if !kernel.Sleep(ctx, changeRetryDelay) {
			return change, err
		}
	}
}

// withExitCode adds the exit code for a refused change: ExitConflict for a
// conflict, ExitUsage for an invalid service.
func withExitCode(err error) error {
	var problem *api.ProblemError
	switch {
	case err == nil:
		return nil
	case verdict.ReasonOf(err) == verdict.ReasonConflict:
		return &exitCodeError{ExitConflict, err}
	case errors.As(err, &problem) && problem.Problem.Reason == verdict.ReasonInvalid:
		return fmt.Errorf("%w: %w", ErrUsage, err)
	default:
		return err
	}
}

// readServiceFile reads and validates a service file. Its errors wrap ErrUsage.
func readServiceFile(path string) (config.Service, []byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return config.Service{}, nil, fmt.Errorf("%w: %w", ErrUsage, err)
	}
	s, err := api.ParseService(data, "")
	if err != nil {
		return config.Service{}, nil, fmt.Errorf("%w: %s:\n%w", ErrUsage, path, err)
	}
	return s, data, nil
}

func printIndented(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
