package node

import (
	"context"
	"sync"
	"time"

	"marjoramlug.example/marjoramlug/pool/executor"
)

// maxCalls bounds the starts and stops that an agent sends to its endpoint at a time. Endpoints
// accept 64 connections, of which some are left for polls.
const maxCalls = 56

// calls carries out calls to an endpoint in their order, maxCalls at a time: without a bound, an
// order for hundreds of small tasks would open as many connections. It is safe for concurrent use.
type calls struct {
	ctx  context.Context
	post func(executor.Event)

	mu      sync.Mutex
	running int
	queue   []call
}

// call is a call that is carried out by request within timeout.
type call struct {
	timeout time.Duration
	request func(context.Context) executor.Event
}

// add carries out a call as soon as fewer than maxCalls are under way.
func (c *calls) add(next call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running == maxCalls {
		c.queue = append(c.queue, next)
		return
	}
	c.running++
	go c.run(next)
}

// run carries out a call and then those that wait.
func (c *calls) run(next call) {
	for ok := true; ok; next, ok = c.next() {
		c.carryOut(next)
	}
}

func (c *calls) carryOut(next call) {
	ctx, cancel := context.WithTimeout(c.ctx, next.timeout)
	defer cancel()
	c.post(next.request(ctx))
}

func (c *calls) next() (call, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) == 0 {
		c.running--
		return call{}, false
	}
	next := c.queue[0]
	c.queue = c.queue[1:]
	return next, true
}
