package telemetry

import (
	"bytes"
	"strings"
	"testing"

	"github.com/phuslu/log"
)

// blocked is a log writer that blocks until release is closed.
type blocked struct{ release chan struct{} }

func (b blocked) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

func TestEventLogKeepsItsBudget(t *testing.T) {
	var out bytes.Buffer
	l := NewEventLog(&out, "entry", log.InfoLevel)
	for range 10 * importantLines {
		l.Failure().Str("event", "refused").Msg("")
	}
	l.Lifecycle().Str("event", "stop").Msg("")
	l.Close()
	lines := strings.Count(out.String(), "\n")
	if lines < importantLines || lines > 2*importantLines {
		t.Errorf("%d lines written with a rate limit of %d", lines, importantLines)
	}
	if omitted := l.TakeOmitted(); int(omitted)+lines != 10*importantLines+1 {
		t.Errorf("%d lines written and %d omitted, which is not the number of lines logged", lines, omitted)
	}
	if !strings.Contains(out.String(), `"event":"stop"`) {
		t.Error("a lifecycle line was omitted")
	}
}

func TestEventLogNeverBlocks(t *testing.T) {
	b := blocked{make(chan struct{})}
	l := NewEventLog(b, "entry", log.InfoLevel)
	for range 2 * logQueue {
		l.Lifecycle().Str("event", "x").Msg("")
	}
	if l.TakeOmitted() == 0 {
		t.Error("no line was omitted although the writer blocked")
	}
	close(b.release)
	l.Close()
}
