package settings

import (
	"fmt"
	"math"
	"os"
	"time"

	"golang.org/x/sys/unix"

	"marjoramlug.example/marjoramlug/validation"
)

// Load reads a settings file, applies defaults, validates it and resolves its
// secrets from the environment. Errors in the content wrap ErrSettings.
func Load(path string) (*File, error) {
	f, err := LoadWithoutSecrets(path)
	if err != nil {
		return nil, err
	}
	if err := f.ResolveSecrets(os.LookupEnv); err != nil {
		return nil, fmt.Errorf("%w in %s:\n%w", ErrSettings, path, err)
	}
	return f, nil
}

// LoadWithoutSecrets is Load without resolving secrets from the environment.
func LoadWithoutSecrets(path string) (*File, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	f, err := Parse(data)
	if err != nil {
		return nil, fmt.Errorf("%w in %s:\n%w", ErrSettings, path, err)
	}
	return f, nil
}

// Parse decodes settings, applies defaults and validates them. It returns all
// faults together; unknown keys are faults too.
func Parse(data []byte) (*File, error) {
	f := new(File)
	err := validation.DecodeAndCheck(data, f, f.ApplyDefaults)
	faults := validation.FaultsOf(err)
	if err != nil && faults == nil {
		return nil, err
	}
	if err := joinFaults(faults, f.crossFieldFaults()); err != nil {
		return nil, err
	}
	return f, nil
}

// ApplyDefaults fills unset fields.
func (f *File) ApplyDefaults() {
	if f.Entry != nil {
		f.Entry.ApplyDefaults()
	}
	if f.Agent != nil {
		f.Agent.ApplyDefaults()
	}
	if f.PoolEntry != nil {
		f.PoolEntry.ApplyDefaults()
	}
	if f.PoolAgent != nil {
		f.PoolAgent.ApplyDefaults()
	}
}

// ApplyDefaults fills unset fields.
func (e *Entry) ApplyDefaults() {
	setDefault(&e.Platform.Timeout, 2*time.Second)
	setDefault(&e.Platform.Retention, 24*time.Hour)
	setDefault(&e.Platform.PollInterval, 250*time.Millisecond)
	setDefault(&e.StopTimeout, 30*time.Second)
	e.Ownership.ApplyDefaults()
	e.Limits.ApplyDefaults()
}

// ApplyDefaults fills unset fields.
func (o *Ownership) ApplyDefaults() {
	setDefault(&o.LeaseTTL, 4*time.Second)
	setDefault(&o.DriftMargin, 250*time.Millisecond)
	setDefault(&o.AcceptWindow, 2500*time.Millisecond)
	setDefault(&o.OrphanTimeout, 2*time.Hour)
	setDefault(&o.TakeoverTimeout, 4*time.Second)
	setDefault(&o.AgentTimeout, 3*time.Second)
	setDefault(&o.ResubmitWindow, 10*time.Minute)
	setDefault(&o.ClockSkew, 2*time.Second)
}

const (
	// maxCallerConnections and maxEndpointConnections bound the defaults of
	// Limits.Connections and Agent.Connections.
	maxCallerConnections   = 4096
	maxEndpointConnections = 1024
	// assumedDescriptors is the limit of descriptors of a process that can't read its own.
	assumedDescriptors = 1024
)

// DescriptorLimit returns the number of descriptors that this process may have open.
func DescriptorLimit() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return assumedDescriptors
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// ApplyDefaults fills unset fields.
func (l *Limits) ApplyDefaults() {
	setDefault(&l.BodyBytes, 16<<20)
	setDefault(&l.IntakeBytes, max(256<<20, 16*l.BodyBytes))
	setDefault(&l.Connections, min(DescriptorLimit()/2, maxCallerConnections))
	setDefault(&l.HeaderBytes, 64<<10)
	setDefault(&l.TasksPerJob, 1900)
	setDefault(&l.AnswerBytes, 64<<20)
}

// ApplyDefaults fills unset fields.
func (a *Agent) ApplyDefaults() {
	setDefault(&a.Heartbeat, time.Second)
	setDefault(&a.AcceptWindow, 2500*time.Millisecond)
	setDefault(&a.TaskTimeout, 30*time.Second)
	setDefault(&a.AnnounceTimeout, 10*time.Second)
	setDefault(&a.JournalWindow, 10*time.Minute)
	setDefault(&a.JournalBytes, 32<<20)
	setDefault(&a.MaxAnswerBytes, 4<<20)
	setDefault(&a.Connections, min(DescriptorLimit()/4, maxEndpointConnections))
	setDefault(&a.StopTimeout, 30*time.Second)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
