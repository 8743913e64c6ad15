package dispatch

import (
	"slices"
	"testing"
	"time"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/verdict"
)

// fault is one scenario of an owner with an agent "a" of two slots.
type fault struct {
	name string
	run  func(r *rig, s Session)
}

func runFaults(t *testing.T, faults []fault) {
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			r := newOwner(t)
			f.run(r, r.connect("a", 1, 2))
		})
	}
}

func TestSubmissionFaults(t *testing.T) {
	runFaults(t, []fault{
		{"resubmission while running joins", func(r *rig, s Session) {
			job := r.job("j", 1)
			first, second := r.submit(job), r.submit(job)
			starts := r.starts()
			r.is.Equal(len(starts), 1)
			r.finish(s, starts[0], ran)
			r.is.Equal(r.complete(first), r.complete(second))
			r.idle()
		}},
		{"resubmission after the end gets the kept answer", func(r *rig, s Session) {
			job := r.job("j", 1)
			first := r.submit(job)
			r.finish(s, r.starts()[0], ran)
			r.pass(30 * time.Second)
			r.is.Equal(r.complete(first), r.complete(r.submit(job)))
			r.is.Equal(len(r.starts()), 0)
		}},
		{"resubmission after the record has gone", func(r *rig, s Session) {
			job := r.job("j", 1)
			r.submit(job)
			r.finish(s, r.starts()[0], ran)
			r.pass(2*time.Minute + time.Second)
			r.is.Equal(r.core.Counters().JobsKept, 0)
			r.failed(r.submit(job), verdict.MayHaveRun, verdict.ReasonJournalMissing)
		}},
		{"evicted answer", func(r *rig, s Session) {
			job := r.job("j", 1)
			r.submit(job)
			big := ran
			big.Body = make([]byte, testOptions().AnswerBytes)
			r.finish(s, r.starts()[0], big)
			r.failed(r.submit(job), verdict.Ran, verdict.ReasonAnswerEvicted)
			r.is.Equal(len(r.starts()), 0)
			r.is.Equal(r.core.Counters().AnswerBytes, int64(0))
		}},
		{"other content under the same ID", func(r *rig, s Session) {
			job := r.job("j", 1)
			r.submit(job)
			other := r.job("j", 2)
			r.failed(r.submit(other), verdict.NotRun, verdict.ReasonContentMismatch)
			r.finish(s, r.starts()[0], ran)
			r.failed(r.submit(other), verdict.NotRun, verdict.ReasonContentMismatch)
			r.is.Equal(len(r.starts()), 0)
		}},
		{"two callers with the same job ID", func(r *rig, s Session) {
			job, other := r.job("j", 1), r.job("j", 1)
			other.Job.Caller = "bench"
			first, second := r.submit(job), r.submit(other)
			starts := r.starts()
			r.is.Equal(len(starts), 2)
			r.finish(s, starts[1], message.TaskResult{Verdict: verdict.Ran, Status: 201})
			r.is.Equal(r.replies[first], nil)
			r.is.Equal(r.complete(second).Tasks[0].Status, 201)
		}},
		{"waiter gone, job goes on", func(r *rig, s Session) {
			job := r.job("j", 1)
			w := r.submit(job)
			r.step(WaiterGone{Waiter: w})
			r.finish(s, r.starts()[0], ran)
			r.is.Equal(r.replies[w], nil)
			r.complete(r.submit(job))
		}},
		{"refused by admission, nothing is recorded", func(r *rig, s Session) {
			r.core.admission.(*openAdmission).refuse = &Refusal{Reason: verdict.ReasonRateLimit, RetryAfter: time.Second}
			a := r.failed(r.submit(r.job("j", 1)), verdict.NotRun, verdict.ReasonRateLimit)
			r.is.Equal(a.RetryAfterMillis, int64(1000))
			r.is.Equal(r.core.Counters().JobsKept, 0)
			r.idle()
		}},
		{"job without tasks", func(r *rig, s Session) {
			r.failed(r.submit(r.job("j", 0)), verdict.NotRun, verdict.ReasonInvalid)
		}},
	})
}

