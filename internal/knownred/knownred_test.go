package knownred

import (
	"strings"
	"testing"
)

// outcome records how a test under check ends.
type outcome struct {
	testing.TB
	name            string
	skipped, failed bool
}

func (o *outcome) Helper()              {}
func (o *outcome) Name() string         { return o.name }
func (o *outcome) Skipf(string, ...any) { o.skipped = true }
func (o *outcome) Error(...any)         { o.failed = true }

// TestSeenPassesOverListedTestsOnly guards against a fault that is passed over though it is
// not listed.
func TestSeenPassesOverListedTestsOnly(t *testing.T) {
	list, err := read()
	if err != nil {
		t.Fatal(err)
	}
	listed, _, _ := strings.Cut(list, " ")
	for _, c := range []struct {
		name            string
		skipped, failed bool
	}{
		{listed, true, false},
		{listed + "-other", false, true},
	} {
		o := &outcome{TB: t, name: c.name}
		Seen(o, "a fault")
		if o.skipped != c.skipped || o.failed != c.failed {
			t.Errorf("%s: skipped %t, failed %t", c.name, o.skipped, o.failed)
		}
	}
}
