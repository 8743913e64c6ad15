package entry

import (
	"errors"
	"net/http"
	"time"

	"github.com/phuslu/log"

	"marjoramlug.example/marjoramlug/api"
	"marjoramlug.example/marjoramlug/intake"
	"marjoramlug.example/marjoramlug/settings"
	"marjoramlug.example/marjoramlug/telemetry"
)

// readTimeout bounds the reading of a request.
const readTimeout = time.Minute

// socketBufferBytes is the size of each buffer of a caller's connection in the kernel: what
// arrives of a body of 16 MiB within some milliseconds.
const socketBufferBytes = 64 << 10

// handler builds the HTTP interface for callers, operators and monitoring.
func (e *Entry) handler() http.Handler {
	mux := http.NewServeMux()
	auth := api.NewAuthenticator(e.settings.Tokens)
	limits := api.RequestLimits{BodyBytes: e.settings.Limits.BodyBytes, TasksPerJob: e.settings.Limits.TasksPerJob}
	api.NewCallerHandler(e, auth, limits).Register(mux)
	api.NewOperatorHandler(operatorBackend{e}, operatorBackend{e}, auth).Register(mux)
	e.metrics.Register(mux, e.readiness)
	return e.gate.Handler(e.gate.Metered(mux))
}

// newGate returns the gate for the bodies of callers' requests.
func newGate(limits settings.Limits, metrics *telemetry.Registry, logger *log.Logger) *intake.Gate {
	gate := intake.NewGate(limits.IntakeBytes, readTimeout, metrics)
	gate.Report(func(reached string) { logger.Warn().Str("reached", reached).Msg("client limits reached") })
	return gate
}

// readiness returns nil if the entry can accept jobs, otherwise an error that
// states why it cannot.
func (e *Entry) readiness() error {
	if e.stopping.Load() {
		return errors.New("stopping")
	}
	if !e.replica.Ready() {
		return errors.New("configuration not complete")
	}
	return nil
}
