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

// errSecondSignal ends a planned stop before its time.
var errSecondSignal = errors.New("stopped at once by a second signal")

// runUntilSignal waits for SIGTERM or SIGINT and then stops the daemon. A
// second signal, or the limit, ends the stop at once.
func runUntilSignal(timeout time.Duration, stop stopFunc) error {
	signals := notifyStopSignals()
	defer signal.Stop(signals)
	return stopOnSignal(signals, timeout, stop)
}

// notifyStopSignals collects the signals that ask for a planned stop.
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

// logLevel translates the level of a settings file, by default info.
func logLevel(level settings.LogLevel) log.Level {
	if level == "" {
		return log.InfoLevel
	}
	return log.ParseLevel(string(level))
}

// newLogger writes structured lines to standard error.
func newLogger(level settings.LogLevel) *log.Logger {
	return &log.Logger{
		Level:      logLevel(level),
		TimeFormat: time.RFC3339Nano,
		Writer:     &log.IOWriter{Writer: os.Stderr},
	}
}