func TestResultFaults(t *testing.T) {
	runFaults(t, []fault{
		{"duplicate result", func(r *rig, s Session) {
			w := r.submit(r.job("j", 2))
			starts := r.starts()
			r.finish(s, starts[0], ran)
			r.finish(s, starts[0], ran)
			r.is.Equal(r.replies[w], nil)
			r.is.Equal(r.core.Counters().DuplicateResults, uint64(1))
			r.finish(s, starts[1], ran)
			r.complete(w)
		}},
		{"duplicate NotRun does not requeue twice", func(r *rig, s Session) {
			r.submit(r.job("j", 1))
			st := r.starts()[0]
			r.finish(s, st, notRun)
			r.is.Equal(len(r.starts()), 1)
			r.finish(s, st, notRun)
			r.grant(s, 1)
			r.is.Equal(len(r.starts()), 0)
		}},
		{"result from another agent", func(r *rig, s Session) {
			w := r.submit(r.job("j", 1))
			st := r.starts()[0]
			r.finish(r.connect("b", 1, 0), st, ran)
			r.is.Equal(r.replies[w], nil)
		}},
		{"result on an ended session", func(r *rig, s Session) {
			w := r.submit(r.job("j", 1))
			st := r.starts()[0]
			r.step(AgentDisconnected{Session: s})
			r.finish(s, st, ran)
			r.is.Equal(r.replies[w], nil)
			r.is.Equal(r.core.Counters().StaleMessages, uint64(1))
		}},
		{"result for an older incarnation", func(r *rig, s Session) {
			w := r.submit(r.job("j", 1))
			st := r.starts()[0]
			again := r.connect("a", 2, 2)
			r.failed(w, verdict.MayHaveRun, verdict.ReasonAgentLost)
			r.finish(again, st, ran)
			r.is.Equal(r.core.Counters().DuplicateResults, uint64(1))
			r.idle()
		}},
		{"result after the deadline", func(r *rig, s Session) {
			job := r.job("j", 3)
			job.Deadline = r.now.Add(time.Second).UnixMilli()
			w := r.submit(job)
			starts := r.starts()
			r.finish(s, starts[0], ran)
			r.pass(time.Second)
			a := r.failed(w, verdict.MayHaveRun, verdict.ReasonDeadline)
			r.is.True(a.Tasks[0].Complete())
			r.is.Equal(a.Tasks[1].Verdict, verdict.MayHaveRun)
			r.is.Equal(a.Tasks[2].Verdict, verdict.NotRun)
			r.finish(s, starts[1], ran)
			r.is.Equal(r.core.Counters().LateResults, uint64(1))
			r.idle()
		}},
		{"a failed task leaves the others running", func(r *rig, s Session) {
			w := r.submit(r.job("j", 2))
			starts := r.starts()
			r.finish(s, starts[0], message.TaskResult{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonBadResponse})
			r.is.Equal(r.replies[w], nil)
			r.finish(s, starts[1], ran)
			a := r.failed(w, verdict.MayHaveRun, verdict.ReasonTaskFailed)
			r.is.Equal(a.Tasks[0].Reason, verdict.ReasonBadResponse)
			r.is.True(a.Tasks[1].Complete())
			r.idle()
		}},
		{"a task that every agent refuses ends NotRun", func(r *rig, s Session) {
			w := r.submit(r.job("j", 1))
			for range maxNotRun {
				r.finish(s, r.starts()[0], notRun)
				r.grant(s, 1)
			}
			r.failed(w, verdict.NotRun, verdict.ReasonCreditExpired)
			r.idle()
		}},
		{"a start that this process keeps back is not tried again at once", func(r *rig, s Session) {
			w := r.submit(r.job("j", 1))
			for range 2 * maxNotRun {
				st := r.starts()[0]
				r.say(s, &message.Result{
					ID: st.ID, Result: message.TaskResult{Verdict: verdict.NotRun, Reason: verdict.ReasonNoLease},
					Grants: []message.Grant{{Credit: st.Credit, Endpoint: st.Endpoint}},
				})
				r.is.Equal(len(r.starts()), 0)
				r.pass(time.Millisecond)
			}
			r.is.Equal(r.replies[w], nil)
		}},
		{"withdrawal crosses a start", func(r *rig, s Session) {
			r.submit(r.job("j", 1))
			st := r.starts()[0]
			r.say(s, &message.Withdraw{Credits: []message.CreditID{st.Credit, st.Credit + 1}})
			r.finish(s, st, notRun)
			r.is.Equal(len(r.starts()), 0) // both credits are gone
			r.is.Equal(r.core.Queued(), 1)
		}},
	})
}

