package command

import (
	"context"
	"fmt"

	"marjoramlug.example/marjoramlug/agent"
	"marjoramlug.example/marjoramlug/telemetry"
)

type agentCommand struct {
	Settings string `arg:"" type:"existingfile" help:"Settings file with an agent section."`
}

// Help shows examples below the usage.
func (agentCommand) Help() string {
	return "Example:\n  marjoramlug agent examples/agent-1.yaml"
}

// Run runs an agent until a signal asks it to stop.
func (c agentCommand) Run() error {
	file, err := loadSettings(c.Settings)
	if err != nil {
		return err
	}
	if file.Agent == nil {
		return fmt.Errorf("%w: %s has no agent section", ErrUsage, c.Settings)
	}
	metrics := telemetry.New()
	network, err := newNetwork(c.Settings, file, agentTLS, metrics)
	if err != nil {
		return err
	}
	logger := newLogger(file.Log)
	a := agent.New(*file.Agent, agent.Options{
		Network: network,
		Metrics: metrics,
		Version: Version,
		OnChange: func(change agent.Change) {
			logger.Info().Str("agent", file.Agent.Name).Str("subject", change.Subject).Err(change.Cause).Msg(change.What)
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- a.Run(ctx) }()
	select {
	case err := <-ended:
		return err
	case <-a.Ready():
	}
	logger.Info().Str("agent", file.Agent.Name).Str("http", a.HTTPAddress()).Msg("agent started")
	return runUntilSignal(file.Agent.StopTimeout, a.Drain)
}
