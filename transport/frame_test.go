package transport

import (
	"encoding/binary"
	"errors"
	"io"
	"testing"

	"github.com/matryer/is"

	"marjoramlug.example/marjoramlug/message"
)

// rawPeer connects a stream to an entry's handler without a handshake, so that a
// test can write arbitrary bytes.
func rawPeer(t *testing.T) (*memoryStream, *recorder) {
	t.Helper()
	near, far := newMemoryStreams()
	server := newRecorder()
	ended := make(chan struct{})
	go func() {
		newAcceptedConns(entryHello, server).serve(far, authorizer{})
		close(ended)
	}()
	t.Cleanup(func() {
		near.Abort()
		<-ended
	})
	return near, server
}

func frame(content []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(content))), content...)
}

func encodeFrame(t *testing.T, m message.Message) []byte {
	t.Helper()
	f, err := appendFrame(nil, m)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func TestConnectionWithoutHelloIsRefused(t *testing.T) {
	tests := map[string][]byte{
		"another message": encodeFrame(t, &message.Heartbeat{Sequence: 1}),
		"oversized":       binary.BigEndian.AppendUint32(nil, maxHelloBytes+1),
		"empty":           frame(nil),
		"garbage":         frame([]byte("GET / HTTP/1.1\r\n\r\n")),
	}
	for name, data := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			peer, server := rawPeer(t)
			_, err := peer.Write(data)
			is.NoErr(err)
			_, err = peer.Read(make([]byte, 1))
			is.True(err != nil) // the stream is closed without an answer
			is.Equal(len(server.connected), 0)
		})
	}
}

func TestMalformedFramesEndTheConnection(t *testing.T) {
	tests := map[string][]byte{
		"oversized": binary.BigEndian.AppendUint32(nil, maxFrameBytes+1),
		"empty":     frame(nil),
		"garbage":   frame([]byte{byte(message.KindHeartbeat), 0xff, 0xff}),
	}
	for name, data := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			peer, server := rawPeer(t)
			is.NoErr(writeHello(peer, agentHello))
			_, err := peer.Read(make([]byte, maxHelloBytes))
			is.NoErr(err)
			_, err = peer.Write(data)
			is.NoErr(err)
			is.True(<-server.disconnected != nil)
			is.Equal(len(server.received), 0)
		})
	}
}

func TestMessagesOfNewerVersionsAreSkipped(t *testing.T) {
	is := is.New(t)
	peer, server := rawPeer(t)
	is.NoErr(writeHello(peer, agentHello))
	_, err := peer.Read(make([]byte, maxHelloBytes))
	is.NoErr(err)
	_, err = peer.Write(append(frame([]byte{250, 1, 2, 3}), encodeFrame(t, &message.Heartbeat{Sequence: 7})...))
	is.NoErr(err)
	is.Equal((<-server.received).(*message.Heartbeat).Sequence, message.Sequence(7))
}

// TestSendQueueIsBounded sends to a peer that does not read: once the queue has
// reached its limit, Send returns ErrFull, and queued messages are still delivered.
func TestSendQueueIsBounded(t *testing.T) {
	is := is.New(t)
	near, far := newMemoryStreams()
	defer near.Abort()
	connected := make(chan *link, 1)
	server := newRecorder()
	go func() {
		l, err := acceptHandshake(far, entryHello, server, authorizer{})
		if err == nil {
			go l.run()
			connected <- l
		}
	}()
	is.NoErr(writeHello(near, agentHello))
	_, err := near.Read(make([]byte, maxHelloBytes))
	is.NoErr(err)
	l := <-connected

	large := &message.Start{Task: message.Task{Body: make([]byte, 1<<20)}}
	accepted := 0
	for {
		err = l.Send(large)
		if err != nil {
			break
		}
		accepted++
	}
	is.True(errors.Is(err, ErrFull))
	is.Equal(accepted, maxQueueBytes/len(encodeFrame(t, large)))
	is.NoErr(discard(near, accepted*len(encodeFrame(t, large)))) // all accepted messages arrive
	for errors.Is(l.Send(large), ErrFull) {
		continue // until the write loop has accounted for its last write
	}
	l.Close()
	is.True(errors.Is(l.Send(large), ErrClosed))
}

func discard(r io.Reader, n int) error {
	_, err := io.CopyN(io.Discard, r, int64(n))
	return err
}
