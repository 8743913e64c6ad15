// Package proctest helps tests that run the product's processes: it builds the binary and
// finds free loopback addresses.
package proctest

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"testing"
)

// RunWithBinary builds the binary, passes its path to use, runs the tests and exits.
func RunWithBinary(m *testing.M, use func(path string)) {
	dir, err := os.MkdirTemp("", "marjoramlug-test")
	if err != nil {
		panic(err)
	}
	binary := filepath.Join(dir, "marjoramlug")
	build := exec.Command("go", "build", "-o", binary, "marjoramlug.example/marjoramlug/cmd/marjoramlug")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	use(binary)
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// lastUsedPort is the last port that was tried for a process. Ports are taken
// below the range that the system uses for outgoing connections, so that no such
// connection takes a process's port while the process is down.
var lastUsedPort = func() *atomic.Int32 {
	p := new(atomic.Int32)
	p.Store(10000 + rand.Int32N(10000))
	return p
}()

// portLimit is the exclusive upper end of the ports for processes.
const portLimit = 32000

// freeAddress returns a loopback address with the next port that is not in use.
func freeAddress(t testing.TB, bind func(address string) (io.Closer, error)) string {
	t.Helper()
	for port := lastUsedPort.Add(1); port < portLimit; port = lastUsedPort.Add(1) {
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if l, err := bind(address); err == nil {
			_ = l.Close()
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

// FreeTCP returns a free address for a TCP listener.
func FreeTCP(t testing.TB) string {
	t.Helper()
	return freeAddress(t, func(address string) (io.Closer, error) { return net.Listen("tcp", address) })
}

// FreeUDP returns a free address for a UDP socket.
func FreeUDP(t testing.TB) string {
	t.Helper()
	return freeAddress(t, func(address string) (io.Closer, error) { return net.ListenPacket("udp", address) })
}
