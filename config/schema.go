package config

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// The schema versions of a service's body. Version 2 adds team quotas.
const (
	SchemaV1 = 1
	SchemaV2 = 2
	// CurrentSchema is the newest version that this code understands.
	CurrentSchema = SchemaV2
)

// ErrSchema is returned for a body of an unknown schema version.
var ErrSchema = errors.New("unknown schema version")

var encMode = must(cbor.CoreDetEncOptions().EncMode())

func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

// bodyV1 is the body of schema version 1.
type bodyV1 struct {
	Name   string `cbor:"1,keyasint"`
	Region string `cbor:"2,keyasint,omitempty"`
	Owners int    `cbor:"3,keyasint,omitempty"`
	Rules  []Rule `cbor:"4,keyasint,omitempty"`
	Limits Limits `cbor:"5,keyasint,omitempty"`
	Policy Policy `cbor:"6,keyasint,omitempty"`
}

func (b bodyV1) service() Service {
	return Service{
		Name: b.Name, Region: b.Region, Owners: b.Owners,
		Rules: b.Rules, Limits: b.Limits, Policy: b.Policy,
	}
}

func bodyV1Of(s Service) bodyV1 {
	return bodyV1{
		Name: s.Name, Region: s.Region, Owners: s.Owners,
		Rules: s.Rules, Limits: s.Limits, Policy: s.Policy,
	}
}

// LowestSchema returns the lowest schema version that can express the service.
// Changes are written in that version, so that processes that have not yet been
// upgraded understand them.
func LowestSchema(s Service) int {
	if len(s.Teams) > 0 {
		return SchemaV2
	}
	return SchemaV1
}

// EncodeBody encodes a service in the given schema version. It returns ErrSchema
// for an unknown version, and another error if the version can't express the
// service.
func EncodeBody(schema int, s Service) ([]byte, error) {
	switch {
	case schema == SchemaV2:
		return encMode.Marshal(s)
	case schema != SchemaV1:
		return nil, fmt.Errorf("%w %d", ErrSchema, schema)
	case LowestSchema(s) > SchemaV1:
		return nil, fmt.Errorf("schema version %d can't express teams", SchemaV1)
	default:
		return encMode.Marshal(bodyV1Of(s))
	}
}

// DecodeBody decodes a service of the given schema version. It returns ErrSchema
// for an unknown version.
func DecodeBody(schema int, data []byte) (Service, error) {
	switch schema {
	case SchemaV1:
		var b bodyV1
		err := cbor.Unmarshal(data, &b)
		return b.service(), err
	case SchemaV2:
		var s Service
		err := cbor.Unmarshal(data, &s)
		return s, err
	default:
		return Service{}, fmt.Errorf("%w %d", ErrSchema, schema)
	}
}
