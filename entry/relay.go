package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"marjoramlug.example/marjoramlug/dispatch"
	"marjoramlug.example/marjoramlug/kernel"
	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/transport"
	"marjoramlug.example/marjoramlug/verdict"
)

const (
	// localRelay is the relay number of the entry's own callers.
	localRelay = 0
	// retryPause is the first pause before a job is sent again to an owner that
	// could not be reached or was not the owner; it doubles up to maxRetryPause.
	retryPause    = 20 * time.Millisecond
	maxRetryPause = 500 * time.Millisecond
)

// errOwnerLost means that the connection to the owner ended before an answer.
var errOwnerLost = errors.New("connection to the owner lost")

// pending is one request to an owner that waits for its answer.
type pending struct {
	conn  transport.Conn // nil when the owner is this entry
	reply chan any
}

// relay sends callers' requests to the owners of their shards and matches the
// answers by request number.
//
// Invariant: a request number is used for one attempt only, so that an answer
// to an earlier attempt never reaches a later one.
type relay struct {
	entry *Entry

	mu      sync.Mutex
	next    uint64
	waiting map[uint64]pending
}

func newRelay(e *Entry) *relay {
	return &relay{entry: e, waiting: map[uint64]pending{}}
}

// submit sends a job to its owner until an answer comes or ctx ends. The job
// continues when ctx ends; a resubmission finds it.
func (r *relay) submit(ctx context.Context, job *message.Submit) message.JobAnswer {
	pause := retryPause
	// A caller that names its job may have submitted it before, elsewhere.
	known := !job.GeneratedID
	for {
		answer, err := r.attempt(ctx, job, &known)
		if err == nil && answer.Reason != verdict.ReasonNotOwner {
			return answer
		}
		if _, _, ok := r.entry.replica.Service(job.Service); !ok {
			return unowned(known)
		}
		r.entry.metrics.Add("relay.resubmitted", 1)
		if !kernel.Sleep(ctx, pause) {
			return unanswered(known)
		}
		pause = min(2*pause, maxRetryPause)
	}
}

// unowned is the answer to a caller whose service was deleted, so that no owner
// will answer. known says that an owner may have received the job.
func unowned(known bool) message.JobAnswer {
	return message.Refusal(verdictOn(known), verdict.ReasonUnknownService, "the service was deleted")
}

// unanswered is the answer to a caller whose time is up. A job that an owner may
// have received may run later.
func unanswered(known bool) message.JobAnswer {
	return message.Refusal(verdictOn(known), verdict.ReasonUnavailable, "no owner has answered in time")
}

func verdictOn(known bool) verdict.Verdict {
	if known {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

// attempt sends the job once and waits. It sets known when an owner may have
// received the job.
func (r *relay) attempt(ctx context.Context, job *message.Submit, known *bool) (message.JobAnswer, error) {
	attempt := *job
	reply, err := r.ask(ctx, job.Service, job.Shard, func(request uint64) message.Message {
		attempt.Request = request
		*known = true
		return &attempt
	})
	if err != nil {
		return message.JobAnswer{}, err
	}
	answer, ok := reply.(*message.JobAnswer)
	if !ok {
		return message.JobAnswer{}, errOwnerLost
	}
	return *answer, nil
}

// status asks the owner for a job's state.
func (r *relay) status(ctx context.Context, service string, job message.JobKey) (message.Status, error) {
	shard := message.ShardOf(service, job)
	return r.askStatus(ctx, service, shard, func(request uint64) message.Message {
		return &message.StatusRequest{Request: request, Service: service, Shard: shard, Job: job}
	})
}

// cancel asks the owner to cancel a job and returns its state.
func (r *relay) cancel(ctx context.Context, service string, job message.JobKey) (message.Status, error) {
	shard := message.ShardOf(service, job)
	return r.askStatus(ctx, service, shard, func(request uint64) message.Message {
		return &message.CancelJob{Request: request, Service: service, Shard: shard, Job: job}
	})
}

func (r *relay) askStatus(ctx context.Context, service string, shard int, build builder) (message.Status, error) {
	pause := retryPause
	for {
		reply, err := r.ask(ctx, service, shard, build)
		if status, ok := reply.(*message.Status); err == nil && ok && !status.NotOwner {
			return *status, nil
		}
		if !kernel.Sleep(ctx, pause) {
			return message.Status{}, verdict.Wrap(verdict.MayHaveRun, verdict.ReasonUnavailable, ctx.Err())
		}
		pause = min(2*pause, maxRetryPause)
	}
}

// builder makes the message of one attempt.
type builder func(request uint64) message.Message

// ask sends one message to the shard's owner and waits for the reply.
func (r *relay) ask(ctx context.Context, service string, shard int, build builder) (any, error) {
	assignment, ok := r.entry.replica.Owner(service, shard)
	if !ok {
		return nil, errOwnerLost
	}
	if assignment.Member.ID == r.entry.replica.Self().ID {
		request, reply := r.register(nil)
		r.entry.receiveRequest(localRelay, build(request))
		return r.await(ctx, service, request, reply, nil)
	}
	conn, err := r.entry.peers.conn(ctx, assignment.Member.Address)
	if err != nil {
		return nil, err
	}
	request, reply := r.register(conn)
	m := build(request)
	if err := r.entry.peers.send(conn, m); err != nil {
		r.forget(request)
		return nil, err
	}
	return r.await(ctx, service, request, reply, conn)
}

func (r *relay) await(ctx context.Context, service string, request uint64, reply chan any, conn transport.Conn) (any, error) {
	defer r.forget(request)
	select {
	case value, ok := <-reply:
		if !ok {
			return nil, errOwnerLost
		}
		return value, nil
	case <-ctx.Done():
		r.abandon(service, request, conn)
		return nil, ctx.Err()
	}
}

// abandon tells the owner that nobody waits any longer.
func (r *relay) abandon(service string, request uint64, conn transport.Conn) {
	if conn == nil {
		r.entry.loop(service).post(dispatch.WaiterDisconnected{Waiter: dispatch.Waiter{Relay: localRelay, Request: request}})
		return
	}
	_ = r.entry.peers.send(conn, &message.Abandon{Service: service, Request: request})
}

func (r *relay) register(conn transport.Conn) (uint64, chan any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next++
	reply := make(chan any, 1)
	r.waiting[r.next] = pending{conn: conn, reply: reply}
	return r.next, reply
}

func (r *relay) forget(request uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.waiting, request)
}

// answered delivers a reply; a late or unknown one is counted and dropped.
// conn is the connection it came on, nil for this entry's own core.
func (r *relay) answered(conn transport.Conn, request uint64, value any) {
	r.mu.Lock()
	p, ok := r.waiting[request]
	if ok && p.conn == conn {
		delete(r.waiting, request)
	}
	r.mu.Unlock()
	if !ok || p.conn != conn {
		r.entry.metrics.Add("relay.answer.unmatched", 1)
		return
	}
	p.reply <- value
}

// lost ends all requests that wait on a connection.
func (r *relay) lost(conn transport.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for request, p := range r.waiting {
		if p.conn == conn {
			close(p.reply)
			delete(r.waiting, request)
		}
	}
}
