package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// process is an entry or agent process. Faults restart it, so it can have
// several incarnations.
type process struct {
	name, role string
	dir        string

	mu  sync.Mutex
	cmd *exec.Cmd
	// exited is closed when the current incarnation has exited.
	exited chan struct{}
	// exitExpected is set when a signal to end was sent to the current incarnation.
	exitExpected bool
	// excusedUntil is the time until which a fault may keep the process from
	// answering or stopping without a violation.
	excusedUntil time.Time
	// startedAt is when the current incarnation was started, logSize the size of the log
	// then.
	startedAt time.Time
	logSize   int64
	// stopRequested is when SIGTERM was sent to the current incarnation; zero if it
	// was not.
	stopRequested time.Time
}

// rotationDelay is how long after SIGTERM the platform may still route callers
// to an entry.
const rotationDelay = 2 * time.Second

// isOutOfRotation reports whether the platform no longer routes callers to the
// process.
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
	info, err := log.Stat()
	if err != nil {
		return err
	}
	p.logSize = info.Size()
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
			r.addViolation("%s exited unexpectedly: %v", p.name, err)
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

// signalSetupTime is how long a new process may take until its own code handles
// signals. Until then SIGHUP has its default effect and terminates the process, as
// it did in seed 100491792568735, 9 ms after the start.
const signalSetupTime = 100 * time.Millisecond

// reload sends SIGHUP, unless the process was started less than signalSetupTime
// ago.
func (p *process) reload() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(p.startedAt) > signalSetupTime {
		_ = p.cmd.Process.Signal(syscall.SIGHUP)
	}
}

// awaitOwnCode waits until the current incarnation has written a line, for
// signalSetupLimit at most. On a busy machine its own code may begin long after the start,
// and no program can handle a signal before.
func (p *process) awaitOwnCode() {
	p.mu.Lock()
	name, before := filepath.Join(p.dir, p.name+".log"), p.logSize
	p.mu.Unlock()
	for deadline := time.Now().Add(signalSetupLimit); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if info, err := os.Stat(name); err == nil && info.Size() > before {
			return
		}
	}
}

const signalSetupLimit = 2 * time.Second

// kill sends SIGKILL and waits until the current incarnation has exited.
func (p *process) kill() {
	p.mu.Lock()
	p.exitExpected = true
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	exited := p.exited
	p.mu.Unlock()
	<-exited
}

// end kills the process at the end of a scenario, also when it is paused.
func (p *process) end() {
	p.signal(syscall.SIGCONT)
	p.kill()
}

// stop sends SIGTERM and waits until the process has exited. It records a
// violation if the process exits with a status other than 0, or is still running
// shutdownGrace plus one second after SIGTERM; in the latter case it also kills
// the process. Neither is a violation if the process was excused at some time
// within the last shutdownGrace.
func (p *process) stop(r *record) {
	p.awaitOwnCode()
	p.mu.Lock()
	p.exitExpected, p.stopRequested = true, time.Now()
	cmd, exited := p.cmd, p.exited
	_ = cmd.Process.Signal(syscall.SIGTERM)
	p.mu.Unlock()
	select {
	case <-exited:
		if !cmd.ProcessState.Success() && !p.wasExcused(time.Now().Add(-shutdownGrace)) {
			r.addViolation("%s exited with %v after SIGTERM", p.name, cmd.ProcessState)
		}
	case <-time.After(shutdownGrace + time.Second):
		if !p.wasExcused(time.Now().Add(-shutdownGrace)) {
			r.addViolation("%s was still running %v after SIGTERM", p.name, shutdownGrace+time.Second)
		}
		p.kill()
	}
}

// addFault marks the process as affected by a fault for span: until then, missing
// answers and failed stops are not violations. Unlike scenario.addFault, it injects
// no fault.
func (p *process) addFault(span time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if until := time.Now().Add(span); until.After(p.excusedUntil) {
		p.excusedUntil = until
	}
}

// wasExcused reports whether the process was excused at some time after since.
func (p *process) wasExcused(since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.excusedUntil.After(since)
}
