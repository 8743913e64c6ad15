package agent

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"marjoramlug.example/marjoramlug/agent/core"
	"marjoramlug.example/marjoramlug/message"
)

const (
	// readTimeout bounds the reading of a request; idleTimeout is longer than the interval
	// between announcements.
	readTimeout = 5 * time.Second
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 64 << 10
	// maxAnnouncementBytes is the maximum size of an announcement.
	maxAnnouncementBytes = 64 << 10
	// intakeBytes bounds the memory for announcements that are being received, and
	// socketBufferBytes each buffer of a connection in the kernel.
	intakeBytes       = 8 << 20
	socketBufferBytes = 16 << 10
	// maxNameBytes is the maximum length of the name of a service or an endpoint.
	maxNameBytes = 64
	// maxSlots is the maximum number of slots of an endpoint.
	maxSlots = 4096
	// announcementsPerTimeout is how many times per announcement timeout an
	// endpoint should repeat its announcement, so that the loss of one has no
	// effect.
	announcementsPerTimeout = 4
)

// Announcement is the body of PUT /v1/endpoints/{service}/{name}. An endpoint
// repeats it as its heartbeat.
type Announcement struct {
	// Address is the host and port at which the endpoint accepts tasks over HTTP;
	// an empty host means 127.0.0.1.
	Address string `json:"address"`
	// Slots is the number of tasks that the endpoint runs at a time.
	Slots int `json:"slots"`
	// Connections is the maximum number of HTTP connections to the endpoint; 0
	// means no limit.
	Connections int `json:"connections,omitempty"`
	// Memory is the memory in bytes that all tasks on the endpoint may use
	// together; 0 means undeclared.
	Memory int64 `json:"memory,omitempty"`
	// Accelerators lists the kinds of accelerators that tasks on the endpoint may
	// require.
	Accelerators []string `json:"accelerators,omitempty"`
}

// AnnouncementReply answers an announcement.
type AnnouncementReply struct {
	// RepeatMillis is the time after which the announcement should be repeated.
	RepeatMillis int64 `json:"repeat_millis"`
}

// Problem is a problem document of RFC 9457.
type Problem struct {
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Field is the path of the invalid field of the request.
	Field string `json:"field,omitempty"`
}

func (a *Agent) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/endpoints/{service}/{name}", a.putEndpoint)
	mux.HandleFunc("DELETE /v1/endpoints/{service}/{name}", a.deleteEndpoint)
	a.opts.Metrics.Register(mux, a.readiness)
	return mux
}

func (a *Agent) putEndpoint(w http.ResponseWriter, r *http.Request) {
	if a.isDraining() {
		writeProblem(w, Problem{Title: "agent is stopping", Status: http.StatusServiceUnavailable})
		return
	}
	var body Announcement
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	if err := decoder.Decode(&body); err != nil {
		writeProblem(w, Problem{Title: "invalid announcement", Status: http.StatusBadRequest, Detail: err.Error()})
		return
	}
	key := endpointKey(r)
	if p := checkAnnouncement(key, &body); p != nil {
		writeProblem(w, *p)
		return
	}
	info := message.EndpointInfo{
		Name: key.Name, Slots: body.Slots, Connections: body.Connections,
		Memory: body.Memory, Accelerators: body.Accelerators,
	}
	announced := core.EndpointAnnounced{Service: key.Service, Address: body.Address, Info: info}
	if !a.post(event{core: announced}) {
		writeProblem(w, Problem{Title: "agent has stopped", Status: http.StatusServiceUnavailable})
		return
	}
	writeJSON(w, AnnouncementReply{RepeatMillis: (a.settings.AnnounceTimeout / announcementsPerTimeout).Milliseconds()})
}

// deleteEndpoint answers once the last task of the endpoint has ended and the
// endpoint may stop.
func (a *Agent) deleteEndpoint(w http.ResponseWriter, r *http.Request) {
	released := make(chan struct{})
	a.post(event{core: core.EndpointLeaving{Key: endpointKey(r)}, released: released})
	select {
	case <-released:
		w.WriteHeader(http.StatusNoContent)
	case <-r.Context().Done():
	case <-a.stopped:
		writeProblem(w, Problem{Title: "agent has stopped", Status: http.StatusServiceUnavailable})
	}
}

// readiness returns why the agent accepts no work, or nil if it does.
func (a *Agent) readiness() error {
	if a.isDraining() {
		return errors.New("draining")
	}
	return nil
}

// endpointKey copies the names: as parts of the request's line they would keep all of it.
func endpointKey(r *http.Request) core.EndpointKey {
	return core.EndpointKey{Service: strings.Clone(r.PathValue("service")), Name: strings.Clone(r.PathValue("name"))}
}

// checkAnnouncement validates an announcement and sets the host of its address if
// there is none.
func checkAnnouncement(key core.EndpointKey, body *Announcement) *Problem {
	host, port, err := net.SplitHostPort(body.Address)
	switch {
	case len(key.Service) > maxNameBytes:
		return invalid("service", "longer than %d bytes", maxNameBytes)
	case len(key.Name) > maxNameBytes:
		return invalid("name", "longer than %d bytes", maxNameBytes)
	case err != nil:
		return invalid("address", "%v", err)
	case port == "" || port == "0":
		return invalid("address", "no port")
	case body.Slots < 1 || body.Slots > maxSlots:
		return invalid("slots", "got %d, expected 1 to %d", body.Slots, maxSlots)
	case body.Connections < 0:
		return invalid("connections", "got %d, expected none below 0", body.Connections)
	case body.Memory < 0:
		return invalid("memory", "got %d, expected none below 0", body.Memory)
	}
	if host == "" {
		body.Address = net.JoinHostPort("127.0.0.1", port)
	}
	return nil
}

func invalid(field, format string, args ...any) *Problem {
	return &Problem{
		Title: "invalid announcement", Status: http.StatusBadRequest,
		Detail: fmt.Sprintf(format, args...), Field: field,
	}
}

func writeProblem(w http.ResponseWriter, p Problem) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
