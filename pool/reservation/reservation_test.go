package reservation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramlug.example/marjoramlug/message"
)

const now = time.Minute

func cores(n float64) message.Resources { return message.Resources{MilliCPU: int64(n * 1000)} }

// full returns an endpoint of 26 cores on which nine tasks of 2.7 cores run, with the
// given expected run time, of which each has run for a share.
func full(expected time.Duration, share float64) Endpoint {
	e := Endpoint{Capacity: cores(26), Free: cores(26 - 9*2.7)}
	for range 9 {
		e.Runs = append(e.Runs, Run{Need: cores(2.7), Started: now - time.Duration(share*float64(expected)), Expected: expected})
	}
	return e
}

func large(job string, tasks int, endpoints int) Claim {
	c := Claim{Job: job, Need: cores(20), Tasks: tasks}
	for i := range endpoints {
		c.Eligible = append(c.Eligible, i)
	}
	return c
}

// TestPredictionCoversTheErrorOfEstimates guards against predictions that take
// estimates that are off by 40 % for exact: at any age of a run, the share of runs that
// have ended at the predicted end is the one asked for.
func TestPredictionCoversTheErrorOfEstimates(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	expected := 200 * time.Millisecond
	for _, age := range []float64{0, 0.5, 1, 1.6} {
		for _, confidence := range []float64{releaseConfidence, backfillConfidence} {
			r := Run{Started: now - time.Duration(age*float64(expected)), Expected: expected}
			end := r.End(now, confidence)
			alive, ended := 0, 0
			for alive < 4000 {
				took := time.Duration(float64(expected) * math.Exp(0.4*random.NormFloat64()) * math.Exp(0.15*random.NormFloat64()))
				if r.Started+took <= now {
					continue
				}
				if alive++; r.Started+took <= end {
					ended++
				}
			}
			if got := float64(ended) / float64(alive); math.Abs(got-confidence) > 0.03 {
				t.Errorf("age %.1f: %.2f have ended at the end predicted with %.2f", age, got, confidence)
			}
		}
	}
}

// TestLargeAmongSmall: a large task gets the endpoint that is predicted to be free
// first; small tasks start there only if they end before, and anywhere else.
func TestLargeAmongSmall(t *testing.T) {
	is := is.New(t)
	var endpoints []Endpoint
	for i := range 20 {
		endpoints = append(endpoints, full(400*time.Millisecond, 0.1))
		if i == 7 {
			endpoints[i] = full(400*time.Millisecond, 0.9)
		}
	}
	b := NewBook()
	b.Renew(now, endpoints, []Claim{large("a", 1, len(endpoints))})
	r := b.At(7)
	is.True(r != nil)
	is.Equal(b.Len(), 1+alternates)
	wait := r.At - now
	is.True(wait > 50*time.Millisecond && wait < 250*time.Millisecond)
	is.True(b.MayStart(now, 7, Run{Need: cores(2.7), Started: now, Expected: wait / 4}))
	// Its expected end is before the reserved time, but estimates are off.
	is.True(!b.MayStart(now, 7, Run{Need: cores(2.7), Started: now, Expected: wait * 9 / 10}))
	is.True(b.MayStart(now, 19, Run{Need: cores(2.7), Started: now, Expected: time.Hour}))
	b.Renew(now, nil, nil)
	is.Equal(b.Len(), 0) // the large task has started or has been given up
}

// TestCapacityOfOtherEntriesEndsToo: an endpoint whose runs belong to other entries is
// neither free at once nor never.
func TestCapacityOfOtherEntriesEndsToo(t *testing.T) {
	is := is.New(t)
	e := Endpoint{Capacity: cores(26), Free: cores(2), OthersRunTime: 160 * time.Millisecond}
	at, ok := e.FreeAt(now, cores(20))
	is.True(ok)
	is.Equal(at, now+120*time.Millisecond) // 18 of 24 cores
	_, ok = e.FreeAt(now, cores(27))
	is.True(!ok)
}

// TestEndpointThatTurnsSlow: a reservation moves to another endpoint when its own turns
// slow, and does not move for a small difference, which would give up the capacity that
// idles.
func TestEndpointThatTurnsSlow(t *testing.T) {
	is := is.New(t)
	claims := []Claim{large("a", 1, 2)}
	b := NewBook()
	b.Renew(now, []Endpoint{full(200*time.Millisecond, 0.5), full(200*time.Millisecond, 0.4)}, claims)
	is.Equal(b.Len(), 1) // the limit for two endpoints
	is.True(b.At(0) != nil)
	b.Renew(now, []Endpoint{full(200*time.Millisecond, 0.5), full(200*time.Millisecond, 0.6)}, claims)
	is.True(b.At(0) != nil)
	b.Renew(now, []Endpoint{full(1200*time.Millisecond, 0.1), full(200*time.Millisecond, 0.6)}, claims)
	is.True(b.At(1) != nil)
}

// TestRunThatNeverEnds: a run that hangs is expected to be stopped, and a reservation
// that waits for it is given up, so that the capacity beside it does not idle for long.
func TestRunThatNeverEnds(t *testing.T) {
	is := is.New(t)
	hanging := Run{Need: cores(10), Started: now - time.Second, Expected: 200 * time.Millisecond, Latest: now + time.Second}
	is.Equal(hanging.End(now, releaseConfidence), now+time.Second)
	hanging.Latest = 0
	is.Equal(hanging.End(now, releaseConfidence), now+time.Second) // as long again
	// Another entry's run, of which the prediction says again and again that it ends soon.
	endpoints := []Endpoint{{Capacity: cores(26), Free: cores(16), OthersRunTime: 160 * time.Millisecond}}
	b := NewBook()
	small := func(at time.Duration) Run {
		return Run{Need: cores(2.7), Started: at, Expected: 170 * time.Millisecond}
	}
	idle := 0
	for at := now; at < now+4*time.Second; at += 10 * time.Millisecond {
		b.Renew(at, endpoints, []Claim{large("a", 1, 1)})
		if !b.MayStart(at, 0, small(at)) {
			idle++
		}
	}
	is.True(b.Expired > 0)
	is.True(idle > 0 && idle < 160) // of 400 steps
}

// TestManyLargeAtOnce: many large jobs do not reserve the whole fleet; the first ones in
// their order are served, and no endpoint is reserved twice.
func TestManyLargeAtOnce(t *testing.T) {
	is := is.New(t)
	var endpoints []Endpoint
	var claims []Claim
	for i := range 50 {
		endpoints = append(endpoints, full(200*time.Millisecond, float64(i)/50))
		claims = append(claims, large(fmt.Sprint("job-", i), 2, 50))
	}
	b := NewBook()
	for step := range 20 {
		b.Renew(now+time.Duration(step)*time.Millisecond, endpoints, claims)
		is.Equal(b.Len(), 20)
		for i := range claims {
			is.Equal(b.Holds(claims[i].Job), i < 4) // five endpoints each
		}
	}
}
