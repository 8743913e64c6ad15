package command

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"marjoramlug.example/marjoramlug/api"
	"marjoramlug.example/marjoramlug/config"
	"marjoramlug.example/marjoramlug/ownership"
	"marjoramlug.example/marjoramlug/verdict"
)

// fakeEntry applies published records immediately to its own state.
type fakeEntry struct {
	*config.State
	members []ownership.Member
}

func (f *fakeEntry) Publish(_ context.Context, r config.Record) (config.Outcome, error) {
	return f.Apply(f.Applied()+1, r), nil
}

func (f *fakeEntry) Ready() bool { return true }

func (f *fakeEntry) Members() []ownership.Member { return f.members }

func (f *fakeEntry) Remove(context.Context, ownership.MemberID, string) error {
	f.members = nil
	return nil
}

// commandHarness runs command lines against a fake entry, in a temporary working
// directory.
type commandHarness struct {
	t     *testing.T
	entry *fakeEntry
}

func newHarness(t *testing.T) *commandHarness {
	entry := &fakeEntry{State: config.NewState(), members: []ownership.Member{{ID: "entry-1", Zone: "a"}}}
	mux := http.NewServeMux()
	api.NewOperatorHandler(entry, entry, api.NewAuthenticator(nil)).Register(mux)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	t.Setenv("MARJORAMLUG_SERVER", server.URL)
	t.Setenv("USER", "ana")
	t.Chdir(t.TempDir())
	return &commandHarness{t: t, entry: entry}
}

func (h *commandHarness) write(name, text string) {
	h.t.Helper()
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		h.t.Fatal(err)
	}
}

// run returns the exit code and the standard output of a command line.
func (h *commandHarness) run(line string) (int, string) {
	h.t.Helper()
	out, err := os.Create(filepath.Join(h.t.TempDir(), "out"))
	if err != nil {
		h.t.Fatal(err)
	}
	defer out.Close()
	saved := os.Stdout
	os.Stdout = out
	code := Main(strings.Fields(line))
	os.Stdout = saved
	if _, err := out.Seek(0, io.SeekStart); err != nil {
		h.t.Fatal(err)
	}
	printed, err := io.ReadAll(out)
	if err != nil {
		h.t.Fatal(err)
	}
	// The parser makes file paths absolute.
	folder, err := os.Getwd()
	if err != nil {
		h.t.Fatal(err)
	}
	return code, strings.ReplaceAll(string(printed), folder+"/", "")
}

func (h *commandHarness) expect(line string, wantCode int, wantOutput string) {
	h.t.Helper()
	code, output := h.run(line)
	if code != wantCode || output != wantOutput {
		h.t.Fatalf("%s: got code %d and %q, want %d and %q", line, code, output, wantCode, wantOutput)
	}
}

func TestConfigCommands(t *testing.T) {
	h := newHarness(t)
	h.write("trials.yaml", "name: trials\nowners: 1\n")
	h.expect("config check trials.yaml", ExitOK, "trials.yaml: valid, service trials, schema version 1\n")
	h.expect("config apply trials.yaml", ExitOK, "trials: revision 1 accepted\n")
	h.expect("config apply trials.yaml", ExitOK, "trials: revision 1 in force already\n")
	h.expect("config apply trials.yaml --expect 0", ExitConflict, "")
	h.expect("config diff trials.yaml", ExitOK, "")
	h.write("trials.yaml", "name: trials\nowners: 2\n")
	h.expect("config diff trials.yaml", ExitDifferent, "~ owners: 1 -> 2\n")
	h.expect("config apply trials.yaml --expect 1", ExitOK, "trials: revision 3 accepted\n")
	h.expect("config get trials", ExitOK, "# Revision 3, schema version 1.\nname: trials\nowners: 2\n")
	h.expect("config get", ExitOK, "SERVICE  REVISION  SCHEMA  UNDERSTOOD\ntrials   3         1       true\n")
	h.expect("config get nothing", ExitFailure, "")
	h.expect("config delete trials --expect 1", ExitConflict, "")
	h.expect("config delete trials --expect 3", ExitOK, "trials: revision 5 deleted\n")

	is := is.New(t)
	code, history := h.run("config history trials")
	is.Equal(code, ExitOK)
	lines := strings.Split(strings.TrimSpace(history), "\n")
	is.Equal(len(lines), 4) // heading, two changes and the deletion
	is.True(strings.Contains(lines[3], "default/ana"))
	is.True(strings.Contains(lines[3], "deleted"))
}

func TestRetriesUseOneIdempotencyKey(t *testing.T) {
	lost := verdict.New(verdict.MayHaveRun, verdict.ReasonTimeout, "no answer")
	refused := verdict.New(verdict.NotRun, verdict.ReasonUnavailable, "log down")
	conflict := verdict.New(verdict.NotRun, verdict.ReasonConflict, "another change came first")
	cases := []struct {
		name    string
		answers []error
		sent    int
		code    int
	}{
		{"answered", []error{nil}, 1, ExitOK},
		{"lost once", []error{lost, nil}, 2, ExitOK},
		{"lost always", []error{lost, lost, lost, nil}, changeAttempts, ExitFailure},
		{"refused", []error{refused, nil}, 1, ExitFailure},
		{"conflict after a loss", []error{lost, conflict}, 2, ExitConflict},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				sent, keys := 0, map[string]bool{}
				_, err := resolveChange(t.Context(), func(key string) (api.ConfigChange, error) {
					sent++
					keys[key] = true
					return api.ConfigChange{}, c.answers[sent-1]
				})
				is.Equal(exitCode(err), c.code)
				is.Equal(sent, c.sent)
				is.Equal(len(keys), 1)
			})
		})
	}
}

func TestInvalidFilesAreUsageErrors(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.write("bad.yaml", "name: trials\nowner: 1\n")
	for _, line := range []string{
		"config check bad.yaml", "config apply bad.yaml", "config diff bad.yaml", "check bad.yaml",
		"config apply missing.yaml", "config delete trials", "owner remove entry-1", "config get --server nowhere",
	} {
		code, _ := h.run(line)
		if code != ExitUsage {
			t.Errorf("%s: got code %d", line, code)
		}
	}
	is.Equal(len(h.entry.Services()), 0)
	is.Equal(len(h.entry.members), 1)
}

func TestOwnerCommands(t *testing.T) {
	h := newHarness(t)
	h.expect("owner list", ExitOK, "MEMBER   ZONE  REGION  ADDRESS  HTTP\nentry-1  a                      \n")
	h.expect("owner remove entry-2 --stopped", ExitUsage, "")
	h.expect("owner remove entry-1 --stopped", ExitOK, "entry-1 removed\n")
	h.expect("owner list", ExitOK, "MEMBER  ZONE  REGION  ADDRESS  HTTP\n")
}

func TestCheckCommand(t *testing.T) {
	h := newHarness(t)
	h.write("agent.yaml", "agent: {name: a, http: \"127.0.0.1:0\", entries: [\"127.0.0.1:7001\"]}\n")
	h.expect("check agent.yaml", ExitOK, "agent.yaml: valid\n")
}
