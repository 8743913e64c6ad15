// Package core makes the decisions of an agent: which starts it accepts, which
// owner gets which credits, where results are sent and what the journal keeps. It
// reads no clock, opens no socket and starts no goroutine: Step takes events and
// returns actions.
package core

import (
	"math/rand/v2"
	"time"

	"marjoramlug.example/marjoramlug/message"
)

// Options are the settings of a Core.
type Options struct {
	// Zone is the agent's availability zone.
	Zone string
	// Seeds are the configured addresses of entries, from which the agent learns of
	// the others.
	Seeds []string
	// Heartbeat is the interval at which the agent requests views. It is also the
	// longest time that a session may pass without a message that carries a sequence
	// number; then a heartbeat is sent.
	Heartbeat time.Duration
	// AcceptWindow is the maximum age of the sequence number that a start names,
	// counted from the time when the agent sent that number.
	AcceptWindow time.Duration
	// AnnounceTimeout is the time without a repeated announcement after which an
	// endpoint is removed.
	AnnounceTimeout time.Duration
	// TaskTimeout limits a run whose task sets no timeout.
	TaskTimeout time.Duration
	// JournalWindow is how long a start stays in the journal after its run has
	// ended, JournalBytes the maximum size of the answers in the journal and
	// JournalStarts the maximum number of starts.
	JournalWindow time.Duration
	JournalBytes  int64
	JournalStarts int
	// Random shuffles the seeds and draws the jitter of reconnections.
	Random *rand.Rand
}

const (
	// undeliveredGrace is how long after a run has ended a draining agent waits for
	// an owner to ask for its result.
	undeliveredGrace = 10 * time.Second
	// sessionIdleTimeout is how long a session that is no longer needed stays open.
	sessionIdleTimeout = 10 * time.Second
	// creditBits is the number of low bits of a credit ID that count the credits of
	// one incarnation of the agent. The higher bits hold the Unix time in
	// milliseconds at which the incarnation began. It can grant a million credits per
	// millisecond before its IDs reach those of a later incarnation.
	creditBits = 20
)

// entryIncarnation identifies one incarnation of an entry.
type entryIncarnation struct {
	name        string
	incarnation uint64
}

// shardKey identifies a shard of a service.
type shardKey struct {
	service string
	shard   int
}

// fence is the fencing state of a shard.
type fence struct {
	// epoch is the highest epoch seen in an accepted start or a journal request.
	epoch message.Epoch
	// owner is the entry incarnation that last used that epoch. It receives the
	// results.
	owner entryIncarnation
}

// Core holds the state of an agent and makes its decisions. It is not safe for
// concurrent use.
type Core struct {
	opts     Options
	services map[string]*service
	// sessions holds the open sessions in the order in which they were opened.
	sessions []*session
	// viewSession is the session on which the agent requests views; nil if there is
	// none.
	viewSession   *session
	view          view
	addresses     *addresses
	fences        map[shardKey]fence
	journal       *journal
	refusedStarts *refusedStarts
	lastCredit    message.CreditID
	draining      bool
	drained       bool
	actions       []Action
}

// New returns a core without endpoints, sessions and accepted starts.
func New(o Options, now time.Time) *Core {
	return &Core{
		opts:          o,
		services:      map[string]*service{},
		view:          view{services: map[string]message.ServiceView{}},
		addresses:     newAddresses(o),
		fences:        map[shardKey]fence{},
		journal:       newJournal(o, now),
		refusedStarts: newRefusedStarts(),

		lastCredit: message.CreditID(now.UnixMilli()) << creditBits,
	}
}

// Step applies an event and returns the resulting actions in order. now must not be
// earlier than in the previous call.
func (c *Core) Step(now time.Time, e Event) []Action {
	c.actions = nil
	switch e := e.(type) {
	case EndpointAnnounced:
		c.handleAnnouncement(now, e)
	case EndpointLeaving:
		c.handleEndpointLeaving(now, e.Key)
	case SessionOpened:
		c.handleSessionOpened(now, e)
	case DialFailed:
		c.addresses.failed(now, e.Address)
		c.connect(now)
	case SessionClosed:
		c.handleSessionClosed(now, e.Session)
	case Received:
		if s := c.session(e.Session); s != nil {
			c.handleMessage(now, s, e.Message)
		}
	case TaskEnded:
		c.handleTaskEnded(now, e)
	case DrainStarted:
		c.handleDrain(now)
	case Tick:
		c.handleTick(now)
	}
	c.checkDrained(now)
	return c.actions
}

func (c *Core) handleMessage(now time.Time, s *session, m message.Message) {
	switch m := m.(type) {
	case *message.Start:
		c.handleStart(now, s, m)
	case *message.Cancel:
		c.handleCancel(s, m)
	case *message.Demand:
		c.handleDemand(now, s, m)
	case *message.JournalRequest:
		c.handleJournalRequest(s, m)
	case *message.Inquiry:
		c.handleInquiry(s, m)
	case *message.View:
		c.handleView(now, s, m)
	default:
		c.count(UnexpectedMessage)
	}
}

func (c *Core) handleTick(now time.Time) {
	c.expireEndpoints(now)
	answers, starts := c.journal.trim(now)
	c.countN(AnswerEvicted, answers)
	c.countN(StartEvicted, starts)
	c.refusedStarts.trim(now, c.opts.JournalWindow, c.opts.JournalStarts)
	c.connect(now)
	c.closeUnneeded(now)
	c.sendHeartbeats(now)
}

func (c *Core) handleEndpointLeaving(now time.Time, key EndpointKey) {
	ep := c.endpoint(key)
	if ep == nil {
		c.emit(EndpointReleased{key})
		return
	}
	ep.leaveRequested = true
	c.markLeaving(now, ep)
	c.reconcile(now)
}

// handleDrain marks all endpoints as leaving; announcements are ignored from then
// on.
func (c *Core) handleDrain(now time.Time) {
	if c.draining {
		return
	}
	c.draining = true
	for _, sv := range c.sortedServices() {
		for _, ep := range append([]*endpoint(nil), sv.endpoints...) {
			c.markLeaving(now, ep)
		}
	}
	c.reconcile(now)
}

func (c *Core) checkDrained(now time.Time) {
	if !c.draining || c.drained || c.journal.running > 0 {
		return
	}
	if c.journal.undelivered(now.Add(-undeliveredGrace)) > 0 {
		return
	}
	c.drained = true
	c.emit(Drained{})
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

func (c *Core) send(s *session, m message.Message) { c.emit(Send{s.id, m}) }

func (c *Core) count(name Counter) { c.emit(Count{name}) }

func (c *Core) countN(name Counter, n int) {
	for range n {
		c.count(name)
	}
}
