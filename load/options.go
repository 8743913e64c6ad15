package load

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Options configure one load run.
type Options struct {
	Profile  Profile
	Duration time.Duration
	// Load is the offered load as a share of the endpoints' capacity; 1 is full
	// load.
	Load float64
	Seed uint64
	// Faults are injected after a third of the run.
	Faults []Fault
	// RoundTrip is added to the ideal response time, as no system can avoid it.
	RoundTrip time.Duration
	// Deadline is a job's deadline, from the time at which it is planned to be
	// sent; 0 sets none.
	Deadline time.Duration
	// Progress is called about once a second; it may be nil.
	Progress func(Progress)
}

// Progress is the progress of a load run.
type Progress struct {
	Elapsed  time.Duration
	Sent     int
	Answered int
	Failed   int
}

// Fault is the name of a fault that is injected during a run.
type Fault string

// The faults that can be injected.
const (
	FaultSlowEndpoint Fault = "slow-endpoint"
	FaultFailFast     Fault = "fail-fast"
	FaultKillAgent    Fault = "kill-agent"
	FaultKillOwner    Fault = "kill-owner"
	FaultStopOwner    Fault = "stop-owner"
	FaultLogDown      Fault = "log-down"
	FaultCancelWave   Fault = "cancel-wave"
	FaultBurst        Fault = "burst"
	FaultDrain        Fault = "drain"
)

// Faults returns all faults.
func Faults() []Fault {
	return []Fault{
		FaultSlowEndpoint, FaultFailFast, FaultKillAgent, FaultKillOwner, FaultStopOwner,
		FaultLogDown, FaultCancelWave, FaultBurst, FaultDrain,
	}
}

// ParseFaults returns the faults with the given names, and an error for an
// unknown name.
func ParseFaults(names []string) ([]Fault, error) {
	var faults []Fault
	for _, name := range names {
		f := Fault(strings.TrimSpace(name))
		if !slices.Contains(Faults(), f) {
			return nil, fmt.Errorf("unknown fault %q; known faults: %v", name, Faults())
		}
		faults = append(faults, f)
	}
	return faults, nil
}
