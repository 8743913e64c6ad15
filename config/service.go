// Package config derives the current configuration from the operators' records in
// the platform's log. The result is deterministic: every reader that has applied
// the same prefix of the log holds the same state.
package config

import "time"

// Service is the configuration of one service in the newest schema version.
type Service struct {
	// Name identifies the service in URLs and messages. It holds letters, digits
	// and the characters - _ .
	Name string `yaml:"name" json:"name" cbor:"1,keyasint" validate:"required,max=64,service_name"`
	// Region restricts the owners to entries of one region; empty allows all.
	Region string `yaml:"region,omitempty" json:"region,omitempty" cbor:"2,keyasint,omitempty"`
	// Owners is the number of entries that share the service's shards.
	Owners int `yaml:"owners,omitempty" json:"owners,omitempty" cbor:"3,keyasint,omitempty" validate:"gte=0,lte=16"`
	// Rules classify requests; the first that matches applies.
	Rules []Rule `yaml:"rules,omitempty" json:"rules,omitempty" cbor:"4,keyasint,omitempty" validate:"dive"`
	// Limits bound queues, jobs and callers.
	Limits Limits `yaml:"limits,omitempty" json:"limits,omitzero" cbor:"5,keyasint,omitempty"`
	// Policy chooses the decision plug-ins.
	Policy Policy `yaml:"policy,omitempty" json:"policy,omitzero" cbor:"6,keyasint,omitempty"`
	// Teams holds quotas by team. Schema version 2.
	Teams []Team `yaml:"teams,omitempty" json:"teams,omitempty" cbor:"7,keyasint,omitempty" validate:"dive"`
}

// Rule classifies requests by method and path.
type Rule struct {
	// Name is the class under which requests are counted.
	Name string `yaml:"name" json:"name" cbor:"1,keyasint" validate:"required,max=64"`
	// Method matches the request's method; empty matches all.
	Method string `yaml:"method,omitempty" json:"method,omitempty" cbor:"2,keyasint,omitempty" validate:"omitempty,oneof=GET HEAD POST PUT PATCH DELETE OPTIONS"`
	// PathPrefix matches the start of the request's path; empty matches all.
	PathPrefix string `yaml:"path_prefix,omitempty" json:"path_prefix,omitempty" cbor:"3,keyasint,omitempty" validate:"omitempty,startswith=/"`
	// Urgent requests are started before others.
	Urgent bool `yaml:"urgent,omitempty" json:"urgent,omitempty" cbor:"4,keyasint,omitempty"`
	// Idempotent requests outside a job may be retried after they may have run.
	Idempotent bool `yaml:"idempotent,omitempty" json:"idempotent,omitempty" cbor:"5,keyasint,omitempty"`
	// Timeout bounds one run on an endpoint; 0 selects the agent's limit.
	Timeout time.Duration `yaml:"timeout,omitempty" json:"timeout,omitempty" cbor:"6,keyasint,omitempty" validate:"gte=0"`
}

// Limits bound a service's queues and jobs and the usage of one caller. A zero
// selects the default.
type Limits struct {
	// QueueTasks bounds the waiting tasks at each owner.
	QueueTasks int `yaml:"queue_tasks,omitempty" json:"queue_tasks,omitempty" cbor:"1,keyasint,omitempty" validate:"gte=0"`
	// QueueBytes bounds the waiting tasks' size at each owner, in bytes.
	QueueBytes int64 `yaml:"queue_bytes,omitempty" json:"queue_bytes,omitempty" cbor:"2,keyasint,omitempty" validate:"gte=0"`
	// TasksPerJob bounds a job's size.
	TasksPerJob int `yaml:"tasks_per_job,omitempty" json:"tasks_per_job,omitempty" cbor:"3,keyasint,omitempty" validate:"gte=0"`
	// CallerConcurrency bounds the tasks of one caller that run at a time.
	CallerConcurrency int `yaml:"caller_concurrency,omitempty" json:"caller_concurrency,omitempty" cbor:"4,keyasint,omitempty" validate:"gte=0"`
	// CallerRate bounds the tasks that one caller may submit, per second.
	CallerRate float64 `yaml:"caller_rate,omitempty" json:"caller_rate,omitempty" cbor:"5,keyasint,omitempty" validate:"gte=0"`
	// CallerBurst is how many tasks beyond the rate a caller may submit at once.
	CallerBurst int `yaml:"caller_burst,omitempty" json:"caller_burst,omitempty" cbor:"6,keyasint,omitempty" validate:"gte=0"`
}

// Policy names the decision plug-ins. An empty name selects the default of that
// kind.
type Policy struct {
	Queueing  string `yaml:"queueing,omitempty" json:"queueing,omitempty" cbor:"1,keyasint,omitempty"`
	Placement string `yaml:"placement,omitempty" json:"placement,omitempty" cbor:"2,keyasint,omitempty"`
	Admission string `yaml:"admission,omitempty" json:"admission,omitempty" cbor:"3,keyasint,omitempty"`
}

// Team is the quota of a group of callers.
type Team struct {
	Name string `yaml:"name" json:"name" cbor:"1,keyasint" validate:"required,max=64"`
	// Weight is the team's share relative to other teams; 0 counts as 1.
	Weight int `yaml:"weight,omitempty" json:"weight,omitempty" cbor:"2,keyasint,omitempty" validate:"gte=0,lte=1000"`
	// Concurrency bounds the team's running tasks; 0 means no limit.
	Concurrency int `yaml:"concurrency,omitempty" json:"concurrency,omitempty" cbor:"3,keyasint,omitempty" validate:"gte=0"`
	// Rate bounds the tasks submitted per second; 0 means no limit.
	Rate float64 `yaml:"rate,omitempty" json:"rate,omitempty" cbor:"4,keyasint,omitempty" validate:"gte=0"`
	// Burst is how many tasks beyond the rate may be submitted at once.
	Burst int `yaml:"burst,omitempty" json:"burst,omitempty" cbor:"5,keyasint,omitempty" validate:"gte=0"`
}
