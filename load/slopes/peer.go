package slopes

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/rpc"
	"time"

	"marjoramlug.example/marjoramlug/entry"
	httplog "marjoramlug.example/marjoramlug/plugin/log/http"
	"marjoramlug.example/marjoramlug/plugin/log/memory"
	"marjoramlug.example/marjoramlug/settings"
	"marjoramlug.example/marjoramlug/standin/logserver"
	"marjoramlug.example/marjoramlug/transport"
)

// replyTimeout bounds the fake relay's connection attempt and, after the end of a
// load, the wait for the last answers.
const replyTimeout = 30 * time.Second

// Peer runs what surrounds the measured role. Its exported methods are called by
// net/rpc.
type Peer struct {
	network    *transport.QUIC
	peerSystem *peerSystem
	// agentSide and relaySide count the traffic of agents and of relays with the
	// measured entry or with the peer's own entry.
	agentSide, relaySide *counter
	fleet                *fleet
	relay                *fakeRelay
	service              string
}

// Empty is an RPC argument or reply without content.
type Empty struct{}

// Counters holds the UDP addresses of the peer's two counters.
type Counters struct{ AgentSide, RelaySide string }

// CounterTraffic holds the traffic of both counters.
type CounterTraffic struct{ AgentSide, RelaySide Traffic }

// FleetSize is a request for agents.
type FleetSize struct {
	// Agents is the total number of agents to run; Slots is the number of slots of
	// each agent's endpoint.
	Agents, Slots int
	Service       string
}

// SystemAddresses holds the addresses of an entry and of its log: Peers is the
// entry's address for agents and other entries, HTTP the base URL of the log.
type SystemAddresses struct{ Peers, HTTP string }

// ServePeer serves measuring processes on a TCP address, one at a time, until the
// context ends.
func ServePeer(ctx context.Context, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
		p := new(Peer)
		server := rpc.NewServer()
		if err := server.RegisterName("Peer", p); err != nil {
			return err
		}
		server.ServeConn(conn)
		stop()
		p.stop()
	}
}

func (p *Peer) stop() {
	_ = p.Reset(Empty{}, &Empty{})
}

// Reset stops everything that the peer runs, closes its counters and discards its
// state.
func (p *Peer) Reset(Empty, *Empty) error {
	if p.fleet != nil {
		p.fleet.stop()
	}
	if p.relay != nil {
		p.relay.conn.Close()
	}
	if p.peerSystem != nil {
		p.peerSystem.stop()
	}
	for _, c := range []*counter{p.agentSide, p.relaySide} {
		if c != nil {
			c.close()
		}
	}
	if p.network != nil {
		_ = p.network.Close()
	}
	*p = Peer{}
	return nil
}

// Open starts both counters. Target sets their targets later.
func (p *Peer) Open(_ Empty, reply *Counters) error {
	var err error
	if p.network, err = transport.NewQUIC(settings.TLS{}); err != nil {
		return err
	}
	if p.agentSide, err = newCounter(); err != nil {
		return err
	}
	if p.relaySide, err = newCounter(); err != nil {
		return err
	}
	*reply = Counters{AgentSide: p.agentSide.address(), RelaySide: p.relaySide.address()}
	return nil
}

// Target sets the address of the entry to which both counters forward.
func (p *Peer) Target(address string, _ *Empty) error {
	if err := p.agentSide.setTarget(address); err != nil {
		return err
	}
	return p.relaySide.setTarget(address)
}

// Traffic returns the traffic that the counters have counted.
func (p *Peer) Traffic(_ Empty, reply *CounterTraffic) error {
	*reply = CounterTraffic{AgentSide: p.agentSide.traffic(), RelaySide: p.relaySide.traffic()}
	return nil
}

// Grow starts agents until the given number of them runs.
func (p *Peer) Grow(size FleetSize, _ *Empty) error {
	if err := p.startFleet(); err != nil {
		return err
	}
	return p.fleet.grow(size)
}

