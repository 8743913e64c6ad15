package telemetry

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// The paths of the monitoring interface.
const (
	// TextPath serves the text format that scrapers read.
	TextPath = "/metrics"
	// JSONPath serves a Report.
	JSONPath = "/v1/metrics"
	// HealthPath returns status 200 as long as the process serves requests.
	HealthPath = "/healthz"
	// ReadyPath returns status 200 when the process can do its work, otherwise
	// 503.
	ReadyPath = "/readyz"
)

// Report holds all metrics of a process.
type Report struct {
	Counters  map[string]int64 `json:"counters"`
	Gauges    map[string]int64 `json:"gauges"`
	Summaries []Summary        `json:"histograms"`
}

// Health is the body of the answers on HealthPath and ReadyPath.
type Health struct {
	OK bool `json:"ok"`
	// Reason is why the process is not ready.
	Reason string `json:"reason,omitempty"`
}

// Report returns all metrics.
func (r *Registry) Report() Report {
	return Report{Counters: r.Counters(), Gauges: r.Gauges(), Summaries: r.Summaries()}
}

// Register adds the monitoring routes to a mux. The function ready returns nil
// when the process can do its work, otherwise an error with the reason.
func (r *Registry) Register(mux *http.ServeMux, ready func() error) {
	mux.HandleFunc("GET "+JSONPath, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, r.Report())
	})
	mux.HandleFunc("GET "+TextPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		// An error here means that the client has disconnected and cannot be
		// notified.
		_ = r.WriteText(w)
	})
	mux.HandleFunc("GET "+HealthPath, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, Health{OK: true})
	})
	mux.HandleFunc("GET "+ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if err := ready(); err != nil {
			writeJSON(w, http.StatusServiceUnavailable, Health{Reason: err.Error()})
			return
		}
		writeJSON(w, http.StatusOK, Health{OK: true})
	})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error here means that the client has disconnected and cannot be
	// notified.
	_ = json.NewEncoder(w).Encode(body)
}

// textPrefix is the prefix of all names in the text format.
const textPrefix = "marjoramlug_"

// WriteText writes all metrics in the Prometheus text format, durations in
// seconds.
func (r *Registry) WriteText(out io.Writer) error {
	w := bufio.NewWriter(out)
	writeValues(w, "counter", r.Counters())
	writeValues(w, "gauge", r.Gauges())
	writeSummaries(w, r.Summaries())
	return w.Flush()
}

func writeValues(w *bufio.Writer, kind string, values map[string]int64) {
	for _, name := range slices.Sorted(maps.Keys(values)) {
		text := textName(name)
		fmt.Fprintf(w, "# TYPE %s %s\n%s %d\n", text, kind, text, values[name])
	}
}

func writeSummaries(w *bufio.Writer, summaries []Summary) {
	last := ""
	for _, h := range summaries {
		name := textName(strings.TrimSuffix(h.Name, "_us")) + "_seconds"
		if name != last {
			fmt.Fprintf(w, "# TYPE %s summary\n", name)
			last = name
		}
		labels := fmt.Sprintf("who=%s,class=%s", quoteLabel(h.Who), quoteLabel(h.Class))
		for _, q := range []struct {
			quantile string
			micros   float64
		}{{"0.5", h.P50}, {"0.9", h.P90}, {"0.99", h.P99}, {"0.999", h.P999}} {
			fmt.Fprintf(w, "%s{%s,quantile=%q} %s\n", name, labels, q.quantile, seconds(q.micros))
		}
		fmt.Fprintf(w, "%s_sum{%s} %s\n", name, labels, seconds(float64(h.Sum)))
		fmt.Fprintf(w, "%s_count{%s} %d\n", name, labels, h.Count)
	}
}

// textName replaces the characters that are not allowed in a name in the text
// format.
func textName(name string) string {
	return textPrefix + strings.Map(func(r rune) rune {
		if r == '_' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' {
			return r
		}
		return '_'
	}, name)
}

var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

func quoteLabel(value string) string { return `"` + labelEscaper.Replace(value) + `"` }

func seconds(micros float64) string {
	return strconv.FormatFloat(micros/float64(time.Second/time.Microsecond), 'g', -1, 64)
}
