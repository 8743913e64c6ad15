package dispatch

import "time"

// Options configures a core.
type Options struct {
	// Incarnation distinguishes the starts of this process from all others.
	Incarnation uint64
	// Service is the name of the service.
	Service string
	// Zone is the availability zone of the owner.
	Zone string
	// AgentTimeout is how long the core waits for a disconnected agent to
	// reconnect, and the heartbeat timeout of a connected one.
	AgentTimeout time.Duration
	// TakeoverTimeout bounds the wait for journals after a shard is acquired.
	TakeoverTimeout time.Duration
	// ResubmitWindow is how long after its first submission a caller may submit
	// a job again. Records of ended jobs are kept for twice as long, plus
	// ClockSkew.
	ResubmitWindow time.Duration
	// ClockSkew is the maximum difference between callers' clocks and this one.
	ClockSkew time.Duration
	// AnswerBytes limits the memory for answers of ended jobs.
	AnswerBytes int64
	// UnmetNeedTimeout is how long a task whose need no known endpoint meets stays
	// queued, waiting for endpoints to be announced, before it ends.
	UnmetNeedTimeout time.Duration
	// BatchDelay is how long cancellations and journal requests are collected
	// into one message per agent; 0 sends them within the step that causes them.
	BatchDelay time.Duration
	// NewQueue, NewPlacement and NewAdmission build the policies.
	NewQueue     func() Queue
	NewPlacement func() Placement
	NewAdmission func() Admission
}
