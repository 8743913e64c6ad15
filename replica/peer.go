package replica

import (
	"time"

	"marjoramlug.example/marjoramlug/config"
	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/ownership"
	"marjoramlug.example/marjoramlug/sharedlog"
)

// stateRequestInterval is the minimum interval between requests for peers' state.
const stateRequestInterval = 2 * time.Second

// HandleMessage handles a message from another entry and returns the reply, or nil.
func (r *Replica) HandleMessage(_ string, m message.Message) message.Message {
	switch m := m.(type) {
	case *message.PromiseRequest:
		return r.handlePromiseRequest(m)
	case *message.Promise:
		r.handlePromise(m)
	case *message.StateRequest:
		return r.handleStateRequest(m)
	case *message.StateReply:
		r.handleStateReply(m)
	}
	return nil
}

// handlePromiseRequest passes the request to the core and takes the core's answer
// out of the queue, as the reply carries it. Other actions stay queued.
func (r *Replica) handlePromiseRequest(m *message.PromiseRequest) message.Message {
	r.mu.Lock()
	defer r.mu.Unlock()
	reply := &message.Promise{Member: m.Member, SentAt: m.SentAt, By: string(r.core.Self().ID)}
	ev := ownership.PromiseRequested{
		From: ownership.MemberID(m.Member), Joined: sharedlog.Offset(m.Joined), SentAt: m.SentAt,
	}
	queued := len(r.queue)
	r.stepLocked(ev)
	kept := r.queue[:queued]
	for _, a := range r.queue[queued:] {
		if answer, ok := a.(ownership.AnswerPromise); ok {
			reply.Granted = answer.Granted
			continue
		}
		kept = append(kept, a)
	}
	r.queue = kept
	signal(r.wakeActionLoop)
	if reply.Granted {
		r.options.Metrics.Add("lease.promises_granted", 1)
	}
	return reply
}

func (r *Replica) handlePromise(m *message.Promise) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m.Member != string(r.core.Self().ID) {
		return
	}
	r.stepLocked(ownership.PromiseReceived{
		From: ownership.MemberID(m.By), SentAt: m.SentAt, Granted: m.Granted,
	})
	signal(r.wakeActionLoop)
}

func (r *Replica) handleStateRequest(m *message.StateRequest) message.Message {
	r.mu.Lock()
	defer r.mu.Unlock()
	reply := &message.StateReply{Request: m.Request}
	if !r.cursor.Complete() {
		return reply
	}
	s, err := r.snapshot()
	if err != nil {
		return reply
	}
	data, err := s.Encode()
	if err != nil {
		return reply
	}
	reply.Complete = true
	reply.Snapshot = data
	return reply
}

// handleStateReply adopts a peer's state while this replica has no complete state.
func (r *Replica) handleStateReply(m *message.StateReply) {
	if !m.Complete {
		return
	}
	s, err := config.DecodeSnapshot(m.Snapshot)
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cursor.Complete() {
		return
	}
	if r.adopt(s) {
		r.adoptedFromPeer = true
		r.notify()
	}
}

// requestPeerState requests the state from all seeds and members while this replica
// has no complete state, at most once per stateRequestInterval.
func (r *Replica) requestPeerState() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if r.cursor.Complete() || now.Before(r.nextStateRequest) {
		return
	}
	r.nextStateRequest = now.Add(stateRequestInterval)
	for _, address := range r.options.Seeds {
		r.send("", address, &message.StateRequest{})
	}
	for _, m := range r.core.State().Members() {
		r.send(m.ID, m.Address, &message.StateRequest{})
	}
}
