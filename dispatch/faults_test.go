package dispatch

import (
	"slices"
	"testing"
	"time"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/verdict"
)

// faultCase is one scenario of an owner with an agent "a" of two slots.
type faultCase struct {
	name string
	run  func(h *harness, s Session)
}

func runFaults(t *testing.T, faults []faultCase) {
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			h := newOwner(t)
			f.run(h, h.connect("a", 1, 2))
		})
	}
}

func TestSubmissionFaults(t *testing.T) {
	runFaults(t, []faultCase{
		{"resubmission while running joins", func(h *harness, s Session) {
			job := h.job("j", 1)
			first, second := h.submit(job), h.submit(job)
			starts := h.starts()
			h.is.Equal(len(starts), 1)
			h.finish(s, starts[0], ran)
			h.is.Equal(h.assertComplete(first), h.assertComplete(second))
			h.assertIdle()
		}},
		{"resubmission after the end gets the kept answer", func(h *harness, s Session) {
			job := h.job("j", 1)
			first := h.submit(job)
			h.finish(s, h.starts()[0], ran)
			h.advance(30 * time.Second)
			h.is.Equal(h.assertComplete(first), h.assertComplete(h.submit(job)))
			h.is.Equal(len(h.starts()), 0)
		}},
		{"resubmission after the record has expired", func(h *harness, s Session) {
			job := h.job("j", 1)
			h.submit(job)
			h.finish(s, h.starts()[0], ran)
			h.advance(2*time.Minute + time.Second)
			h.is.Equal(h.core.Counters().JobsKept, 0)
			h.assertFailed(h.submit(job), verdict.MayHaveRun, verdict.ReasonJournalMissing)
		}},
		{"evicted answer", func(h *harness, s Session) {
			job := h.job("j", 1)
			h.submit(job)
			big := ran
			big.Body = make([]byte, testOptions().AnswerBytes)
			h.finish(s, h.starts()[0], big)
			h.assertFailed(h.submit(job), verdict.Ran, verdict.ReasonAnswerEvicted)
			h.is.Equal(len(h.starts()), 0)
			h.is.Equal(h.core.Counters().AnswerBytes, int64(0))
		}},
		{"other content under the same ID", func(h *harness, s Session) {
			job := h.job("j", 1)
			h.submit(job)
			other := h.job("j", 2)
			h.assertFailed(h.submit(other), verdict.NotRun, verdict.ReasonContentMismatch)
			h.finish(s, h.starts()[0], ran)
			h.assertFailed(h.submit(other), verdict.NotRun, verdict.ReasonContentMismatch)
			h.is.Equal(len(h.starts()), 0)
		}},
		{"two callers with the same job ID", func(h *harness, s Session) {
			job, other := h.job("j", 1), h.job("j", 1)
			other.Job.Caller = "bench"
			first, second := h.submit(job), h.submit(other)
			starts := h.starts()
			h.is.Equal(len(starts), 2)
			h.finish(s, starts[1], message.TaskResult{Verdict: verdict.Ran, Status: 201})
			h.is.Equal(h.replies[first], nil)
			h.is.Equal(h.assertComplete(second).Tasks[0].Status, 201)
		}},
		{"waiter disconnected, job continues", func(h *harness, s Session) {
			job := h.job("j", 1)
			w := h.submit(job)
			h.step(WaiterDisconnected{Waiter: w})
			h.finish(s, h.starts()[0], ran)
			h.is.Equal(h.replies[w], nil)
			h.assertComplete(h.submit(job))
		}},
		{"refused by admission, nothing is recorded", func(h *harness, s Session) {
			h.core.admission.(*openAdmission).refuse = &Refusal{Reason: verdict.ReasonRateLimit, RetryAfter: time.Second}
			a := h.assertFailed(h.submit(h.job("j", 1)), verdict.NotRun, verdict.ReasonRateLimit)
			h.is.Equal(a.RetryAfterMillis, int64(1000))
			h.is.Equal(h.core.Counters().JobsKept, 0)
			h.assertIdle()
		}},
		{"job without tasks", func(h *harness, s Session) {
			h.assertFailed(h.submit(h.job("j", 0)), verdict.NotRun, verdict.ReasonInvalid)
		}},
	})
}

