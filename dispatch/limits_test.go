package dispatch

import (
	"testing"
	"time"

	"marjoramlug.example/marjoramlug/config"
	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/verdict"
)

func TestCancellation(t *testing.T) {
	runFaults(t, []faultCase{
		{"before the job", func(h *harness, s Session) {
			job := h.job("j", 1)
			h.step(JobCancelled{Job: job.Job})
			h.submit(job)
			h.is.Equal(len(h.starts()), 1)
		}},
		{"during the job: one message, queued tasks are removed", func(h *harness, s Session) {
			w := h.submit(h.job("j", 100))
			starts := h.starts()
			h.step(JobCancelled{Job: starts[0].Job})
			a := h.assertFailed(w, verdict.MayHaveRun, verdict.ReasonCancelled)
			h.is.Equal(len(a.Tasks), 100)
			h.is.Equal(a.Tasks[1].Verdict, verdict.MayHaveRun)
			h.is.Equal(a.Tasks[2].Verdict, verdict.NotRun)
			cancels := takeSent[*message.Cancel](h)
			h.is.Equal(len(cancels), 1)
			h.is.Equal(cancels[0].Starts, []message.StartID{starts[0].ID, starts[1].ID})
			h.finish(s, starts[0], message.TaskResult{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonCancelled})
			h.finish(s, starts[1], ran)
			h.is.Equal(h.core.Counters().LateResults, uint64(2))
			h.assertIdle()
		}},
		{"queued only: NotRun without a message", func(h *harness, s Session) {
			h.step(LeaseChanged{})
			job := h.job("j", 5)
			w := h.submit(job)
			h.step(JobCancelled{Job: job.Job})
			h.assertFailed(w, verdict.NotRun, verdict.ReasonCancelled)
			h.is.Equal(len(h.sent), 0)
			h.assertIdle()
		}},
		{"after the job", func(h *harness, s Session) {
			job := h.job("j", 1)
			w := h.submit(job)
			h.finish(s, h.starts()[0], ran)
			h.step(JobCancelled{Job: job.Job})
			h.assertComplete(w)
			h.assertComplete(h.submit(job))
		}},
	})
}

func TestManyCancellationsAreOneMessagePerAgent(t *testing.T) {
	opts := testOptions()
	opts.BatchDelay = 10 * time.Millisecond
	h := newHarness(t, opts)
	h.step(ShardAcquired{Shard: testShard, Epoch: 1, First: true})
	s := h.connect("a", 1, 50)
	for i := range 50 {
		h.submit(h.job(string(rune('A'+i)), 1))
	}
	starts := h.starts()
	for _, st := range starts {
		h.step(JobCancelled{Job: st.Job})
	}
	h.finish(s, starts[0], ran)
	h.advance(opts.BatchDelay)
	cancels := takeSent[*message.Cancel](h)
	h.is.Equal(len(cancels), 1)
	h.is.Equal(len(cancels[0].Starts), 49) // the first has ended since
}

func TestLimits(t *testing.T) {
	runFaults(t, []faultCase{
		{"caller concurrency", func(h *harness, s Session) {
			h.step(Configured{Service: config.Service{Limits: config.Limits{CallerConcurrency: 1}}})
			h.submit(h.job("j", 2))
			starts := h.starts()
			h.is.Equal(len(starts), 1)
			h.finish(s, starts[0], ran)
			h.is.Equal(len(h.starts()), 1)
		}},
		{"team concurrency", func(h *harness, s Session) {
			h.submit(h.job("j", 1))
			h.step(Configured{Service: config.Service{Teams: []config.Team{{Name: "kiln", Concurrency: 1}}}})
			other := h.job("k", 1)
			other.Job.Caller = "bench"
			h.submit(other)
			h.is.Equal(len(h.starts()), 1)
			other.Job.Team = "press"
			h.submit(other)
			h.is.Equal(len(h.starts()), 1)
		}},
		{"impossible job", func(h *harness, s Session) {
			job := h.job("j", 2)
			job.Tasks[1].Accelerator = "tpu"
			h.step(LeaseChanged{})
			w := h.submit(job)
			h.step(LeaseChanged{Until: h.now.Add(time.Minute)})
			h.is.Equal(len(h.starts()), 1)
			for range 10 {
				h.send(s, &message.Heartbeat{})
				h.advance(time.Second / 2)
			}
			h.is.Equal(h.replies[w], nil) // the other task has started and continues
			h.is.Equal(h.core.Counters().Impossible, uint64(1))
		}},
		{"impossible job of which nothing started", func(h *harness, s Session) {
			job := h.job("j", 1)
			job.Tasks[0].Memory = 1 << 40
			w := h.submit(job)
			for range 8 {
				h.is.Equal(h.replies[w], nil)
				h.send(s, &message.Heartbeat{})
				h.advance(time.Second / 2)
			}
			h.assertFailed(w, verdict.NotRun, verdict.ReasonImpossible)
			h.assertIdle()
		}},
		{"endpoint is announced in time", func(h *harness, s Session) {
			job := h.job("j", 1)
			job.Tasks[0].Memory = 1 << 40
			h.submit(job)
			h.advance(2 * time.Second)
			h.send(s, &message.Announce{Endpoints: []message.EndpointInfo{{Name: "e", Slots: 2, Memory: 1 << 40}}})
			h.is.Equal(len(h.starts()), 1)
		}},
	})
}

func TestRetryOfIdempotentRequests(t *testing.T) {
	broken := message.TaskResult{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonBadResponse}
	request := func(h *harness, name string, single, idempotent bool) Waiter {
		job := h.job(name, 1)
		job.Single = single
		job.Tasks[0].Idempotent = idempotent
		return h.submit(job)
	}
	runFaults(t, []faultCase{
		{"idempotent request", func(h *harness, s Session) {
			w := request(h, "j", true, true)
			h.finish(s, h.starts()[0], broken)
			h.finish(s, h.starts()[0], ran)
			h.assertComplete(w)
			h.assertIdle()
		}},
		{"the retry that is not run leaves MayHaveRun", func(h *harness, s Session) {
			w := request(h, "j", true, true)
			h.finish(s, h.starts()[0], broken)
			h.finish(s, h.starts()[0], message.TaskResult{Verdict: verdict.NotRun, Reason: verdict.ReasonTooLarge})
			h.assertFailed(w, verdict.MayHaveRun, verdict.ReasonTooLarge)
		}},
		{"non-idempotent request", func(h *harness, s Session) {
			w := request(h, "j", true, false)
			h.finish(s, h.starts()[0], broken)
			h.assertFailed(w, verdict.MayHaveRun, verdict.ReasonBadResponse)
		}},
		{"task of a job", func(h *harness, s Session) {
			w := request(h, "j", false, true)
			h.finish(s, h.starts()[0], broken)
			h.assertFailed(w, verdict.MayHaveRun, verdict.ReasonBadResponse)
		}},
		{"no retry storm", func(h *harness, s Session) {
			h.grant(s, 100)
			for i := range 50 {
				request(h, string(rune('A'+i)), true, true)
			}
			h.is.Equal(len(h.starts()), 50)
			h.connect("a", 2, 100)
			h.is.Equal(len(h.starts()), retryReserve)
			h.is.Equal(h.core.Counters().RetriesDenied, uint64(50-retryReserve))
		}},
	})
}
