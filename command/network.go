package command

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/phuslu/log"

	"marjoramlug.example/marjoramlug/settings"
	"marjoramlug.example/marjoramlug/telemetry"
	"marjoramlug.example/marjoramlug/transport"
)

// tlsSection returns the TLS settings of one process from a settings file.
type tlsSection func(*settings.File) settings.TLS

func entryTLS(f *settings.File) settings.TLS {
	if f.Entry == nil {
		return settings.TLS{}
	}
	return f.Entry.TLS
}

func agentTLS(f *settings.File) settings.TLS {
	if f.Agent == nil {
		return settings.TLS{}
	}
	return f.Agent.TLS
}

// newNetwork returns the network of a daemon. On each SIGHUP it reloads its
// credentials from the settings file.
func newNetwork(path string, file *settings.File, section tlsSection, metrics *telemetry.Registry) (*transport.QUIC, error) {
	network, err := transport.NewQUIC(section(file), transport.WithMetrics(metrics))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUsage, err)
	}
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	go func() {
		logger := newLogger(file.Log)
		for range reloadSignals {
			logReload(logger, path, reloadTLS(path, network, section))
		}
	}()
	return network, nil
}

// reloadTLS loads the credentials from the settings file. If they are invalid,
// the present ones stay in use.
func reloadTLS(path string, network *transport.QUIC, section tlsSection) error {
	file, err := settings.Load(path)
	if err != nil {
		return err
	}
	return network.Reload(section(file))
}

func logReload(logger *log.Logger, path string, err error) {
	if err != nil {
		logger.Error().Str("file", path).Err(err).Msg("credentials not reloaded")
		return
	}
	logger.Info().Str("file", path).Msg("credentials reloaded")
}
