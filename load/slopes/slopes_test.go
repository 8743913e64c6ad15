package slopes

import (
	"context"
	"net"
	"net/rpc"
	"testing"

	"github.com/matryer/is"

	"marjoramlug.example/marjoramlug/message"
)

func TestSummarizeTakesTheMedian(t *testing.T) {
	is := is.New(t)
	is.Equal(summarize(7, []float64{9, 1, 5}), Point{Size: 7, Median: 5, Low: 1, High: 9, Samples: 3})
	is.Equal(summarize(7, []float64{4, 2}).Median, 3.0)
}

func TestInterpolate(t *testing.T) {
	is := is.New(t)
	s := Series{Points: []Point{{Size: 1, Median: 10}, {Size: 3, Median: 20}, {Size: 5, Median: 60}}, Fit: Fit{Slope: 100}}
	is.Equal(s.Interpolate(1), 10.0)
	is.Equal(s.Interpolate(2), 15.0)
	is.Equal(s.Interpolate(4), 40.0)
	is.Equal(s.Interpolate(6), 600.0) // beyond the points, the value is the fit's
}

func TestCounterCountsBothDirections(t *testing.T) {
	is := is.New(t)
	target, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	is.NoErr(err)
	defer func() { _ = target.Close() }()
	c, err := newCounter()
	is.NoErr(err)
	defer c.close()
	is.NoErr(c.setTarget(target.LocalAddr().String()))
	client, err := net.Dial("udp4", c.address())
	is.NoErr(err)
	defer func() { _ = client.Close() }()

	_, err = client.Write([]byte("ping"))
	is.NoErr(err)
	buf := make([]byte, 64)
	n, from, err := target.ReadFromUDP(buf)
	is.NoErr(err)
	is.Equal(string(buf[:n]), "ping")
	_, err = target.WriteToUDP([]byte("answer"), from)
	is.NoErr(err)
	n, err = client.Read(buf)
	is.NoErr(err)
	is.Equal(string(buf[:n]), "answer")
	is.Equal(c.traffic(), Traffic{ToTarget: 4 + udpHeaderBytes, FromTarget: 6 + udpHeaderBytes, PacketsTo: 1, PacketsFrom: 1})
}

func TestPeerRunsAgentsAndJobs(t *testing.T) {
	is := is.New(t)
	p := new(Peer)
	defer p.stop()
	is.NoErr(p.Open(Empty{}, new(Counters)))
	is.NoErr(p.Alone(serviceName, &Empty{}))
	is.NoErr(p.Grow(FleetSize{Agents: 2, Slots: 3, Service: serviceName}, &Empty{}))
	is.NoErr(p.AwaitCredits(6, &Empty{}))
	is.NoErr(p.relaySide.setTarget(p.peerSystem.listen))
	relay, err := newFakeRelay(p.network, p.relaySide.address())
	is.NoErr(err)
	p.relay = relay
	send := relay.submitter(JobLoad{Service: serviceName, Tasks: 20, Body: typicalBody})
	is.NoErr(send(t.Context(), "job-1"))
	var traffic CounterTraffic
	is.NoErr(p.Traffic(Empty{}, &traffic))
	// Each counter forwarded 20 bodies in each direction.
	is.True(traffic.AgentSide.bytes() > 40*typicalBody)
	is.True(traffic.RelaySide.bytes() > 40*typicalBody)
}

func TestServePeerStopsWithContext(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	address, err := freeTCP()
	is.NoErr(err)
	ended := make(chan error, 1)
	go func() { ended <- ServePeer(ctx, address) }()
	var client *rpc.Client
	is.NoErr(waitFor("the peer", func() bool { client, err = rpc.Dial("tcp", address); return err == nil }))
	is.NoErr(client.Call("Peer.Open", Empty{}, new(Counters)))
	cancel()
	is.NoErr(<-ended)
	_ = client.Close()
}

func freeTCP() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

func TestCoreHarnessAnswersEachJob(t *testing.T) {
	is := is.New(t)
	c := newCoreHarness()
	c.connect(0, 2, 3)
	c.submit(10)
	is.Equal(len(c.unanswered), 6) // one per slot
	for len(c.unanswered) > 0 {
		is.Equal(c.unanswered[0].Message.Kind(), message.KindStart)
		c.answerOldest()
	}
	is.Equal(c.answers, 1)
}
