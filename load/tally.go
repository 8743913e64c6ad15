package load

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"marjoramlug.example/marjoramlug/api"
	"marjoramlug.example/marjoramlug/verdict"
)

// Bounds of the histograms: times in microseconds, ratios in thousandths.
const (
	histogramMin      = 1
	histogramMax      = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
	ratioScale        = 1000
)

// tally collects the results of a run. It is safe for concurrent use.
type tally struct {
	mu         sync.Mutex
	jobs       int
	tasks      int
	response   *hdrhistogram.Histogram
	idealRatio *hdrhistogram.Histogram
	// chosenRatio holds the ratio of each task's wait and run time to its run time
	// on the endpoint that was chosen. It shows the effect of waiting without that
	// of placement.
	chosenRatio *hdrhistogram.Histogram
	taskTimes   map[string]*hdrhistogram.Histogram
	taskWaits   map[string]*hdrhistogram.Histogram
	failed      map[failureKind]int
	// serverErrors counts tasks that endpoints answered with a status of 500 or above.
	serverErrors int
}

// failureKind classifies failed jobs.
type failureKind struct {
	verdict verdict.Verdict
	reason  verdict.Reason
}

func newTally() *tally {
	return &tally{
		response:    newHistogram(),
		idealRatio:  newHistogram(),
		chosenRatio: newHistogram(),
		taskTimes:   map[string]*hdrhistogram.Histogram{},
		taskWaits:   map[string]*hdrhistogram.Histogram{},
		failed:      map[failureKind]int{},
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramMin, histogramMax, significantDigits)
}

func (t *tally) recordFailure(v verdict.Verdict, reason verdict.Reason) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failed[failureKind{v, reason}]++
}

func (t *tally) recordJob(opts Options, a Arrival, resp *api.JobResponse, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.jobs++
	t.tasks += len(a.Tasks)
	record(t.response, float64(took.Microseconds()))
	record(t.idealRatio, ratioScale*float64(took)/float64(opts.Profile.Ideal(taskRunTimes(a))+opts.RoundTrip))
	for i, task := range resp.Tasks {
		class := a.Tasks[i].Class.Name
		record(t.class(t.taskTimes, class), 1000*(task.RunMillis+task.WaitMillis))
		record(t.class(t.taskWaits, class), 1000*task.WaitMillis)
		if task.Status >= http.StatusInternalServerError {
			t.serverErrors++
		}
		record(t.chosenRatio, ratioScale*(task.RunMillis+task.WaitMillis)/max(task.RunMillis, 0.001))
	}
}

// class returns the histogram of a class of tasks in m, which it creates if needed.
func (t *tally) class(m map[string]*hdrhistogram.Histogram, name string) *hdrhistogram.Histogram {
	h, ok := m[name]
	if !ok {
		h = newHistogram()
		m[name] = h
	}
	return h
}

func record(h *hdrhistogram.Histogram, value float64) {
	_ = h.RecordValue(min(max(int64(value), histogramMin), histogramMax)) // cannot fail: the value is clamped to the histogram's bounds
}

// sortedKeys returns a map's keys in order.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
