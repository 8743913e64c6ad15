package message

// Resources is an amount of CPU, memory and accelerators: the need of a task or
// the capacity of an endpoint.
type Resources struct {
	// MilliCPU is in thousandths of a core.
	MilliCPU int64 `cbor:"1,keyasint,omitempty"`
	// MemoryMB is in megabytes.
	MemoryMB int64 `cbor:"2,keyasint,omitempty"`
	// Accelerators is a number of accelerators.
	Accelerators int64 `cbor:"3,keyasint,omitempty"`
}

// Plus returns r + o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Minus returns r - o; components may become negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Times returns n * r.
func (r Resources) Times(n int64) Resources {
	return Resources{r.MilliCPU * n, r.MemoryMB * n, r.Accelerators * n}
}

// Fits reports whether every component of r is at most that of free.
func (r Resources) Fits(free Resources) bool {
	return r.MilliCPU <= free.MilliCPU && r.MemoryMB <= free.MemoryMB && r.Accelerators <= free.Accelerators
}

// Copies returns how many times r fits into free, between 0 and limit.
func (r Resources) Copies(free Resources, limit int64) int64 {
	n := limit
	for _, component := range [][2]int64{
		{r.MilliCPU, free.MilliCPU}, {r.MemoryMB, free.MemoryMB}, {r.Accelerators, free.Accelerators},
	} {
		if need, available := component[0], component[1]; need > 0 {
			n = min(n, max(available, 0)/need)
		}
	}
	return max(n, 0)
}

// IsZero reports whether all components are zero.
func (r Resources) IsZero() bool { return r == Resources{} }
