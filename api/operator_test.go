package api

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramlug.example/marjoramlug/config"
	"marjoramlug.example/marjoramlug/ownership"
	"marjoramlug.example/marjoramlug/settings"
	"marjoramlug.example/marjoramlug/verdict"
)

// fakeEntry applies published records to its own state at once.
type fakeEntry struct {
	*config.State
	incomplete bool
	members    []ownership.Member
	// failures are returned by the next calls of Publish, whose records are
	// applied nevertheless.
	failures  []error
	published []config.Record
}

func newFakeEntry() *fakeEntry { return &fakeEntry{State: config.NewState()} }

func (f *fakeEntry) Ready() bool { return !f.incomplete }

func (f *fakeEntry) Publish(_ context.Context, r config.Record) (config.Outcome, error) {
	f.published = append(f.published, r)
	outcome := f.Apply(f.Applied()+1, r)
	if len(f.failures) > 0 {
		err := f.failures[0]
		f.failures = f.failures[1:]
		return config.Outcome{}, err
	}
	return outcome, nil
}

func (f *fakeEntry) Members() []ownership.Member { return f.members }

func (f *fakeEntry) Remove(_ context.Context, member ownership.MemberID, _ string) error {
	for i, m := range f.members {
		if m.ID == member {
			f.members = append(f.members[:i:i], f.members[i+1:]...)
		}
	}
	return nil
}

func (f *fakeEntry) serve(t *testing.T, tokens ...settings.Token) string {
	mux := http.NewServeMux()
	h := NewOperatorHandler(f, f, NewAuthenticator(tokens))
	h.now = func() time.Time { return time.UnixMilli(1000) }
	h.Register(mux)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.URL
}

