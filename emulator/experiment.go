// Package emulator plays a pool in simulated time: the cores of entries and agents
// with models of endpoints, callers, the network and faults. A run is repeatable
// from its seed.
package emulator

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"time"

	"marjoramlug.example/marjoramlug/validation"
)

// Experiment describes a fleet, its load and the faults that strike it.
type Experiment struct {
	// Length is how long callers submit jobs; the run ends when all are answered.
	Length time.Duration `yaml:"length" validate:"gt=0,lte=600000000000"`
	// Seeds are the seeds to play, one run each.
	Seeds []int64 `yaml:"seeds" validate:"required,min=1,max=1000,dive,gte=0"`
	Fleet Fleet   `yaml:"fleet"`
	// Classes are the kinds of job; each is a queue of its own.
	Classes []Class `yaml:"classes" validate:"required,min=1,dive"`
	Faults  []Fault `yaml:"faults,omitempty" validate:"dive"`
	// Policies are the policies to compare: PolicyProduct and the others. Default: product
	// and perfect and, if SharingFloor is set, sharing.
	Policies []string `yaml:"policies,omitempty" validate:"unique,dive,oneof=product perfect reservations sharing"`
	// SharingFloor is the setting sharing.floor of entries under the policy sharing.
	SharingFloor float64 `yaml:"sharing_floor,omitempty" validate:"gte=0,lte=1"`
	// Waves let the load of the zones oscillate, out of phase.
	Waves Waves `yaml:"waves,omitempty"`
}

// Waves describe how the callers' share of each zone oscillates; the phases of the zones
// are spread over the period.
type Waves struct {
	Amplitude float64       `yaml:"amplitude,omitempty" validate:"gte=0,lte=1"`
	Period    time.Duration `yaml:"period,omitempty" validate:"gte=0,lte=600000000000"`
}

// Fleet describes entries, agents and the network between them.
type Fleet struct {
	Entries []EntryGroup    `yaml:"entries" validate:"required,min=1,dive"`
	Agents  []EndpointGroup `yaml:"agents" validate:"required,min=1,dive"`
	// Fanout is the number of entries that an agent works for in a pool of more than
	// five. Default 3.
	Fanout int `yaml:"fanout,omitempty" validate:"gte=0,lte=1000"`
	// Delay is the one-way delay between an entry and an agent. Default 1 ms.
	Delay time.Duration `yaml:"delay,omitempty" validate:"gte=0,lte=1000000000"`
	// LoadSharing lets entries forward jobs to each other.
	LoadSharing bool `yaml:"load_sharing,omitempty"`
}

// EntryGroup is a number of entries of the same size.
type EntryGroup struct {
	Count int `yaml:"count" validate:"gt=0,lte=1000"`
	// Cores is the processor that one entry has, in cores.
	Cores float64 `yaml:"cores" validate:"gt=0,lte=64"`
	// Weight is the share of the callers that one entry gets, relative to others.
	// Default 1.
	Weight float64 `yaml:"weight,omitempty" validate:"gte=0,lte=1000"`
	// Zone is the availability zone of the entries.
	Zone string `yaml:"zone,omitempty" validate:"max=64"`
}

// EndpointGroup is a number of agents with endpoints of the same kind.
type EndpointGroup struct {
	Count int `yaml:"count" validate:"gt=0,lte=10000"`
	// Cores is the capacity of the endpoint.
	Cores float64 `yaml:"cores" validate:"gt=0,lte=1024"`
	// Slowness multiplies run times. Default 1.
	Slowness float64 `yaml:"slowness,omitempty" validate:"gte=0,lte=100"`
}

// Class is a kind of job.
type Class struct {
	Name string `yaml:"name" validate:"required,max=64"`
	// Rate is the number of jobs a second.
	Rate   float64 `yaml:"rate" validate:"gt=0,lte=100000"`
	Urgent bool    `yaml:"urgent,omitempty"`
	// Priority is the priority of the queue among those that are not urgent, Callers the
	// number of its callers. The first of them submits HotShare of the jobs, if set, and
	// the others submit the rest in equal parts.
	Priority int     `yaml:"priority,omitempty" validate:"gte=0,lte=7"`
	Callers  int     `yaml:"callers,omitempty" validate:"gte=0,lte=100000"`
	HotShare float64 `yaml:"hot_share,omitempty" validate:"gte=0,lte=1"`
	// Tasks is the mean number of tasks, Cores what one task takes, Work its mean run
	// time on an endpoint of slowness 1.
	Tasks int           `yaml:"tasks" validate:"gt=0,lte=1900"`
	Cores float64       `yaml:"cores" validate:"gt=0,lte=1024"`
	Work  time.Duration `yaml:"work" validate:"gt=0,lte=60000000000"`
	// MaxTasks bounds the number of tasks; 0 sets no bound.
	MaxTasks int `yaml:"max_tasks,omitempty" validate:"gte=0,lte=1900"`
	// Spread is the standard deviation of the logarithm of run times, EstimateError
	// the same of the callers' estimates. Defaults 0.4 and 0.3.
	Spread        float64 `yaml:"spread,omitempty" validate:"gte=0,lte=2"`
	EstimateError float64 `yaml:"estimate_error,omitempty" validate:"gte=0,lte=2"`
	// Stretch and Slack set the objective of a job: Stretch times the run time of its
	// longest task, and Slack. Defaults 1.6 and 60 ms.
	Stretch float64       `yaml:"stretch,omitempty" validate:"gte=0,lte=100"`
	Slack   time.Duration `yaml:"slack,omitempty" validate:"gte=0,lte=60000000000"`
	// Value is the worth of a job in time. A job within three times its objective
	// earns a fifth of it.
	Value float64 `yaml:"value" validate:"gt=0"`
}

