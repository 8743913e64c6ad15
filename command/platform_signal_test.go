package command

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"marjoramlug.example/marjoramlug/platform"
	"marjoramlug.example/marjoramlug/settings"
)

type fakeProcess struct{ stopped chan struct{} }

func (p *fakeProcess) Stop(context.Context) error {
	close(p.stopped)
	return nil
}

func (*fakeProcess) Reload(*settings.File) {}

// TestSignalsDuringStart checks that a SIGHUP or SIGTERM that arrives while the
// process is still starting does not kill it, but leads to a graceful shutdown.
// Found in a soak run with seed 100491792568735.
func TestSignalsDuringStart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "agent.yaml")
	text := "pool_agent:\n  name: a\n  http: 127.0.0.1:0\n  endpoint: 127.0.0.1:1\n  store:\n    address: 127.0.0.1:1\n" +
		"  timing: {lease: 1s, stop_time: 50ms, retransmit: 1300ms, grace: 6s}\n  budget: {memory_mb: 64}\n"
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	process := &fakeProcess{stopped: make(chan struct{})}
	err := runOnPlatform(path, "agent", func(*settings.File, platform.Environment) (platform.Process, error) {
		for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
			if err := syscall.Kill(os.Getpid(), s); err != nil {
				t.Error(err)
			}
		}
		time.Sleep(20 * time.Millisecond)
		return process, nil
	})
	if err != nil {
		t.Fatal(err)
	}
	select {
	case <-process.stopped:
	default:
		t.Error("the process was not shut down gracefully")
	}
}
