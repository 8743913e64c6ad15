package message

// Resources is what a task needs, or what an endpoint offers.
type Resources struct {
	// MilliCPU is in thousandths of a core.
	MilliCPU int64 `cbor:"1,keyasint,omitempty"`
	// MemoryMB is in megabytes.
	MemoryMB int64 `cbor:"2,keyasint,omitempty"`
	// Accelerators counts accelerators.
	Accelerators int64 `cbor:"3,keyasint,omitempty"`
}

// Plus returns the sum of both.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Minus returns what is left of r without o; parts may become negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Times returns n times r.
func (r Resources) Times(n int64) Resources {
	return Resources{r.MilliCPU * n, r.MemoryMB * n, r.Accelerators * n}
}

// Fits reports whether r fits into room in every part.
func (r Resources) Fits(room Resources) bool {
	return r.MilliCPU <= room.MilliCPU && r.MemoryMB <= room.MemoryMB && r.Accelerators <= room.Accelerators
}

// Copies returns how often r fits into room, at most limit times.
func (r Resources) Copies(room Resources, limit int64) int64 {
	n := limit
	for _, part := range [][2]int64{
		{r.MilliCPU, room.MilliCPU}, {r.MemoryMB, room.MemoryMB}, {r.Accelerators, room.Accelerators},
	} {
		if need, has := part[0], part[1]; need > 0 {
			n = min(n, max(has, 0)/need)
		}
	}
	return max(n, 0)
}

// IsZero reports whether no part is set.
func (r Resources) IsZero() bool { return r == Resources{} }
