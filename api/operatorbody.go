package api

import (
	"encoding/binary"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"marjoramlug.example/marjoramlug/config"
	"marjoramlug.example/marjoramlug/kernel"
	"marjoramlug.example/marjoramlug/validation"
	"marjoramlug.example/marjoramlug/verdict"
)

// readService reads a service in YAML or JSON from a request's body.
func readService(w http.ResponseWriter, r *http.Request, name string) (config.Service, error) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxConfigBytes))
	if err != nil {
		return config.Service{}, verdict.Wrap(verdict.NotRun, verdict.ReasonInvalid, err)
	}
	return ParseService(data, name)
}

// ParseService decodes and checks a service in YAML or JSON, and checks that its
// policies are plug-ins of this binary. When name is set, the service's name
// must be the same or absent. All faults are returned together as
// validation.Faults.
func ParseService(data []byte, name string) (config.Service, error) {
	s, err := config.ParseYAML(data)
	faults := validation.FaultsOf(err)
	if err != nil && faults == nil {
		return config.Service{}, verdict.Wrap(verdict.NotRun, verdict.ReasonInvalid, err)
	}
	if s.Name == "" && name != "" {
		s.Name = name
		faults = slices.DeleteFunc(faults, func(f validation.Fault) bool { return f.Path == "name" })
	}
	if name != "" && s.Name != name {
		faults = append(faults, validation.Fault{Path: "name", Value: fmt.Sprintf("%q", s.Name), Expected: name + ", as in the URL"})
	}
	faults = append(faults, policyFaults(s.Policy)...)
	if len(faults) > 0 {
		return config.Service{}, faults
	}
	return s, nil
}

// policyFaults checks that the policies named are plug-ins of this binary.
func policyFaults(p config.Policy) validation.Faults {
	var faults validation.Faults
	for _, choice := range []struct{ kind, name string }{
		{"queueing", p.Queueing}, {"placement", p.Placement}, {"admission", p.Admission},
	} {
		ids := kernel.Modules(choice.kind)
		if choice.name == "" || slices.Contains(ids, kernel.ModuleID(choice.kind+"."+choice.name)) {
			continue
		}
		names := make([]string, len(ids))
		for i, id := range ids {
			names[i] = strings.TrimPrefix(string(id), choice.kind+".")
		}
		faults = append(faults, validation.Fault{
			Path:     "policy." + choice.kind,
			Value:    fmt.Sprintf("%q", choice.name),
			Expected: "one of " + strings.Join(names, ", "),
		})
	}
	return faults
}

// maxRecordKeyBytes bounds the Idempotency-Key of a change, as the configuration
// state keeps the IDs of many records.
const maxRecordKeyBytes = 64

// recordID returns the ID of a change's log record. A request that is repeated
// with the same Idempotency-Key gets the same ID and thus the outcome of the
// first. The ID contains a hash of the content, so that a second, different
// change under the same key is not taken for the first.
func recordID(r *http.Request, record config.Record) (string, error) {
	key := r.Header.Get(HeaderIdempotencyKey)
	if len(key) > maxRecordKeyBytes {
		return "", validation.Fault{
			Path: HeaderIdempotencyKey, Value: fmt.Sprintf("%d bytes", len(key)), Expected: fmt.Sprintf("at most %d", maxRecordKeyBytes),
		}
	}
	if key == "" {
		key = NewID()
	}
	d := xxhash.New()
	var expect [8]byte
	binary.LittleEndian.PutUint64(expect[:], uint64(record.Expect))
	_, _ = d.Write(expect[:])
	_, _ = d.WriteString(record.Service + "\x00")
	_, _ = d.Write(record.Body)
	return fmt.Sprintf("%s-%016x", key, d.Sum64()), nil
}
