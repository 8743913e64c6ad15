package sharedlog

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// RecordKind identifies what a log record's body contains.
type RecordKind uint8

// The kinds of log records. Numbers are never reused; readers skip kinds that
// they do not know.
const (
	KindConfig RecordKind = iota + 1
	KindOwnership
	KindSnapshot
)

type envelope struct {
	Kind RecordKind      `cbor:"1,keyasint"`
	Body cbor.RawMessage `cbor:"2,keyasint"`
}

// EncodeRecord returns a record's data: its kind and its body, encoded in CBOR.
func EncodeRecord(kind RecordKind, body any) ([]byte, error) {
	raw, err := cbor.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encode record body: %w", err)
	}
	return cbor.Marshal(envelope{Kind: kind, Body: raw})
}

// DecodeRecord returns a record's kind and its encoded body, which DecodeBody
// decodes.
func DecodeRecord(data []byte) (RecordKind, []byte, error) {
	var e envelope
	if err := cbor.Unmarshal(data, &e); err != nil {
		return 0, nil, fmt.Errorf("decode record: %w", err)
	}
	return e.Kind, e.Body, nil
}

// DecodeBody decodes a body returned by DecodeRecord into v.
func DecodeBody(body []byte, v any) error {
	if err := cbor.Unmarshal(body, v); err != nil {
		return fmt.Errorf("decode record body: %w", err)
	}
	return nil
}