func TestResultFaults(t *testing.T) {
	runFaults(t, []faultCase{
		{"duplicate result", func(h *harness, s Session) {
			w := h.submit(h.job("j", 2))
			starts := h.starts()
			h.finish(s, starts[0], ran)
			h.finish(s, starts[0], ran)
			h.is.Equal(h.replies[w], nil)
			h.is.Equal(h.core.Counters().DuplicateResults, uint64(1))
			h.finish(s, starts[1], ran)
			h.assertComplete(w)
		}},
		{"duplicate NotRun does not requeue twice", func(h *harness, s Session) {
			h.submit(h.job("j", 1))
			st := h.starts()[0]
			h.finish(s, st, notRun)
			h.is.Equal(len(h.starts()), 1)
			h.finish(s, st, notRun)
			h.grant(s, 1)
			h.is.Equal(len(h.starts()), 0)
		}},
		{"result from another agent", func(h *harness, s Session) {
			w := h.submit(h.job("j", 1))
			st := h.starts()[0]
			h.finish(h.connect("b", 1, 0), st, ran)
			h.is.Equal(h.replies[w], nil)
		}},
		{"result on an ended session", func(h *harness, s Session) {
			w := h.submit(h.job("j", 1))
			st := h.starts()[0]
			h.step(AgentDisconnected{Session: s})
			h.finish(s, st, ran)
			h.is.Equal(h.replies[w], nil)
			h.is.Equal(h.core.Counters().StaleMessages, uint64(1))
		}},
		{"result for an older incarnation", func(h *harness, s Session) {
			w := h.submit(h.job("j", 1))
			st := h.starts()[0]
			again := h.connect("a", 2, 2)
			h.assertFailed(w, verdict.MayHaveRun, verdict.ReasonAgentLost)
			h.finish(again, st, ran)
			h.is.Equal(h.core.Counters().DuplicateResults, uint64(1))
			h.assertIdle()
		}},
		{"result after the deadline", func(h *harness, s Session) {
			job := h.job("j", 3)
			job.Deadline = h.now.Add(time.Second).UnixMilli()
			w := h.submit(job)
			starts := h.starts()
			h.finish(s, starts[0], ran)
			h.advance(time.Second)
			a := h.assertFailed(w, verdict.MayHaveRun, verdict.ReasonDeadline)
			h.is.True(a.Tasks[0].Complete())
			h.is.Equal(a.Tasks[1].Verdict, verdict.MayHaveRun)
			h.is.Equal(a.Tasks[2].Verdict, verdict.NotRun)
			h.finish(s, starts[1], ran)
			h.is.Equal(h.core.Counters().LateResults, uint64(1))
			h.assertIdle()
		}},
		{"a failed task leaves the others running", func(h *harness, s Session) {
			w := h.submit(h.job("j", 2))
			starts := h.starts()
			h.finish(s, starts[0], message.TaskResult{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonBadResponse})
			h.is.Equal(h.replies[w], nil)
			h.finish(s, starts[1], ran)
			a := h.assertFailed(w, verdict.MayHaveRun, verdict.ReasonTaskFailed)
			h.is.Equal(a.Tasks[0].Reason, verdict.ReasonBadResponse)
			h.is.True(a.Tasks[1].Complete())
			h.assertIdle()
		}},
		{"a task that every agent refuses ends NotRun", func(h *harness, s Session) {
			w := h.submit(h.job("j", 1))
			for range maxNotRun {
				h.finish(s, h.starts()[0], notRun)
				h.grant(s, 1)
			}
			h.assertFailed(w, verdict.NotRun, verdict.ReasonCreditExpired)
			h.assertIdle()
		}},
		{"a withheld start is not retried at once", func(h *harness, s Session) {
			w := h.submit(h.job("j", 1))
			for range 2 * maxNotRun {
				st := h.starts()[0]
				h.send(s, &message.Result{
					ID: st.ID, Result: message.TaskResult{Verdict: verdict.NotRun, Reason: verdict.ReasonNoLease},
					Grants: []message.Grant{{Credit: st.Credit, Endpoint: st.Endpoint}},
				})
				h.is.Equal(len(h.starts()), 0)
				h.advance(time.Millisecond)
			}
			h.is.Equal(h.replies[w], nil)
		}},
		{"withdrawal crosses a start", func(h *harness, s Session) {
			h.submit(h.job("j", 1))
			st := h.starts()[0]
			h.send(s, &message.Withdraw{Credits: []message.CreditID{st.Credit, st.Credit + 1}})
			h.finish(s, st, notRun)
			h.is.Equal(len(h.starts()), 0) // both credits are used or withdrawn
			h.is.Equal(h.core.Queued(), 1)
		}},
	})
}

