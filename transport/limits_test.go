package transport

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramlug.example/marjoramlug/intake"
	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/settings"
)

// TestAnnouncedFrameTakesNoMemory guards against memory that a peer takes with four bytes.
func TestAnnouncedFrameTakesNoMemory(t *testing.T) {
	is := is.New(t)
	data := append(binary.BigEndian.AppendUint32(nil, maxFrameBytes), make([]byte, 10_000)...)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := readFrame(bufio.NewReader(bytes.NewReader(data)), nil, func(int) error { return nil })
	runtime.ReadMemStats(&after)
	is.True(err != nil)
	is.True(after.TotalAlloc-before.TotalAlloc < 1<<20)
}

// TestOldestIncompleteFrameMakesRoom guards against peers that hold memory with parts of
// frames, and against frames that keep their share after they have been received.
func TestOldestIncompleteFrameMakesRoom(t *testing.T) {
	is := is.New(t)
	server := newRecorder()
	evicted := make(chan string, 1)
	conns := newAcceptedConns(entryHello, server)
	conns.frames, conns.frameEvicted = intake.NewBudget(120_000), func(peer message.Hello) { evicted <- peer.Name }
	connect := func(name string) *memoryStream {
		near, far := newMemoryStreams()
		go conns.serve(far, authorizer{})
		t.Cleanup(near.Abort)
		hello := agentHello
		hello.Name = name
		is.NoErr(writeHello(near, hello))
		_, err := near.Read(make([]byte, maxHelloBytes))
		is.NoErr(err)
		return near
	}
	_, err := connect("stalled").Write(append(binary.BigEndian.AppendUint32(nil, 1<<20), make([]byte, 60_000)...))
	is.NoErr(err)
	for conns.frames.Used() == 0 {
		time.Sleep(time.Millisecond)
	}
	working := connect("working")
	large := encodeFrame(t, &message.Result{Result: message.TaskResult{Body: make([]byte, 100_000)}})
	for range 3 {
		_, err := working.Write(large)
		is.NoErr(err)
		<-server.received
	}
	is.Equal(<-evicted, "stalled")
	is.Equal((<-server.disconnected) != nil, true)
}

// TestConnectionsAreLimited guards against peers without end, against a limit that counts
// connections that have ended, and against peers that send nothing and keep others out.
func TestConnectionsAreLimited(t *testing.T) {
	is := is.New(t)
	refused := make(chan string, 16)
	network, err := NewQUIC(settings.TLS{}, WithLimits(Limits{Connections: 1, Refused: func(_, reason string) { refused <- reason }}))
	is.NoErr(err)
	defer func() { _ = network.Close() }()
	server := newRecorder()
	listener, err := network.Listen("127.0.0.1:0", entryHello, server)
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	dial := func() (Conn, error) {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		return network.Dial(ctx, listener.Address(), agentHello, newRecorder())
	}
	unused, err := dial()
	is.NoErr(err)
	first, err := dial()
	is.NoErr(err)
	is.Equal(<-refused, "unused")
	is.NoErr(first.Send(&message.Heartbeat{}))
	<-server.received
	_, err = dial()
	is.True(err != nil)
	is.Equal(<-refused, "connections")
	unused.Close()
	first.Close()
	for {
		if again, err := dial(); err == nil {
			again.Close()
			break
		}
		is.NoErr(t.Context().Err())
	}
}
