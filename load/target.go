package load

import (
	"context"
	"errors"

	"marjoramlug.example/marjoramlug/dispatch"
	"marjoramlug.example/marjoramlug/embedded"
	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/standin/endpoint"
)

// Target is the system under load.
type Target interface {
	// Servers returns the base URLs of the entries that take jobs now.
	Servers() []string
	// Observed returns the counts of endpoints and owners, or nil if they are not
	// available, as for a system in other processes.
	Observed() *Observed
	// Inject injects a fault.
	Inject(ctx context.Context, f Fault) error
}

// Observed holds the counts of a system's endpoints and owners.
type Observed struct {
	// Starts counts the starts of each task by its key.
	Starts map[string]int
	// Messages counts messages between owners and agents by kind.
	Messages map[message.Kind]MessageCount
}

// MessageCount counts messages of one kind. Total includes Wasted.
type MessageCount struct {
	Total  uint64
	Wasted uint64
}

// remoteTarget is a system that runs in other processes.
type remoteTarget struct{ servers []string }

// Remote returns a target that is reached only by HTTP, at the given base URLs.
func Remote(servers []string) Target { return remoteTarget{servers} }

// Servers implements Target.
func (r remoteTarget) Servers() []string { return r.servers }

// Observed implements Target.
func (remoteTarget) Observed() *Observed { return nil }

// Inject implements Target.
func (remoteTarget) Inject(context.Context, Fault) error {
	return errors.New("faults can only be injected into a system that runs in this process")
}

// embeddedTarget is a system that runs in this process.
type embeddedTarget struct {
	system *embedded.System
	// removedCounters holds the counters of owners that were stopped or killed.
	removedCounters []dispatch.Counters
}

// Embedded returns a target for a system that runs in this process.
func Embedded(system *embedded.System) Target { return &embeddedTarget{system: system} }

// Servers implements Target.
func (t *embeddedTarget) Servers() []string { return t.system.Servers() }

// Observed implements Target.
func (t *embeddedTarget) Observed() *Observed {
	o := &Observed{Starts: t.system.Starts(), Messages: map[message.Kind]MessageCount{}}
	for _, c := range append(t.system.Counters(), t.removedCounters...) {
		for _, kind := range message.Kinds() {
			n := o.Messages[kind]
			n.Total += c.Sent.Of(kind) + c.Received.Of(kind)
			n.Wasted += c.Wasted.Of(kind)
			o.Messages[kind] = n
		}
	}
	return o
}

// faultyWorker returns the worker that endpoint and agent faults are injected
// into.
func (t *embeddedTarget) faultyWorker() *embedded.Worker {
	return t.system.Workers[len(t.system.Workers)/2]
}

// Inject implements Target. The runner carries out FaultBurst and
// FaultCancelWave itself.
func (t *embeddedTarget) Inject(ctx context.Context, f Fault) error {
	switch f {
	case FaultSlowEndpoint:
		t.faultyWorker().Endpoint.SetFault(endpoint.FaultSlow)
	case FaultFailFast:
		t.faultyWorker().Endpoint.SetFault(endpoint.FaultStatus)
	case FaultKillAgent:
		t.faultyWorker().Kill()
	case FaultDrain:
		return t.faultyWorker().Stop(ctx)
	case FaultLogDown:
		t.system.SetLogDown(true)
	case FaultKillOwner, FaultStopOwner:
		return t.removeOwner(ctx, f == FaultStopOwner)
	}
	return nil
}

func (t *embeddedTarget) removeOwner(ctx context.Context, graceful bool) error {
	owner, err := t.system.Owner()
	if err != nil {
		return err
	}
	if c, ok := owner.ServiceCounters(t.system.Service().Name); ok {
		t.removedCounters = append(t.removedCounters, c)
	}
	t.system.RemoveEntry(owner)
	if graceful {
		return owner.Stop(ctx)
	}
	owner.Kill()
	return nil
}