func TestAgentFaults(t *testing.T) {
	runFaults(t, []faultCase{
		{"agent terminates with tasks running", func(h *harness, s Session) {
			w := h.submit(h.job("j", 3))
			h.is.Equal(len(h.starts()), 2)
			h.step(AgentDisconnected{Session: s})
			other := h.connect("b", 1, 1)
			h.finish(other, h.starts()[0], ran)
			h.advance(2 * time.Second)
			h.is.Equal(h.replies[w], nil)
			h.send(other, &message.Heartbeat{})
			h.advance(time.Second)
			a := h.assertFailed(w, verdict.MayHaveRun, verdict.ReasonTaskFailed)
			h.is.Equal(a.Tasks[0].Reason, verdict.ReasonAgentLost)
			h.is.Equal(a.Tasks[1].Reason, verdict.ReasonAgentLost)
			h.is.True(a.Tasks[2].Complete())
			h.assertIdle()
		}},
		{"unresponsive agent is removed and disconnected", func(h *harness, s Session) {
			w := h.submit(h.job("j", 1))
			h.advance(2 * time.Second)
			h.send(s, &message.Heartbeat{})
			h.advance(2 * time.Second)
			h.is.Equal(h.replies[w], nil)
			h.advance(time.Second)
			h.assertFailed(w, verdict.MayHaveRun, verdict.ReasonAgentLost)
			h.is.True(slices.Contains(h.otherActions, Action(Disconnect{Session: s})))
			h.submit(h.job("k", 1))
			h.is.Equal(len(h.starts()), 1) // only the first job's
		}},
		{"start lost: not listed after the reconnection", func(h *harness, s Session) {
			w := h.submit(h.job("j", 1))
			lost := h.starts()[0]
			h.step(AgentDisconnected{Session: s})
			s = h.connect("a", 1, 2)
			h.is.Equal(len(h.starts()), 0)
			asked := takeSent[*message.Inquiry](h)[0].Starts
			h.is.Equal(asked, []message.StartID{lost.ID})
			h.send(s, &message.InquiryReply{Asked: asked})
			h.finish(s, h.starts()[0], ran)
			h.assertComplete(w)
			h.assertIdle()
		}},
		{"result lost: listed as ended", func(h *harness, s Session) {
			w := h.submit(h.job("j", 1))
			st := h.starts()[0]
			h.step(AgentDisconnected{Session: s})
			s = h.connect("a", 1, 2)
			entry := message.JournalEntry{ID: st.ID, State: message.StartEnded, Result: ran}
			h.send(s, &message.InquiryReply{Asked: []message.StartID{st.ID}, Entries: []message.JournalEntry{entry}})
			h.assertComplete(w)
			h.assertIdle()
		}},
		{"still running after the reconnection", func(h *harness, _ Session) {
			w := h.submit(h.job("j", 1))
			st := h.starts()[0]
			s := h.connect("a", 1, 2) // the old session's end was not noticed
			entry := message.JournalEntry{ID: st.ID, State: message.StartRunning}
			h.send(s, &message.InquiryReply{Asked: []message.StartID{st.ID}, Entries: []message.JournalEntry{entry}})
			h.advance(time.Second)
			h.finish(s, st, ran)
			h.assertComplete(w)
			h.assertIdle()
		}},
		{"not listed, but the journal no longer reaches back", func(h *harness, _ Session) {
			w := h.submit(h.job("j", 1))
			st := h.starts()[0]
			s := h.connect("a", 1, 2)
			h.send(s, &message.InquiryReply{Asked: []message.StartID{st.ID}, EvictedUntil: h.now.UnixMilli()})
			h.assertFailed(w, verdict.MayHaveRun, verdict.ReasonJournalMissing)
		}},
		{"an inquiry reply does not affect later starts", func(h *harness, _ Session) {
			h.submit(h.job("j", 1))
			s := h.connect("a", 1, 2)
			h.submit(h.job("k", 1))
			later := h.starts()[1]
			h.send(s, &message.InquiryReply{Asked: []message.StartID{later.ID}})
			h.is.Equal(h.core.Counters().Requeues, uint64(0))
		}},
		{"credits end with their session", func(h *harness, s Session) {
			h.step(AgentDisconnected{Session: s})
			h.submit(h.job("j", 1))
			h.is.Equal(len(h.starts()), 0)
			h.connect("a", 1, 1)
			h.is.Equal(len(h.starts()), 1)
		}},
		{"a late event of an older session is ignored", func(h *harness, _ Session) {
			h.step(AgentConnected{Session: 50, Agent: "a", Incarnation: 2, Registered: true})
			h.step(AgentConnected{Session: 49, Agent: "a", Incarnation: 1, Registered: true})
			h.step(AgentDisconnected{Session: 49})
			h.send(50, &message.Announce{Endpoints: []message.EndpointInfo{{Name: "e", Slots: 1}}})
			h.grant(50, 1)
			h.submit(h.job("j", 1))
			h.is.Equal(len(h.starts()), 1)
		}},
		{"replaced plug-ins take over queued tasks and free credits", func(h *harness, s Session) {
			replace := func() {
				h.step(PoliciesReplaced{Queue: &fifo{}, Placement: newFirstFit(), Admission: &openAdmission{}})
			}
			replace()
			w := h.submit(h.job("j", 3))
			starts := h.starts()
			h.is.Equal(len(starts), 2) // the agent's slots
			replace()
			h.grant(s, 1)
			starts = append(starts, h.starts()...)
			h.is.Equal(len(starts), 3)
			for _, st := range starts {
				h.finish(s, st, ran)
			}
			h.assertComplete(w)
		}},
		{"no start before the agent is in the roster", func(h *harness, s Session) {
			h.step(AgentDisconnected{Session: s})
			h.step(AgentConnected{Session: 50, Agent: "new", Incarnation: 1})
			h.send(50, &message.Announce{Endpoints: []message.EndpointInfo{{Name: "e", Slots: 1}}})
			h.grant(50, 1)
			h.submit(h.job("j", 1))
			h.is.Equal(len(h.starts()), 0)
			h.step(AgentRegistered{Agent: "new"})
			h.is.Equal(len(h.starts()), 1)
		}},
		{"a leaving endpoint gets nothing new", func(h *harness, s Session) {
			h.send(s, &message.Announce{Endpoints: []message.EndpointInfo{{Name: "e", Slots: 2, Leaving: true}}})
			h.grant(s, 1)
			h.submit(h.job("j", 1))
			h.is.Equal(len(h.starts()), 0)
		}},
	})
}
