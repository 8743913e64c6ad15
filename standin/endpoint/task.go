package endpoint

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"
)

const (
	// slowFactor multiplies the run time of tasks under FaultSlow.
	slowFactor = 10
	// maxBodyBytes bounds the body of a task.
	maxBodyBytes = 64 << 20
)

// Fault is a fault that an endpoint simulates.
type Fault int

// The faults.
const (
	FaultNone Fault = iota
	// FaultHang accepts the request and never answers.
	FaultHang
	// FaultGarbage answers with bytes that are not HTTP.
	FaultGarbage
	// FaultHalfBody closes the connection in the middle of the body.
	FaultHalfBody
	// FaultClose closes the connection without an answer.
	FaultClose
	// FaultStatus answers each task with status 500.
	FaultStatus
	// FaultSlow runs tasks slowFactor times slower.
	FaultSlow
)

// TaskSpec describes a task, in its JSON body or, with the same names, in its
// query.
type TaskSpec struct {
	// Key is the key under which the task's starts are counted.
	Key string `json:"key"`
	// RunMillis is the run time at speed 1.
	RunMillis int `json:"run_millis"`
}

// TaskReply is the answer to a task.
type TaskReply struct {
	Key      string `json:"key"`
	Endpoint string `json:"endpoint"`
}

func (s *Server) serveTask(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	spec := parseSpec(r, body)
	fault := s.begin(spec.Key)
	defer s.end()
	switch fault {
	case FaultHang:
		wait(r, -1)
	case FaultGarbage:
		writeRaw(w, "\x00\xffthis is not HTTP\r\n\r\n")
	case FaultHalfBody:
		writeRaw(w, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
	case FaultClose:
		writeRaw(w, "")
	case FaultStatus:
		http.Error(w, "endpoint fault", http.StatusInternalServerError)
	default:
		s.runTask(w, r, spec, fault)
	}
}

func (s *Server) runTask(w http.ResponseWriter, r *http.Request, spec TaskSpec, fault Fault) {
	run := time.Duration(float64(spec.RunMillis) * float64(time.Millisecond) / s.opts.Speed)
	if fault == FaultSlow {
		run *= slowFactor
	}
	if !wait(r, run) {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(TaskReply{Key: spec.Key, Endpoint: s.opts.Name})
}

// wait waits for a duration, or without limit if it is negative, and reports
// whether it passed before the request was cancelled or the server closed.
func wait(r *http.Request, d time.Duration) bool {
	var passed <-chan time.Time
	if d >= 0 {
		timer := time.NewTimer(d)
		defer timer.Stop()
		passed = timer.C
	}
	select {
	case <-passed:
		return true
	case <-r.Context().Done():
		return false
	}
}

func parseSpec(r *http.Request, body []byte) TaskSpec {
	var spec TaskSpec
	_ = json.Unmarshal(body, &spec)
	query := r.URL.Query()
	if key := query.Get("key"); key != "" {
		spec.Key = key
	}
	if run := query.Get("run_millis"); run != "" {
		spec.RunMillis, _ = strconv.Atoi(run)
	}
	return spec
}

// writeRaw writes bytes to the connection and closes it.
func writeRaw(w http.ResponseWriter, text string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, text)
	_ = conn.Close()
}
