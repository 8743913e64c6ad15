package entry

import (
	"context"
	"time"

	"marjoramlug.example/marjoramlug/config"
	"marjoramlug.example/marjoramlug/dispatch"
	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/verdict"
)

const (
	// loopQueueSize bounds the items that wait for a service's loop. Senders
	// block while the queue is full, which applies backpressure to the
	// connections that they read from.
	loopQueueSize = 4096
	// tickInterval is the longest interval between two ticks of a core.
	tickInterval = time.Second
)

// loopCallbacks are the functions through which a service's loop calls the rest
// of the entry.
type loopCallbacks struct {
	// send returns false when a start was not sent because the agent's send queue is
	// full, so that the core can schedule its task again. After any other failure the
	// session is closed, and the core is notified of that.
	send       func(dispatch.Session, message.Message) bool
	sendAnswer func(dispatch.Waiter, *message.JobAnswer)
	// close closes an agent's session.
	close func(dispatch.Session)
	// mayAct reports whether this entry may start tasks of a shard at present.
	mayAct func(service string, shard int, epoch message.Epoch) bool
}

// serviceLoop runs the dispatch core of one service in one goroutine.
type serviceLoop struct {
	service string
	core    *dispatch.Core
	// policy names the policies that the core uses. After the start, only the
	// observer changes it.
	policy    config.Policy
	inbox     chan loopItem
	callbacks loopCallbacks
	done      chan struct{}
}

// loopItem is an event for the core or a function that inspects it. Both share
// one queue, so that an inspection sees the effect of the events before it.
type loopItem struct {
	event   dispatch.Event
	inspect func(*dispatch.Core)
}

func newServiceLoop(service string, core *dispatch.Core, callbacks loopCallbacks) *serviceLoop {
	return &serviceLoop{
		service:   service,
		core:      core,
		inbox:     make(chan loopItem, loopQueueSize),
		callbacks: callbacks,
		done:      make(chan struct{}),
	}
}

// post queues an event for the core and blocks while the queue is full. It
// returns false once the loop has ended.
func (l *serviceLoop) post(ev dispatch.Event) bool {
	select {
	case l.inbox <- loopItem{event: ev}:
		return true
	case <-l.done:
		return false
	}
}

// inspectCore runs f in the loop's goroutine after the events posted before it, and
// waits until f has returned. It returns false once the loop has ended, or when
// ctx ends while the queue is full.
func (l *serviceLoop) inspectCore(ctx context.Context, f func(*dispatch.Core)) bool {
	finished := make(chan struct{})
	wrapped := func(c *dispatch.Core) {
		f(c)
		close(finished)
	}
	select {
	case l.inbox <- loopItem{inspect: wrapped}:
	case <-l.done:
		return false
	case <-ctx.Done():
		return false
	}
	// Wait for f even when ctx ends: f may write to variables of the caller.
	select {
	case <-finished:
		return true
	case <-l.done:
		return false
	}
}

func (l *serviceLoop) run(ctx context.Context) {
	defer close(l.done)
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case item := <-l.inbox:
			l.handle(timer, item)
		case <-timer.C:
			timer.Reset(tickInterval)
			l.step(timer, dispatch.Tick{})
		}
	}
}

func (l *serviceLoop) handle(timer *time.Timer, item loopItem) {
	if item.inspect != nil {
		item.inspect(l.core)
		return
	}
	l.step(timer, item.event)
}

func (l *serviceLoop) step(timer *time.Timer, ev dispatch.Event) {
	for _, action := range l.core.Step(time.Now(), ev) {
		switch action := action.(type) {
		case dispatch.Send:
			l.send(timer, action)
		case dispatch.Disconnect:
			l.callbacks.close(action.Session)
		case dispatch.Reply:
			l.callbacks.sendAnswer(action.Waiter, action.Answer)
		case dispatch.Wake:
			timer.Reset(min(tickInterval, max(0, time.Until(action.At))))
		}
	}
}

// send executes a Send action. A start is checked once more against the newest
// state of the log, which may be ahead of the events queued for the core: a
// renewal that reports this entry's progress to its successor may already have
// been published.
func (l *serviceLoop) send(timer *time.Timer, action dispatch.Send) {
	start, ok := action.Message.(*message.Start)
	if !ok {
		l.callbacks.send(action.Session, action.Message)
		return
	}
	if l.callbacks.mayAct(start.Service, start.Shard, start.Epoch) && l.callbacks.send(action.Session, start) {
		return
	}
	l.step(timer, dispatch.AgentMessage{Session: action.Session, Message: unsentResult(start)})
}

// unsentResult returns the NotRun result of a start that was never sent. Its
// grant gives the credit back to the core.
func unsentResult(start *message.Start) *message.Result {
	return &message.Result{
		Service:  start.Service,
		ID:       start.ID,
		Sequence: start.Sequence,
		Result:   message.TaskResult{Verdict: verdict.NotRun, Reason: verdict.ReasonNoLease},
		Grants:   []message.Grant{{Credit: start.Credit, Endpoint: start.Endpoint}},
	}
}
