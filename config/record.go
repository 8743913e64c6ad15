package config

import (
	"marjoramlug.example/marjoramlug/sharedlog"
)

// Revision identifies an accepted version of a service's configuration: it is the
// offset of the record that set it. Zero means that the service does not exist.
type Revision = sharedlog.Offset

// Record is an operator's change of one service. Whether it is accepted depends
// only on ID, Service and Expect, never on the body, so that processes of
// different versions agree.
type Record struct {
	// ID is unique per record. A second record with the same ID is a duplicate and
	// has the outcome of the first.
	ID      string `cbor:"1,keyasint" json:"id"`
	Service string `cbor:"2,keyasint" json:"service"`
	// Schema is the schema version of Body.
	Schema int `cbor:"3,keyasint" json:"schema"`
	// Expect is the revision on which the change is based. The record is accepted
	// only if it is still the current one.
	Expect Revision `cbor:"4,keyasint" json:"expect"`
	// Delete removes the service; Body is then empty.
	Delete bool `cbor:"5,keyasint,omitempty" json:"delete,omitempty"`
	// Body is the service in CBOR, as returned by EncodeBody.
	Body []byte `cbor:"6,keyasint,omitempty" json:"-"`
	// Author names the operator, for the history.
	Author string `cbor:"7,keyasint,omitempty" json:"author,omitempty"`
	// At is the Unix time in milliseconds when the record was written.
	At int64 `cbor:"8,keyasint,omitempty" json:"at,omitempty"`
	// Owners and Region repeat the body's fields of the same names. They are kept
	// outside the body because the assignment of shards depends on them and must be
	// the same in a process that does not understand the body's schema.
	Owners int    `cbor:"9,keyasint,omitempty" json:"-"`
	Region string `cbor:"10,keyasint,omitempty" json:"-"`
}

// Outcome is the result of applying a record. In the zero value the result is
// unknown.
type Outcome struct {
	Accepted bool `json:"accepted"`
	// Revision is the record's own revision if it was accepted, otherwise that of
	// the service's newest accepted change, or 0 if there is none.
	Revision Revision `json:"revision"`
	// Winner is the ID of the record that set Revision, if this one was not
	// accepted.
	Winner string `json:"winner,omitempty"`
}
