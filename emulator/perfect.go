package emulator

import (
	"cmp"
	"context"
	"slices"
	"time"
)

// perfectQueue schedules all jobs from one queue with perfect knowledge of run times
// and free capacity and without any delay. Deaths of entries and agents,
// crashes of endpoints and unanswered calls do not exist for it; it refuses deadly jobs. What it serves is what a policy can be
// compared with; as it is greedy, it is no strict bound.
type perfectQueue struct {
	sim       *simulation
	endpoints []*perfectEndpoint
	waiting   []*perfectJob
}

type perfectEndpoint struct {
	free     int64
	slowness float64
}

type perfectJob struct {
	*job
	next, left int
	density    float64
}

// RunPerfect plays the load of an experiment with one queue that has perfect
// knowledge.
func RunPerfect(ctx context.Context, x *Experiment, seed int64) *Result {
	s := newSimulation(x, seed)
	s.perfect = &perfectQueue{sim: s}
	for _, g := range x.Fleet.Agents {
		for range g.Count {
			s.perfect.endpoints = append(s.perfect.endpoints, &perfectEndpoint{free: int64(g.Cores * milliCPU), slowness: g.Slowness})
		}
	}
	s.play(ctx)
	return s.result
}

func (q *perfectQueue) submit(j *job) {
	if j.deadly {
		q.sim.finish(j, outcomeRefused)
		return
	}
	work := 0.0
	for _, t := range j.works {
		work += t.Seconds()
	}
	value := q.sim.experiment.Classes[j.class].Value
	q.waiting = append(q.waiting, &perfectJob{job: j, left: len(j.works), density: value / (work * float64(j.need.MilliCPU))})
	q.place()
}

// place starts tasks of the jobs with the highest value per work first. Jobs that
// can't be in time any more come last, and are refused once they earn nothing.
func (q *perfectQueue) place() {
	now := q.sim.clock.now
	slices.SortStableFunc(q.waiting, func(a, b *perfectJob) int {
		return cmp.Or(cmp.Compare(a.lateness(now), b.lateness(now)), cmp.Compare(b.density, a.density))
	})
	kept := q.waiting[:0]
	for _, j := range q.waiting {
		switch {
		case j.next == 0 && j.lateness(now) > 1:
			q.sim.finish(j.job, outcomeRefused)
		case !q.placeJob(j):
			kept = append(kept, j)
		}
	}
	q.waiting = kept
}

// lateness returns 0 for a job that can still be in time, 1 for one that can still
// earn something, and 2 for others.
func (j *perfectJob) lateness(now time.Duration) int {
	if j.next >= len(j.works) {
		return 0
	}
	end := now + slices.Max(j.works[j.next:]) - j.sent
	switch {
	case end <= j.objective:
		return 0
	case end <= lateObjectives*j.objective:
		return 1
	}
	return 2
}

// placeJob starts tasks of a job while there is free capacity and reports whether all
// have started.
func (q *perfectQueue) placeJob(j *perfectJob) bool {
	for j.next < len(j.works) {
		e := q.pick(j)
		if e == nil {
			return false
		}
		took := time.Duration(float64(j.works[j.next]) * e.slowness)
		j.taskStarted(j.next, q.sim.clock.now)
		j.next++
		e.free -= j.need.MilliCPU
		q.sim.result.Starts++
		q.sim.clock.after(took, func() {
			e.free += j.need.MilliCPU
			if j.left--; j.left == 0 {
				q.sim.finish(j.job, j.completedAt(q.sim.clock.now))
			}
			q.place()
		})
	}
	return true
}

// pick returns the slowest endpoint on which the next task is in time; for a late job
// the fastest. It returns nil if a job that can be in time is so on no endpoint with
// free capacity.
func (q *perfectQueue) pick(j *perfectJob) *perfectEndpoint {
	now := q.sim.clock.now
	late := j.lateness(now) > 0
	var best *perfectEndpoint
	for _, e := range q.endpoints {
		if e.free < j.need.MilliCPU {
			continue
		}
		inTime := now+time.Duration(float64(j.works[j.next])*e.slowness)-j.sent <= j.objective
		switch {
		case !late && !inTime:
		case best == nil, late && e.slowness < best.slowness, !late && e.slowness > best.slowness:
			best = e
		}
	}
	return best
}
