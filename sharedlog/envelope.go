package sharedlog

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// RecordKind says which part of the system a log record belongs to.
type RecordKind uint8

// The kinds of records on the system's stream. Numbers are never reused; a
// reader skips kinds that it does not know.
const (
	KindConfig RecordKind = iota + 1
	KindOwnership
	KindSnapshot
)

type envelope struct {
	Kind RecordKind      `cbor:"1,keyasint"`
	Body cbor.RawMessage `cbor:"2,keyasint"`
}

// Seal encodes a record of the given kind.
func Seal(kind RecordKind, body any) ([]byte, error) {
	raw, err := cbor.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encode record body: %w", err)
	}
	return cbor.Marshal(envelope{Kind: kind, Body: raw})
}

// Unseal decodes a record's kind; the body is decoded by its owner with
// DecodeBody.
func Unseal(data []byte) (RecordKind, []byte, error) {
	var e envelope
	if err := cbor.Unmarshal(data, &e); err != nil {
		return 0, nil, fmt.Errorf("decode record: %w", err)
	}
	return e.Kind, e.Body, nil
}

// DecodeBody decodes the body that Unseal returned into v.
func DecodeBody(body []byte, v any) error {
	if err := cbor.Unmarshal(body, v); err != nil {
		return fmt.Errorf("decode record body: %w", err)
	}
	return nil
}
