package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// process is one process of the product, restarted by faults.
type process struct {
	name, role string
	dir        string

	mu  sync.Mutex
	cmd *exec.Cmd
	// ended is closed when the present life is over.
	exited chan struct{}
	// expected says that the present life was told to end.
	exitExpected bool
	// disturbed is until when callers can't hold the process to its answers.
	faultyUntil time.Time
	// began is when the present life began.
	startedAt time.Time
	// leaving is when it was told to end as planned work; zero otherwise.
	stopRequested time.Time
}

// rotation is how long after SIGTERM the platform may go on sending callers.
const rotationDelay = 2 * time.Second

// isOutOfRotation reports whether callers are sent elsewhere.
func (p *process) isOutOfRotation() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.stopRequested.IsZero() && time.Since(p.stopRequested) > rotationDelay
}

func (p *process) start(r *record) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(p.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(binary, "platform", p.role, filepath.Join(p.dir, p.name+".yaml"))
	cmd.Env = append(os.Environ(), "QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING=true")
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.cmd, p.exited, p.exitExpected, p.stopRequested, p.startedAt = cmd, exited, false, time.Time{}, time.Now()
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		p.mu.Lock()
		if !p.exitExpected {
			r.violation("%s ended by itself: %v", p.name, err)
		}
		p.mu.Unlock()
		close(exited)
	}()
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s)
}

// bootTime is how long a process may take until its own code runs: signals
// before that have the system's default effect, whatever the program is. Seen in
// seed 100491792568735: SIGHUP 9 ms after the start, before its first line.
const signalSetupTime = 100 * time.Millisecond

// reload sends SIGHUP, unless the process has only just begun.
func (p *process) reload() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(p.startedAt) > signalSetupTime {
		_ = p.cmd.Process.Signal(syscall.SIGHUP)
	}
}

// kill ends the present life at once.
func (p *process) kill() {
	p.mu.Lock()
	p.exitExpected = true
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	exited := p.exited
	p.mu.Unlock()
	<-exited
}

// end ends the present life for good, also when it is paused.
func (p *process) end() {
	p.signal(syscall.SIGCONT)
	p.kill()
}

// stop ends the present life as planned work and checks that it does so in
// time and without an error.
func (p *process) stop(r *record) {
	p.mu.Lock()
	p.exitExpected, p.stopRequested = true, time.Now()
	cmd, exited := p.cmd, p.exited
	_ = cmd.Process.Signal(syscall.SIGTERM)
	p.mu.Unlock()
	select {
	case <-exited:
		if !cmd.ProcessState.Success() && !p.wasFaulty(time.Now().Add(-shutdownGrace)) {
			r.violation("%s ended with %v after SIGTERM", p.name, cmd.ProcessState)
		}
	case <-time.After(shutdownGrace + time.Second):
		if !p.wasFaulty(time.Now().Add(-shutdownGrace)) {
			r.violation("%s was still there %v after SIGTERM", p.name, shutdownGrace+time.Second)
		}
		p.kill()
	}
}

// disturb notes that for a time the process can't be held to its answers.
func (p *process) addFault(span time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if until := time.Now().Add(span); until.After(p.faultyUntil) {
		p.faultyUntil = until
	}
}

// isDisturbed reports whether the process was disturbed at some time since.
func (p *process) wasFaulty(since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faultyUntil.After(since)
}