func client(t *testing.T, url, token string) *OperatorClient {
	t.Helper()
	c, err := NewOperatorClient(url, token, "ana")
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestOperatorChangesAService(t *testing.T) {
	is := is.New(t)
	entry := newFakeEntry()
	c := client(t, entry.serve(t), "")
	ctx := t.Context()

	created, err := c.Apply(ctx, "trials", []byte("owners: 1\nrules: [{name: check, timeout: 2s}]\n"), 0, "k1")
	is.NoErr(err)
	is.Equal(created.Revision, config.Revision(1))
	updated, err := c.Apply(ctx, "trials", []byte("name: trials\nowners: 2\n"), created.Revision, "k2")
	is.NoErr(err)
	is.Equal(updated.Revision, config.Revision(2))

	got, err := c.Get(ctx, "trials")
	is.NoErr(err)
	is.Equal(got.Revision, config.Revision(2))
	is.True(got.Understood)
	parsed, err := config.ParseYAML(got.Service) // the body that is read can be applied again
	is.NoErr(err)
	is.Equal(parsed, config.Service{Name: "trials", Owners: 2})

	list, err := c.List(ctx)
	is.NoErr(err)
	is.Equal(list.Services, []ServiceConfig{{Name: "trials", Revision: 2, Schema: 1, Understood: true}})
	history, err := c.History(ctx, "trials")
	is.NoErr(err)
	is.Equal(len(history.Changes), 2)
	is.Equal(history.Changes[1].Author, DefaultTeam+"/ana")
	is.Equal(history.Changes[1].At, int64(1000))

	_, err = c.Delete(ctx, "trials", 2, "k3")
	is.NoErr(err)
	_, err = c.Get(ctx, "trials")
	is.True(IsNotFound(err))
}

func TestLaterOfTwoOperatorsGetsAConflict(t *testing.T) {
	is := is.New(t)
	entry := newFakeEntry()
	c := client(t, entry.serve(t), "")
	ctx := t.Context()
	_, err := c.Apply(ctx, "trials", []byte("{}"), 0, "k1")
	is.NoErr(err)
	winner, err := c.Apply(ctx, "trials", []byte("owners: 2"), 1, "k2")
	is.NoErr(err)
	for _, change := range []func() (ConfigChange, error){
		func() (ConfigChange, error) { return c.Apply(ctx, "trials", []byte("owners: 3"), 1, "k3") },
		func() (ConfigChange, error) { return c.Apply(ctx, "trials", []byte("owners: 3"), 0, "k4") },
		func() (ConfigChange, error) { return c.Delete(ctx, "trials", 1, "k5") },
	} {
		_, err = change()
		var problem *ProblemError
		is.True(errors.As(err, &problem))
		is.Equal(problem.Problem.Status, http.StatusPreconditionFailed)
		is.Equal(problem.Problem.Reason, verdict.ReasonConflict)
		is.Equal(problem.Problem.Verdict, verdict.NotRun)
		is.Equal(problem.Problem.Revision, uint64(2))
		is.Equal(problem.Problem.Winner, winner.Record)
	}
}

func TestLostAnswerIsResolvedByTheSameKey(t *testing.T) {
	is := is.New(t)
	entry := newFakeEntry()
	entry.failures = []error{verdict.New(verdict.MayHaveRun, verdict.ReasonUnavailable, "no answer from the log")}
	c := client(t, entry.serve(t), "")
	_, err := c.Apply(t.Context(), "trials", []byte("owners: 1"), 0, "k1")
	is.Equal(verdict.Of(err), verdict.MayHaveRun)
	repeated, err := c.Apply(t.Context(), "trials", []byte("owners: 1"), 0, "k1")
	is.NoErr(err)
	is.Equal(repeated.Revision, config.Revision(1))
	is.Equal(len(entry.History("trials")), 1)

	// The same key with different content is a different change.
	_, err = c.Apply(t.Context(), "trials", []byte("owners: 2"), 0, "k1")
	is.Equal(verdict.ReasonOf(err), verdict.ReasonConflict)
}

func TestOldEntryDoesNotOverwriteNewerSchema(t *testing.T) {
	is := is.New(t)
	entry := &fakeEntry{State: config.NewStateFor(config.SchemaV1)}
	body, err := config.EncodeBody(config.SchemaV2, config.Service{Name: "trials", Teams: []config.Team{{Name: "bench"}}})
	is.NoErr(err)
	entry.Apply(1, config.Record{ID: "new", Service: "trials", Schema: config.SchemaV2, Body: body})
	c := client(t, entry.serve(t), "")
	got, err := c.Get(t.Context(), "trials")
	is.NoErr(err)
	is.True(!got.Understood)
	_, err = c.Apply(t.Context(), "trials", []byte("owners: 1"), 1, "k1")
	is.Equal(verdict.ReasonOf(err), verdict.ReasonUnavailable)
	is.Equal(verdict.Of(err), verdict.NotRun)
	is.Equal(len(entry.published), 0)
}

func TestRefusedOperatorRequests(t *testing.T) {
	cases := []struct {
		name, method, path, body string
		header                   http.Header
		status                   int
		reason                   verdict.Reason
		field                    string
	}{
		{"no condition", "PUT", "/v1/config/s", "{}", nil, 428, verdict.ReasonInvalid, "If-Match"},
		{"deletion without condition", "DELETE", "/v1/config/s", "", nil, 428, verdict.ReasonInvalid, "If-Match"},
		{"bad ETag", "PUT", "/v1/config/s", "{}", http.Header{"If-Match": {"x"}}, 400, verdict.ReasonInvalid, "If-Match"},
		{"any revision", "PUT", "/v1/config/s", "{}", http.Header{"If-Match": {"*"}}, 400, verdict.ReasonInvalid, "If-Match"},
		{"both conditions", "PUT", "/v1/config/s", "{}", http.Header{"If-Match": {`"1"`}, "If-None-Match": {"*"}}, 400, verdict.ReasonInvalid, "If-Match"},
		{"ETag for If-None-Match", "PUT", "/v1/config/s", "{}", http.Header{"If-None-Match": {`"1"`}}, 400, verdict.ReasonInvalid, "If-Match"},
		{"deletion of nothing", "DELETE", "/v1/config/s", "", http.Header{"If-None-Match": {"*"}}, 400, verdict.ReasonInvalid, "If-Match"},
		{"update of nothing", "PUT", "/v1/config/s", "{}", http.Header{"If-Match": {`"7"`}}, 412, verdict.ReasonConflict, ""},
		{"unknown key", "PUT", "/v1/config/s", "owner: 1", http.Header{"If-None-Match": {"*"}}, 400, verdict.ReasonInvalid, "owner"},
		{"invalid field", "PUT", "/v1/config/s", "owners: 99", http.Header{"If-None-Match": {"*"}}, 400, verdict.ReasonInvalid, "owners"},
		{"other name", "PUT", "/v1/config/s", "name: t", http.Header{"If-None-Match": {"*"}}, 400, verdict.ReasonInvalid, "name"},
		{"unknown policy", "PUT", "/v1/config/s", "policy: {queueing: none}", http.Header{"If-None-Match": {"*"}}, 400, verdict.ReasonInvalid, "policy.queueing"},
		{"not YAML", "PUT", "/v1/config/s", "a: [", http.Header{"If-None-Match": {"*"}}, 400, verdict.ReasonInvalid, ""},
		{"too large", "PUT", "/v1/config/s", strings.Repeat("#", maxConfigBytes+1), http.Header{"If-None-Match": {"*"}}, 413, verdict.ReasonTooLarge, "body"},
		{"long key", "PUT", "/v1/config/s", "{}", http.Header{"If-None-Match": {"*"}, HeaderIdempotencyKey: {strings.Repeat("k", 65)}}, 400, verdict.ReasonInvalid, HeaderIdempotencyKey},
		{"unknown service", "GET", "/v1/config/s", "", nil, 404, verdict.ReasonUnknownService, ""},
		{"history of nothing", "GET", "/v1/config/s/history", "", nil, 404, verdict.ReasonUnknownService, ""},
		{"check without name", "POST", "/v1/config/check", "owners: 1", nil, 400, verdict.ReasonInvalid, "name"},
		{"unknown member", "DELETE", "/v1/owners/e1", "", nil, 404, verdict.ReasonInvalid, "member"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			entry := newFakeEntry()
			req, err := http.NewRequestWithContext(t.Context(), c.method, entry.serve(t)+c.path, strings.NewReader(c.body))
			is.NoErr(err)
			req.Header = c.header
			resp, err := http.DefaultClient.Do(req)
			is.NoErr(err)
			defer resp.Body.Close()
			data, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.Equal(resp.StatusCode, c.status)
			is.Equal(resp.Header.Get("Content-Type"), ProblemType)
			is.Equal(resp.Header.Get(HeaderVerdict), verdict.NotRun.String())
			var p Problem
			is.NoErr(json.Unmarshal(data, &p))
			is.Equal(p.Verdict, verdict.NotRun)
			is.Equal(p.Reason, c.reason)
			is.Equal(p.Field, c.field)
			is.Equal(p.Status, c.status)
			is.Equal(len(entry.Services()), 0)
		})
	}
}

