package slopes

import (
	"net"
	"sync"
	"sync/atomic"
)

const (
	// udpHeaderBytes is what IPv4 and UDP add to each datagram.
	udpHeaderBytes = 28
	// maxDatagramBytes is the largest datagram that a counter forwards.
	maxDatagramBytes = 64 << 10
	// socketBufferBytes is large enough that bursts are not dropped.
	socketBufferBytes = 4 << 20
)

// Traffic is what a counter has forwarded, including IP and UDP headers.
type Traffic struct {
	// ToTarget and FromTarget are bytes.
	ToTarget, FromTarget int64
	// PacketsTo and PacketsFrom are datagrams.
	PacketsTo, PacketsFrom int64
}

func (t Traffic) sub(o Traffic) Traffic {
	return Traffic{
		ToTarget: t.ToTarget - o.ToTarget, FromTarget: t.FromTarget - o.FromTarget,
		PacketsTo: t.PacketsTo - o.PacketsTo, PacketsFrom: t.PacketsFrom - o.PacketsFrom,
	}
}

func (t Traffic) bytes() int64 { return t.ToTarget + t.FromTarget }

func (t Traffic) packets() int64 { return t.PacketsTo + t.PacketsFrom }

// counter forwards UDP datagrams between clients and one target and counts them.
type counter struct {
	socket *net.UDPConn
	target atomic.Pointer[net.UDPAddr]

	toBytes, fromBytes, toPackets, fromPackets atomic.Int64

	mu sync.Mutex
	// upstream holds, by client address, the socket that forwards the client's
	// datagrams.
	upstream map[string]*net.UDPConn
}

func newCounter() (*counter, error) {
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	_ = socket.SetReadBuffer(socketBufferBytes)
	c := &counter{socket: socket, upstream: map[string]*net.UDPConn{}}
	go c.forward()
	return c, nil
}

func (c *counter) address() string { return c.socket.LocalAddr().String() }

func (c *counter) setTarget(address string) error {
	target, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return err
	}
	c.target.Store(target)
	return nil
}

func (c *counter) traffic() Traffic {
	return Traffic{
		ToTarget: c.toBytes.Load(), FromTarget: c.fromBytes.Load(),
		PacketsTo: c.toPackets.Load(), PacketsFrom: c.fromPackets.Load(),
	}
}

// forward forwards the clients' datagrams to the target until the socket is
// closed.
func (c *counter) forward() {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, client, err := c.socket.ReadFromUDP(buf)
		if err != nil {
			return
		}
		up, err := c.upstreamFor(client)
		if err != nil {
			continue
		}
		c.toBytes.Add(int64(n) + udpHeaderBytes)
		c.toPackets.Add(1)
		_, _ = up.Write(buf[:n])
	}
}

func (c *counter) upstreamFor(client *net.UDPAddr) (*net.UDPConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := client.String()
	if up := c.upstream[key]; up != nil {
		return up, nil
	}
	up, err := net.DialUDP("udp4", nil, c.target.Load())
	if err != nil {
		return nil, err
	}
	_ = up.SetReadBuffer(socketBufferBytes)
	c.upstream[key] = up
	go c.forwardReplies(up, client)
	return up, nil
}

// forwardReplies forwards the target's datagrams to one client until up is closed.
func (c *counter) forwardReplies(up *net.UDPConn, client *net.UDPAddr) {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, err := up.Read(buf)
		if err != nil {
			return
		}
		c.fromBytes.Add(int64(n) + udpHeaderBytes)
		c.fromPackets.Add(1)
		_, _ = c.socket.WriteToUDP(buf[:n], client)
	}
}

func (c *counter) close() {
	_ = c.socket.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, up := range c.upstream {
		_ = up.Close()
	}
}
