package dispatch

import (
	"math/bits"

	"marjoramlug.example/marjoramlug/message"
)

// memoryStepBits is the number of leading bits of a memory size that rounding
// keeps. Steps are at most a sixteenth of the size.
const memoryStepBits = 5

// roundMemory rounds a size in bytes up, to limit the number of distinct needs.
// Tasks' needs and endpoints' memory are rounded alike, so a task that fits
// exactly still fits. A task that exceeds the memory by less than a step fits
// too, which is acceptable because declared sizes are estimates.
func roundMemory(size int64) int64 {
	drop := bits.Len64(uint64(max(size-1, 0))) - memoryStepBits
	if drop <= 0 {
		return size
	}
	step := int64(1) << drop
	return (size + step - 1) / step * step
}

func needOf(t *message.Task) Need {
	return Need{Memory: roundMemory(t.Memory), Accelerator: t.Accelerator}
}
