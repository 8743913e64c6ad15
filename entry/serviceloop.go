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
	// loopQueue bounds the items that wait for a service's loop. Senders block
	// when it is full, which slows the connection that they read from.
	loopQueue = 4096
	// tickInterval is the longest pause between two ticks of a core.
	tickInterval = time.Second
)

// loopPorts is how a service's loop reaches the rest of the entry.
type loopPorts struct {
	// send returns false when a start was not sent and may be decided anew.
	send  func(dispatch.Session, message.Message) bool
	reply func(dispatch.Waiter, *message.JobAnswer)
	// close ends an agent's session.
	close func(dispatch.Session)
	// mayAct reports whether this entry may start tasks of a shard right now.
	mayAct func(service string, shard int, epoch message.Epoch) bool
}

// serviceLoop runs the dispatch core of one service in one goroutine.
type serviceLoop struct {
	service string
	core    *dispatch.Core
	// policy names the plug-ins that the core has. Only the observer changes it.
	policy config.Policy
	inbox  chan loopItem
	ports  loopPorts
	done   chan struct{}
}

// loopItem is an event for the core or a look at it. Both take one queue, so
// that a look sees the effect of the events before it.
type loopItem struct {
	event dispatch.Event
	look  func(*dispatch.Core)
}

func newServiceLoop(service string, core *dispatch.Core, ports loopPorts) *serviceLoop {
	return &serviceLoop{
		service: service,
		core:    core,
		inbox:   make(chan loopItem, loopQueue),
		ports:   ports,
		done:    make(chan struct{}),
	}
}

// post hands an event to the core. It returns false once the loop has ended.
func (l *serviceLoop) post(ev dispatch.Event) bool {
	select {
	case l.inbox <- loopItem{event: ev}:
		return true
	case <-l.done:
		return false
	}
}

// query runs f after the events posted before it and waits for it. It returns
// false once the loop has ended, or when ctx ends while the queue is full.
func (l *serviceLoop) query(ctx context.Context, f func(*dispatch.Core)) bool {
	finished := make(chan struct{})
	wrapped := func(c *dispatch.Core) {
		f(c)
		close(finished)
	}
	select {
	case l.inbox <- loopItem{look: wrapped}:
	case <-l.done:
		return false
	case <-ctx.Done():
		return false
	}
	// The caller must not go on while f may still run, also when ctx ends.
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
			l.take(timer, item)
		case <-timer.C:
			timer.Reset(tickInterval)
			l.step(timer, dispatch.Tick{})
		}
	}
}

func (l *serviceLoop) take(timer *time.Timer, item loopItem) {
	if item.look != nil {
		item.look(l.core)
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
			l.ports.close(action.Session)
		case dispatch.Reply:
			l.ports.reply(action.Waiter, action.Answer)
		case dispatch.Wake:
			timer.Reset(min(tickInterval, max(0, time.Until(action.At))))
		}
	}
}

// send carries out a Send. A start is checked once more against the newest
// state of the log, which may be ahead of the events that wait for the core: a
// renewal that tells the successor of this entry's progress may already be out.
func (l *serviceLoop) send(timer *time.Timer, action dispatch.Send) {
	start, ok := action.Message.(*message.Start)
	if !ok {
		l.ports.send(action.Session, action.Message)
		return
	}
	if l.ports.mayAct(start.Service, start.Shard, start.Epoch) && l.ports.send(action.Session, start) {
		return
	}
	l.step(timer, dispatch.AgentMessage{Session: action.Session, Message: unsent(start)})
}

// unsent is the result of a start that was never sent. It gives the credit back.
func unsent(start *message.Start) *message.Result {
	return &message.Result{
		Service:  start.Service,
		ID:       start.ID,
		Sequence: start.AgentSequence,
		Result:   message.TaskResult{Verdict: verdict.NotRun, Reason: verdict.ReasonNoLease},
		Grants:   []message.Grant{{Credit: start.Credit, Endpoint: start.Endpoint}},
	}
}