func TestCheckReportsAllFaults(t *testing.T) {
	is := is.New(t)
	c := client(t, newFakeEntry().serve(t), "")
	ok, err := c.Check(t.Context(), []byte("name: trials\nteams: [{name: bench}]"))
	is.NoErr(err)
	is.Equal(ok, ConfigCheck{Valid: true, Schema: config.SchemaV2})
	_, err = c.Check(t.Context(), []byte("name: trials\nowners: 99\nextra: 1\nrules: [{}]"))
	var problem *ProblemError
	is.True(errors.As(err, &problem))
	is.Equal(len(problem.Problem.Faults), 3)
}

func TestOperatorRoleIsRequired(t *testing.T) {
	is := is.New(t)
	entry := newFakeEntry()
	url := entry.serve(t, settings.Token{Team: "trials", Value: "t"}, settings.Token{Team: "ops", Value: "o", Operator: true})
	for _, token := range []string{"", "wrong", "t"} {
		c := client(t, url, token)
		_, err := c.Apply(t.Context(), "trials", []byte("{}"), 0, "k")
		is.Equal(verdict.Of(err), verdict.NotRun)
		_, err = c.List(t.Context())
		is.True(err != nil)
		is.True(c.RemoveMember(t.Context(), "e1") != nil)
	}
	is.Equal(len(entry.published), 0)
	_, err := client(t, url, "o").List(t.Context())
	is.NoErr(err)
}

func TestIncompleteEntryIsUnavailable(t *testing.T) {
	is := is.New(t)
	entry := newFakeEntry()
	entry.incomplete = true
	c := client(t, entry.serve(t), "")
	_, getErr := c.Get(t.Context(), "trials")
	_, applyErr := c.Apply(t.Context(), "trials", []byte("{}"), 0, "k")
	for _, err := range []error{getErr, applyErr} {
		var problem *ProblemError
		is.True(errors.As(err, &problem))
		is.Equal(problem.Problem.Status, http.StatusServiceUnavailable)
		is.Equal(problem.Problem.Verdict, verdict.NotRun)
		is.True(!IsNotFound(err)) // an incomplete entry can't report that a service does not exist
	}
	is.Equal(len(entry.published), 0)
}

func TestOwners(t *testing.T) {
	is := is.New(t)
	entry := newFakeEntry()
	entry.members = []ownership.Member{{ID: "e/1", Address: "127.0.0.1:7101"}, {ID: "e2"}}
	c := client(t, entry.serve(t), "")
	list, err := c.ListMembers(t.Context())
	is.NoErr(err)
	is.Equal(list.Members, entry.members)
	is.NoErr(c.RemoveMember(t.Context(), "e/1"))
	is.Equal(entry.members, []ownership.Member{{ID: "e2"}})
}