// Endpoint starts the endpoint if needed and announces it periodically to an agent
// of the measuring process.
func (p *Peer) Endpoint(e AgentEndpoint, _ *Empty) error {
	if err := p.startFleet(); err != nil {
		return err
	}
	return p.fleet.announcePeriodically(e)
}

// Serve starts the endpoint if needed and returns its address, without announcing
// it to an agent.
func (p *Peer) Serve(_ Empty, address *string) error {
	if err := p.startFleet(); err != nil {
		return err
	}
	*address = p.fleet.endpointAddress
	return nil
}

// startFleet starts the fleet, with its endpoint and without agents, unless it runs
// already.
func (p *Peer) startFleet() error {
	if p.fleet != nil {
		return nil
	}
	f, err := newFleet(p.network, p.agentSide.address())
	p.fleet = f
	return err
}

// World starts a log and an entry, which advertises the address of the relays'
// counter.
func (p *Peer) World(_ Empty, reply *SystemAddresses) error {
	if err := p.startSystem(p.relaySide.address()); err != nil {
		return err
	}
	reply.Peers, reply.HTTP = p.peerSystem.entry.Address(), p.peerSystem.logURL
	return nil
}

// Alone starts a log and an entry that owns a service. The entry advertises the
// address of the agents' counter.
func (p *Peer) Alone(service string, _ *Empty) error {
	if err := p.startSystem(p.agentSide.address()); err != nil {
		return err
	}
	p.service = service
	if err := configure(p.peerSystem.entry, service); err != nil {
		return err
	}
	return waitFor("ownership", func() bool { return ownsShards(p.peerSystem.entry, service) })
}

// AwaitCredits waits until the peer's entry holds credits for all slots.
func (p *Peer) AwaitCredits(slots int, _ *Empty) error {
	return waitFor("credits", func() bool { return freeCredits(p.peerSystem.entry, p.service) >= slots })
}

func (p *Peer) startSystem(advertise string) error {
	s, err := newPeerSystem(p.network, advertise)
	if err != nil {
		return err
	}
	p.peerSystem = s
	return p.Target(s.listen, &Empty{})
}

// OwnService configures services until the peer's entry owns one, and returns
// its name.
func (p *Peer) OwnService(_ Empty, name *string) error {
	n, err := p.peerSystem.configureOwnedService()
	*name = n
	return err
}

// peerSystem is a log and an entry in the peer.
type peerSystem struct {
	log    *http.Server
	logURL string
	entry  *entry.Entry
	listen string
}

func newPeerSystem(network transport.Network, advertise string) (*peerSystem, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &peerSystem{logURL: "http://" + listener.Addr().String()}
	s.log = &http.Server{Handler: logserver.Handler(memory.New(memory.Options{})), ReadHeaderTimeout: time.Second}
	go func() { _ = s.log.Serve(listener) }()
	client, err := httplog.New(s.logURL, time.Second)
	if err != nil {
		return nil, err
	}
	if s.listen, err = freeUDP(); err != nil {
		return nil, err
	}
	s.entry, err = startEntry("owner", network, client, s.listen, advertise)
	if err != nil {
		return nil, err
	}
	return s, waitFor("the peer's entry to be ready", s.entry.Ready)
}

func (s *peerSystem) stop() {
	s.entry.Kill()
	_ = s.log.Close()
}

const (
	// maxServices bounds the services tried until the peer's entry owns one.
	maxServices = 32
	// ownershipTimeout is how long an entry gets to own a new service.
	ownershipTimeout = 3 * time.Second
)

func (s *peerSystem) configureOwnedService() (string, error) {
	if err := waitFor("the peer's entry to see two members", func() bool { return len(s.entry.Members()) == 2 }); err != nil {
		return "", err
	}
	for i := range maxServices {
		name := fmt.Sprintf("service-%02d", i)
		if err := configure(s.entry, name); err != nil {
			return "", err
		}
		owned := waitWithin(ownershipTimeout, name, func() bool { return ownsShards(s.entry, name) })
		if owned == nil {
			return name, nil
		}
	}
	return "", fmt.Errorf("none of %d services is owned by the peer's entry", maxServices)
}
