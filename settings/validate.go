package settings

import (
	"errors"
	"fmt"
	"time"

	"marjoramlug.example/marjoramlug/validation"
)

// Fault is one invalid field of a settings file.
type Fault = validation.Fault

// Validate checks all fields and returns every fault found.
func (f *File) Validate() error {
	err := validation.Struct(f)
	faults := validation.FaultsOf(err)
	if err != nil && faults == nil {
		return err
	}
	return joinFaults(faults, f.crossFieldFaults())
}

// crossFieldFaults checks the rules that involve more than one field.
func (f *File) crossFieldFaults() validation.Faults {
	var faults validation.Faults
	if f.Entry == nil && f.Agent == nil && f.PoolEntry == nil && f.PoolAgent == nil {
		faults = append(faults, Fault{Path: "document", Value: "none", Expected: "a section entry, agent, pool_entry or pool_agent"})
	}
	if f.PoolEntry != nil {
		faults = append(faults, f.PoolEntry.Timing.crossFieldFaults("pool_entry.timing")...)
		faults = append(faults, f.PoolEntry.Intake.crossFieldFaults("pool_entry.intake", f.PoolEntry.Budget)...)
	}
	if f.PoolAgent != nil {
		faults = append(faults, f.PoolAgent.Timing.crossFieldFaults("pool_agent.timing")...)
		faults = append(faults, f.PoolAgent.Intake.crossFieldFaults("pool_agent.intake", f.PoolAgent.Budget)...)
	}
	if f.Entry != nil {
		o := f.Entry.Ownership
		faults = append(faults, checkBelow("entry.ownership.drift_margin", o.DriftMargin, "lease_ttl", o.LeaseTTL)...)
		faults = append(faults, checkBelow("entry.ownership.agent_timeout", o.AgentTimeout, "resubmit_window", o.ResubmitWindow)...)
		faults = append(faults, f.Entry.TLS.crossFieldFaults("entry.tls")...)
	}
	if f.Agent != nil {
		faults = append(faults, checkBelow("agent.heartbeat", f.Agent.Heartbeat, "accept_window", f.Agent.AcceptWindow)...)
		faults = append(faults, f.Agent.TLS.crossFieldFaults("agent.tls")...)
	}
	return faults
}

// crossFieldFaults checks that HeartbeatTimeout and StopTime together are less
// than ResubmitDelay, so that the runs of a lost entry have ended before its
// callers resubmit. The fault has the path of HeartbeatTimeout and the sum as its
// value.
func (t Timing) crossFieldFaults(path string) validation.Faults {
	return checkBelow(path+".silence", t.HeartbeatTimeout+t.StopTime, "retransmit", t.ResubmitDelay)
}

// crossFieldFaults checks that the limits are within the budget of the process. A budget
// that is invalid itself has its own fault.
func (i Intake) crossFieldFaults(path string, b Budget) validation.Faults {
	var faults validation.Faults
	check := func(field string, value int, budgetField string, budget int) {
		if budget > 0 && value > budget {
			faults = append(faults, Fault{
				Path: path + "." + field, Value: fmt.Sprint(value), Expected: fmt.Sprintf("at most budget.%s, which is %d", budgetField, budget),
			})
		}
	}
	check("memory_mb", i.MemoryMB, "memory_mb", b.MemoryMB)
	check("connections", i.Connections, "descriptors", b.Descriptors)
	return faults
}

// checkBelow checks that a duration is less than another one, which otherName
// names in the fault.
func checkBelow(path string, d time.Duration, otherName string, other time.Duration) validation.Faults {
	if d < other {
		return nil
	}
	expected := fmt.Sprintf("less than %s, which is %v", otherName, other)
	return validation.Faults{{Path: path, Value: d.String(), Expected: expected}}
}

// crossFieldFaults checks that either all PEM texts are set or none, each
// either inline or by an environment variable.
func (t TLS) crossFieldFaults(path string) validation.Faults {
	var faults validation.Faults
	for _, s := range t.sources() {
		set := *s.value != "" || s.env != ""
		if *s.value != "" && s.env != "" {
			faults = append(faults, Fault{Path: path + "." + s.key, Value: "both", Expected: s.key + " or " + s.key + "_env, not both"})
		}
		if !set && t != (TLS{}) {
			faults = append(faults, Fault{Path: path + "." + s.key, Value: "nothing", Expected: "a value, as other fields of tls are set"})
		}
	}
	return faults
}

// joinFaults returns the faults of two checks as one error, or nil.
func joinFaults(a, b validation.Faults) error {
	all := append(a, b...)
	if len(all) == 0 {
		return nil
	}
	return all
}

// ErrSettings is wrapped by the errors that Load and LoadWithoutSecrets return
// for a file's content.
var ErrSettings = errors.New("invalid settings")
