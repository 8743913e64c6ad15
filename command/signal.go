package command

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/phuslu/log"

	"marjoramlug.example/marjoramlug/settings"
)

// errSecondSignal aborts a graceful shutdown before its timeout.
var errSecondSignal = errors.New("graceful shutdown aborted by a second signal")

// runUntilSignal waits for SIGTERM or SIGINT and then calls stop. A second signal
// or the timeout cancels the context of stop.
func runUntilSignal(timeout time.Duration, stop stopFunc) error {
	signals := notifyStopSignals()
	defer signal.Stop(signals)
	return stopOnSignal(signals, timeout, stop)
}

// notifyStopSignals returns a channel with the signals that request a graceful
// shutdown. It holds two: the second one aborts the shutdown.
func notifyStopSignals() chan os.Signal {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	return signals
}

func stopOnSignal(signals <-chan os.Signal, timeout time.Duration, stop stopFunc) error {
	<-signals
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	ctx, cancelCause := context.WithCancelCause(ctx)
	defer cancelCause(nil)
	go func() {
		select {
		case <-signals:
			cancelCause(errSecondSignal)
		case <-ctx.Done():
		}
	}()
	err := stop(ctx)
	if err != nil && context.Cause(ctx) == errSecondSignal {
		return fmt.Errorf("%w: %w", errSecondSignal, err)
	}
	return err
}

// interruptible returns a context that ends at SIGINT.
func interruptible() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt)
}

// logLevel converts the log level of a settings file; the default is info.
func logLevel(level settings.LogLevel) log.Level {
	if level == "" {
		return log.InfoLevel
	}
	return log.ParseLevel(string(level))
}

// newLogger returns a logger that writes structured lines to standard error.
func newLogger(level settings.LogLevel) *log.Logger {
	return &log.Logger{
		Level:      logLevel(level),
		TimeFormat: time.RFC3339Nano,
		Writer:     &log.IOWriter{Writer: os.Stderr},
	}
}