// Fault strikes a share of the fleet for some time.
type Fault struct {
	At  time.Duration `yaml:"at" validate:"gte=0"`
	For time.Duration `yaml:"for,omitempty" validate:"gte=0,lte=600000000000"`
	// Kind is kill_entries, kill_agents, crash_endpoints, slow_endpoints,
	// unanswered_calls, burst, deadly_jobs or move_callers. A deadly job crashes each endpoint that
	// starts its first task. move_callers moves a share of the callers of the other zones
	// to one zone.
	Kind string `yaml:"kind" validate:"required,oneof=kill_entries kill_agents crash_endpoints slow_endpoints unanswered_calls burst deadly_jobs move_callers"`
	// Share is the share of the entries or agents that are struck, or of a class's
	// jobs that are deadly. Default 1.
	Share float64 `yaml:"share,omitempty" validate:"gte=0,lte=1"`
	// Factor is how many times slower endpoints run or how many times more jobs come;
	// of unanswered_calls it is the share of calls.
	Factor float64 `yaml:"factor,omitempty" validate:"gte=0,lte=100"`
	// Class is the class of a burst or of deadly jobs; all classes if empty.
	Class string `yaml:"class,omitempty"`
	// Zone is the zone that callers move to.
	Zone string `yaml:"zone,omitempty"`
}

// Load reads an experiment from a YAML file and checks it.
func Load(path string) (*Experiment, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read experiment: %w", err)
	}
	x, err := Parse(data)
	if err != nil {
		return nil, fmt.Errorf("%s:\n%w", path, err)
	}
	return x, nil
}

// Parse decodes and checks an experiment and sets its defaults. It returns all
// faults together, each with the path of its field.
func Parse(data []byte) (*Experiment, error) {
	x := new(Experiment)
	if err := validation.DecodeAndCheck(data, x, x.setDefaults); err != nil {
		return nil, err
	}
	if faults := x.impossible(); len(faults) > 0 {
		return nil, faults
	}
	return x, nil
}

func (x *Experiment) setDefaults() {
	if len(x.Policies) == 0 {
		x.Policies = []string{PolicyProduct, PolicyPerfect}
		if x.SharingFloor > 0 {
			x.Policies = append(x.Policies, PolicySharing)
		}
	}
	x.Fleet.Fanout = cmp.Or(x.Fleet.Fanout, agentSettings().Fanout)
	x.Fleet.Delay = cmp.Or(x.Fleet.Delay, time.Millisecond)
	for i := range x.Fleet.Entries {
		g := &x.Fleet.Entries[i]
		g.Weight = cmp.Or(g.Weight, 1)
	}
	for i := range x.Fleet.Agents {
		g := &x.Fleet.Agents[i]
		g.Slowness = cmp.Or(g.Slowness, 1)
	}
	for i := range x.Classes {
		c := &x.Classes[i]
		c.Spread = cmp.Or(c.Spread, 0.4)
		c.EstimateError = cmp.Or(c.EstimateError, 0.3)
		c.Stretch = cmp.Or(c.Stretch, 1.6)
		c.Slack = cmp.Or(c.Slack, 60*time.Millisecond)
	}
	for i := range x.Faults {
		f := &x.Faults[i]
		f.Share = cmp.Or(f.Share, 1)
	}
}

// agentCount returns the number of agents of all groups.
func (x *Experiment) agentCount() int {
	n := 0
	for _, g := range x.Fleet.Agents {
		n += g.Count
	}
	return n
}

// impossible returns the faults that concern several fields.
func (x *Experiment) impossible() validation.Faults {
	var faults validation.Faults
	if x.SharingFloor == 0 && slices.Contains(x.Policies, PolicySharing) {
		faults = append(faults, validation.Fault{
			Path: "sharing_floor", Value: "0", Expected: "above 0 for the policy " + PolicySharing,
		})
	}
	largest := 0.0
	for _, g := range x.Fleet.Agents {
		largest = max(largest, g.Cores)
	}
	names := map[string]bool{}
	for i, c := range x.Classes {
		if c.Cores > largest {
			faults = append(faults, validation.Fault{
				Path: fmt.Sprintf("classes[%d].cores", i), Value: fmt.Sprint(c.Cores),
				Expected: fmt.Sprintf("at most %v, the capacity of the largest endpoint", largest),
			})
		}
		if names[c.Name] {
			faults = append(faults, validation.Fault{Path: fmt.Sprintf("classes[%d].name", i), Value: c.Name, Expected: "a name that no other class has"})
		}
		names[c.Name] = true
	}
	for i, f := range x.Faults {
		path := fmt.Sprintf("faults[%d].", i)
		if (f.Kind == "burst" || f.Kind == "deadly_jobs") && f.Class != "" && !names[f.Class] {
			faults = append(faults, validation.Fault{Path: path + "class", Value: f.Class, Expected: "the name of a class"})
		}
		needsFactor := f.Kind == "slow_endpoints" || f.Kind == "unanswered_calls" || f.Kind == "burst"
		if f.Factor == 0 && needsFactor {
			faults = append(faults, validation.Fault{Path: path + "factor", Value: "0", Expected: "more than 0 for " + f.Kind})
		}
		if f.Kind == "unanswered_calls" && f.Factor > 1 {
			faults = append(faults, validation.Fault{Path: path + "factor", Value: fmt.Sprint(f.Factor), Expected: "a share of 0 to 1"})
		}
	}
	return faults
}
