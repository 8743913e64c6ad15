package entry

import (
	"context"
	"fmt"
	"slices"

	"marjoramlug.example/marjoramlug/ownership"
)

// Stop shuts the entry down gracefully: it releases its shards, waits for all
// requests in flight and closes its connections. If ctx ends first, Stop aborts
// the remaining requests and returns an error.
func (e *Entry) Stop(ctx context.Context) error {
	e.stopping.Store(true)
	e.logger.Info().Str("member", string(e.self.ID)).Msg("entry stopping")
	steps := []func(context.Context) error{e.replica.Leave, e.httpServer.Shutdown, e.waitForJobs}
	if !e.hasSuccessors() {
		steps = []func(context.Context) error{e.httpServer.Shutdown, e.waitForJobs, e.replica.Leave}
	}
	var first error
	for _, step := range steps {
		if err := step(ctx); err != nil && first == nil {
			first = fmt.Errorf("stop entry %s: %w", e.settings.Name, err)
		}
	}
	e.Kill()
	return first
}

// hasSuccessors reports whether other members can own every service that this
// entry can own. If not, the entry must leave last: jobs in flight can't end
// once the last possible owner of their service has left.
func (e *Entry) hasSuccessors() bool {
	self := e.replica.Self()
	others := slices.DeleteFunc(e.replica.Members(), func(m ownership.Member) bool { return m.ID == self.ID })
	for _, service := range e.replica.Services() {
		eligible := func(m ownership.Member) bool { return service.Region == "" || service.Region == m.Region }
		if eligible(self) && !slices.ContainsFunc(others, eligible) {
			return false
		}
	}
	return true
}

// waitForJobs waits until all jobs that this entry relays have ended.
func (e *Entry) waitForJobs(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		e.relayedJobs.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
