package soak

import (
	"net"
	"sync"
	"time"
)

// linkFault is what a proxy does to what passes through it.
type networkFault struct {
	// delay holds everything back; what was sent arrives even if its sender has
	// gone meanwhile.
	delay time.Duration
	// loseOut drops what goes to the process behind the proxy, loseBack what comes
	// from it.
	dropInbound, dropOutbound bool
}

// conditions are the fault in force at a proxy, until its end.
type faultState struct {
	mu    sync.Mutex
	fault networkFault
	until time.Time
}

// set puts a fault in force for a time, in place of the last one.
func (c *faultState) set(f networkFault, span time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fault, c.until = f, time.Now().Add(span)
}

// now returns the delay of a direction and whether it loses everything.
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

// tcpProxy forwards connections to one address.
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
	// A proxy that waited for the process would hide that nobody listens.
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
	// What was sent before the client left still arrives.
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

// lateDelivery is how long the process's side of a connection outlives the
// client's.
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

// resetAll breaks all open connections.
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

// udpProxy forwards datagrams to one address, with a socket for each sender.
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
				// Nobody listens at the moment; the socket goes on.
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
