package api

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"github.com/dghubble/sling"

	"marjoramlug.example/marjoramlug/config"
	"marjoramlug.example/marjoramlug/verdict"
)

// OperatorClient makes operator calls to an entry. It is safe for concurrent
// use.
type OperatorClient struct {
	base *sling.Sling
}

// NewOperatorClient returns a client of the entry at the base URL. The token
// may be empty; author names the operator within the token's team.
func NewOperatorClient(server, token, author string) (*OperatorClient, error) {
	u, err := url.Parse(server)
	if err != nil {
		return nil, fmt.Errorf("server URL: %w", err)
	}
	if u.Host == "" {
		return nil, fmt.Errorf("server URL %q names no host", server)
	}
	base := sling.New().Base(strings.TrimSuffix(server, "/") + "/")
	if token != "" {
		base.Set("Authorization", "Bearer "+token)
	}
	if author != "" {
		base.Set(HeaderCaller, author)
	}
	return &OperatorClient{base: base}, nil
}

// ProblemError is a response of the server that is a problem document.
type ProblemError struct{ Problem Problem }

// Error formats the problem document, with one line per invalid field.
func (e *ProblemError) Error() string {
	p := e.Problem
	lines := []string{fmt.Sprintf("%s (%s, %s)", p.Title, p.Reason, p.Verdict)}
	for _, f := range p.Faults {
		lines = append(lines, fmt.Sprintf("%s: got %s, expected %s", f.Field, f.Value, f.Expected))
	}
	if len(p.Faults) == 0 {
		lines[0] += ": " + p.Detail
	}
	return strings.Join(lines, "\n")
}

// List returns all services without their bodies.
func (c *OperatorClient) List(ctx context.Context) (ConfigList, error) {
	var list ConfigList
	return list, c.do(ctx, c.base.New().Get("v1/config"), &list)
}

// Get returns a service's configuration.
func (c *OperatorClient) Get(ctx context.Context, service string) (ServiceConfig, error) {
	var result ServiceConfig
	return result, c.do(ctx, c.base.New().Get(configPath(service)), &result)
}

// History returns the newest accepted changes of a service.
func (c *OperatorClient) History(ctx context.Context, service string) (ConfigHistory, error) {
	var history ConfigHistory
	return history, c.do(ctx, c.base.New().Get(configPath(service)+"/history"), &history)
}

// Check checks a service's text without changing anything.
func (c *OperatorClient) Check(ctx context.Context, text []byte) (ConfigCheck, error) {
	var check ConfigCheck
	return check, c.do(ctx, c.base.New().Post("v1/config/check").Body(bytes.NewReader(text)), &check)
}

// Apply creates or replaces a service, given in YAML or JSON. It succeeds only if
// the service is still at the expected revision; 0 means that the service must not
// exist. A call whose answer was lost may be repeated with the same key.
func (c *OperatorClient) Apply(ctx context.Context, service string, text []byte, expect config.Revision, key string) (ConfigChange, error) {
	call := c.base.New().Put(configPath(service)).Body(bytes.NewReader(text))
	return c.change(ctx, call, expect, key)
}

// Delete removes a service under the same conditions as Apply.
func (c *OperatorClient) Delete(ctx context.Context, service string, expect config.Revision, key string) (ConfigChange, error) {
	return c.change(ctx, c.base.New().Delete(configPath(service)), expect, key)
}

func (c *OperatorClient) change(ctx context.Context, call *sling.Sling, expect config.Revision, key string) (ConfigChange, error) {
	call.Set(HeaderIdempotencyKey, key)
	if expect == 0 {
		call.Set("If-None-Match", "*")
	} else {
		call.Set("If-Match", etag(expect))
	}
	var change ConfigChange
	return change, c.do(ctx, call, &change)
}

// ListMembers returns the members, the entries that can own shards.
func (c *OperatorClient) ListMembers(ctx context.Context) (MemberList, error) {
	var list MemberList
	return list, c.do(ctx, c.base.New().Get("v1/owners"), &list)
}

// RemoveMember removes a member whose process no longer runs.
func (c *OperatorClient) RemoveMember(ctx context.Context, member string) error {
	return c.do(ctx, c.base.New().Delete("v1/owners/"+url.PathEscape(member)), nil)
}

func configPath(service string) string { return "v1/config/" + url.PathEscape(service) }

// do sends a call. A problem document becomes a ProblemError; all errors carry a
// verdict.
func (c *OperatorClient) do(ctx context.Context, call *sling.Sling, reply any) error {
	req, err := call.Request()
	if err != nil {
		return verdict.Wrap(verdict.NotRun, verdict.ReasonInvalid, err)
	}
	problem := new(Problem)
	resp, err := call.Do(req.WithContext(ctx), reply, problem)
	switch {
	case resp != nil && resp.StatusCode/100 != 2 && err == nil:
		return verdict.Wrap(problem.Verdict, problem.Reason, &ProblemError{*problem})
	case resp != nil && resp.StatusCode/100 != 2:
		return verdict.New(verdict.MayHaveRun, verdict.ReasonBadResponse, "status %s", resp.Status)
	case err != nil:
		return verdict.Wrap(verdict.MayHaveRun, verdict.ReasonConnect, err)
	}
	return nil
}

// IsNotFound reports whether err means that the service or member does not exist.
func IsNotFound(err error) bool {
	var problem *ProblemError
	return errors.As(err, &problem) && problem.Problem.Status == http.StatusNotFound
}
