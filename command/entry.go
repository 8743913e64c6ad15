package command

import (
	"context"
	"fmt"

	"marjoramlug.example/marjoramlug/entry"
	"marjoramlug.example/marjoramlug/kernel"
	"marjoramlug.example/marjoramlug/settings"
	"marjoramlug.example/marjoramlug/sharedlog"
	"marjoramlug.example/marjoramlug/telemetry"
)

type entryCommand struct {
	Settings string `arg:"" type:"existingfile" help:"Settings file with an entry section."`
}

// Help shows examples below the usage.
func (entryCommand) Help() string {
	return "Example:\n  marjoramlug entry examples/entry-1.yaml"
}

// Run runs an entry until a signal asks it to stop.
func (c entryCommand) Run() error {
	file, err := loadSettings(c.Settings)
	if err != nil {
		return err
	}
	if file.Entry == nil {
		return fmt.Errorf("%w: %s has no entry section", ErrUsage, c.Settings)
	}
	e, err := newEntry(c.Settings, file)
	if err != nil {
		return err
	}
	e.Start()
	return runUntilSignal(file.Entry.StopTimeout, e.Stop)
}

func newEntry(path string, file *settings.File) (*entry.Entry, error) {
	opener, err := kernel.Load[sharedlog.Opener](kernel.ModuleID("log." + file.Entry.Platform.Log))
	if err != nil {
		return nil, err
	}
	logClient, err := opener.Open(file.Entry.Platform)
	if err != nil {
		return nil, err
	}
	metrics := telemetry.New()
	network, err := newNetwork(path, file, entryTLS, metrics)
	if err != nil {
		return nil, err
	}
	return entry.New(*file.Entry, entry.Options{
		Network: network,
		Log:     logClient,
		Metrics: metrics,
		Logger:  newLogger(file.Log),
		Version: Version,
	})
}

// loadSettings reads a settings file. Its errors wrap ErrUsage.
func loadSettings(path string) (*settings.File, error) {
	file, err := settings.Load(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUsage, err)
	}
	return file, nil
}

// stopFunc shuts a daemon down gracefully, or returns an error if ctx ends first.
type stopFunc func(ctx context.Context) error
