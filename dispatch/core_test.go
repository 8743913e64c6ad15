package dispatch

import (
	"testing"
	"time"

	"marjoramlug.example/marjoramlug/verdict"
)

func TestJobRunsAndIsAnswered(t *testing.T) {
	h := newOwner(t)
	s := h.connect("a", 1, 2)
	w := h.submit(h.job("j", 2))
	starts := h.starts()
	h.is.Equal(len(starts), 2)
	h.is.Equal(starts[0].Sequence, h.sequence)
	h.finish(s, starts[1], ran)
	h.is.Equal(h.replies[w], nil) // a job is never answered in part
	h.finish(s, starts[0], ran)
	h.is.Equal(len(h.assertComplete(w).Tasks), 2)
	h.assertIdle()
}

func TestNoStartWithoutLease(t *testing.T) {
	h := newOwner(t)
	h.connect("a", 1, 1)
	h.step(LeaseChanged{Until: h.now})
	h.submit(h.job("j", 1))
	h.is.Equal(len(h.starts()), 0)
	h.is.Equal(h.core.Queued(), 1)
	h.step(LeaseChanged{Until: h.now.Add(time.Second)})
	h.is.Equal(len(h.starts()), 1)
}

func TestNotOwnerIsRefused(t *testing.T) {
	h := newHarness(t, testOptions())
	h.assertFailed(h.submit(h.job("j", 1)), verdict.MayHaveRun, verdict.ReasonNotOwner)
	h.assertIdle()
}

func TestNotRunResultIsStartedAgain(t *testing.T) {
	h := newOwner(t)
	s := h.connect("a", 1, 1)
	w := h.submit(h.job("j", 1))
	first := h.starts()[0]
	h.finish(s, first, notRun)
	h.is.Equal(h.core.Queued(), 1) // the credit is used
	h.advance(time.Second)
	h.grant(s, 1)
	second := h.starts()[0]
	h.is.True(second.ID != first.ID)
	h.finish(s, second, ran)
	h.assertComplete(w)
	h.assertIdle()
}
