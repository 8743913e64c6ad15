package settings

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramlug.example/marjoramlug/validation"
)

const validEntry = `
entry:
  name: entry-1
  listen: 127.0.0.1:7101
  http: 127.0.0.1:8101
  platform: {log: http, url: "http://127.0.0.1:9000"}
`

const validAgent = `
agent:
  name: agent-1
  http: 127.0.0.1:8201
  entries: ["127.0.0.1:7101"]
`

func TestDefaults(t *testing.T) {
	is := is.New(t)
	f, err := Parse([]byte(validEntry + validAgent))
	is.NoErr(err)
	is.Equal(f.Entry.Ownership.LeaseTTL, 4*time.Second)
	is.Equal(f.Entry.Limits.TasksPerJob, 1900)
	is.Equal(f.Agent.Heartbeat, time.Second)
	is.Equal(f.Agent.AcceptWindow, f.Entry.Ownership.AcceptWindow) // the lease protocol requires equal windows
}

func TestAllFaultsAreReportedTogether(t *testing.T) {
	is := is.New(t)
	_, err := Parse([]byte(`
entry:
  name: entry-1
  listen: here
  http: 127.0.0.1:8101
  platform: {log: http}
  tokens: [{team: trials}]
  ownership: {lease_ttl: 6}
  limmits: {}
`))
	want := []string{
		"entry.limmits: got an unknown key, expected one of advertise, http, limits, listen, name, ownership, peers, platform, region, stop_timeout, tls, tokens, zone",
		"entry.ownership.lease_ttl: got 6, expected a duration such as 250ms or 2s",
		`entry.listen: got "here", expected an address of the form host:port`,
		"entry.platform.url: got nothing, expected a value, as log is http",
		"entry.tokens[0].env: got nothing, expected a value, as value is not set",
	}
	is.Equal(err.Error(), strings.Join(want, "\n"))
}

func TestCrossFieldFaults(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"no section", "log_level: info", "document: got none, expected a section entry, agent, pool_entry or pool_agent"},
		{"drift", validEntry + "  ownership: {lease_ttl: 1s, drift_margin: 1s}\n",
			"entry.ownership.drift_margin: got 1s, expected less than lease_ttl, which is 1s"},
		{"agent timeout", validEntry + "  ownership: {agent_timeout: 11m}\n",
			"entry.ownership.agent_timeout: got 11m0s, expected less than resubmit_window, which is 10m0s"},
		{"heartbeat", validAgent + "  heartbeat: 3s\n",
			"agent.heartbeat: got 3s, expected less than accept_window, which is 2.5s"},
		{"part of TLS", validAgent + "  tls: {ca: x, key_env: K}\n",
			"agent.tls.cert: got nothing, expected a value, as other fields of tls are set"},
		{"TLS twice", validEntry + "  tls: {ca: x, ca_env: A, cert: x, key: x}\n",
			"entry.tls.ca: got both, expected ca or ca_env, not both"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse([]byte(c.text))
			is.True(err != nil)
			is.Equal(err.Error(), c.want)
		})
	}
}

// TestEvacuationSettings guards against agents that follow no evacuations though they
// should, and against a time too short to notice a dead connection in.
func TestEvacuationSettings(t *testing.T) {
	const agent = `
pool_agent:
  name: a
  http: 127.0.0.1:1
  endpoint: 127.0.0.1:2
  store: {address: "127.0.0.1:3"}
  timing: {lease: 1s, stop_time: 50ms, retransmit: 1300ms, grace: 6s}
  budget: {memory_mb: 64}
`
	for text, want := range map[string]string{
		"  evacuation: {within: 5000ms}\n": "",
		"  evacuation: {within: 500ms}\n":  "pool_agent.evacuation.within: got 500ms, expected at least 1s",
		"  evacuation: {}\n":               "pool_agent.evacuation.within: got nothing, expected a value",
		"  evacuation: {after: 5s}\n":      "pool_agent.evacuation.after: got an unknown key, expected one of within",
	} {
		f, err := Parse([]byte(agent + text))
		if got := fmt.Sprint(err); want != "" && !strings.Contains(got, want) || want == "" && err != nil {
			t.Errorf("%s: got %v, want %q", text, err, want)
		}
		if want == "" && f.PoolAgent.Evacuation.Within != 5*time.Second {
			t.Errorf("within: %v", f.PoolAgent.Evacuation.Within)
		}
	}
	if f, err := Parse([]byte(agent)); err != nil || f.PoolAgent.Evacuation != nil {
		t.Errorf("without the section: %v", err)
	}
}

func TestSecretsComeFromTheEnvironment(t *testing.T) {
	is := is.New(t)
	f, err := Parse([]byte(validEntry + `  tokens: [{team: trials, env: TRIALS_TOKEN}, {team: ops, value: inline}]
  tls: {ca_env: CA, cert_env: CERT, key_env: KEY}
`))
	is.NoErr(err)
	env := map[string]string{"TRIALS_TOKEN": "t", "CA": "a", "CERT": "c"}
	lookup := func(name string) (string, bool) { v, ok := env[name]; return v, ok }

	err = f.ResolveSecrets(lookup)
	is.Equal(validation.FaultsOf(err), validation.Faults{{
		Path: "entry.tls.key_env", Value: "KEY", Expected: "the name of an environment variable that is set",
	}})
	env["KEY"] = "k"
	is.NoErr(f.ResolveSecrets(lookup))
	is.Equal(f.Entry.Tokens[0].Value, "t")
	is.Equal(f.Entry.Tokens[1].Value, "inline")
	is.Equal([]string{f.Entry.TLS.CA, f.Entry.TLS.Cert, f.Entry.TLS.Key}, []string{"a", "c", "k"})
}

func TestFaultsHideSecrets(t *testing.T) {
	is := is.New(t)
	_, err := Parse([]byte(validEntry + "  tokens: [{team: trials, value: 123456}]\n"))
	is.True(err != nil)
	is.True(!strings.Contains(err.Error(), "123456"))
}

func TestValidateChecksSettingsMadeInCode(t *testing.T) {
	is := is.New(t)
	f := &File{Agent: &Agent{Identity: Identity{Name: "a"}, HTTP: "127.0.0.1:0"}}
	f.ApplyDefaults()
	err := f.Validate()
	is.True(err != nil)
	is.Equal(err.Error(), "agent.entries: got nothing, expected a value")
	f.Agent.Entries = []string{"127.0.0.1:7001"}
	is.NoErr(f.Validate())
	f.Agent.Heartbeat = time.Minute
	is.True(f.Validate() != nil)
}