func TestAgentFaults(t *testing.T) {
	runFaults(t, []fault{
		{"agent dies with tasks running", func(r *rig, s Session) {
			w := r.submit(r.job("j", 3))
			r.is.Equal(len(r.starts()), 2)
			r.step(AgentDisconnected{Session: s})
			other := r.connect("b", 1, 1)
			r.finish(other, r.starts()[0], ran)
			r.pass(2 * time.Second)
			r.is.Equal(r.replies[w], nil)
			r.say(other, &message.Heartbeat{})
			r.pass(time.Second)
			a := r.failed(w, verdict.MayHaveRun, verdict.ReasonTaskFailed)
			r.is.Equal(a.Tasks[0].Reason, verdict.ReasonAgentLost)
			r.is.Equal(a.Tasks[1].Reason, verdict.ReasonAgentLost)
			r.is.True(a.Tasks[2].Complete())
			r.idle()
		}},
		{"silent agent is lost and disconnected", func(r *rig, s Session) {
			w := r.submit(r.job("j", 1))
			r.pass(2 * time.Second)
			r.say(s, &message.Heartbeat{})
			r.pass(2 * time.Second)
			r.is.Equal(r.replies[w], nil)
			r.pass(time.Second)
			r.failed(w, verdict.MayHaveRun, verdict.ReasonAgentLost)
			r.is.True(slices.Contains(r.others, Action(Disconnect{Session: s})))
			r.submit(r.job("k", 1))
			r.is.Equal(len(r.starts()), 1) // only the first job's
		}},
		{"start lost: not listed after the reconnection", func(r *rig, s Session) {
			w := r.submit(r.job("j", 1))
			lost := r.starts()[0]
			r.step(AgentDisconnected{Session: s})
			s = r.connect("a", 1, 2)
			r.is.Equal(len(r.starts()), 0)
			asked := take[*message.Inquiry](r)[0].Starts
			r.is.Equal(asked, []message.StartID{lost.ID})
			r.say(s, &message.InquiryReply{Asked: asked})
			r.finish(s, r.starts()[0], ran)
			r.complete(w)
			r.idle()
		}},
		{"result lost: listed as ended", func(r *rig, s Session) {
			w := r.submit(r.job("j", 1))
			st := r.starts()[0]
			r.step(AgentDisconnected{Session: s})
			s = r.connect("a", 1, 2)
			entry := message.JournalEntry{ID: st.ID, State: message.TaskEnded, Result: ran}
			r.say(s, &message.InquiryReply{Asked: []message.StartID{st.ID}, Known: []message.JournalEntry{entry}})
			r.complete(w)
			r.idle()
		}},
		{"still running after the reconnection", func(r *rig, _ Session) {
			w := r.submit(r.job("j", 1))
			st := r.starts()[0]
			s := r.connect("a", 1, 2) // the old session's end was not noticed
			entry := message.JournalEntry{ID: st.ID, State: message.TaskRunning}
			r.say(s, &message.InquiryReply{Asked: []message.StartID{st.ID}, Known: []message.JournalEntry{entry}})
			r.pass(time.Second)
			r.finish(s, st, ran)
			r.complete(w)
			r.idle()
		}},
		{"not listed, but the journal no longer reaches back", func(r *rig, _ Session) {
			w := r.submit(r.job("j", 1))
			st := r.starts()[0]
			s := r.connect("a", 1, 2)
			r.say(s, &message.InquiryReply{Asked: []message.StartID{st.ID}, ForgottenUntil: r.now.UnixMilli()})
			r.failed(w, verdict.MayHaveRun, verdict.ReasonJournalMissing)
		}},
		{"a reply does not speak of later starts", func(r *rig, _ Session) {
			r.submit(r.job("j", 1))
			s := r.connect("a", 1, 2)
			r.submit(r.job("k", 1))
			later := r.starts()[1]
			r.say(s, &message.InquiryReply{Asked: []message.StartID{later.ID}})
			r.is.Equal(r.core.Counters().Requeues, uint64(0))
		}},
		{"credits end with their session", func(r *rig, s Session) {
			r.step(AgentDisconnected{Session: s})
			r.submit(r.job("j", 1))
			r.is.Equal(len(r.starts()), 0)
			r.connect("a", 1, 1)
			r.is.Equal(len(r.starts()), 1)
		}},
		{"an older session that is heard of late changes nothing", func(r *rig, _ Session) {
			r.step(AgentConnected{Session: 50, Agent: "a", Incarnation: 2, Registered: true})
			r.step(AgentConnected{Session: 49, Agent: "a", Incarnation: 1, Registered: true})
			r.step(AgentDisconnected{Session: 49})
			r.say(50, &message.Announce{Endpoints: []message.EndpointInfo{{Name: "e", Slots: 1}}})
			r.grant(50, 1)
			r.submit(r.job("j", 1))
			r.is.Equal(len(r.starts()), 1)
		}},
		{"other plug-ins take over what waits and what is free", func(r *rig, s Session) {
			replace := func() {
				r.step(PoliciesReplaced{Queue: &fifo{}, Placement: newFirstFit(), Admission: &openAdmission{}})
			}
			replace()
			w := r.submit(r.job("j", 3))
			starts := r.starts()
			r.is.Equal(len(starts), 2) // the agent's slots
			replace()
			r.grant(s, 1)
			starts = append(starts, r.starts()...)
			r.is.Equal(len(starts), 3)
			for _, st := range starts {
				r.finish(s, st, ran)
			}
			r.complete(w)
		}},
		{"no start before the agent stands in the roster", func(r *rig, s Session) {
			r.step(AgentDisconnected{Session: s})
			r.step(AgentConnected{Session: 50, Agent: "new", Incarnation: 1})
			r.say(50, &message.Announce{Endpoints: []message.EndpointInfo{{Name: "e", Slots: 1}}})
			r.grant(50, 1)
			r.submit(r.job("j", 1))
			r.is.Equal(len(r.starts()), 0)
			r.step(AgentRegistered{Agent: "new"})
			r.is.Equal(len(r.starts()), 1)
		}},
		{"a leaving endpoint gets nothing new", func(r *rig, s Session) {
			r.say(s, &message.Announce{Endpoints: []message.EndpointInfo{{Name: "e", Slots: 2, Leaving: true}}})
			r.grant(s, 1)
			r.submit(r.job("j", 1))
			r.is.Equal(len(r.starts()), 0)
		}},
	})
}
