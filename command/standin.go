package command

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"marjoramlug.example/marjoramlug/plugin/log/memory"
	"marjoramlug.example/marjoramlug/standin/endpoint"
	"marjoramlug.example/marjoramlug/standin/logserver"
)

type standinCommand struct {
	Log      standinLogCommand      `cmd:"" help:"Serve a stand-in of the platform's log over HTTP."`
	Endpoint standinEndpointCommand `cmd:"" help:"Serve a stand-in endpoint and announce it to an agent."`
}

// standinStopTimeout bounds the graceful shutdown of a stand-in.
const standinStopTimeout = 30 * time.Second

type standinLogCommand struct {
	Listen    string        `default:"127.0.0.1:8700" help:"TCP address to serve on."`
	Retention time.Duration `default:"24h" help:"How long records are kept."`
}

// Help shows examples below the usage.
func (standinLogCommand) Help() string {
	return "Example:\n  marjoramlug standin log --listen 127.0.0.1:8700"
}

// Run serves the log until a signal. Records are kept in memory only.
func (c standinLogCommand) Run() error {
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	log := memory.New(memory.Options{Retention: c.Retention})
	server := &http.Server{Handler: logserver.Handler(log), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	fmt.Printf("stand-in log on http://%s\n", listener.Addr())
	return runUntilSignal(standinStopTimeout, server.Shutdown)
}

type standinEndpointCommand struct {
	Service     string   `required:"" help:"Service that the endpoint serves."`
	Name        string   `required:"" help:"Name of the endpoint."`
	Agent       string   `required:"" help:"Host and port of the agent's HTTP interface."`
	Listen      string   `help:"TCP address to serve on; by default a free port on loopback."`
	Speed       float64  `default:"1" help:"Divides the run times that tasks ask for."`
	Slots       int      `default:"8" help:"Tasks that run at a time."`
	Connections int      `default:"64" help:"Connections that it takes."`
	Memory      int64    `help:"Memory that it offers, in bytes."`
	Accelerator []string `help:"Kind of accelerator that it offers; may be repeated."`
}

// Help shows examples below the usage.
func (standinEndpointCommand) Help() string {
	return "Example:\n  marjoramlug standin endpoint --service trials --name press-1 --agent 127.0.0.1:8801 --speed 2"
}

// Run serves the endpoint until a signal.
func (c standinEndpointCommand) Run() error {
	server := endpoint.New(endpoint.Options{
		Service: c.Service, Name: c.Name, Listen: c.Listen, Agent: c.Agent, Speed: c.Speed,
		Slots: c.Slots, Connections: c.Connections, Memory: c.Memory, Accelerators: c.Accelerator,
	})
	if err := server.Start(context.Background()); err != nil {
		return err
	}
	fmt.Printf("stand-in endpoint %s on %s\n", c.Name, server.Address())
	return runUntilSignal(standinStopTimeout, server.Stop)
}
