package api

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"

	"marjoramlug.example/marjoramlug/settings"
	"marjoramlug.example/marjoramlug/verdict"
)

const (
	// DefaultTeam is the team of all callers when no tokens are configured.
	DefaultTeam = "default"
	// maxCallerNameBytes bounds the length of a caller's name.
	maxCallerNameBytes = 64
)

// Caller identifies the sender of a request, which is a caller or an operator.
type Caller struct {
	// Team comes from the token.
	Team string
	// Name is the sender's name within its team, from the Caller header.
	Name string
	// Operator reports whether the sender may make operator calls.
	Operator bool
}

// Authenticator identifies the sender of a request by its bearer token. It
// compares tokens in constant time and never logs or prints them.
type Authenticator struct {
	tokens []token
}

// token is a configured token; only its hash is kept.
type token struct {
	hash     [sha256.Size]byte
	team     string
	operator bool
}

// NewAuthenticator returns an authenticator that accepts the given tokens.
// Without any, all calls are allowed.
func NewAuthenticator(tokens []settings.Token) *Authenticator {
	a := new(Authenticator)
	for _, t := range tokens {
		a.tokens = append(a.tokens, token{hash: sha256.Sum256([]byte(t.Value)), team: t.Team, operator: t.Operator})
	}
	return a
}

// Caller returns the sender of a request, or an error with a verdict.
func (a *Authenticator) Caller(r *http.Request) (Caller, error) {
	name := r.Header.Get(HeaderCaller)
	if len(name) > maxCallerNameBytes {
		return Caller{}, verdict.New(verdict.NotRun, verdict.ReasonInvalid,
			"%s header: %d bytes, at most %d are allowed", HeaderCaller, len(name), maxCallerNameBytes)
	}
	if len(a.tokens) == 0 {
		return Caller{Team: DefaultTeam, Name: name, Operator: true}, nil
	}
	scheme, secret, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || secret == "" {
		return Caller{}, verdict.New(verdict.NotRun, verdict.ReasonUnauthorized, "no bearer token in the Authorization header")
	}
	match, ok := a.find(secret)
	if !ok {
		return Caller{}, verdict.New(verdict.NotRun, verdict.ReasonUnauthorized, "unknown token")
	}
	return Caller{Team: match.team, Name: name, Operator: match.operator}, nil
}

// Operator returns the sender of a request if it may make operator calls, or an
// error with a verdict.
func (a *Authenticator) Operator(r *http.Request) (Caller, error) {
	caller, err := a.Caller(r)
	if err != nil {
		return Caller{}, err
	}
	if !caller.Operator {
		return Caller{}, verdict.New(verdict.NotRun, verdict.ReasonForbidden, "the token of team %s has not the operator role", caller.Team)
	}
	return caller, nil
}

// find compares the secret with every token, so that the time taken does not
// depend on which one matches. It compares hashes, as these have the same length
// for secrets of any length.
func (a *Authenticator) find(secret string) (token, bool) {
	hash := sha256.Sum256([]byte(secret))
	found := -1
	for i := range a.tokens {
		if subtle.ConstantTimeCompare(hash[:], a.tokens[i].hash[:]) == 1 {
			found = i
		}
	}
	if found < 0 {
		return token{}, false
	}
	return a.tokens[found], true
}
