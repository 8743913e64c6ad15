// Package core decides what an agent does: which starts it accepts, which
// owner gets which credit, where results go and what is remembered. It reads no
// clock, opens no socket and starts no goroutine: events go in through Step and
// actions come out.
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
	// Seeds are the addresses of entries to begin with.
	Seeds []string
	// Heartbeat is the pause after which a session gets a new stamp.
	Heartbeat time.Duration
	// AcceptWindow is how long a stamp allows starts.
	AcceptWindow time.Duration
	// AnnounceTimeout drops an endpoint that has not repeated its announcement.
	AnnounceTimeout time.Duration
	// TaskTimeout bounds a run whose task sets no timeout.
	TaskTimeout time.Duration
	// JournalWindow, JournalBytes and JournalEntries bound the journal.
	JournalWindow  time.Duration
	JournalBytes   int64
	JournalEntries int
	// Random draws the jitter of reconnections.
	Random *rand.Rand
}

const (
	// undeliveredGrace is how long a draining agent keeps a result for an owner
	// that has not asked for it.
	undeliveredGrace = 10 * time.Second
	// sessionIdleTimeout is how long a session without duty stays open.
	sessionIdleTimeout = 10 * time.Second
	// creditBits leaves room for a million credits in each millisecond of an
	// agent's life before their numbers meet those of a later start of it.
	creditBits = 20
)

// process names one incarnation of an entry.
type process struct {
	name        string
	incarnation uint64
}

// shardKey names a shard.
type shardKey struct {
	service string
	shard   int
}

// fence is what an agent knows of a shard's ownership.
type fence struct {
	// epoch is the highest one seen in an accepted start or a journal request.
	epoch message.Epoch
	// owner is the process that last used that epoch and gets the results.
	owner process
}

// Core is the decision part of an agent. It is not safe for concurrent use.
type Core struct {
	opts     Options
	services map[string]*service
	// sessions holds the open sessions in the order of their opening.
	sessions []*session
	// configurationSession is the session that the views come from, if any.
	configurationSession *session
	view                 view
	peers                *peers
	fences               map[shardKey]fence
	journal              *journal
	refusals             *refusals
	lastCredit           message.CreditID
	draining             bool
	drained              bool
	out                  []Action
}

// New returns a core that knows nothing yet.
func New(o Options, now time.Time) *Core {
	return &Core{
		opts:     o,
		services: map[string]*service{},
		view:     view{services: map[string]message.ServiceView{}},
		peers:    newPeers(o),
		fences:   map[shardKey]fence{},
		journal:  newJournal(o, now),
		refusals: newRefusals(),

		lastCredit: message.CreditID(now.UnixMilli()) << creditBits,
	}
}

// Step applies an event and returns what has to be done, in order. Times must
// not go back.
func (c *Core) Step(now time.Time, e Event) []Action {
	c.out = nil
	switch e := e.(type) {
	case EndpointAnnounced:
		c.handleAnnouncement(now, e)
	case EndpointLeft:
		c.handleEndpointLeft(now, e.Key)
	case SessionOpened:
		c.handleSessionOpened(now, e)
	case DialFailed:
		c.peers.failed(now, e.Address)
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
	return c.out
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
	answers, entries := c.journal.trim(now)
	c.countN(AnswerEvicted, answers)
	c.countN(EntryEvicted, entries)
	c.refusals.trim(now, c.opts.JournalWindow, c.opts.JournalEntries)
	c.connect(now)
	c.closeUnneeded(now)
	c.sendHeartbeats(now)
}

func (c *Core) handleEndpointLeft(now time.Time, key EndpointKey) {
	ep := c.endpoint(key)
	if ep == nil {
		c.emit(EndpointGone{key})
		return
	}
	ep.leaveRequested = true
	c.markLeaving(now, ep)
	c.reconcile(now)
}

// handleDrain lets all endpoints leave; announcements are refused from now on.
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

func (c *Core) emit(a Action) { c.out = append(c.out, a) }

func (c *Core) send(s *session, m message.Message) { c.emit(Send{s.id, m}) }

func (c *Core) count(name Counter) { c.emit(Count{name}) }

func (c *Core) countN(name Counter, n int) {
	for range n {
		c.count(name)
	}
}
