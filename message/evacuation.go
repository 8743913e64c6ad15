package message

// EvacuationState lists the availability zones in which no tasks are to be started. A
// missing one means that the sender does not know it, or has sent it before.
type EvacuationState struct {
	// Version orders states: the one with the higher version is the newer one.
	Version int64    `cbor:"1,keyasint,omitempty"`
	Zones   []string `cbor:"2,keyasint,omitempty"`
}
