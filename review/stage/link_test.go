//go:build review

package stage

import (
	"errors"
	"net"
	"sync"
	"time"
)

// A link carries the connections to one address. While it is cut, nothing passes. TCP
// sends again what was not acknowledged, after 200 ms at first and then after twice the
// time before: what was sent during a cut arrives with the first repetition after it.

const (
	firstRetransmission = 200 * time.Millisecond
	firstSYNRepetition  = time.Second
)

type cut struct {
	mu          sync.Mutex
	begin, heal time.Time
}

// set cuts the link from now on for the given time.
func (c *cut) set(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begin = time.Now()
	c.heal = c.begin.Add(d)
}

func (c *cut) active() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.heal)
}

// arrival returns when data that is sent now arrives, if the sender repeats it first
// after the given time.
func (c *cut) arrival(first time.Duration) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := time.Now()
	for timeout := first; at.Before(c.heal); timeout *= 2 {
		at = at.Add(timeout)
	}
	return at
}

// tcpLink can be cut in each direction: in is that of the side that opens connections.
type tcpLink struct {
	in, out  cut
	listener net.Listener
	target   string
	mu       sync.Mutex
	conns    []net.Conn
}

func newTCPLink(target string) *tcpLink {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	link := &tcpLink{listener: l, target: target}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go link.forward(c)
		}
	}()
	return link
}

// cut cuts both directions.
func (l *tcpLink) cut(d time.Duration) {
	l.in.set(d)
	l.out.set(d)
}

func (l *tcpLink) address() string { return l.listener.Addr().String() }

func (l *tcpLink) forward(from net.Conn) {
	time.Sleep(time.Until(l.in.arrival(firstSYNRepetition)))
	time.Sleep(time.Until(l.out.arrival(firstSYNRepetition)))
	to, err := net.Dial("tcp", l.target)
	if err != nil {
		if tcp, ok := from.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = from.Close()
		return
	}
	l.mu.Lock()
	l.conns = append(l.conns, from, to)
	l.mu.Unlock()
	go l.copy(from, to, &l.out)
	l.copy(to, from, &l.in)
}

// copy forwards one direction, and the end of it one round trip after the last data: the
// sender learns only then that the data has arrived.
func (l *tcpLink) copy(to, from net.Conn, direction *cut) {
	buffer := make([]byte, 64<<10)
	heldUntil := time.Time{}
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			at := direction.arrival(firstRetransmission)
			held := time.Until(at) > 0
			time.Sleep(time.Until(at))
			if held {
				heldUntil = at
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			at := direction.arrival(firstRetransmission)
			if after := heldUntil.Add(2 * clientDelay); at.Before(after) {
				at = after
			}
			time.Sleep(time.Until(at))
			if errors.Is(err, net.ErrClosed) {
				_ = to.Close()
				return
			}
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
	}
}

func (l *tcpLink) close() {
	_ = l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		_ = c.Close()
	}
}

// udpLink forwards datagrams, through one socket for each sender. Those sent during a
// cut are lost.
type udpLink struct {
	cut
	socket  *net.UDPConn
	target  *net.UDPAddr
	mu      sync.Mutex
	senders map[string]*net.UDPConn
}

func newUDPLink(target string) *udpLink {
	to, err := net.ResolveUDPAddr("udp", target)
	check(err)
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	check(err)
	l := &udpLink{socket: socket, target: to, senders: map[string]*net.UDPConn{}}
	go l.serve()
	return l
}

func (l *udpLink) address() string { return l.socket.LocalAddr().String() }

func (l *udpLink) serve() {
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := l.socket.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		if upstream := l.upstream(from); upstream != nil && !l.active() {
			_, _ = upstream.Write(buffer[:n])
		}
	}
}

func (l *udpLink) upstream(from *net.UDPAddr) *net.UDPConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known := l.senders[from.String()]; known != nil {
		return known
	}
	upstream, err := net.DialUDP("udp", nil, l.target)
	if err != nil {
		return nil
	}
	l.senders[from.String()] = upstream
	go func() {
		buffer := make([]byte, 64<<10)
		for {
			n, err := upstream.Read(buffer)
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil {
				time.Sleep(time.Millisecond)
				continue
			}
			if !l.active() {
				_, _ = l.socket.WriteToUDP(buffer[:n], from)
			}
		}
	}()
	return upstream
}

func (l *udpLink) close() {
	_ = l.socket.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.senders {
		_ = c.Close()
	}
}
