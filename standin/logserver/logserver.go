// Package logserver stands in for the platform's log service: it serves an
// append-only log in memory over HTTP. Faults are set over HTTP, too.
package logserver

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"marjoramlug.example/marjoramlug/plugin/log/memory"
	"marjoramlug.example/marjoramlug/sharedlog"
)

// The paths for fault injection.
const (
	// FaultsPath takes memory.Faults as JSON by PUT and returns them by GET.
	FaultsPath = "/v1/faults"
	// TrimPath takes a Trim as JSON by POST.
	TrimPath = "/v1/trim"
)

// Trim is a request to drop all records before First.
type Trim struct {
	First sharedlog.Offset `json:"first"`
}

type server struct {
	log *memory.Log
}

// Handler serves the given log.
func Handler(log *memory.Log) http.Handler {
	s := &server{log: log}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+sharedlog.RecordsPath, s.append)
	mux.HandleFunc("GET "+sharedlog.RecordsPath, s.read)
	mux.HandleFunc("GET "+sharedlog.BoundsPath, s.bounds)
	mux.HandleFunc("GET "+FaultsPath, s.getFaults)
	mux.HandleFunc("PUT "+FaultsPath, s.putFaults)
	mux.HandleFunc("POST "+TrimPath, s.trim)
	return mux
}

func (s *server) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, memory.MaxRecordBytes))
	if err != nil {
		http.Error(w, err.Error(), statusOfBody(err))
		return
	}
	offset, err := s.log.Append(r.Context(), data)
	if err != nil {
		fail(w, err)
		return
	}
	reply(w, http.StatusCreated, sharedlog.AppendReply{Offset: offset})
}

func (s *server) read(w http.ResponseWriter, r *http.Request) {
	from, fromErr := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	limit, limitErr := strconv.Atoi(r.URL.Query().Get("limit"))
	if err := errors.Join(fromErr, limitErr); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	records, err := s.log.Read(r.Context(), sharedlog.Offset(from), limit)
	if err != nil {
		fail(w, err)
		return
	}
	reply(w, http.StatusOK, sharedlog.ReadReply{Records: records})
}

func (s *server) bounds(w http.ResponseWriter, r *http.Request) {
	bounds, err := s.log.Bounds(r.Context())
	if err != nil {
		fail(w, err)
		return
	}
	reply(w, http.StatusOK, bounds)
}

func (s *server) getFaults(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, s.log.Faults())
}

func (s *server) putFaults(w http.ResponseWriter, r *http.Request) {
	var f memory.Faults
	if !decode(w, r, &f) {
		return
	}
	s.log.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

func (s *server) trim(w http.ResponseWriter, r *http.Request) {
	var t Trim
	if !decode(w, r, &t) {
		return
	}
	s.log.Trim(t.First)
	w.WriteHeader(http.StatusNoContent)
}

// fail answers a failed call. It aborts the connection of an append whose answer
// is to be lost.
func fail(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, sharedlog.ErrUnknown):
		panic(http.ErrAbortHandler)
	case errors.Is(err, sharedlog.ErrTrimmed):
		http.Error(w, err.Error(), http.StatusGone)
	case errors.Is(err, sharedlog.ErrTooLarge):
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

func statusOfBody(err error) int {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusBadRequest
}

func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error here means that the client has disconnected and can't be notified.
	_ = json.NewEncoder(w).Encode(body)
}
