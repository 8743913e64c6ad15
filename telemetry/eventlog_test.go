package telemetry

import (
	"bytes"
	"strings"
	"testing"

	"github.com/phuslu/log"
)

// blockedWriter is a log writer that blocks until release is closed.
type blockedWriter struct{ release chan struct{} }

func (b blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

func TestEventLogRateLimit(t *testing.T) {
	var out bytes.Buffer
	l := NewEventLog(&out, "entry", log.InfoLevel)
	for range 10 * failureLinesPerSecond {
		l.Failure().Str("event", "refused").Msg("")
	}
	l.Lifecycle().Str("event", "stop").Msg("")
	l.Close()
	lines := strings.Count(out.String(), "\n")
	if lines < failureLinesPerSecond || lines > 2*failureLinesPerSecond {
		t.Errorf("%d lines written with a rate limit of %d", lines, failureLinesPerSecond)
	}
	if omitted := l.TakeOmitted(); int(omitted)+lines != 10*failureLinesPerSecond+1 {
		t.Errorf("%d lines written and %d omitted, which is not the number of lines logged", lines, omitted)
	}
	if !strings.Contains(out.String(), `"event":"stop"`) {
		t.Error("a lifecycle line was omitted")
	}
}

func TestEventLogNeverBlocks(t *testing.T) {
	b := blockedWriter{make(chan struct{})}
	l := NewEventLog(b, "entry", log.InfoLevel)
	for range 2 * maxQueuedLines {
		l.Lifecycle().Str("event", "x").Msg("")
	}
	if l.TakeOmitted() == 0 {
		t.Error("no line was omitted although the writer blocked")
	}
	close(b.release)
	l.Close()
}

// TestQueuedLinesAreBoundedInBytes guards against the memory of long lines, such as refusals of
// requests with long paths, while the output is slow.
func TestQueuedLinesAreBoundedInBytes(t *testing.T) {
	b := blockedWriter{make(chan struct{})}
	l := NewEventLog(b, "entry", log.InfoLevel)
	for range maxQueuedLines {
		l.Lifecycle().Str("event", "x").Str("path", strings.Repeat("x", 16<<10)).Msg("")
	}
	if queued := l.queue.bytes.Load(); queued > maxQueuedBytes {
		t.Errorf("%d bytes wait for a blocked output", queued)
	}
	if l.TakeOmitted() == 0 {
		t.Error("no line was omitted although the writer blocked")
	}
	close(b.release)
	l.Close()
	if queued := l.queue.bytes.Load(); queued != 0 {
		t.Errorf("%d bytes wait after all lines were written", queued)
	}
}
