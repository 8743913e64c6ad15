package config

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"marjoramlug.example/marjoramlug/sharedlog"
)

// Snapshot is the state derived from the log up to and including the record at
// Covered. It lets a reader start after records that the log has dropped. Both
// states are compressed when the snapshot is encoded.
type Snapshot struct {
	Covered sharedlog.Offset
	// Config is a State encoded by State.Encode.
	Config []byte
	// Ownership is an ownership.State encoded by its Encode method.
	Ownership []byte
}

// maxStateBytes is the maximum size of a state after decompression, so that a
// corrupt snapshot can't exhaust memory.
const maxStateBytes = 64 << 20

// encodedSnapshot is the encoding of a Snapshot in the log.
type encodedSnapshot struct {
	Covered   sharedlog.Offset `cbor:"1,keyasint"`
	Config    []byte           `cbor:"2,keyasint,omitempty"`
	Ownership []byte           `cbor:"3,keyasint,omitempty"`
}

// MarshalCBOR implements cbor.Marshaler.
func (s Snapshot) MarshalCBOR() ([]byte, error) {
	configuration, err := compress(s.Config)
	if err != nil {
		return nil, err
	}
	ownership, err := compress(s.Ownership)
	if err != nil {
		return nil, err
	}
	return encMode.Marshal(encodedSnapshot{Covered: s.Covered, Config: configuration, Ownership: ownership})
}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (s *Snapshot) UnmarshalCBOR(data []byte) error {
	var e encodedSnapshot
	if err := cbor.Unmarshal(data, &e); err != nil {
		return err
	}
	configuration, err := decompress(e.Config, maxStateBytes)
	if err != nil {
		return err
	}
	ownership, err := decompress(e.Ownership, maxStateBytes)
	if err != nil {
		return err
	}
	*s = Snapshot{Covered: e.Covered, Config: configuration, Ownership: ownership}
	return nil
}

// Encode returns the snapshot in CBOR.
func (s Snapshot) Encode() ([]byte, error) { return s.MarshalCBOR() }

// DecodeSnapshot decodes a snapshot that was encoded by Encode.
func DecodeSnapshot(data []byte) (Snapshot, error) {
	var s Snapshot
	if err := cbor.Unmarshal(data, &s); err != nil {
		return Snapshot{}, fmt.Errorf("decode snapshot: %w", err)
	}
	return s, nil
}

// compressors pools writers, as each new one allocates over a megabyte.
var compressors = sync.Pool{New: func() any {
	return must(flate.NewWriter(nil, flate.BestSpeed))
}}

func compress(data []byte) ([]byte, error) {
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	var buf bytes.Buffer
	w.Reset(&buf)
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

func decompress(data []byte, limit int64) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(data))
	state, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, fmt.Errorf("decompress state: %w", err)
	}
	if int64(len(state)) > limit {
		return nil, fmt.Errorf("decompress state: more than %d bytes", limit)
	}
	return state, nil
}
