package embedded

import (
	"context"
	"fmt"

	"marjoramlug.example/marjoramlug/agent"
	"marjoramlug.example/marjoramlug/settings"
	"marjoramlug.example/marjoramlug/standin/endpoint"
)

// Worker is an agent with its endpoint, as they run on one worker.
type Worker struct {
	Name     string
	Agent    *agent.Agent
	Endpoint *endpoint.Server
	cancel   context.CancelFunc
	done     chan struct{}
}

// AddWorker starts an agent and an endpoint of the given speed and adds them to
// the system.
func (s *System) AddWorker(ctx context.Context, name, zone string, speed float64) (*Worker, error) {
	w := &Worker{Name: name, done: make(chan struct{})}
	cfg := settings.Agent{
		Identity: settings.Identity{Name: name, Zone: zone},
		HTTP:     "127.0.0.1:0",
		Entries:  s.addresses(),
	}
	cfg.Connections = s.connections(len(s.opts.Speeds))
	cfg.ApplyDefaults()
	w.Agent = agent.New(cfg, agent.Options{Network: s.network, Version: "embedded"})
	runCtx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	go func() {
		defer close(w.done)
		_ = w.Agent.Run(runCtx)
	}()
	select {
	case <-w.Agent.Ready():
	case <-w.done:
		return nil, fmt.Errorf("agent %s did not start", name)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	w.Endpoint = endpoint.New(endpoint.Options{
		Service: s.opts.Service.Name, Name: name, Agent: w.Agent.HTTPAddress(),
		Speed: speed, Slots: s.opts.Slots, Connections: endpointConnections,
	})
	if err := w.Endpoint.Start(ctx); err != nil {
		return nil, err
	}
	s.Workers = append(s.Workers, w)
	return w, nil
}

// endpointConnections is the number of connections that a stand-in endpoint
// accepts.
const endpointConnections = 64

func (s *System) addresses() []string {
	var addresses []string
	for _, e := range s.Entries() {
		addresses = append(addresses, e.Address())
	}
	return addresses
}

// Stop drains the agent, then stops it and its endpoint.
func (w *Worker) Stop(ctx context.Context) error {
	err := w.Agent.Drain(ctx)
	w.Kill()
	return err
}

// Kill stops the agent and its endpoint immediately.
func (w *Worker) Kill() {
	w.cancel()
	<-w.done
	if w.Endpoint != nil {
		w.Endpoint.Kill()
	}
}
