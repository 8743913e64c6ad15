package slopes

import (
	"context"
	"fmt"
	"net"
	"time"

	"marjoramlug.example/marjoramlug/config"
	"marjoramlug.example/marjoramlug/entry"
	_ "marjoramlug.example/marjoramlug/plugin/standard" // registers the policies of entries
	"marjoramlug.example/marjoramlug/settings"
	"marjoramlug.example/marjoramlug/sharedlog"
	"marjoramlug.example/marjoramlug/transport"
)

// checkInterval is the time between two checks of a condition.
const checkInterval = 20 * time.Millisecond

// conditionTimeout bounds the wait for a condition.
const conditionTimeout = 30 * time.Second

func waitFor(what string, condition func() bool) error {
	return waitWithin(conditionTimeout, what, condition)
}

func waitWithin(limit time.Duration, what string, condition func() bool) error {
	for end := time.Now().Add(limit); !condition(); time.Sleep(checkInterval) {
		if time.Now().After(end) {
			return fmt.Errorf("timed out waiting for %s", what)
		}
	}
	return nil
}

// freeUDP returns an address on which nothing listens.
func freeUDP() (string, error) {
	socket, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = socket.Close() }()
	return socket.LocalAddr().String(), nil
}

// startEntry starts an entry with default settings.
func startEntry(name string, network transport.Network, log sharedlog.Log, listen, advertise string) (*entry.Entry, error) {
	cfg := settings.Entry{
		Identity:  settings.Identity{Name: name},
		Listen:    listen,
		Advertise: advertise,
		HTTP:      "127.0.0.1:0",
	}
	cfg.ApplyDefaults()
	e, err := entry.New(cfg, entry.Options{Network: network, Log: log, Version: "slopes"})
	if err != nil {
		return nil, err
	}
	e.Start()
	return e, nil
}

func configure(e *entry.Entry, service string) error {
	ctx, cancel := context.WithTimeout(context.Background(), conditionTimeout)
	defer cancel()
	_, err := e.Configure(ctx, config.Service{Name: service}, "slopes")
	return err
}

func ownsShards(e *entry.Entry, service string) bool {
	c, ok := e.ServiceCounters(service)
	return ok && c.ShardsOwned > 0
}

func freeCredits(e *entry.Entry, service string) int {
	c, _ := e.ServiceCounters(service)
	return c.FreeCredits
}
