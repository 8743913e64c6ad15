package soak

import (
	"net"
	"sync"
	"time"
)

// networkFault is what a proxy does to the data that it forwards.
type networkFault struct {
	// delay is added to all data in both directions. Delayed data is delivered even
	// if its sender has disconnected in the meantime.
	delay time.Duration
	// dropInbound drops all data to the process behind the proxy, dropOutbound all
	// data from it.
	dropInbound, dropOutbound bool
}

// faultState is the fault of a proxy and the time until which it applies.
type faultState struct {
	mu    sync.Mutex
	fault networkFault
	until time.Time
}

// set applies a fault for span and replaces the previous one.
func (c *faultState) set(f networkFault, span time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fault, c.until = f, time.Now().Add(span)
}

// current returns the present delay of a direction and whether its data is
// dropped.
func (c *faultState) current(outbound bool) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case time.Now().After(c.until):
		return 0, false
	case outbound:
		return c.fault.delay, c.fault.dropOutbound
	default:
		return c.fault.delay, c.fault.dropInbound
	}
}

// tcpProxy forwards TCP connections to target.
type tcpProxy struct {
	faultState
	listener net.Listener
	target   string
	connsMu  sync.Mutex
	conns    map[net.Conn]bool
}

func newTCPProxy(target string) (*tcpProxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &tcpProxy{listener: l, target: target, conns: map[net.Conn]bool{}}
	go p.serve()
	return p, nil
}

func (p *tcpProxy) address() string { return p.listener.Addr().String() }

func (p *tcpProxy) serve() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(client)
	}
}

func (p *tcpProxy) forward(client net.Conn) {
	defer func() { _ = client.Close() }()
	// Dials once and resets the client on failure: retrying would hide from the
	// client that no process listens.
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(client)
		return
	}
	p.track(client, server)
	defer p.untrack(client, server)
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.copy(client, server, true)
		_ = client.Close()
	}()
	p.copy(server, client, false)
	// Delivers what the client sent before it disconnected.
	if tcp, ok := server.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	select {
	case <-done:
	case <-time.After(serverCloseDelay):
	}
	_ = server.Close()
	<-done
}

// serverCloseDelay is how long the connection to the process stays open after
// the client's side was closed.
const serverCloseDelay = 200 * time.Millisecond

func (p *tcpProxy) copy(to, from net.Conn, outbound bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			delay, dropped := p.current(outbound)
			time.Sleep(delay)
			if !dropped {
				if _, err := to.Write(buffer[:n]); err != nil {
					return
				}
			}
		}
		if err != nil {
			return
		}
	}
}

func (p *tcpProxy) track(conns ...net.Conn) {
	p.connsMu.Lock()
	defer p.connsMu.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
}

func (p *tcpProxy) untrack(conns ...net.Conn) {
	p.connsMu.Lock()
	defer p.connsMu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
	}
}

// resetAll resets all open connections.
func (p *tcpProxy) resetAll() {
	p.connsMu.Lock()
	defer p.connsMu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *tcpProxy) close() {
	_ = p.listener.Close()
	p.resetAll()
}

// udpProxy forwards datagrams to target, through one upstream socket for each
// sender.
type udpProxy struct {
	faultState
	socket      *net.UDPConn
	target      *net.UDPAddr
	upstreamsMu sync.Mutex
	upstreams   map[string]*net.UDPConn
}

func newUDPProxy(target string) (*udpProxy, error) {
	to, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, err
	}
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	p := &udpProxy{socket: socket, target: to, upstreams: map[string]*net.UDPConn{}}
	go p.serve()
	return p, nil
}

func (p *udpProxy) address() string { return p.socket.LocalAddr().String() }

func (p *udpProxy) serve() {
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := p.socket.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		upstream := p.upstream(from)
		if upstream == nil {
			continue
		}
		p.forward(false, buffer[:n], func(data []byte) { _, _ = upstream.Write(data) })
	}
}

func (p *udpProxy) upstream(from *net.UDPAddr) *net.UDPConn {
	p.upstreamsMu.Lock()
	defer p.upstreamsMu.Unlock()
	if upstream := p.upstreams[from.String()]; upstream != nil {
		return upstream
	}
	upstream, err := net.DialUDP("udp", nil, p.target)
	if err != nil {
		return nil
	}
	p.upstreams[from.String()] = upstream
	go func() {
		buffer := make([]byte, 64<<10)
		for {
			n, err := upstream.Read(buffer)
			if isClosed(err) {
				return
			}
			if err != nil {
				// No process listens at the moment; one may start again later.
				time.Sleep(time.Millisecond)
				continue
			}
			p.forward(true, buffer[:n], func(data []byte) { _, _ = p.socket.WriteToUDP(data, from) })
		}
	}()
	return upstream
}

func (p *udpProxy) forward(outbound bool, data []byte, send func([]byte)) {
	delay, dropped := p.current(outbound)
	switch {
	case dropped:
	case delay == 0:
		send(data)
	default:
		delayed := append([]byte(nil), data...)
		time.AfterFunc(delay, func() { send(delayed) })
	}
}

func (p *udpProxy) close() {
	_ = p.socket.Close()
	p.upstreamsMu.Lock()
	defer p.upstreamsMu.Unlock()
	for _, upstream := range p.upstreams {
		_ = upstream.Close()
	}
}
