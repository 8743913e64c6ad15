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
	// localRelay is the relay ID of this entry itself, for the requests of its own
	// callers.
	localRelay = 0
	// retryDelay is the initial delay before a request is sent again because the
	// owner could not be reached or the receiver was not the owner. The delay
	// doubles with each attempt up to maxRetryDelay.
	retryDelay    = 20 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
)

// errNoReply means that an attempt got no usable reply: the shard has no known owner,
// the connection to the owner ended first, or the reply was of another type.
var errNoReply = errors.New("no reply from the owner of the shard")

// pendingRequest is a request to an owner that waits for its reply.
type pendingRequest struct {
	conn  transport.Conn // nil when the owner is this entry
	reply chan any
}

// relay sends callers' requests to the owners of their shards and matches the
// replies by request number.
//
// Invariant: a request number is used for one attempt only, so that a reply to an
// earlier attempt never reaches a later one.
type relay struct {
	entry *Entry

	mu      sync.Mutex
	next    uint64
	waiting map[uint64]pendingRequest
}

func newRelay(e *Entry) *relay {
	return &relay{entry: e, waiting: map[uint64]pendingRequest{}}
}

// submit sends a job to its owner, with retries, until an answer arrives or ctx
// ends. An accepted job continues when ctx ends; a resubmission joins it.
func (r *relay) submit(ctx context.Context, job *message.Submit) message.JobAnswer {
	delay := retryDelay
	// A job with a name given by its caller may have been submitted before
	// through another entry.
	ownerMayHaveJob := !job.GeneratedID
	for {
		answer, err := r.attempt(ctx, job, &ownerMayHaveJob)
		if err == nil && answer.Reason != verdict.ReasonNotOwner {
			return answer
		}
		if _, _, ok := r.entry.replica.Service(job.Service); !ok {
			return serviceDeleted(ownerMayHaveJob)
		}
		r.entry.metrics.Add("relay.resubmitted", 1)
		if !kernel.Sleep(ctx, delay) {
			return timedOut(ownerMayHaveJob)
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// serviceDeleted is the answer to a job whose service was deleted, so that no
// owner will answer. ownerMayHaveJob states that an owner may have received the
// job.
func serviceDeleted(ownerMayHaveJob bool) message.JobAnswer {
	return message.Refusal(verdictFor(ownerMayHaveJob), verdict.ReasonUnknownService, "the service was deleted")
}

// timedOut is the answer to a job for which submit's ctx ended before an owner
// answered. A job that an owner may have received may still run later.
func timedOut(ownerMayHaveJob bool) message.JobAnswer {
	return message.Refusal(verdictFor(ownerMayHaveJob), verdict.ReasonUnavailable, "no owner has answered in time")
}

func verdictFor(ownerMayHaveJob bool) verdict.Verdict {
	if ownerMayHaveJob {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

// attempt sends the job once and waits for the answer. It sets ownerMayHaveJob
// before it sends the job to an owner.
func (r *relay) attempt(ctx context.Context, job *message.Submit, ownerMayHaveJob *bool) (message.JobAnswer, error) {
	attempt := *job
	reply, err := r.roundTrip(ctx, job.Service, job.Shard, func(request uint64) message.Message {
		attempt.Request = request
		*ownerMayHaveJob = true
		return &attempt
	})
	if err != nil {
		return message.JobAnswer{}, err
	}
	answer, ok := reply.(*message.JobAnswer)
	if !ok {
		return message.JobAnswer{}, errNoReply
	}
	return *answer, nil
}

// status requests a job's state from its owner.
func (r *relay) status(ctx context.Context, service string, job message.JobKey) (message.Status, error) {
	shard := message.ShardOf(service, job)
	return r.requestStatus(ctx, service, shard, func(request uint64) message.Message {
		return &message.StatusRequest{Request: request, Service: service, Shard: shard, Job: job}
	})
}

// cancel requests the cancellation of a job from its owner and returns the job's
// state.
func (r *relay) cancel(ctx context.Context, service string, job message.JobKey) (message.Status, error) {
	shard := message.ShardOf(service, job)
	return r.requestStatus(ctx, service, shard, func(request uint64) message.Message {
		return &message.CancelJob{Request: request, Service: service, Shard: shard, Job: job}
	})
}

// requestStatus sends a request that is answered with a job's state to the
// shard's owner, with retries, until an owner replies or ctx ends.
func (r *relay) requestStatus(ctx context.Context, service string, shard int, build builder) (message.Status, error) {
	delay := retryDelay
	for {
		reply, err := r.roundTrip(ctx, service, shard, build)
		if status, ok := reply.(*message.Status); err == nil && ok && !status.NotOwner {
			return *status, nil
		}
		if !kernel.Sleep(ctx, delay) {
			return message.Status{}, verdict.Wrap(verdict.MayHaveRun, verdict.ReasonUnavailable, ctx.Err())
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// builder builds the message of one attempt, given its request number.
type builder func(request uint64) message.Message

// roundTrip sends one message to the shard's owner and waits for the reply, a
// *message.JobAnswer or a *message.Status.
func (r *relay) roundTrip(ctx context.Context, service string, shard int, build builder) (any, error) {
	assignment, ok := r.entry.replica.Owner(service, shard)
	if !ok {
		return nil, errNoReply
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

// await waits for the reply to a request. If ctx ends first, it notifies the owner.
func (r *relay) await(ctx context.Context, service string, request uint64, reply chan any, conn transport.Conn) (any, error) {
	defer r.forget(request)
	select {
	case value, ok := <-reply:
		if !ok {
			return nil, errNoReply
		}
		return value, nil
	case <-ctx.Done():
		r.abandon(service, request, conn)
		return nil, ctx.Err()
	}
}

// abandon notifies the owner that the request's waiter has disconnected. conn is
// nil when the owner is this entry.
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
	r.waiting[r.next] = pendingRequest{conn: conn, reply: reply}
	return r.next, reply
}

func (r *relay) forget(request uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.waiting, request)
}

// deliver passes a reply, a *message.JobAnswer or a *message.Status, to the request
// that waits for it. A reply that is late or matches no request is counted and
// dropped. conn is the connection on which the reply arrived, nil for this entry's
// own core.
func (r *relay) deliver(conn transport.Conn, request uint64, value any) {
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

// connClosed fails all requests that wait for a reply on a connection.
func (r *relay) connClosed(conn transport.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for request, p := range r.waiting {
		if p.conn == conn {
			close(p.reply)
			delete(r.waiting, request)
		}
	}
}
