package message

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// ShardOf returns the shard of a service to which a job belongs, by xxHash
// (XXH64) of service, team, caller and job ID.
func ShardOf(service string, key JobKey) int {
	d := xxhash.New()
	for _, part := range []string{service, key.Team, key.Caller, key.Job} {
		writeString(d, part)
	}
	return int(d.Sum64() % ShardsPerService)
}

// Fingerprint returns a hash (XXH64) of a job's content. It distinguishes a
// resubmission from a job with other content under the same job ID.
func Fingerprint(tasks []Task) uint64 {
	d := xxhash.New()
	for i := range tasks {
		hashTask(d, &tasks[i])
	}
	return d.Sum64()
}

func hashTask(d *xxhash.Digest, t *Task) {
	writeString(d, t.Method)
	writeString(d, t.Path)
	writeNumber(d, uint64(len(t.Header)))
	for _, h := range t.Header {
		writeString(d, h.Name)
		writeString(d, h.Value)
	}
	writeNumber(d, uint64(len(t.Body)))
	_, _ = d.Write(t.Body)
	writeNumber(d, uint64(t.Memory))
	writeString(d, t.Accelerator)
}

func writeString(d *xxhash.Digest, s string) {
	writeNumber(d, uint64(len(s)))
	_, _ = d.WriteString(s)
}

func writeNumber(d *xxhash.Digest, n uint64) {
	var buf [8]byte
	binary.LittleEndian.PutUint64(buf[:], n)
	_, _ = d.Write(buf[:])
}
