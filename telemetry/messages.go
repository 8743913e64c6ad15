package telemetry

import (
	"github.com/rcrowley/go-metrics"

	"marjoramlug.example/marjoramlug/message"
)

// Messages counts messages by kind. Counting needs no map lookup.
type Messages struct {
	sent, received kindCounters
}

// kindCounters holds one counter per kind, indexed by kind; index 0 counts the
// unknown kinds.
type kindCounters []metrics.Counter

// NewMessages registers the counters prefix.sent.KIND and prefix.received.KIND.
func NewMessages(r *Registry, prefix string) *Messages {
	return &Messages{
		sent:     newKindCounters(r, prefix+".sent."),
		received: newKindCounters(r, prefix+".received."),
	}
}

func newKindCounters(r *Registry, prefix string) kindCounters {
	counters := kindCounters{r.Counter(prefix + "unknown")}
	for _, kind := range message.Kinds() {
		counters = append(counters, r.Counter(prefix+kind.String()))
	}
	return counters
}

func (c kindCounters) inc(kind message.Kind) {
	if int(kind) >= len(c) {
		kind = 0
	}
	c[kind].Inc(1)
}

// Sent counts a sent message.
func (m *Messages) Sent(kind message.Kind) { m.sent.inc(kind) }

// Received counts a received message.
func (m *Messages) Received(kind message.Kind) { m.received.inc(kind) }
