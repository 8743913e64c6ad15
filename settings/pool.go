package settings

import "time"

// PoolEntry is the settings of an entry of a pool.
type PoolEntry struct {
	Identity `yaml:",inline"`
	// Listen is the UDP address for agents and other entries; Advertise is what
	// they dial, by default Listen.
	Listen    string `yaml:"listen" validate:"required,listen_address"`
	Advertise string `yaml:"advertise,omitempty" validate:"omitempty,address"`
	// HTTP is the TCP address for callers, Readiness the one for the balancer's
	// question whether this entry takes connections.
	HTTP      string `yaml:"http" validate:"required,listen_address"`
	Readiness string `yaml:"readiness" validate:"required,listen_address"`
	// Metrics is the TCP address of the metrics; empty serves none.
	Metrics string `yaml:"metrics,omitempty" validate:"omitempty,listen_address"`
	Store   Store  `yaml:"store"`
	Timing  Timing `yaml:"timing"`
	Budget  Budget `yaml:"budget"`
	// MaxWaiting bounds the tasks that wait. Default 5000: ten seconds of work of
	// the users' largest entry.
	MaxWaiting int `yaml:"max_waiting,omitempty" validate:"gte=0"`
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
	// Fanout is the number of entries that the agent works for where there are more
	// than five; else it works for all. Default 3: any two
	// may be lost at once without an agent idling until it has dialled, and each
	// more costs the smallest entries processor time that bursts need.
	Fanout int `yaml:"fanout,omitempty" validate:"gte=0"`
}

// Store locates the platform's store.
type Store struct {
	Address string `yaml:"address" validate:"required,address"`
}

// Timing holds the bounds that a pool's processes share.
type Timing struct {
	// Lease is how long a run lives at most without a renewal.
	Lease time.Duration `yaml:"lease" validate:"required,gt=0"`
	// StopTime is how long an endpoint takes at most to stop a run.
	StopTime time.Duration `yaml:"stop_time" validate:"required,gt=0"`
	// Silence is how long a peer may say nothing before its connection ends.
	// Default 400ms: four heartbeats.
	Silence time.Duration `yaml:"silence,omitempty" validate:"gte=0"`
	// Retransmit is the pause after which callers submit again elsewhere when
	// their connection breaks. It exceeds Silence and StopTime together.
	Retransmit time.Duration `yaml:"retransmit" validate:"required,gt=0"`
	// Grace is how long a process may take to stop.
	Grace time.Duration `yaml:"grace" validate:"required,gt=0"`
}

// Budget is what the machine grants a process.
type Budget struct {
	// MemoryMB is the memory in megabytes.
	MemoryMB int `yaml:"memory_mb" validate:"required,gt=0"`
	// Descriptors is the number of descriptors for sockets and files; 0 sets no
	// bound.
	Descriptors int `yaml:"descriptors,omitempty" validate:"gte=0"`
}

// ApplyDefaults fills unset fields.
func (e *PoolEntry) ApplyDefaults() {
	e.Timing.ApplyDefaults()
	setDefault(&e.Advertise, e.Listen)
	setDefault(&e.MaxWaiting, 5000)
}

// ApplyDefaults fills unset fields.
func (a *PoolAgent) ApplyDefaults() {
	a.Timing.ApplyDefaults()
	setDefault(&a.Fanout, 3)
}

// ApplyDefaults fills unset fields.
func (t *Timing) ApplyDefaults() { setDefault(&t.Silence, 400*time.Millisecond) }
