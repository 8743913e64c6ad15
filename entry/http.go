package entry

import (
	"errors"
	"net/http"
	"time"

	"marjoramlug.example/marjoramlug/api"
	"marjoramlug.example/marjoramlug/intake"
)

// readTimeout bounds the reading of a request.
const readTimeout = time.Minute

// handler builds the HTTP interface for callers, operators and monitoring.
func (e *Entry) handler() http.Handler {
	mux := http.NewServeMux()
	auth := api.NewAuthenticator(e.settings.Tokens)
	limits := api.RequestLimits{BodyBytes: e.settings.Limits.BodyBytes, TasksPerJob: e.settings.Limits.TasksPerJob}
	api.NewCallerHandler(e, auth, limits).Register(mux)
	api.NewOperatorHandler(operatorBackend{e}, operatorBackend{e}, auth).Register(mux)
	e.metrics.Register(mux, e.readiness)
	return intake.NewGate(e.settings.Limits.IntakeBytes, readTimeout, e.metrics).Metered(mux)
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
