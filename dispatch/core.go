package dispatch

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"marjoramlug.example/marjoramlug/config"
	"marjoramlug.example/marjoramlug/message"
)

// Core makes all scheduling decisions for one service at one owner. It is not
// safe for concurrent use.
//
// Invariants:
//   - A task has at most one start that may still be accepted, and gets another
//     only after the agent has reported that the last one was not run. The only
//     exception is an idempotent request outside a job, within the retry budget.
//   - A task ends once, a job ends when its last task has ended, and each waiter
//     gets one answer.
//   - A task gets the verdict NotRun only if every one of its starts was reported
//     NotRun and no earlier owner can have started it.
type Core struct {
	opts    Options
	owner   uint64
	service config.Service
	now     time.Time
	actions []Action

	queue     Queue
	placement Placement
	admission Admission
	hooks     policyHooks

	lease  time.Time
	shards [message.ShardsPerService]shard

	jobs        map[message.JobKey]*job
	jobSeq      uint64
	queuedBytes int64
	waiters     map[Waiter]*job
	records     records

	starts   map[message.StartID]*start
	startSeq uint64
	agents   map[string]*agent
	sessions map[Session]*session
	// agentList holds the agents in an order that does not depend on map
	// iteration, so that the same events give the same actions.
	agentList []*agent
	usage     usages
	budget    retryBudget
	// held counts the tasks of jobs that wait for a takeover. recoveredBytes is
	// the size of the recovered results that no job has claimed, in bytes.
	held           int
	recoveredBytes int64
	needs          map[Need]*needGroup

	timers     timers
	wakeAt     time.Time
	outbox     []*session
	flushTimer *timer
	needsTimer *timer
	demand     demand
	// startsSuspended is set when this process has withheld a start for lack of
	// a lease: further starts within the step would be withheld too.
	startsSuspended bool
	// queueBlocked is set when no queued task could be started, until something
	// changes that may let one start.
	queueBlocked bool
	counters     Counters
}

// New returns a core that owns no shard and has no lease.
func New(opts Options) *Core {
	c := &Core{
		opts:      opts,
		owner:     coreID(opts.Incarnation, opts.Service),
		queue:     opts.NewQueue(),
		placement: opts.NewPlacement(),
		admission: opts.NewAdmission(),
		jobs:      make(map[message.JobKey]*job),
		waiters:   make(map[Waiter]*job),
		records:   newRecords(opts.AnswerBytes),
		starts:    make(map[message.StartID]*start),
		agents:    make(map[string]*agent),
		sessions:  make(map[Session]*session),
		usage:     newUsages(),
		needs:     make(map[Need]*needGroup),
	}
	c.service.Name = opts.Service
	c.hookPolicies()
	return c
}

// coreID returns the owner part of the core's start IDs. It distinguishes this
// core from the cores of other services in the same process.
func coreID(incarnation uint64, service string) uint64 {
	d := xxhash.New()
	var buf [8]byte
	binary.LittleEndian.PutUint64(buf[:], incarnation)
	_, _ = d.Write(buf[:])
	_, _ = d.WriteString(service)
	return d.Sum64()
}

// Step advances the core to the given time, applies an event and returns the
// actions to carry out, in order. If now is before the time of an earlier call,
// the core keeps the later time.
func (c *Core) Step(now time.Time, ev Event) []Action {
	if now.After(c.now) {
		c.now = now
	}
	c.actions, c.startsSuspended = nil, false
	c.fireTimers()
	c.handle(ev)
	c.startTasks()
	c.balanceCredits()
	c.flush()
	c.requestWake()
	return c.actions
}

func (c *Core) handle(ev Event) {
	switch ev := ev.(type) {
	case JobSubmitted:
		c.submit(ev.Waiter, ev.Submit)
	case JobCancelled:
		c.cancel(ev.Job)
	case WaiterDisconnected:
		c.dropWaiter(ev.Waiter)
	case AgentConnected:
		c.connect(ev)
	case AgentRegistered:
		c.register(ev.Agent)
	case AgentDisconnected:
		c.disconnect(ev.Session)
	case AgentMessage:
		c.receive(ev.Session, ev.Message)
	case ShardAcquired:
		c.acquire(ev)
	case ShardReleased:
		c.release(ev.Shard)
	case LeaseChanged:
		c.lease = ev.Until
		c.queueBlocked = false
	case Configured:
		c.configure(ev.Service)
	case PoliciesReplaced:
		c.replacePolicies(ev)
	case Tick:
		c.queueBlocked = false
	}
}

func (c *Core) configure(service config.Service) {
	c.service = service
	c.queue.Configure(service)
	c.admission.Configure(service)
	c.usage.configure(service)
	c.queueBlocked = false
}

func (c *Core) fireTimers() {
	c.records.expire(c.now)
	for t := c.timers.due(c.now); t != nil; t = c.timers.due(c.now) {
		c.queueBlocked = false
		t.fire()
	}
}

// requestWake asks for a Tick at the next timer, record expiry or placement
// change, if that is before the Tick already requested. A requested Tick is not
// cancelled when its cause moves to a later time; that costs one idle Tick.
func (c *Core) requestWake() {
	next := earliest(c.timers.next(), c.records.next())
	if change := c.placement.NextChange(); change.After(c.now) {
		next = earliest(next, change)
	}
	if next.IsZero() {
		return
	}
	if c.wakeAt.After(c.now) && !next.Before(c.wakeAt) {
		return
	}
	c.wakeAt = next
	c.actions = append(c.actions, Wake{At: next})
}

func (c *Core) send(s *session, m message.Message) {
	c.counters.Sent.add(m.Kind())
	c.actions = append(c.actions, Send{Session: s.id, Message: m})
}

func (c *Core) answer(w Waiter, a *message.JobAnswer) {
	c.actions = append(c.actions, Reply{Waiter: w, Answer: a})
}

// Queued returns the number of tasks that wait for a start.
func (c *Core) Queued() int { return c.queue.Len() }

// Status returns the state of a job. For an unknown job, NotOwner reports that
// this core does not own its shard.
func (c *Core) Status(key message.JobKey) message.Status {
	if rec := c.records.byKey[key]; rec != nil {
		return rec.status()
	}
	if j := c.jobs[key]; j != nil {
		return j.status()
	}
	shard := message.ShardOf(c.opts.Service, key)
	return message.Status{NotOwner: !c.shards[shard].owned}
}
