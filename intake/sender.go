package intake

import (
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// tcpEstablished is the state of a TCP connection that neither side has closed, of the
// kernel's enum in include/net/tcp_states.h.
const tcpEstablished = 1

// Sender is what the kernel knows of the sender of a request.
type Sender struct {
	// Left is set once the client has closed or reset its side of the connection, also behind
	// data that has not been read.
	Left bool
	// Silent is the time since the client's last data arrived at this machine: the age of a
	// request behind which nothing was sent. It has the resolution of a kernel tick, 10 ms at
	// most, and is 0 where the kernel doesn't keep it.
	Silent time.Duration
}

// SenderOf asks the kernel for the sender of a request. Where it doesn't tell, or if the connection
// is not one of a Connections, the request counts as just sent by a client that is still there.
func SenderOf(r *http.Request) Sender {
	e := connectionOf(r)
	if e == nil {
		return Sender{}
	}
	return senderOn(e.Conn)
}

func senderOn(conn any) Sender {
	var s Sender
	if err := control(conn, func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return
		}
		s = Sender{Left: info.State != tcpEstablished, Silent: time.Duration(info.Last_data_recv) * time.Millisecond}
	}); errors.Is(err, net.ErrClosed) {
		// This process has closed the connection.
		s.Left = true
	}
	return s
}

// control calls f with the file descriptor of a connection or listener. It returns
// net.ErrClosed if that is closed, and errors.ErrUnsupported if it has none.
func control(conn any, f func(fd int)) error {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return errors.ErrUnsupported
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(func(fd uintptr) { f(int(fd)) })
}
