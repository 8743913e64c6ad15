package config

import (
	"marjoramlug.example/marjoramlug/sharedlog"
)

// Revision identifies one accepted version of a service's configuration: the
// offset of the record that set it. Zero stands for "does not exist".
type Revision = sharedlog.Offset

// Record is an operator's change of one service. Whether it wins depends on
// Service and Expect alone, never on the body, so that processes of different
// versions agree.
type Record struct {
	// ID is unique per record; a second record with the same ID is a duplicate.
	ID      string `cbor:"1,keyasint" json:"id"`
	Service string `cbor:"2,keyasint" json:"service"`
	// Schema is the schema version of Body.
	Schema int `cbor:"3,keyasint" json:"schema"`
	// Expect is the revision that the operator has seen.
	Expect Revision `cbor:"4,keyasint" json:"expect"`
	// Delete removes the service; Body is empty then.
	Delete bool `cbor:"5,keyasint,omitempty" json:"delete,omitempty"`
	// Body is the service in CBOR.
	Body []byte `cbor:"6,keyasint,omitempty" json:"-"`
	// Author names the operator, for the history.
	Author string `cbor:"7,keyasint,omitempty" json:"author,omitempty"`
	// At is the Unix time in milliseconds when the record was written.
	At int64 `cbor:"8,keyasint,omitempty" json:"at,omitempty"`
	// Owners and Region repeat the body's fields of the same names. They stand
	// outside of it because the assignment of shards follows from them, and must
	// be the same for a process that does not understand the body's schema.
	Owners int    `cbor:"9,keyasint,omitempty" json:"-"`
	Region string `cbor:"10,keyasint,omitempty" json:"-"`
}

// Outcome says what became of a record. The zero value says that nothing is known.
type Outcome struct {
	Accepted bool `json:"accepted"`
	// Revision is the record's own revision when accepted, else the revision
	// that won.
	Revision Revision `json:"revision"`
	// Winner is the ID of the record that won, when this one did not.
	Winner string `json:"winner,omitempty"`
}
