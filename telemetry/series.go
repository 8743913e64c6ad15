package telemetry

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Size and decay factor of the exponentially decaying samples; these are the
// defaults of go-metrics.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

const (
	// MaxSeries bounds the series of one name.
	MaxSeries = 200
	// SeriesIdleTimeout is the time without a value after which a series may be
	// replaced when its name has MaxSeries.
	SeriesIdleTimeout = 15 * time.Minute
	// sweepInterval is the least time between two searches for idle series.
	sweepInterval = 10 * time.Second
	// Other is the caller or team, and the class, of the shared series for values
	// beyond MaxSeries.
	Other = "other"
)

type seriesKey struct{ name, who, class string }

// series is one histogram.
type series struct {
	histogram metrics.Histogram
	// sum is the sum of all values; the histogram's own covers its sample only.
	sum metrics.Counter
	// lastUsed is the time of the last value, in Unix nanoseconds.
	lastUsed atomic.Int64
}

func newSeries() *series {
	return &series{
		histogram: metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha)),
		sum:       metrics.NewCounter(),
	}
}

// family counts the series of one name, without the shared one.
type family struct {
	count int
	// lastSweep is the time of the last search for idle series.
	lastSweep time.Time
}

// seriesOf returns the series of a key, or the shared one beyond MaxSeries.
func (r *Registry) seriesOf(now time.Time, key seriesKey) *series {
	r.seriesMu.RLock()
	s := r.series[key]
	if f := r.families[key.name]; s == nil && f.fullSinceSweep(now) {
		s = r.series[seriesKey{key.name, Other, Other}]
	}
	r.seriesMu.RUnlock()
	if s != nil {
		return s
	}
	r.seriesMu.Lock()
	defer r.seriesMu.Unlock()
	return r.getOrAddSeries(now, key)
}

// fullSinceSweep reports whether the name has MaxSeries series and was searched
// for idle ones within sweepInterval. Values of new series then go to the shared
// series without another search.
func (f family) fullSinceSweep(now time.Time) bool {
	return f.count >= MaxSeries && now.Sub(f.lastSweep) < sweepInterval
}

// getOrAddSeries returns the key's series. It creates the series as long as the
// name has fewer than MaxSeries, else it returns the name's shared one.
func (r *Registry) getOrAddSeries(now time.Time, key seriesKey) *series {
	f := r.families[key.name]
	if f.count >= MaxSeries && !f.fullSinceSweep(now) {
		f = family{count: f.count - r.dropIdle(now, key.name), lastSweep: now}
		r.families[key.name] = f
	}
	if f.count >= MaxSeries && r.series[key] == nil {
		key.who, key.class = Other, Other
	}
	if s := r.series[key]; s != nil {
		return s
	}
	s := newSeries()
	s.lastUsed.Store(now.UnixNano())
	r.series[key] = s
	if key.who != Other {
		f.count++
		r.families[key.name] = f
	}
	return s
}

// dropIdle removes the name's idle series and returns their number.
func (r *Registry) dropIdle(now time.Time, name string) int {
	limit := now.Add(-SeriesIdleTimeout).UnixNano()
	dropped := 0
	for key, s := range r.series {
		if key.name == name && key.who != Other && s.lastUsed.Load() < limit {
			delete(r.series, key)
			dropped++
		}
	}
	return dropped
}

// Summary summarizes the durations of one series, in microseconds. Count and Sum
// cover all values, the other fields a sample in which newer values have more
// weight.
type Summary struct {
	Name  string  `json:"name"`
	Who   string  `json:"who"`
	Class string  `json:"class"`
	Count int64   `json:"count"`
	Sum   int64   `json:"sum_us"`
	Min   int64   `json:"min_us"`
	Max   int64   `json:"max_us"`
	Mean  float64 `json:"mean_us"`
	P50   float64 `json:"p50_us"`
	P90   float64 `json:"p90_us"`
	P99   float64 `json:"p99_us"`
	P999  float64 `json:"p999_us"`
}

// Summaries returns a summary of every series, ordered by name, caller or team,
// and class.
func (r *Registry) Summaries() []Summary {
	r.seriesMu.RLock()
	list := make([]Summary, 0, len(r.series))
	for key, s := range r.series {
		list = append(list, summarize(key, s))
	}
	r.seriesMu.RUnlock()
	slices.SortFunc(list, func(a, b Summary) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Who, b.Who), cmp.Compare(a.Class, b.Class))
	})
	return list
}

func summarize(key seriesKey, s *series) Summary {
	h := s.histogram.Snapshot()
	p := h.Percentiles([]float64{0.5, 0.9, 0.99, 0.999})
	return Summary{
		Name: key.name, Who: key.who, Class: key.class,
		Count: h.Count(), Sum: s.sum.Count(), Min: h.Min(), Max: h.Max(), Mean: h.Mean(),
		P50: p[0], P90: p[1], P99: p[2], P999: p[3],
	}
}
