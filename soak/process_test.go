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
	ended chan struct{}
	// expected says that the present life was told to end.
	expected bool
	// disturbed is until when callers can't hold the process to its answers.
	disturbed time.Time
	// began is when the present life began.
	began time.Time
	// leaving is when it was told to end as planned work; zero otherwise.
	leaving time.Time
}

// rotation is how long after SIGTERM the platform may go on sending callers.
const rotation = 2 * time.Second

// isOutOfRotation reports whether callers are sent elsewhere.
func (p *process) isOutOfRotation() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.leaving.IsZero() && time.Since(p.leaving) > rotation
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
	ended := make(chan struct{})
	p.cmd, p.ended, p.expected, p.leaving, p.began = cmd, ended, false, time.Time{}, time.Now()
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		p.mu.Lock()
		if !p.expected {
			r.violation("%s ended by itself: %v", p.name, err)
		}
		p.mu.Unlock()
		close(ended)
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
const bootTime = 100 * time.Millisecond

// reload sends SIGHUP, unless the process has only just begun.
func (p *process) reload() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(p.began) > bootTime {
		_ = p.cmd.Process.Signal(syscall.SIGHUP)
	}
}

// kill ends the present life at once.
func (p *process) kill() {
	p.mu.Lock()
	p.expected = true
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	ended := p.ended
	p.mu.Unlock()
	<-ended
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
	p.expected, p.leaving = true, time.Now()
	cmd, ended := p.cmd, p.ended
	_ = cmd.Process.Signal(syscall.SIGTERM)
	p.mu.Unlock()
	select {
	case <-ended:
		if !cmd.ProcessState.Success() && !p.isDisturbed(time.Now().Add(-grace)) {
			r.violation("%s ended with %v after SIGTERM", p.name, cmd.ProcessState)
		}
	case <-time.After(grace + time.Second):
		if !p.isDisturbed(time.Now().Add(-grace)) {
			r.violation("%s was still there %v after SIGTERM", p.name, grace+time.Second)
		}
		p.kill()
	}
}

// disturb notes that for a time the process can't be held to its answers.
func (p *process) disturb(span time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if until := time.Now().Add(span); until.After(p.disturbed) {
		p.disturbed = until
	}
}

// isDisturbed reports whether the process was disturbed at some time since.
func (p *process) isDisturbed(since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.disturbed.After(since)
}
