package api

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"marjoramlug.example/marjoramlug/config"
	"marjoramlug.example/marjoramlug/ownership"
	"marjoramlug.example/marjoramlug/verdict"
)

// ConfigBackend is the part of an entry that the operators' interface uses to
// read and change the configuration.
type ConfigBackend interface {
	// Ready reports whether the entry knows the whole configuration.
	Ready() bool
	// Get returns a service's configuration, or false when the service does not
	// exist.
	Get(service string) (config.ServiceState, bool)
	// Services returns the names of all services.
	Services() []string
	// History returns the newest accepted changes of a service, oldest first.
	History(service string) []config.HistoryItem
	// Publish writes a record and returns its outcome as read back from the log.
	// Its errors carry a verdict: NotRun when the record has not been and will
	// not be written.
	Publish(ctx context.Context, r config.Record) (config.Outcome, error)
}

// MemberBackend is the part of an entry that the operators' interface uses to
// list and remove the members, the entries that can own shards.
type MemberBackend interface {
	// Members returns the entries that are members according to the log.
	Members() []ownership.Member
	// Remove revokes a member's ownership of its shards. The operator vouches
	// that the member's process no longer runs. Its errors carry a verdict, as
	// those of Publish do.
	Remove(ctx context.Context, member ownership.MemberID, operator string) error
}

// ServiceConfig is a service's configuration in a response.
type ServiceConfig struct {
	Name     string          `json:"name"`
	Revision config.Revision `json:"revision"`
	// Schema is the schema version of the newest body.
	Schema int `json:"schema"`
	// Understood is false when the answering entry is too old for the newest
	// body; Service is then the last one that it understands.
	Understood bool `json:"understood"`
	// Service is empty in lists.
	Service json.RawMessage `json:"service,omitempty"`
}

// ConfigList lists the services.
type ConfigList struct {
	Services []ServiceConfig `json:"services"`
}

// ConfigHistory lists the newest accepted changes of a service, oldest first.
type ConfigHistory struct {
	Name    string               `json:"name"`
	Changes []config.HistoryItem `json:"changes"`
}

// ConfigChange is the response to an accepted change.
type ConfigChange struct {
	Name     string          `json:"name"`
	Revision config.Revision `json:"revision"`
	// Record is the ID of the log record that made the change.
	Record string `json:"record,omitempty"`
}

// ConfigCheck is the response to the check of a valid service.
type ConfigCheck struct {
	Valid bool `json:"valid"`
	// Schema is the schema version in which the service would be written.
	Schema int `json:"schema"`
}

// MemberList lists the members.
type MemberList struct {
	Members []ownership.Member `json:"members"`
}

const (
	// maxConfigBytes bounds a service in YAML or JSON.
	maxConfigBytes = 1 << 20
	// publishTimeout bounds the wait for a change to be read back from the log.
	publishTimeout = 15 * time.Second
)

// OperatorHandler serves configuration and ownership.
type OperatorHandler struct {
	config  ConfigBackend
	members MemberBackend
	auth    *Authenticator
	now     func() time.Time
}

// NewOperatorHandler returns the handler of the operators' interface.
func NewOperatorHandler(cfg ConfigBackend, members MemberBackend, auth *Authenticator) *OperatorHandler {
	return &OperatorHandler{config: cfg, members: members, auth: auth, now: time.Now}
}

// Register adds the routes to a mux.
func (h *OperatorHandler) Register(mux *http.ServeMux) {
	routes := map[string]func(http.ResponseWriter, *http.Request, Caller) error{
		"GET /v1/config":                   h.listConfig,
		"GET /v1/config/{service}":         h.getConfig,
		"PUT /v1/config/{service}":         h.putConfig,
		"DELETE /v1/config/{service}":      h.deleteConfig,
		"GET /v1/config/{service}/history": h.history,
		"POST /v1/config/check":            h.check,
		"GET /v1/owners":                   h.listMembers,
		"DELETE /v1/owners/{member}":       h.removeMember,
	}
	for pattern, serve := range routes {
		mux.HandleFunc(pattern, h.operatorOnly(serve))
	}
}

// operatorOnly returns a handler that checks the operator role, calls serve and
// writes an error as a problem document.
func (h *OperatorHandler) operatorOnly(serve func(http.ResponseWriter, *http.Request, Caller) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		caller, err := h.auth.Operator(r)
		if err == nil && !h.config.Ready() {
			err = errNotReady
		}
		if err == nil {
			err = serve(w, r, caller)
		}
		if err != nil {
			p := operatorProblem(err)
			w.Header().Set(HeaderVerdict, p.Verdict.String())
			WriteProblem(w, p.Status, p)
		}
	}
}

func (h *OperatorHandler) listConfig(w http.ResponseWriter, _ *http.Request, _ Caller) error {
	list := ConfigList{Services: []ServiceConfig{}}
	for _, name := range h.config.Services() {
		if state, ok := h.config.Get(name); ok {
			list.Services = append(list.Services, serviceConfigOf(name, state))
		}
	}
	writeJSON(w, http.StatusOK, list)
	return nil
}

func (h *OperatorHandler) getConfig(w http.ResponseWriter, r *http.Request, _ Caller) error {
	name := r.PathValue("service")
	state, ok := h.config.Get(name)
	if !ok {
		return unknownService(name)
	}
	text, err := config.FormatJSON(state.Service)
	if err != nil {
		return err
	}
	w.Header().Set("ETag", etag(state.Revision))
	answer := serviceConfigOf(name, state)
	answer.Service = text
	writeJSON(w, http.StatusOK, answer)
	return nil
}

