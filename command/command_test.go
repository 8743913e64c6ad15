package command

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/alecthomas/kong"
	"github.com/matryer/is"

	"marjoramlug.example/marjoramlug/telemetry"
)

// TestSubcommandHelpHasExample checks all subcommands without subcommands of
// their own.
func TestSubcommandHelpHasExample(t *testing.T) {
	leaves := newParser(&cli{}).Model.Leaves(false)
	if len(leaves) < 15 {
		t.Fatalf("%d subcommands found", len(leaves))
	}
	for _, leaf := range leaves {
		if leaf.Help == "" {
			t.Errorf("%s: no help", leaf.FullPath())
		}
		if leaf.Name == "version" || leaf.Name == "completion" {
			continue // no arguments to show
		}
		if !strings.Contains(leaf.Detail, "marjoramlug "+commandPath(leaf)) {
			t.Errorf("%s: the help shows no example: %q", leaf.FullPath(), leaf.Detail)
		}
	}
}

// commandPath returns the path of a subcommand without its arguments.
func commandPath(node *kong.Node) string {
	var names []string
	for n := node; n != nil && n.Type == kong.CommandNode; n = n.Parent {
		names = append([]string{n.Name}, names...)
	}
	return strings.Join(names, " ")
}

func TestUsageErrorExitCode(t *testing.T) {
	is := is.New(t)
	is.Equal(exitCode(nil), ExitOK)
	is.Equal(exitCode(ErrUsage), ExitUsage)
	is.Equal(exitCode(errGuaranteeViolated), ExitFailure)
	_, err := loadCommand{Profile: "trials"}.options()
	is.Equal(exitCode(err), ExitUsage) // neither --embedded nor --server
	_, err = loadCommand{Profile: "trials", Embedded: true, Fault: []string{"flood"}}.options()
	is.Equal(exitCode(err), ExitUsage)
}

func TestScreenShowsServiceRates(t *testing.T) {
	is := is.New(t)
	previous := telemetry.Report{Gauges: map[string]int64{"service.trials.starts": 100}}
	current := telemetry.Report{
		Gauges:    map[string]int64{"service.trials.starts": 300, "service.trials.shards_owned": 16, "agents": 3},
		Summaries: []telemetry.Summary{{Name: "response_us", Who: "press", Class: "label", Count: 7, P99: 2500}},
	}
	var out bytes.Buffer
	is.NoErr(writeScreen(&out, "here", previous, current, 2*time.Second))
	is.True(strings.Contains(out.String(), "trials   16"))
	is.True(strings.Contains(out.String(), "100")) // starts per second
	is.True(strings.Contains(out.String(), "press"))
	is.True(strings.Contains(out.String(), "2.5"))
}
