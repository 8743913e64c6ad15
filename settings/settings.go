// Package settings loads the YAML settings of the processes: defaults,
// validation, and secrets from the environment.
package settings

import "time"

// File is a settings file. Each process reads the sections that apply to it.
type File struct {
	Entry *Entry `yaml:"entry,omitempty"`
	Agent *Agent `yaml:"agent,omitempty"`
	// PoolEntry and PoolAgent are the processes of a pool, whose endpoints
	// declare the capacity that their tasks may use.
	PoolEntry *PoolEntry `yaml:"pool_entry,omitempty"`
	PoolAgent *PoolAgent `yaml:"pool_agent,omitempty"`
	// Log is the level from which on events are logged. It is unrelated to
	// Platform.Log, which names a plug-in.
	Log LogLevel `yaml:"log_level,omitempty" validate:"omitempty,oneof=debug info warn error"`
}

// LogLevel is the least severe level that is logged.
type LogLevel string

// Identity names a process and its location.
type Identity struct {
	// Name is unique among the processes of one role; an agent's name stays the
	// same over restarts.
	Name   string `yaml:"name" validate:"required,max=64"`
	Zone   string `yaml:"zone,omitempty" validate:"max=64"`
	Region string `yaml:"region,omitempty" validate:"max=64"`
}

// Entry is the settings of an entry.
type Entry struct {
	Identity `yaml:",inline"`
	// Listen is the UDP address for peers; Advertise is what peers dial, by
	// default the bound address.
	Listen    string `yaml:"listen" validate:"required,listen_address"`
	Advertise string `yaml:"advertise,omitempty" validate:"omitempty,address"`
	// Peers are the addresses of other entries, from which the state of the log
	// is requested when the log itself can't be read.
	Peers []string `yaml:"peers,omitempty" validate:"dive,hostname_port"`
	// HTTP is the TCP address for callers and operators.
	HTTP string `yaml:"http" validate:"required,listen_address"`
	// Platform locates the platform's log.
	Platform Platform `yaml:"platform"`
	// Tokens authorize callers and operators. When there are none, all calls are
	// allowed and the Caller header names the caller.
	Tokens    []Token   `yaml:"tokens,omitempty" validate:"dive"`
	Ownership Ownership `yaml:"ownership,omitempty"`
	Limits    Limits    `yaml:"limits,omitempty"`
	TLS       TLS       `yaml:"tls,omitempty"`
	// StopTimeout bounds a graceful shutdown. Default 30s.
	StopTimeout time.Duration `yaml:"stop_timeout,omitempty" validate:"gte=0"`
}

// Agent is the settings of an agent.
type Agent struct {
	Identity `yaml:",inline"`
	// HTTP is the loopback TCP address where endpoints announce themselves.
	HTTP string `yaml:"http" validate:"required,listen_address"`
	// Entries are the addresses of the entries to contact first.
	Entries []string `yaml:"entries" validate:"required,min=1,dive,address"`
	// Heartbeat is the interval between heartbeats to an owner. It must be less
	// than AcceptWindow. Default 1s.
	Heartbeat time.Duration `yaml:"heartbeat,omitempty" validate:"gte=0"`
	// AcceptWindow is how long after sending a message the agent accepts a start
	// that names the message's sequence number. It must equal the entries'
	// ownership.accept_window. Default 2.5s.
	AcceptWindow time.Duration `yaml:"accept_window,omitempty" validate:"gte=0"`
	// TaskTimeout bounds a run at an endpoint whose rule sets no timeout.
	// Default 30s.
	TaskTimeout time.Duration `yaml:"task_timeout,omitempty" validate:"gte=0"`
	// AnnounceTimeout is the time after which an endpoint that has not repeated
	// its announcement is dropped. Default 10s.
	AnnounceTimeout time.Duration `yaml:"announce_timeout,omitempty" validate:"gte=0"`
	// JournalWindow and JournalBytes bound the age and the total size of journal
	// entries of ended starts. Default 10m and 32 MiB.
	JournalWindow time.Duration `yaml:"journal_window,omitempty" validate:"gte=0"`
	JournalBytes  int64         `yaml:"journal_bytes,omitempty" validate:"gte=0"`
	// MaxAnswerBytes bounds an endpoint's response. Default 4 MiB.
	MaxAnswerBytes int64 `yaml:"max_answer_bytes,omitempty" validate:"gte=0"`
	// Connections bounds the open TCP connections to HTTP. Default a quarter of the process's
	// limit of descriptors, at most 1024: each endpoint keeps one or two.
	Connections int `yaml:"connections,omitempty" validate:"gte=0"`
	TLS         TLS `yaml:"tls,omitempty"`
	// StopTimeout bounds a graceful shutdown. Default 30s.
	StopTimeout time.Duration `yaml:"stop_timeout,omitempty" validate:"gte=0"`
}

