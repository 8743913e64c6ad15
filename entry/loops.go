package entry

import (
	"math/rand/v2"
	"time"

	"marjoramlug.example/marjoramlug/config"
	"marjoramlug.example/marjoramlug/dispatch"
	"marjoramlug.example/marjoramlug/kernel"
	"marjoramlug.example/marjoramlug/message"
)

// unmetNeedTimeout is how long a task waits while no known endpoint meets its
// requirements, so that such an endpoint can announce itself.
const unmetNeedTimeout = 5 * time.Second

// batchDelay is how long cancellations and journal requests are collected into
// one message per agent.
const batchDelay = 5 * time.Millisecond

// Default policies of a service whose configuration names none.
const (
	defaultQueueing  = "fair"
	defaultPlacement = "credit"
	defaultAdmission = "deadline"
)

// loop returns the loop of a service and starts it on first use.
func (e *Entry) loop(service string) *serviceLoop {
	e.loopsMu.Lock()
	defer e.loopsMu.Unlock()
	if l, ok := e.loops[service]; ok {
		return l
	}
	cfg, _, configured := e.replica.Service(service)
	l := newServiceLoop(service, dispatch.New(e.coreOptions(service, cfg)), loopCallbacks{
		send:       e.sessions.send,
		sendAnswer: e.sendAnswer,
		close:      e.sessions.close,
		mayAct:     e.replica.MayAct,
	})
	l.policy = cfg.Policy
	// The loop is not visible to other goroutines yet, so these are its first
	// events.
	l.post(dispatch.LeaseChanged{Until: e.leaseUntil})
	if configured {
		l.post(dispatch.Configured{Service: cfg})
	}
	e.loops[service] = l
	e.run(func() { l.run(e.ctx) })
	return l
}

func (e *Entry) coreOptions(service string, cfg config.Service) dispatch.Options {
	o := e.settings.Ownership
	return dispatch.Options{
		Incarnation:      rand.Uint64(),
		Service:          service,
		Zone:             e.settings.Zone,
		AgentTimeout:     o.AgentTimeout,
		TakeoverTimeout:  o.TakeoverTimeout,
		ResubmitWindow:   o.ResubmitWindow,
		ClockSkew:        o.ClockSkew,
		AnswerBytes:      e.settings.Limits.AnswerBytes,
		UnmetNeedTimeout: unmetNeedTimeout,
		BatchDelay:       batchDelay,
		NewQueue:         policyConstructor[dispatch.Queue](e, "queueing", cfg.Policy.Queueing, defaultQueueing),
		NewPlacement:     policyConstructor[dispatch.Placement](e, "placement", cfg.Policy.Placement, defaultPlacement),
		NewAdmission:     policyConstructor[dispatch.Admission](e, "admission", cfg.Policy.Admission, defaultAdmission),
	}
}

// replacePolicies replaces a loop's policies with those that the service's
// configuration names, if they differ.
func (e *Entry) replacePolicies(l *serviceLoop, service config.Service) {
	if l.policy == service.Policy {
		return
	}
	l.policy = service.Policy
	o := e.coreOptions(service.Name, service)
	l.post(dispatch.PoliciesReplaced{Queue: o.NewQueue(), Placement: o.NewPlacement(), Admission: o.NewAdmission()})
}

// policyConstructor returns a constructor for the named policy of a kind. If this
// version has no policy of that name, the constructor counts the failure and uses
// the fallback.
func policyConstructor[T any](e *Entry, kind, name, fallback string) func() T {
	if name == "" {
		name = fallback
	}
	return func() T {
		p, err := kernel.Load[T](kernel.ModuleID(kind + "." + name))
		if err == nil {
			return p
		}
		e.metrics.Add("policy.unknown", 1)
		e.logger.Warn().Err(err).Str("kind", kind).Msg("policy not available, default used")
		p, err = kernel.Load[T](kernel.ModuleID(kind + "." + fallback))
		if err != nil {
			panic(err)
		}
		return p
	}
}

// view builds the view of an agent in the given zone: the owners of its services and
// the addresses of entries to connect to.
func (e *Entry) view(services []string, zone string) *message.View {
	v := &message.View{Generation: e.replica.Generation()}
	for _, name := range services {
		_, _, configured := e.replica.Service(name)
		sv := message.ServiceView{Service: name, Configured: configured}
		for _, m := range e.replica.Owners(name) {
			sv.Owners = append(sv.Owners, message.OwnerInfo{Name: m.Name, Address: m.Address})
		}
		v.Services = append(v.Services, sv)
	}
	v.Entries = e.entryAddresses(zone)
	return v
}

// maxViewEntries bounds the number of entry addresses in an agent's view.
const maxViewEntries = 8

// entryAddresses returns up to maxViewEntries addresses of entries, those in the
// given zone first. Both groups are shuffled, so that agents spread over the
// entries.
func (e *Entry) entryAddresses(zone string) []string {
	var sameZone, otherZones []string
	members := e.replica.Members()
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	for _, m := range members {
		if m.Zone == zone {
			sameZone = append(sameZone, m.Address)
		} else {
			otherZones = append(otherZones, m.Address)
		}
	}
	all := append(sameZone, otherZones...)
	return all[:min(len(all), maxViewEntries)]
}
