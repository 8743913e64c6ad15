package command

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"marjoramlug.example/marjoramlug/platform"
	"marjoramlug.example/marjoramlug/settings"
	"marjoramlug.example/marjoramlug/telemetry"
	"marjoramlug.example/marjoramlug/transport"
)

// settingsCheckInterval is the interval at which the settings file is compared
// with the one in use, as the file may change without a signal.
const settingsCheckInterval = 2 * time.Second

type platformCommand struct {
	Entry platformEntryCommand `cmd:"" help:"Run an entry on the users' platform."`
	Agent platformAgentCommand `cmd:"" help:"Run an agent on the users' platform."`
}

type platformEntryCommand struct {
	Settings string `arg:"" env:"${platform_settings}" help:"Settings file with a pool_entry section."`
}

// Help shows examples below the usage.
func (platformEntryCommand) Help() string {
	return "Example:\n  marjoramlug platform entry entry.yaml"
}

// Run runs an entry until a signal asks it to stop.
func (c platformEntryCommand) Run() error {
	return runOnPlatform(c.Settings, "entry", func(file *settings.File, env platform.Environment) (platform.Process, error) {
		if file.PoolEntry == nil {
			return nil, fmt.Errorf("%w: %s has no pool_entry section", ErrUsage, c.Settings)
		}
		return platform.StartEntry(*file.PoolEntry, env)
	})
}

type platformAgentCommand struct {
	Settings string `arg:"" env:"${platform_settings}" help:"Settings file with a pool_agent section."`
}

// Help shows examples below the usage.
func (platformAgentCommand) Help() string {
	return "Example:\n  marjoramlug platform agent agent.yaml"
}

// Run runs an agent until a signal asks it to stop.
func (c platformAgentCommand) Run() error {
	return runOnPlatform(c.Settings, "agent", func(file *settings.File, env platform.Environment) (platform.Process, error) {
		if file.PoolAgent == nil {
			return nil, fmt.Errorf("%w: %s has no pool_agent section", ErrUsage, c.Settings)
		}
		return platform.StartAgent(*file.PoolAgent, env)
	})
}

type startFunc func(*settings.File, platform.Environment) (platform.Process, error)

func runOnPlatform(path, role string, start startFunc) error {
	// Handlers come first: the platform may signal a process that is still starting.
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	defer signal.Stop(reloadSignals)
	stopSignals := notifyStopSignals()
	defer signal.Stop(stopSignals)
	file, err := loadSettings(path)
	if err != nil {
		return err
	}
	metrics := telemetry.New()
	events := telemetry.NewEventLog(os.Stdout, role, logLevel(file.Log))
	network, err := transport.NewQUIC(settings.TLS{}, transport.WithMetrics(metrics), transport.WithLimits(peerLimits(file, events)))
	if err != nil {
		return err
	}
	process, err := start(file, platform.Environment{Network: network, Metrics: metrics, Log: events, Version: Version})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go watchSettings(ctx, path, reloadSignals, events, process.Reload)
	err = stopOnSignal(stopSignals, stopTimeout(file), process.Stop)
	events.Close()
	return err
}

// peerLimits returns the limits of connections from agents and other entries. Agents accept
// none.
func peerLimits(file *settings.File, events *telemetry.EventLog) transport.Limits {
	if file.PoolEntry == nil {
		return transport.Limits{}
	}
	return transport.Limits{
		Connections: file.PoolEntry.Peers, FrameBytes: int64(file.PoolEntry.Intake.MemoryMB) << 19,
		Refused: func(peer, reason string) {
			events.Failure().Str("event", "peer refused").Str("peer", peer).Str("cause", reason).Msg("")
		},
	}
}

func stopTimeout(file *settings.File) time.Duration {
	if file.PoolEntry != nil {
		return file.PoolEntry.Timing.GracePeriod
	}
	return file.PoolAgent.Timing.GracePeriod
}

// watchSettings reloads the settings file on each SIGHUP and when its content has
// changed. An unreadable or invalid file leaves the settings unchanged.
func watchSettings(ctx context.Context, path string, reloadSignals <-chan os.Signal, events *telemetry.EventLog, reload func(*settings.File)) {
	ticker := time.NewTicker(settingsCheckInterval)
	defer ticker.Stop()
	lastData, _ := os.ReadFile(path)
	for {
		signaled := false
		select {
		case <-ctx.Done():
			return
		case <-reloadSignals:
			signaled = true
		case <-ticker.C:
		}
		data, err := os.ReadFile(path)
		if err == nil && !signaled && bytes.Equal(data, lastData) {
			continue
		}
		var file *settings.File
		if err == nil {
			lastData = data
			file, err = settings.Parse(data)
		}
		if err != nil {
			events.Lifecycle().Str("event", "settings not reloaded").Err(err).Msg("")
			continue
		}
		reload(file)
		events.Lifecycle().Str("event", "settings reloaded").Bool("signal", signaled).Msg("")
	}
}