// Platform locates the platform's log.
type Platform struct {
	// Log names the plug-in: http or memory.
	Log string `yaml:"log" validate:"required,oneof=http memory"`
	// URL is the log service's base URL for the http plug-in.
	URL string `yaml:"url,omitempty" validate:"required_if=Log http,omitempty,http_url"`
	// Timeout bounds one call to the log. Default 2s.
	Timeout time.Duration `yaml:"timeout,omitempty" validate:"gte=0"`
	// Retention is how long the log keeps records; snapshots are written well
	// before it ends. Default 24h.
	Retention time.Duration `yaml:"retention,omitempty" validate:"gte=0"`
	// PollInterval is the interval between reads at the end of the log. Default
	// 250ms.
	PollInterval time.Duration `yaml:"poll,omitempty" validate:"gte=0"`
}

// Token is the bearer token of a team.
type Token struct {
	// Team is the team to which the token's calls are attributed.
	Team string `yaml:"team" validate:"required,max=64"`
	// Operator allows operator calls.
	Operator bool `yaml:"operator,omitempty"`
	// Value is the secret; Env names an environment variable that holds it.
	Value string `yaml:"value,omitempty" secret:"true"`
	Env   string `yaml:"env,omitempty" validate:"required_without=Value"`
}

// Ownership holds the durations of the lease protocol.
type Ownership struct {
	// LeaseTTL is how long a renewal lasts. Default 4s.
	LeaseTTL time.Duration `yaml:"lease_ttl,omitempty" validate:"gte=0"`
	// DriftMargin is the allowance for clock drift that a process adds when it
	// waits for the lease of another one to expire. It must be less than
	// LeaseTTL. Default 250ms.
	DriftMargin time.Duration `yaml:"drift_margin,omitempty" validate:"gte=0"`
	// AcceptWindow is how long after sending a message an agent accepts a start
	// that names the message's sequence number. It must equal the agents'
	// accept_window. Default 2.5s.
	AcceptWindow time.Duration `yaml:"accept_window,omitempty" validate:"gte=0"`
	// OrphanTimeout is how long a member may leave its lease in the log unrenewed
	// before any other member may remove it. A time in which the log can't be read
	// or written restarts the period. Default 2h.
	OrphanTimeout time.Duration `yaml:"orphan_timeout,omitempty" validate:"gte=0"`
	// TakeoverTimeout bounds the wait for the agents' journals after a takeover.
	// Default 4s.
	TakeoverTimeout time.Duration `yaml:"takeover_timeout,omitempty" validate:"gte=0"`
	// AgentTimeout is how long an entry waits for a disconnected agent before it
	// treats the agent as lost. It must be less than ResubmitWindow. Default 3s.
	AgentTimeout time.Duration `yaml:"agent_timeout,omitempty" validate:"gte=0"`
	// ResubmitWindow is how long ended jobs are kept, so that a resubmission gets
	// their outcome. Default 10m.
	ResubmitWindow time.Duration `yaml:"resubmit_window,omitempty" validate:"gte=0"`
	// ClockSkew is the allowed difference between callers' and entries' clocks.
	// Default 2s.
	ClockSkew time.Duration `yaml:"clock_skew,omitempty" validate:"gte=0"`
}

// Limits bound the requests that an entry accepts and the answers that it keeps.
type Limits struct {
	// BodyBytes bounds a request's body. Default 16 MiB.
	BodyBytes int64 `yaml:"body_bytes,omitempty" validate:"gte=0"`
	// IntakeBytes bounds the memory for the bodies of all requests that are being received;
	// each takes up to twice its size. Default 256 MiB, at least 16 times BodyBytes.
	IntakeBytes int64 `yaml:"intake_bytes,omitempty" validate:"gte=0"`
	// Connections bounds the open TCP connections of callers, operators and monitoring. Default
	// half of the process's limit of descriptors, at most 4096.
	Connections int `yaml:"connections,omitempty" validate:"gte=0"`
	// HeaderBytes bounds a request's header. Default 64 KiB.
	HeaderBytes int `yaml:"header_bytes,omitempty" validate:"gte=0"`
	// TasksPerJob bounds the number of tasks of a job. Default 1900.
	TasksPerJob int `yaml:"tasks_per_job,omitempty" validate:"gte=0"`
	// AnswerBytes bounds the memory for the answers of ended jobs, per service.
	// Default 64 MiB.
	AnswerBytes int64 `yaml:"answer_bytes,omitempty" validate:"gte=0"`
}

// TLS holds the CA, certificate and key in PEM, each inline or in an environment
// variable. Either all three are set or none.
type TLS struct {
	CA      string `yaml:"ca,omitempty"`
	Cert    string `yaml:"cert,omitempty"`
	Key     string `yaml:"key,omitempty" secret:"true"`
	CAEnv   string `yaml:"ca_env,omitempty"`
	CertEnv string `yaml:"cert_env,omitempty"`
	KeyEnv  string `yaml:"key_env,omitempty"`
}

// Enabled reports whether mutual TLS is configured.
func (t TLS) Enabled() bool { return t.CA != "" || t.CAEnv != "" }
