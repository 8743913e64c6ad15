package transport

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"

	"marjoramlug.example/marjoramlug/message"
)

const (
	// prefixBytes is the size of a frame's length prefix, in big-endian order.
	prefixBytes = 4
	// maxFrameBytes is the maximum size of an encoded message.
	maxFrameBytes = 64 << 20
	// maxHelloBytes is the maximum size of a Hello; it limits what a peer that is
	// not authenticated yet can make this process allocate.
	maxHelloBytes = 4 << 10
	// firstReadBytes is the size of the buffer for the first part of a frame; most frames
	// fit in it.
	firstReadBytes = 4 << 10
)

// appendFrame appends a message with its length prefix to buf. On an error it
// returns buf unchanged; the error is ErrTooLarge for an oversized message.
func appendFrame(buf []byte, m message.Message) ([]byte, error) {
	start := len(buf)
	buf = append(buf, make([]byte, prefixBytes)...)
	buf, err := message.Append(buf, m)
	if err != nil {
		return buf[:start], err
	}
	size := len(buf) - start - prefixBytes
	if size > maxFrameBytes {
		return buf[:start], fmt.Errorf("%w: %s of %d bytes exceeds %d", ErrTooLarge, m.Kind(), size, maxFrameBytes)
	}
	binary.BigEndian.PutUint32(buf[start:], uint32(size))
	return buf, nil
}

// readFrame reads the content of one frame into buf, replacing buf by a larger
// one if needed. reserve is called before each extension of buf.
func readFrame(r *bufio.Reader, buf []byte, reserve func(bytes int) error) ([]byte, error) {
	return readBounded(r, buf, maxFrameBytes, reserve)
}

func readBounded(r *bufio.Reader, buf []byte, limit uint32, reserve func(bytes int) error) ([]byte, error) {
	var prefix [prefixBytes]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(prefix[:])
	if size > limit {
		return nil, fmt.Errorf("frame of %d bytes exceeds the limit of %d", size, limit)
	}
	// The buffer grows with what has arrived: a peer that only announces a large frame
	// takes no memory.
	for buf = buf[:0]; len(buf) < int(size); {
		n := min(int(size)-len(buf), max(len(buf), cap(buf), firstReadBytes))
		if cap(buf) < len(buf)+n {
			if err := reserve(n); err != nil {
				return nil, err
			}
			buf = append(make([]byte, 0, len(buf)+n), buf...)
		}
		part := buf[len(buf) : len(buf)+n]
		if _, err := io.ReadFull(r, part); err != nil {
			return nil, err
		}
		buf = buf[:len(buf)+n]
	}
	return buf, nil
}

func writeHello(w io.Writer, self message.Hello) error {
	frame, err := appendFrame(nil, &self)
	if err != nil {
		return err
	}
	_, err = w.Write(frame)
	return err
}

func readHello(r *bufio.Reader) (message.Hello, error) {
	data, err := readBounded(r, nil, maxHelloBytes, func(int) error { return nil })
	if err != nil {
		return message.Hello{}, fmt.Errorf("read hello: %w", err)
	}
	m, err := message.Decode(data)
	if err != nil {
		return message.Hello{}, fmt.Errorf("read hello: %w", err)
	}
	hello, ok := m.(*message.Hello)
	if !ok {
		return message.Hello{}, fmt.Errorf("read hello: peer sent a %s message instead", m.Kind())
	}
	return *hello, nil
}
