package api

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"marjoramlug.example/marjoramlug/settings"
	"marjoramlug.example/marjoramlug/verdict"
)

func TestAuthenticator(t *testing.T) {
	tokens := []settings.Token{{Team: "trials", Value: "t-1"}, {Team: "ops", Value: "o-1", Operator: true}}
	cases := []struct {
		name          string
		tokens        []settings.Token
		authorization string
		caller        string
		want          Caller
		reason        verdict.Reason
		operator      verdict.Reason
	}{
		{"team", tokens, "Bearer t-1", "press", Caller{Team: "trials", Name: "press"}, verdict.ReasonNone, verdict.ReasonForbidden},
		{"operator", tokens, "bearer o-1", "", Caller{Team: "ops", Operator: true}, verdict.ReasonNone, verdict.ReasonNone},
		{"no header", tokens, "", "", Caller{}, verdict.ReasonUnauthorized, verdict.ReasonUnauthorized},
		{"unknown token", tokens, "Bearer t-2", "", Caller{}, verdict.ReasonUnauthorized, verdict.ReasonUnauthorized},
		{"prefix of a token", tokens, "Bearer t-", "", Caller{}, verdict.ReasonUnauthorized, verdict.ReasonUnauthorized},
		{"empty token", []settings.Token{{Team: "trials"}}, "Bearer ", "", Caller{}, verdict.ReasonUnauthorized, verdict.ReasonUnauthorized},
		{"other scheme", tokens, "Basic t-1", "", Caller{}, verdict.ReasonUnauthorized, verdict.ReasonUnauthorized},
		{"no tokens", nil, "", "press", Caller{Team: DefaultTeam, Name: "press", Operator: true}, verdict.ReasonNone, verdict.ReasonNone},
		{"long caller", nil, "", strings.Repeat("x", maxCallerNameBytes+1), Caller{}, verdict.ReasonInvalid, verdict.ReasonInvalid},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := httptest.NewRequest("GET", "/", nil)
			r.Header.Set("Authorization", c.authorization)
			r.Header.Set(HeaderCaller, c.caller)
			a := NewAuthenticator(c.tokens)
			got, err := a.Caller(r)
			is.Equal(got, c.want)
			checkReason(is, err, c.reason)
			_, err = a.Operator(r)
			checkReason(is, err, c.operator)
		})
	}
}

func checkReason(is *is.I, err error, want verdict.Reason) {
	is.Helper()
	if want == verdict.ReasonNone {
		is.NoErr(err)
		return
	}
	is.True(err != nil)
	is.Equal(verdict.ReasonOf(err), want)
	is.Equal(verdict.Of(err), verdict.NotRun)
}

func TestAuthenticatorDoesNotPrintTokens(t *testing.T) {
	is := is.New(t)
	a := NewAuthenticator([]settings.Token{{Team: "trials", Value: "the-secret"}})
	r := httptest.NewRequest("GET", "/", nil)
	r.Header.Set("Authorization", "Bearer wrong-secret")
	_, err := a.Caller(r)
	is.True(!strings.Contains(fmt.Sprintf("%v %+v", err, err), "secret"))
	is.True(!strings.Contains(fmt.Sprintf("%+v", a), "the-secret"))
}