// serviceConfigOf converts a service's configuration, without its body.
func serviceConfigOf(name string, state config.ServiceState) ServiceConfig {
	return ServiceConfig{Name: name, Revision: state.Revision, Schema: state.Schema, Understood: state.Understood}
}

func (h *OperatorHandler) history(w http.ResponseWriter, r *http.Request, _ Caller) error {
	name := r.PathValue("service")
	changes := h.config.History(name)
	if len(changes) == 0 {
		return unknownService(name)
	}
	writeJSON(w, http.StatusOK, ConfigHistory{Name: name, Changes: changes})
	return nil
}

func (h *OperatorHandler) check(w http.ResponseWriter, r *http.Request, _ Caller) error {
	s, err := readService(w, r, "")
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, ConfigCheck{Valid: true, Schema: config.LowestSchema(s)})
	return nil
}

func (h *OperatorHandler) putConfig(w http.ResponseWriter, r *http.Request, caller Caller) error {
	name := r.PathValue("service")
	expect, err := expectedRevision(r)
	if err != nil {
		return err
	}
	s, err := readService(w, r, name)
	if err != nil {
		return err
	}
	if current, ok := h.config.Get(name); ok && !current.Understood {
		// The operator has read an older body from this entry; a change based
		// on it would revert what this entry does not understand.
		return verdict.New(verdict.NotRun, verdict.ReasonUnavailable,
			"this entry does not know schema version %d of service %s; ask an entry of a newer version", current.Schema, name)
	}
	schema := config.LowestSchema(s)
	body, err := config.EncodeBody(schema, s)
	if err != nil {
		return err
	}
	record := config.Record{Service: name, Schema: schema, Expect: expect, Body: body}
	status := http.StatusOK
	if expect == 0 {
		status = http.StatusCreated
	}
	return h.publish(w, r, caller, record, status)
}

func (h *OperatorHandler) deleteConfig(w http.ResponseWriter, r *http.Request, caller Caller) error {
	expect, err := expectedRevision(r)
	if err != nil {
		return err
	}
	if expect == 0 {
		return &conditionError{"If-None-Match does not apply to a deletion"}
	}
	record := config.Record{Service: r.PathValue("service"), Expect: expect, Delete: true}
	return h.publish(w, r, caller, record, http.StatusOK)
}

// publish writes a change to the log and responds with its outcome.
func (h *OperatorHandler) publish(w http.ResponseWriter, r *http.Request, caller Caller, record config.Record, status int) error {
	id, err := recordID(r, record)
	if err != nil {
		return err
	}
	record.ID = id
	record.Author = author(caller)
	record.At = h.now().UnixMilli()
	ctx, cancel := context.WithTimeout(r.Context(), publishTimeout)
	defer cancel()
	outcome, err := h.config.Publish(ctx, record)
	if err != nil {
		return err
	}
	if !outcome.Accepted {
		return &conflictError{service: record.Service, outcome: outcome}
	}
	if !record.Delete {
		w.Header().Set("ETag", etag(outcome.Revision))
	}
	writeJSON(w, status, ConfigChange{Name: record.Service, Revision: outcome.Revision, Record: record.ID})
	return nil
}

func (h *OperatorHandler) listMembers(w http.ResponseWriter, _ *http.Request, _ Caller) error {
	writeJSON(w, http.StatusOK, MemberList{Members: append([]ownership.Member{}, h.members.Members()...)})
	return nil
}

func (h *OperatorHandler) removeMember(w http.ResponseWriter, r *http.Request, caller Caller) error {
	member := ownership.MemberID(r.PathValue("member"))
	isMember := false
	for _, m := range h.members.Members() {
		isMember = isMember || m.ID == member
	}
	if !isMember {
		return &unknownMemberError{member}
	}
	ctx, cancel := context.WithTimeout(r.Context(), publishTimeout)
	defer cancel()
	if err := h.members.Remove(ctx, member, author(caller)); err != nil {
		return err
	}
	w.WriteHeader(http.StatusNoContent)
	return nil
}

func author(c Caller) string {
	if c.Name == "" {
		return c.Team
	}
	return c.Team + "/" + c.Name
}

func etag(r config.Revision) string { return fmt.Sprintf("%q", strconv.FormatUint(uint64(r), 10)) }

// expectedRevision returns the revision that a change is based on: the one in
// If-Match, or 0 when If-None-Match requires that the service does not exist.
func expectedRevision(r *http.Request) (config.Revision, error) {
	match, noneMatch := r.Header.Get("If-Match"), r.Header.Get("If-None-Match")
	switch {
	case match != "" && noneMatch != "":
		return 0, &conditionError{"If-Match and If-None-Match exclude each other"}
	case noneMatch == "*":
		return 0, nil
	case noneMatch != "":
		return 0, &conditionError{"If-None-Match must be *"}
	case match == "":
		return 0, errNoCondition
	}
	revision, err := strconv.ParseUint(strings.Trim(match, `"`), 10, 64)
	if err != nil || revision == 0 {
		return 0, &conditionError{fmt.Sprintf("If-Match: got %s, expected the ETag of the revision seen", match)}
	}
	return config.Revision(revision), nil
}
