package telemetry

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"marjoramlug.example/marjoramlug/message"
)

func TestConcurrentUpdatesAreAllCounted(t *testing.T) {
	is := is.New(t)
	r := New()
	const goroutines, each = 8, 500
	var group sync.WaitGroup
	for range goroutines {
		group.Go(func() {
			for i := range each {
				r.Add("jobs", 1)
				r.Observe("response_us", "trials", fmt.Sprint(i%3), time.Millisecond)
			}
		})
	}
	group.Wait()
	is.Equal(r.Counters()["jobs"], int64(goroutines*each))
	total := int64(0)
	for _, h := range r.Summaries() {
		total += h.Count
	}
	is.Equal(total, int64(goroutines*each))
}

func TestHistogramSummary(t *testing.T) {
	is := is.New(t)
	r := New()
	for i := 1; i <= 100; i++ {
		r.Observe("response_us", "trials", "check", time.Duration(i)*time.Millisecond)
	}
	h := r.Summaries()[0]
	is.Equal([]int64{h.Count, h.Sum, h.Min, h.Max}, []int64{100, 5050000, 1000, 100000})
	is.Equal(h.P50, 50500.0)
}

func TestSeriesAreBounded(t *testing.T) {
	is := is.New(t)
	r := New()
	for i := range MaxSeries + 50 {
		r.Observe("response_us", fmt.Sprint("caller", i), "check", time.Millisecond)
	}
	r.Observe("run_us", "caller0", "check", time.Millisecond) // the bound is per name
	byName := map[string]int{}
	other := int64(0)
	for _, h := range r.Summaries() {
		byName[h.Name]++
		if h.Who == Other {
			other = h.Count
		}
	}
	is.Equal(byName, map[string]int{"response_us": MaxSeries + 1, "run_us": 1})
	is.Equal(other, int64(50))
}

func TestIdleSeriesAreReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := New()
		for i := range MaxSeries {
			r.Observe("response_us", fmt.Sprint("caller", i), "check", time.Millisecond)
		}
		time.Sleep(SeriesIdleTimeout + time.Second)
		r.Observe("response_us", "caller1", "check", time.Millisecond)
		for i := range MaxSeries {
			r.Observe("response_us", fmt.Sprint("late", i), "check", time.Millisecond)
		}
		who := map[string]int64{}
		for _, h := range r.Summaries() {
			who[h.Who] = h.Count
		}
		is.Equal(who["caller1"], int64(2)) // in use: kept
		is.Equal(who["caller0"], int64(0)) // idle: replaced
		is.Equal(who["late0"], int64(1))
		is.Equal(who[Other], int64(1)) // one series beyond the bound
	})
}

func TestMessagesByKind(t *testing.T) {
	is := is.New(t)
	r := New()
	m := NewMessages(r, "message")
	m.Sent(message.KindStart)
	m.Received(message.KindRoster)
	m.Received(message.Kind(250))
	counters := r.Counters()
	is.Equal(counters["message.sent.start"], int64(1))
	is.Equal(counters["message.received.roster"], int64(1))
	is.Equal(counters["message.received.unknown"], int64(1))
}

func get(t *testing.T, mux http.Handler, path string) *httptest.ResponseRecorder {
	t.Helper()
	w := httptest.NewRecorder()
	mux.ServeHTTP(w, httptest.NewRequest("GET", path, nil))
	return w
}

func TestHandlers(t *testing.T) {
	is := is.New(t)
	r := New()
	r.Add("job.complete", 3)
	r.Set("agents", 7)
	r.Observe("response_us", `trials/"a\b"`, "check", 1500*time.Millisecond)
	var notReady error
	mux := http.NewServeMux()
	r.Register(mux, func() error { return notReady })

	text := get(t, mux, TextPath)
	is.Equal(text.Body.String(), strings.Join([]string{
		`# TYPE marjoramlug_job_complete counter`,
		`marjoramlug_job_complete 3`,
		`# TYPE marjoramlug_agents gauge`,
		`marjoramlug_agents 7`,
		`# TYPE marjoramlug_response_seconds summary`,
		`marjoramlug_response_seconds{who="trials/\"a\\b\"",class="check",quantile="0.5"} 1.5`,
		`marjoramlug_response_seconds{who="trials/\"a\\b\"",class="check",quantile="0.9"} 1.5`,
		`marjoramlug_response_seconds{who="trials/\"a\\b\"",class="check",quantile="0.99"} 1.5`,
		`marjoramlug_response_seconds{who="trials/\"a\\b\"",class="check",quantile="0.999"} 1.5`,
		`marjoramlug_response_seconds_sum{who="trials/\"a\\b\"",class="check"} 1.5`,
		`marjoramlug_response_seconds_count{who="trials/\"a\\b\"",class="check"} 1`,
		``,
	}, "\n"))

	var report Report
	is.NoErr(json.Unmarshal(get(t, mux, JSONPath).Body.Bytes(), &report))
	is.Equal(report.Counters, map[string]int64{"job.complete": 3})
	is.Equal(report.Gauges, map[string]int64{"agents": 7})
	is.Equal(report.Summaries[0].Count, int64(1))

	is.Equal(get(t, mux, HealthPath).Code, http.StatusOK)
	is.Equal(get(t, mux, ReadyPath).Code, http.StatusOK)
	notReady = errors.New("configuration incomplete")
	is.Equal(get(t, mux, HealthPath).Code, http.StatusOK)
	w := get(t, mux, ReadyPath)
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.Equal(w.Body.String(), `{"ok":false,"reason":"configuration incomplete"}`+"\n")
}

func BenchmarkAdd(b *testing.B) {
	r := New()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r.Add("jobs", 1)
		}
	})
}

func BenchmarkObserve(b *testing.B) {
	r := New()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r.Observe("response_us", "trials", "check", time.Millisecond)
		}
	})
}

func BenchmarkMessage(b *testing.B) {
	m := NewMessages(New(), "message")
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			m.Sent(message.KindStart)
		}
	})
}
