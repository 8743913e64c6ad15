package telemetry

import (
	"bytes"
	"strings"
	"testing"

	"github.com/phuslu/log"
)

// blocked is a reader that never reads.
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
		t.Errorf("%d lines for a budget of %d", lines, importantLines)
	}
	if omitted := l.TakeOmitted(); int(omitted)+lines != 10*importantLines+1 {
		t.Errorf("%d lines and %d left out", lines, omitted)
	}
	if !strings.Contains(out.String(), `"event":"stop"`) {
		t.Error("a line on the life cycle was left out")
	}
}

func TestEventLogNeverBlocks(t *testing.T) {
	b := blocked{make(chan struct{})}
	l := NewEventLog(b, "entry", log.InfoLevel)
	for range 2 * logQueue {
		l.Lifecycle().Str("event", "x").Msg("")
	}
	if l.TakeOmitted() == 0 {
		t.Error("nothing was left out for a reader that never reads")
	}
	close(b.release)
	l.Close()
}
