package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"marjoramlug.example/marjoramlug/api"
	"marjoramlug.example/marjoramlug/config"
	"marjoramlug.example/marjoramlug/kernel"
	"marjoramlug.example/marjoramlug/verdict"
)

// Exit codes of the operators' subcommands, beside the common ones.
const (
	// ExitConflict means that another change came first.
	ExitConflict = 3
	// ExitDifferent means that a comparison found differences.
	ExitDifferent = 4
)

// codeError is an error with an exit code of its own.
type codeError struct {
	code int
	err  error
}

// Error describes the cause.
func (e *codeError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *codeError) Unwrap() error { return e.err }

// operatorFlags are common to all operators' calls.
type operatorFlags struct {
	Server string `help:"Base URL of any entry." default:"http://127.0.0.1:8001" env:"MARJORAMLUG_SERVER"`
	Token  string `help:"Token with the operator role. The variable keeps it out of the process list." env:"MARJORAMLUG_TOKEN"`
	Author string `help:"Name to be kept in the history." env:"USER"`
	JSON   bool   `name:"json" help:"Print JSON."`
}

// call runs the work with a client and a context that ends at an interrupt or
// when the time for a call is over.
func (f operatorFlags) call(work func(ctx context.Context, client *api.OperatorClient) error) error {
	client, err := api.NewOperatorClient(f.Server, f.Token, f.Author)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUsage, err)
	}
	ctx, stop := interruptible()
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, changeAttempts*callTimeout)
	defer cancel()
	return work(ctx, client)
}

const (
	// callTimeout bounds an operator's call; an entry needs up to 15 s to read a
	// change back from the log.
	callTimeout = 20 * time.Second
	// changeAttempts is how often a change is sent when its answer is lost.
	changeAttempts = 3
	// changeRetryDelay is the delay between them.
	changeRetryDelay = time.Second
)

// resolveChange sends a change until its outcome is known. Each attempt bears
// the same key, so that the log holds the change once at most.
func resolveChange(ctx context.Context, send func(key string) (api.ConfigChange, error)) (api.ConfigChange, error) {
	key := api.NewID()
	for attempt := 1; ; attempt++ {
		change, err := send(key)
		if err == nil || verdict.Of(err) == verdict.NotRun || attempt == changeAttempts {
			return change, withCode(err)
		}
		if !kernel.Sleep(ctx, changeRetryDelay) {
			return change, err
		}
	}
}

// withCode chooses the exit code of a refusal.
func withCode(err error) error {
	var problem *api.ProblemError
	switch {
	case err == nil:
		return nil
	case verdict.ReasonOf(err) == verdict.ReasonConflict:
		return &codeError{ExitConflict, err}
	case errors.As(err, &problem) && problem.Problem.Reason == verdict.ReasonInvalid:
		return fmt.Errorf("%w: %w", ErrUsage, err)
	default:
		return err
	}
}

// readServiceFile reads and checks a service's file.
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

func printIndented(v any) error {
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
