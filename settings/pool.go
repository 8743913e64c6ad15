package settings

import "time"

// PoolEntry is the settings of an entry of a pool.
type PoolEntry struct {
	Identity `yaml:",inline"`
	// Listen is the UDP address for agents and other entries; Advertise is what
	// they dial, by default Listen.
	Listen    string `yaml:"listen" validate:"required,listen_address"`
	Advertise string `yaml:"advertise,omitempty" validate:"omitempty,address"`
	// HTTP is the TCP address for callers, Readiness the one for the load
	// balancer's readiness checks.
	HTTP      string `yaml:"http" validate:"required,listen_address"`
	Readiness string `yaml:"readiness" validate:"required,listen_address"`
	// Metrics is the TCP address of the metrics; empty serves none.
	Metrics string `yaml:"metrics,omitempty" validate:"omitempty,listen_address"`
	Store   Store  `yaml:"store"`
	Timing  Timing `yaml:"timing"`
	Budget  Budget `yaml:"budget"`
	Intake  Intake `yaml:"intake,omitempty"`
	// Peers bounds the connections from agents and other entries. Default 64 and one for
	// each megabyte of budget.memory_mb, more than twice the agents and entries of the
	// largest fleet in use, as a restarted peer's former connection stays open for 3 s.
	Peers int `yaml:"peers,omitempty" validate:"gte=0"`
	// MaxWaiting bounds the queued tasks. Default 5000: ten seconds of work of
	// the largest entry in use.
	MaxWaiting int `yaml:"max_waiting,omitempty" validate:"gte=0"`
	// LoadSharing forwards jobs that this entry would refuse or answer late to entries with
	// free endpoints, and accepts such jobs from them. It has no effect in pools of up to
	// five entries, where all entries have the same endpoints. Default false.
	LoadSharing bool `yaml:"load_sharing,omitempty"`
	// Sharing divides an entry's capacity between priorities, queues and callers.
	Sharing Sharing `yaml:"sharing,omitempty"`
	// Reservations lets large tasks that fit nowhere reserve endpoints; see
	// docs/design/reservations.md. Default false.
	Reservations bool `yaml:"reservations,omitempty"`
}

// Sharing is the setting by which entries share capacity. It should be the same at all
// entries.
type Sharing struct {
	// Floor is the part of its max-min fair share that each queue is guaranteed, however much
	// is offered with a lower priority number. 0, the default, orders queues by their load
	// alone.
	Floor float64 `yaml:"floor,omitempty" validate:"gte=0,lte=1"`
}

// PoolAgent is the settings of an agent of a pool.
type PoolAgent struct {
	Identity `yaml:",inline"`
	// HTTP is the TCP address where the endpoint announces itself.
	HTTP string `yaml:"http" validate:"required,listen_address"`
	// Endpoint is the address of the endpoint on this machine.
	Endpoint string `yaml:"endpoint" validate:"required,address"`
	Metrics  string `yaml:"metrics,omitempty" validate:"omitempty,listen_address"`
	Store    Store  `yaml:"store"`
	Timing   Timing `yaml:"timing"`
	Budget   Budget `yaml:"budget"`
	Intake   Intake `yaml:"intake,omitempty"`
	// Fanout is the number of entries that the agent connects to when there are
	// more than five; otherwise it connects to all. Default 3: the agent still
	// gets tasks when any two of these entries fail at once. More connections
	// would cost the smallest entries CPU time that they need for bursts.
	Fanout int `yaml:"fanout,omitempty" validate:"gte=0"`
	// Evacuation is set where the operator evacuates availability zones: the agent follows
	// the requests itself and takes no tasks before it knows them.
	Evacuation *Evacuation `yaml:"evacuation,omitempty"`
}

// Evacuation holds how the evacuation of an availability zone is followed.
type Evacuation struct {
	// Within is the time after a request from which on no task may start in its zone. At
	// least 1s: a dead connection to the store must be replaced within it.
	Within time.Duration `yaml:"within" validate:"required,gte=1s"`
}

