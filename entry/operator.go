package entry

import (
	"context"
	"errors"

	"marjoramlug.example/marjoramlug/config"
	"marjoramlug.example/marjoramlug/ownership"
	"marjoramlug.example/marjoramlug/replica"
	"marjoramlug.example/marjoramlug/verdict"
)

// operatorBackend implements the backends of the operators' interface on top of
// the replica.
type operatorBackend struct{ *Entry }

// Get implements api.ConfigBackend.
func (o operatorBackend) Get(service string) (config.ServiceState, bool) {
	return o.replica.ServiceState(service)
}

// Services implements api.ConfigBackend.
func (o operatorBackend) Services() []string {
	services := o.replica.Services()
	names := make([]string, len(services))
	for i, s := range services {
		names[i] = s.Name
	}
	return names
}

// History implements api.ConfigBackend.
func (o operatorBackend) History(service string) []config.HistoryItem {
	return o.replica.History(service)
}

// Publish implements api.ConfigBackend.
func (o operatorBackend) Publish(ctx context.Context, r config.Record) (config.Outcome, error) {
	outcome, err := o.replica.Publish(ctx, r)
	if err == nil && outcome.Accepted {
		o.logger.Info().Str("service", r.Service).Uint64("revision", uint64(outcome.Revision)).Str("author", r.Author).Msg("configuration accepted")
	}
	return outcome, publishVerdict(err)
}

// Remove implements api.MemberBackend.
func (o operatorBackend) Remove(ctx context.Context, member ownership.MemberID, operator string) error {
	err := o.replica.ForceRemove(ctx, member, operator)
	if err == nil {
		o.logger.Info().Str("member", string(member)).Str("author", operator).Msg("member removed by an operator")
	}
	return publishVerdict(err)
}

// publishVerdict adds to an error of a publication the verdict that states whether
// the record may still take effect.
func publishVerdict(err error) error {
	if errors.Is(err, replica.ErrNotPublished) {
		return verdict.Wrap(verdict.NotRun, verdict.ReasonUnavailable, err)
	}
	return verdict.Wrap(verdict.MayHaveRun, verdict.ReasonTimeout, err)
}
