package deadline

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"marjoramlug.example/marjoramlug/config"
	"marjoramlug.example/marjoramlug/dispatch"
	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/verdict"
)

// minSweepCallers is the number of callers below which idle ones are not removed.
const minSweepCallers = 1024

// callerKey identifies a caller.
type callerKey struct{ team, caller string }

// rates holds the token buckets of callers and teams.
type rates struct {
	callerRate  float64
	callerBurst int
	callers     map[callerKey]*rate.Limiter
	teams       map[string]*rate.Limiter
	// sweepAt is the number of callers at which idle ones are removed.
	sweepAt int
}

func newRates() *rates {
	return &rates{callers: map[callerKey]*rate.Limiter{}, teams: map[string]*rate.Limiter{}, sweepAt: minSweepCallers}
}

// configure sets the quotas. A bucket starts full when its quota changes.
func (r *rates) configure(service config.Service) {
	limits := service.Limits
	if limits.CallerRate != r.callerRate || limits.CallerBurst != r.callerBurst {
		clear(r.callers)
	}
	r.callerRate, r.callerBurst = limits.CallerRate, limits.CallerBurst
	previous := r.teams
	r.teams = map[string]*rate.Limiter{}
	for _, t := range service.Teams {
		if t.Rate == 0 {
			continue
		}
		bucket := newBucket(t.Rate, t.Burst)
		if old := previous[t.Name]; old != nil && old.Limit() == bucket.Limit() && old.Burst() == bucket.Burst() {
			bucket = old
		}
		r.teams[t.Name] = bucket
	}
}

// newBucket returns a bucket that holds the tasks of at least one second.
func newBucket(perSecond float64, burst int) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(burst, int(math.Ceil(perSecond)), 1))
}

func (r *rates) caller(now time.Time, key callerKey) *rate.Limiter {
	if r.callerRate == 0 {
		return nil
	}
	b := r.callers[key]
	if b == nil {
		r.sweep(now)
		b = newBucket(r.callerRate, r.callerBurst)
		r.callers[key] = b
	}
	return b
}

// sweep removes the callers with a full bucket once the number of callers has
// doubled.
func (r *rates) sweep(now time.Time) {
	if len(r.callers) < r.sweepAt {
		return
	}
	for key, b := range r.callers {
		if b.TokensAt(now) >= float64(b.Burst()) {
			delete(r.callers, key)
		}
	}
	r.sweepAt = max(2*len(r.callers), minSweepCallers)
}

// take charges a job to its caller and team, or to neither if it refuses it.
func (r *rates) take(now time.Time, job *message.Submit) *dispatch.Refusal {
	callerBucket := r.caller(now, callerKey{job.Job.Team, job.Job.Caller})
	teamBucket := r.teams[job.Job.Team]
	if wait := shortfall(now, callerBucket, len(job.Tasks)); wait > 0 {
		return &dispatch.Refusal{Reason: verdict.ReasonRateLimit, Detail: "the caller submits too fast", RetryAfter: clampRetry(wait)}
	}
	if wait := shortfall(now, teamBucket, len(job.Tasks)); wait > 0 {
		return &dispatch.Refusal{Reason: verdict.ReasonQuota, Detail: "the team submits too fast", RetryAfter: clampRetry(wait)}
	}
	charge(now, callerBucket, len(job.Tasks))
	charge(now, teamBucket, len(job.Tasks))
	return nil
}

// tokens returns the cost of a job: a job larger than the bucket needs a full one.
func tokens(b *rate.Limiter, tasks int) int { return min(tasks, b.Burst()) }

// shortfall returns the time until the bucket has enough tokens for the tasks.
func shortfall(now time.Time, b *rate.Limiter, tasks int) time.Duration {
	if b == nil {
		return 0
	}
	missing := float64(tokens(b, tasks)) - b.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	return time.Duration(math.Ceil(missing / float64(b.Limit()) * float64(time.Second)))
}

func charge(now time.Time, b *rate.Limiter, tasks int) {
	if b != nil {
		b.AllowN(now, tokens(b, tasks))
	}
}