// Store locates the platform's store.
type Store struct {
	Address string `yaml:"address" validate:"required,address"`
}

// Timing holds the durations that all processes of a pool share.
type Timing struct {
	// Lease is how long a run may continue without a renewal.
	Lease time.Duration `yaml:"lease" validate:"required,gt=0"`
	// StopTime is the longest time that an endpoint takes to stop a run.
	StopTime time.Duration `yaml:"stop_time" validate:"required,gt=0"`
	// HeartbeatTimeout is the time after which the connection to a peer that has
	// sent nothing is closed. Default 400ms: four heartbeats.
	HeartbeatTimeout time.Duration `yaml:"silence,omitempty" validate:"gte=0"`
	// ResubmitDelay is the delay after which callers resubmit to another entry
	// when their connection breaks. It must exceed the sum of HeartbeatTimeout
	// and StopTime, so that the runs of a lost entry have ended by then.
	ResubmitDelay time.Duration `yaml:"retransmit" validate:"required,gt=0"`
	// GracePeriod is the time allowed for the graceful shutdown of a process.
	GracePeriod time.Duration `yaml:"grace" validate:"required,gt=0"`
}

// Budget bounds the resources of the machine that a process may use.
type Budget struct {
	// MemoryMB is the memory in megabytes.
	MemoryMB int `yaml:"memory_mb" validate:"required,gt=0"`
	// Descriptors is the number of file descriptors, for sockets and files; 0
	// sets no bound.
	Descriptors int `yaml:"descriptors,omitempty" validate:"gte=0"`
}

// Intake bounds what clients can make a process hold.
type Intake struct {
	// MemoryMB is the memory in megabytes for requests that are being read, and on an entry
	// half as much again for messages that are being received. Default an eighth of
	// budget.memory_mb, at least 1.
	MemoryMB int `yaml:"memory_mb,omitempty" validate:"gte=0"`
	// Timeout is the time within which the body of a request has to be received. Default
	// 10s: callers wait no longer for their answer.
	Timeout time.Duration `yaml:"timeout,omitempty" validate:"gte=0"`
	// Connections bounds the open TCP connections to all listeners of the process. Default
	// 8 for each megabyte of budget.memory_mb, so that the buffers of all take half of the
	// machine's memory at most, but no more than three quarters of budget.descriptors.
	Connections int `yaml:"connections,omitempty" validate:"gte=0"`
}

const (
	// intakeShare is the divisor of the memory budget that gives the default of
	// Intake.MemoryMB.
	intakeShare = 8
	// connectionsPerMB follows from 64 KiB for a connection, 32 KiB of them in the kernel.
	connectionsPerMB = 8
	// minPeers is the least default of PoolEntry.Peers.
	minPeers = 64
)

// ApplyDefaults fills unset fields.
func (i *Intake) ApplyDefaults(b Budget) {
	setDefault(&i.MemoryMB, max(b.MemoryMB/intakeShare, 1))
	setDefault(&i.Timeout, 10*time.Second)
	connections := max(connectionsPerMB*b.MemoryMB, connectionsPerMB)
	if b.Descriptors > 0 {
		connections = min(connections, max(b.Descriptors*3/4, 1))
	}
	setDefault(&i.Connections, connections)
}

// ApplyDefaults fills unset fields.
func (e *PoolEntry) ApplyDefaults() {
	e.Timing.ApplyDefaults()
	setDefault(&e.Advertise, e.Listen)
	setDefault(&e.MaxWaiting, 5000)
	e.Intake.ApplyDefaults(e.Budget)
	setDefault(&e.Peers, minPeers+max(e.Budget.MemoryMB, 0))
}

// ApplyDefaults fills unset fields.
func (a *PoolAgent) ApplyDefaults() {
	a.Timing.ApplyDefaults()
	setDefault(&a.Fanout, 3)
	a.Intake.ApplyDefaults(a.Budget)
}

// ApplyDefaults fills unset fields.
func (t *Timing) ApplyDefaults() { setDefault(&t.HeartbeatTimeout, 400*time.Millisecond) }
