package dispatch

import (
	"fmt"
	"slices"
	"time"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/verdict"
)

// modelAgent implements the agent's part of the protocol: credits, epochs and the
// journal. Messages are queued until the test delivers them.
type modelAgent struct {
	name          string
	incarnation   uint64
	session       Session // 0 while disconnected
	credits       map[message.CreditID]bool
	lastCredit    message.CreditID
	sequence      message.Sequence
	epoch         message.Epoch
	journal       []message.JournalEntry
	completeSince time.Time
	evictedUntil  int64
	in, out       []message.Message
	// runs counts the accepted starts of each task, except those that ended with
	// NotRun.
	runs *runCount
}

// runCount counts the runs of each task over all agents. The checks compare the
// core with it.
type runCount struct {
	byTask map[taskID]int
	check  func(taskID)
	// newest is the highest epoch under which a start was accepted.
	newest  message.Epoch
	onStale func(message.Epoch)
}

// checkEpoch checks that no start of an epoch is accepted after the first start of
// a later one.
func (r *runCount) checkEpoch(e message.Epoch) {
	if e < r.newest {
		r.onStale(e)
	}
	r.newest = e
}

type taskID struct {
	job         message.JobKey
	fingerprint uint64
	index       int
}

func bodyOf(id taskID) string { return fmt.Sprintf("%v %x %d", id.job, id.fingerprint, id.index) }

func entryID(e *message.JournalEntry) taskID {
	return taskID{job: e.Job, fingerprint: e.Fingerprint, index: e.Index}
}

func (a *modelAgent) send(m message.Message) {
	if a.session != 0 {
		a.out = append(a.out, m)
	}
}

func (a *modelAgent) nextSequence() message.Sequence {
	a.sequence++
	return a.sequence
}

func (a *modelAgent) newGrant() message.Grant {
	a.lastCredit++
	a.credits[a.lastCredit] = true
	return message.Grant{Credit: a.lastCredit, Endpoint: "e"}
}

func (a *modelAgent) grant() {
	a.send(&message.Credits{Sequence: a.nextSequence(), Grants: []message.Grant{a.newGrant()}})
}

func (a *modelAgent) beginSession(session Session) {
	a.session, a.sequence = session, 0
	a.credits = make(map[message.CreditID]bool)
	a.in, a.out = nil, nil
	info := message.EndpointInfo{Name: "e", Slots: 4, Accelerators: []string{"gpu"}}
	a.send(&message.Announce{Sequence: a.nextSequence(), Endpoints: []message.EndpointInfo{info}})
	a.grant()
	a.grant()
}

func (a *modelAgent) endSession() { a.session, a.in, a.out = 0, nil, nil }

// restart loses the journal; tasks that were running may have run.
func (a *modelAgent) restart(now time.Time) {
	a.endSession()
	a.incarnation++
	a.journal, a.epoch, a.completeSince, a.evictedUntil = nil, 0, now, 0
}

// evict removes the ended starts from the journal.
func (a *modelAgent) evict(now time.Time) {
	a.completeSince, a.evictedUntil = now, now.UnixMilli()
	a.journal = slices.DeleteFunc(a.journal, func(e message.JournalEntry) bool { return e.State == message.StartEnded })
}

func (a *modelAgent) find(id message.StartID) *message.JournalEntry {
	for i := range a.journal {
		if a.journal[i].ID == id {
			return &a.journal[i]
		}
	}
	return nil
}

// receive handles the oldest message from the owner.
func (a *modelAgent) receive() {
	m := a.in[0]
	a.in = a.in[1:]
	switch m := m.(type) {
	case *message.Start:
		a.start(m)
	case *message.JournalRequest:
		a.sendJournal(m)
	case *message.Inquiry:
		reply := &message.InquiryReply{Asked: m.Starts, EvictedUntil: a.evictedUntil}
		for _, id := range m.Starts {
			if e := a.find(id); e != nil {
				reply.Entries = append(reply.Entries, *e)
			}
		}
		a.send(reply)
	case *message.Cancel:
		for _, id := range m.Starts {
			a.finish(a.find(id), message.TaskResult{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonCancelled})
		}
	}
}

func (a *modelAgent) start(m *message.Start) {
	if a.find(m.ID) != nil {
		return
	}
	if !a.credits[m.Credit] || m.Epoch < a.epoch {
		a.send(&message.Result{ID: m.ID, Sequence: a.nextSequence(), Result: notRun})
		return
	}
	delete(a.credits, m.Credit)
	a.accept(m)
}

// startLate handles a start of an earlier owner that was in transit when that owner
// terminated. Its credit and sequence number are still valid, so only the epoch
// decides.
func (a *modelAgent) startLate(m *message.Start) {
	if a.find(m.ID) == nil && m.Epoch >= a.epoch {
		a.accept(m)
	}
}

func (a *modelAgent) accept(m *message.Start) {
	a.epoch = m.Epoch
	e := message.JournalEntry{
		Shard: m.Shard, Job: m.Job, Index: m.Index, ID: m.ID,
		Fingerprint: m.Fingerprint, State: message.StartRunning, Endpoint: "e",
	}
	a.journal = append(a.journal, e)
	a.runs.byTask[entryID(&e)]++
	a.runs.checkEpoch(m.Epoch)
	a.runs.check(entryID(&e))
}

// sendJournal answers a journal request in parts of one entry.
func (a *modelAgent) sendJournal(m *message.JournalRequest) {
	a.epoch = max(a.epoch, m.Shards[0].Epoch)
	part := message.Journal{Shards: m.Shards, CompleteSince: a.completeSince.UnixMilli()}
	for _, e := range a.journal {
		more := part
		more.More, more.Entries = true, []message.JournalEntry{e}
		a.send(&more)
	}
	a.send(&part)
}

func (a *modelAgent) running() (entries []*message.JournalEntry) {
	for i := range a.journal {
		if a.journal[i].State == message.StartRunning {
			entries = append(entries, &a.journal[i])
		}
	}
	return entries
}

// finish ends a start. The verdict NotRun means that it had no effect.
func (a *modelAgent) finish(e *message.JournalEntry, r message.TaskResult) {
	if e == nil || e.State == message.StartEnded {
		return
	}
	if r.Verdict == verdict.NotRun {
		a.runs.byTask[entryID(e)]--
	}
	if r.Complete() {
		r.Body = []byte(bodyOf(entryID(e)))
	}
	e.State, e.Result = message.StartEnded, r
	a.sendResult(e)
}

// sendResult sends the result of an ended start with a credit for the free slot.
func (a *modelAgent) sendResult(e *message.JournalEntry) {
	if a.session != 0 {
		a.send(&message.Result{ID: e.ID, Sequence: a.nextSequence(), Result: e.Result, Grants: []message.Grant{a.newGrant()}})
	}
}
