package slopes

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"marjoramlug.example/marjoramlug/agent"
	"marjoramlug.example/marjoramlug/settings"
	"marjoramlug.example/marjoramlug/transport"
)

// announceInterval is the time between two announcements of an endpoint.
const announceInterval = 2500 * time.Millisecond

// AgentEndpoint describes the announcement of the fleet's endpoint to an agent: the
// agent's HTTP address, and the services and the number of slots that are announced
// to it.
type AgentEndpoint struct {
	AgentHTTP string
	Services  []string
	Slots     int
}

// fleet is a number of agents and one HTTP server, which is the endpoint of all of
// them and answers at once.
type fleet struct {
	network         transport.Network
	entryAddress    string
	server          *http.Server
	endpointAddress string
	ctx             context.Context
	cancel          context.CancelFunc
	wg              sync.WaitGroup
	agents          []*agent.Agent
}

func newFleet(network transport.Network, entryAddress string) (*fleet, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &fleet{network: network, entryAddress: entryAddress}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.endpointAddress = listener.Addr().String()
	f.server = &http.Server{Handler: http.HandlerFunc(echoTask), ReadHeaderTimeout: time.Second}
	f.wg.Go(func() { _ = f.server.Serve(listener) })
	return f, nil
}

// echoTask answers a task with its own body, without Date and Content-Type
// headers.
func echoTask(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.Header()["Date"] = nil
	w.Header()["Content-Type"] = nil
	_, _ = w.Write(body)
}

func (f *fleet) stop() {
	f.cancel()
	_ = f.server.Close()
	f.wg.Wait()
}

// grow starts agents until size.Agents of them run.
func (f *fleet) grow(size FleetSize) error {
	for i := len(f.agents); i < size.Agents; i++ {
		a := startAgent(f.ctx, &f.wg, fmt.Sprintf("worker-%04d", i), f.network, f.entryAddress)
		f.agents = append(f.agents, a)
		if err := f.announcePeriodically(AgentEndpoint{a.HTTPAddress(), []string{size.Service}, size.Slots}); err != nil {
			return err
		}
	}
	return nil
}

// startAgent runs an agent until the context ends.
func startAgent(ctx context.Context, wg *sync.WaitGroup, name string, network transport.Network, entry string) *agent.Agent {
	cfg := settings.Agent{Identity: settings.Identity{Name: name}, HTTP: "127.0.0.1:0", Entries: []string{entry}}
	cfg.ApplyDefaults()
	a := agent.New(cfg, agent.Options{Network: network, Version: "slopes"})
	wg.Go(func() { _ = a.Run(ctx) })
	<-a.Ready()
	return a
}

// announcePeriodically announces the endpoint to an agent at once and then every
// announceInterval. The error is that of the first announcements.
func (f *fleet) announcePeriodically(e AgentEndpoint) error {
	for _, service := range e.Services {
		if err := f.announce(e, service); err != nil {
			return err
		}
	}
	f.wg.Go(func() {
		ticker := time.NewTicker(announceInterval)
		defer ticker.Stop()
		for {
			select {
			case <-f.ctx.Done():
				return
			case <-ticker.C:
			}
			for _, service := range e.Services {
				_ = f.announce(e, service)
			}
		}
	})
	return nil
}

func (f *fleet) announce(e AgentEndpoint, service string) error {
	body, err := json.Marshal(agent.Announcement{Address: f.endpointAddress, Slots: e.Slots, Connections: e.Slots})
	if err != nil {
		return err
	}
	url := "http://" + e.AgentHTTP + "/v1/endpoints/" + service + "/endpoint-1"
	req, err := http.NewRequestWithContext(f.ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.Body.Close()
}
