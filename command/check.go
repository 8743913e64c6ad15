package command

import (
	"errors"
	"fmt"

	"marjoramlug.example/marjoramlug/settings"
)

type checkCommand struct {
	Files []string `arg:"" type:"existingfile" help:"Settings files of entries and agents."`
}

// Help shows examples below the usage.
func (checkCommand) Help() string {
	return `Example:
  marjoramlug check examples/entry-1.yaml examples/agent-1.yaml

Names every fault with its path, value and what was expected. Variables of the
environment that a file refers to need not be set. Exit codes: 0 all files are
valid, 2 at least one is not. Services are checked by: marjoramlug config check`
}

// Run checks all files.
func (c checkCommand) Run() error {
	var errs []error
	for _, path := range c.Files {
		if _, err := settings.LoadWithoutSecrets(path); err != nil {
			errs = append(errs, fmt.Errorf("%w: %w", ErrUsage, err))
			continue
		}
		fmt.Printf("%s: valid\n", path)
	}
	return errors.Join(errs...)
}
