package reservation

import (
	"time"

	"marjoramlug.example/marjoramlug/message"
)

const (
	// maxReservedShare is the share of the endpoints that may be reserved at a time. It
	// bounds what wrong predictions cost: at most this share of the capacity idles.
	maxReservedShare = 0.4
	// alternates is the number of endpoints that a job reserves beside one for each of
	// its tasks: other entries use the same endpoints, and the first that has room
	// decides. Without them large jobs waited longer than with no reservation.
	alternates = 3
	// keepFactor multiplies the predicted wait for an endpoint that is reserved already.
	// Predictions change with each run that ends; each move to another endpoint gives
	// up the capacity that idles on the first one.
	keepFactor = 0.5
	// A reservation is given up when it has lasted holdFactor times its predicted wait
	// and holdSlack more; the endpoint is then not reserved for restTime. This bounds
	// how long capacity idles because of a wrong prediction.
	holdFactor = 1.5
	holdSlack  = 100 * time.Millisecond
	restTime   = 500 * time.Millisecond
)

// Claim is a job with tasks that fit nowhere.
type Claim struct {
	Job  string
	Need message.Resources
	// Tasks is the number of waiting tasks.
	Tasks int
	// Eligible lists the endpoints that may run them.
	Eligible []int
}

// Reservation is an endpoint that is kept for a task of a job.
type Reservation struct {
	Job  string
	Need message.Resources
	// At is the predicted time at which the task can start, Until the time at which the
	// reservation is given up.
	At, Until time.Duration
}

// Book holds the reservations of one entry. Endpoints are identified by their index.
type Book struct {
	reserved map[int]*Reservation
	// perJob counts the reservations of each job.
	perJob map[string]int
	// resting holds the times until which endpoints are not reserved.
	resting map[int]time.Duration
	// Expired counts the reservations that were given up at their Until.
	Expired int64
}

// NewBook returns a book without reservations.
func NewBook() *Book {
	return &Book{reserved: map[int]*Reservation{}, perJob: map[string]int{}, resting: map[int]time.Duration{}}
}

// At returns the reservation of an endpoint, or nil.
func (b *Book) At(endpoint int) *Reservation { return b.reserved[endpoint] }

// Len returns the number of reserved endpoints.
func (b *Book) Len() int { return len(b.reserved) }

// Holds reports whether a job has a reservation.
func (b *Book) Holds(job string) bool { return b.perJob[job] > 0 }

// Renew replaces the reservations by those for the claims, in the order of the claims:
// each task of a claim gets the endpoint that is predicted to be free first. An endpoint
// is kept for one task at a time.
func (b *Book) Renew(now time.Duration, endpoints []Endpoint, claims []Claim) {
	b.rest(now)
	previous := b.reserved
	b.reserved, b.perJob = map[int]*Reservation{}, map[string]int{}
	present := 0
	for i := range endpoints {
		if !endpoints[i].Capacity.IsZero() {
			present++
		}
	}
	limit := max(1, int(maxReservedShare*float64(present)))
	for _, c := range claims {
		for range c.Tasks + alternates {
			if len(b.reserved) >= limit {
				return
			}
			best, r := b.earliest(now, endpoints, c, previous)
			if r == nil {
				break
			}
			b.reserved[best] = r
			b.perJob[c.Job]++
		}
	}
}

// rest gives up the reservations that have lasted too long, and ends the rest of
// endpoints.
func (b *Book) rest(now time.Duration) {
	for i, until := range b.resting {
		if now >= until {
			delete(b.resting, i)
		}
	}
	for i, r := range b.reserved {
		if now > r.Until {
			b.resting[i] = now + restTime
			b.Expired++
		}
	}
}

// earliest returns the endpoint that is predicted to be the first with room for a task
// of the claim, with a preference for one that the job has reserved before.
func (b *Book) earliest(now time.Duration, endpoints []Endpoint, c Claim, previous map[int]*Reservation) (int, *Reservation) {
	best, bestWait := -1, time.Duration(0)
	var chosen *Reservation
	for _, i := range c.Eligible {
		if b.reserved[i] != nil || b.resting[i] > 0 {
			continue
		}
		at, ok := endpoints[i].FreeAt(now, c.Need)
		if !ok {
			continue
		}
		wait := at - now
		until := now + time.Duration(holdFactor*float64(wait)) + holdSlack
		if p := previous[i]; p != nil && p.Job == c.Job {
			wait, until = time.Duration(keepFactor*float64(wait)), p.Until
		}
		if chosen == nil || wait < bestWait {
			best, bestWait = i, wait
			chosen = &Reservation{Job: c.Job, Need: c.Need, At: at, Until: until}
		}
	}
	return best, chosen
}

// MayStart reports whether a run of another job may start on an endpoint: it is not
// reserved, or the run is predicted to end before the reserved time.
func (b *Book) MayStart(now time.Duration, endpoint int, run Run) bool {
	r := b.reserved[endpoint]
	return r == nil || run.End(now, backfillConfidence) <= r.At
}
