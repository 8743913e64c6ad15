// Package telemetry holds the metrics of a process and its event log. Histograms
// have one series per caller or team and class, up to MaxSeries per name; values
// beyond that share one series.
package telemetry

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Registry holds a process's metrics. It is safe for concurrent use. Counters
// and gauges cost one lookup without a lock; Counter returns a handle that
// costs none.
type Registry struct {
	metrics  metrics.Registry
	counters sync.Map // name to metrics.Counter
	gauges   sync.Map // name to metrics.Gauge

	seriesMu sync.RWMutex
	series   map[seriesKey]*series
	families map[string]family
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{
		metrics:  metrics.NewRegistry(),
		series:   map[seriesKey]*series{},
		families: map[string]family{},
	}
}

// Counter returns the named counter. Code that counts per task should keep the
// handle to save the lookup.
func (r *Registry) Counter(name string) metrics.Counter {
	if c, ok := r.counters.Load(name); ok {
		return c.(metrics.Counter)
	}
	c := metrics.GetOrRegisterCounter(name, r.metrics)
	r.counters.Store(name, c)
	return c
}

// Add adds n to the named counter.
func (r *Registry) Add(name string, n int64) { r.Counter(name).Inc(n) }

// Set sets the named gauge.
func (r *Registry) Set(name string, value int64) {
	g, ok := r.gauges.Load(name)
	if !ok {
		g = metrics.GetOrRegisterGauge(name, r.metrics)
		r.gauges.Store(name, g)
	}
	g.(metrics.Gauge).Update(value)
}

// Observe adds a duration to the series of the named histogram for a caller or
// team (who) and a class.
func (r *Registry) Observe(name, who, class string, d time.Duration) {
	now := time.Now()
	s := r.seriesOf(now, seriesKey{name, who, class})
	s.lastUsed.Store(now.UnixNano())
	s.histogram.Update(d.Microseconds())
	s.sum.Inc(d.Microseconds())
}

// Counters returns all counters by name.
func (r *Registry) Counters() map[string]int64 {
	counters := map[string]int64{}
	r.metrics.Each(func(name string, m any) {
		if c, ok := m.(metrics.Counter); ok {
			counters[name] = c.Count()
		}
	})
	return counters
}

// Gauges returns all gauges by name.
func (r *Registry) Gauges() map[string]int64 {
	gauges := map[string]int64{}
	r.metrics.Each(func(name string, m any) {
		if g, ok := m.(metrics.Gauge); ok {
			gauges[name] = g.Value()
		}
	})
	return gauges
}
