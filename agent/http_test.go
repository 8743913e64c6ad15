package agent_test

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"marjoramlug.example/marjoramlug/agent"
	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/settings"
	"marjoramlug.example/marjoramlug/standin/endpoint"
)

func put(t *testing.T, a *agent.Agent, path, body string) (int, agent.Problem) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPut, "http://"+a.HTTPAddress()+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var problem agent.Problem
	_ = json.NewDecoder(resp.Body).Decode(&problem)
	return resp.StatusCode, problem
}

func TestAnnouncementsAreValidated(t *testing.T) {
	const path = "/v1/endpoints/trials/press-1"
	tests := []struct {
		name, path, body string
		status           int
		field            string
	}{
		{"good", path, `{"address":"127.0.0.1:80","slots":1}`, http.StatusOK, ""},
		{"without a host", path, `{"address":":80","slots":1,"connections":4,"memory":1,"accelerators":["a"]}`, http.StatusOK, ""},
		{"no JSON", path, `address`, http.StatusBadRequest, ""},
		{"no address", path, `{"slots":1}`, http.StatusBadRequest, "address"},
		{"no port", path, `{"address":"127.0.0.1:","slots":1}`, http.StatusBadRequest, "address"},
		{"no slots", path, `{"address":"127.0.0.1:80"}`, http.StatusBadRequest, "slots"},
		{"too many slots", path, `{"address":"127.0.0.1:80","slots":1000000}`, http.StatusBadRequest, "slots"},
		{"negative connections", path, `{"address":"127.0.0.1:80","slots":1,"connections":-1}`, http.StatusBadRequest, "connections"},
		{"negative memory", path, `{"address":"127.0.0.1:80","slots":1,"memory":-1}`, http.StatusBadRequest, "memory"},
		{"long name", path + strings.Repeat("x", 64), `{"address":"127.0.0.1:80","slots":1}`, http.StatusBadRequest, "name"},
		{"large body", path, `{"address":"` + strings.Repeat("x", 1<<17) + `"}`, http.StatusBadRequest, ""},
		{"no name", "/v1/endpoints/trials", `{}`, http.StatusNotFound, ""},
	}
	f := newFixture(t, endpoint.Options{})
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			status, problem := put(t, f.agent, test.path, test.body)
			is.Equal(status, test.status)
			is.Equal(problem.Field, test.field)
		})
	}
}

func TestDrainingAgentTakesNoEndpoints(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, endpoint.Options{Slots: 2})
	f.entry.serve()
	f.endpoint.SetFault(endpoint.FaultHang)
	start := f.entry.start(task("t1", 0))
	f.entry.send(start)
	f.endpoint.WaitStarted("t1")
	drained := make(chan error, 1)
	go func() { drained <- f.agent.Drain(context.Background()) }()
	next[*message.Withdraw](f.entry)
	status, _ := put(t, f.agent, "/v1/endpoints/trials/press-2", `{"address":":80","slots":1}`)
	is.Equal(status, http.StatusServiceUnavailable)
	f.entry.send(&message.Cancel{Service: service, Starts: []message.StartID{start.ID}})
	is.NoErr(<-drained)
}

func TestAgentReportsListenFailure(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, endpoint.Options{})
	second := agent.New(settings.Agent{HTTP: f.agent.HTTPAddress()}, agent.Options{Network: f.network})
	is.True(second.Run(t.Context()) != nil)
	is.Equal(second.HTTPAddress(), "")
	is.NoErr(second.Drain(t.Context()))
}
