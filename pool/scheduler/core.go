// Package scheduler decides at an entry which tasks of its callers' jobs start
// on which agent, which jobs wait, which are refused and what is answered. Each
// entry schedules the jobs that it has accepted; agents resolve conflicts
// between entries. The core reads no clock, opens no socket and starts no
// goroutine: Step takes the time and events and returns actions.
package scheduler

import (
	"time"

	"marjoramlug.example/marjoramlug/kernel"
	"marjoramlug.example/marjoramlug/message"
)

// Options are the timeouts and limits of the core.
type Options struct {
	// HeartbeatTimeout is how long an agent may send nothing before it loses
	// its session.
	HeartbeatTimeout time.Duration
	// Lease is how long a run can continue without its agent.
	Lease time.Duration
	// StopTime is the maximum time an endpoint takes to stop a run.
	StopTime time.Duration
	// ResubmitDelay is the delay after which callers submit again at another entry
	// when their connection breaks.
	ResubmitDelay time.Duration
	// MaxWaiting limits the number of waiting tasks; jobs beyond it are
	// refused.
	MaxWaiting int
	// LoadSharingPeers is the number of connected peers from which on jobs are forwarded to
	// them; 0 means that no job is forwarded or accepted from another entry.
	LoadSharingPeers int
	// Zone is the entry's availability zone; peers of the same zone are preferred.
	Zone string
	// SharingFloor, if above 0, divides the capacity between priorities, queues and callers;
	// each queue is guaranteed this part of its max-min fair share. See pool/fairness.
	SharingFloor float64
	// Reservations lets large tasks that fit nowhere reserve endpoints, and others
	// start there only if they are predicted to end before.
	Reservations bool
}

const (
	// Heartbeat is the longest interval between two messages to an agent; see
	// executor.Heartbeat.
	Heartbeat = 100 * time.Millisecond
	// pauseMargin is the safety margin for pauses of this process: callers may have
	// submitted elsewhere what they sent earlier than Options.ResubmitDelay less
	// pauseMargin.
	pauseMargin = 300 * time.Millisecond
	// shortPause is the time between two steps from which this process was paused. After
	// more than Options.HeartbeatTimeout, its agents have given it up.
	shortPause = 100 * time.Millisecond
	// completedRetention is how long completed jobs are remembered. Late
	// duplicates of a submission arrive within seconds.
	completedRetention = 60 * time.Second
	// maxCompletedJobs limits the number of remembered completed jobs: one
	// minute at 1,600 jobs a second.
	maxCompletedJobs = 100_000
	// expireInterval is the interval between checks of timeouts. A check reads
	// all agents and jobs; made in every step, it would take most of the step's
	// time. A twentieth of the shortest usual task is soon enough.
	expireInterval = 5 * time.Millisecond
)

// Core schedules the jobs of one entry. It is not safe for concurrent use.
//
// Invariants:
//   - A task gets another run only after the previous run is known to have ended.
//   - A job is refused only if this entry has started none of its tasks.
//   - A job that its caller may have submitted elsewhere since is not started.
//   - Each waiter gets one answer, as soon as it is known.
type Core struct {
	opts Options
	now  time.Duration
	// settlingSince is the time of the first step, or of the first one after a pause
	// of this process in which agents may have dropped this entry.
	settlingSince time.Duration
	// outage is the last outage of this process.
	outage outage
	// startedAt is the time of the first step.
	startedAt  time.Duration
	lastExpiry time.Duration
	// heldUpAt is the time of the last step that came late.
	heldUpAt time.Duration
	actions  []Action

	jobs     map[string]*job
	jobOrder []*job
	waiters  map[Waiter]*job
	queues   map[string]*queue
	// queueList holds the queues in the order of their first jobs: sums of rates
	// must not depend on a map's order.
	queueList []*queue
	// waiting is the number of tasks that wait for a start.
	waiting int
	// remainingRuns counts, by job ID, the runs of answered jobs that have not
	// ended.
	remainingRuns map[string]int

	agents    map[string]*agent
	agentList []*agent
	fleet     fleet
	sessions  map[Session]*agent
	// demand is the demand of the first job by rank that could not be placed;
	// demandService is its service.
	demand        message.RunDemand
	demandService string
	// started is the rate, in thousandths of a core, at which this entry starts
	// work.
	started decayingRate
	// sharing is nil without Options.SharingFloor.
	sharing *sharing

	// reservations is nil if Options.Reservations is not set.
	reservations *reservations

	// crashes and suspects hold the crashes of the last minute and the jobs under them.
	crashes  kernel.OrderedMap[crashID, *crashRecord]
	suspects kernel.OrderedMap[string, *suspect]
	// unlearned holds the newest crashes, by time, until learnCrashAges.
	unlearned []*crashRecord
	// crashesForgotten is the time at which old ones were last removed.
	crashesForgotten time.Duration
	// isolations holds, by service, what is isolated in this step.
	isolations map[string]*isolation
	// confinements holds, by service, the state of isolations that lasts.
	confinements kernel.OrderedMap[string, *confinement]

	evacuation evacuationState
	// peers and origins are the connections to other entries, see forward.go and host.go.
	peers      map[PeerSession]*peer
	peerList   []*peer
	origins    map[PeerSession]*origin
	originList []*origin
	// hosted holds the waiters of jobs of other entries.
	hosted      map[Waiter]*hostedJob
	lastHosted  Waiter
	lastRequest uint64

	completed      map[string]time.Duration
	completedOrder []string
	stopping       bool
	counters       Counters
}

// Counters counts decisions since the core was created.
type Counters struct {
	Jobs    [JobRepeated + 1]int64
	Runs    int64
	Ended   [message.RunRefused + 1]int64
	Refused [message.CauseEvacuated + 1]int64
	// Late counts jobs that completed after their objective.
	Late int64
	// ProcessPauses counts pauses of this process that interrupted its jobs.
	ProcessPauses int64
	// StalledRuns counts runs that were stopped because they were overdue here
	// or had stalled at their agent.
	StalledRuns int64
	// Crashes counts the crashes of endpoints that were reported, GivenUp the jobs
	// that were given up as their tasks crash endpoints.
	Crashes, GivenUp int64
	// EvacuatedStarts counts starts ordered in an evacuated zone: always 0.
	EvacuatedStarts int64
	// BeyondShare counts jobs that were refused beyond the share of their queue or caller.
	BeyondShare int64
}

// New returns a core without jobs and agents.
func New(opts Options) *Core {
	return &Core{
		opts:          opts,
		reservations:  newReservations(opts),
		jobs:          map[string]*job{},
		waiters:       map[Waiter]*job{},
		queues:        map[string]*queue{},
		remainingRuns: map[string]int{},
		agents:        map[string]*agent{},
		sessions:      map[Session]*agent{},
		peers:         map[PeerSession]*peer{},
		origins:       map[PeerSession]*origin{},
		hosted:        map[Waiter]*hostedJob{},
		completed:     map[string]time.Duration{},
		fleet:         fleet{medianSlowness: 1},
		started:       decayingRate{timeConstant: startRateTimeConstant},
		sharing:       newSharing(opts.SharingFloor),
	}
}

// Counters returns the decisions counted so far.
func (c *Core) Counters() Counters { return c.counters }

// Step advances the core to the given time since boot, applies events and
// returns the actions to carry out, in order. The time must include periods in
// which the machine was suspended.
func (c *Core) Step(now time.Duration, events ...Event) []Action {
	c.actions = nil
	pause := now - c.now
	if c.now == 0 {
		c.startedAt = now
	}
	if c.now == 0 || pause > c.opts.HeartbeatTimeout {
		c.settlingSince = now
	}
	if c.now > 0 {
		c.recordOutage(c.now, now)
	}
	if c.now > 0 && pause > shortPause && pause <= c.opts.HeartbeatTimeout {
		c.excuseSilence(pause)
	}
	if pause > heldUpGap {
		c.heldUpAt = now
	}
	c.now = max(c.now, now)
	c.handleOutage()
	for _, ev := range events {
		c.handle(ev)
	}
	c.prepareIsolation()
	c.expire()
	c.place()
	c.refuseUnplaceable()
	c.flush()
	c.flushPeers()
	c.flushOrigins()
	return c.actions
}

func (c *Core) handle(ev Event) {
	switch ev := ev.(type) {
	case JobSubmitted:
		c.submit(ev.Waiter, ev.Job)
	case WaiterDisconnected:
		c.dropWaiter(ev.Waiter)
	case CancelRequested:
		if j := c.jobs[ev.ID]; j != nil {
			c.finish(j, JobCancelled, "cancelled by its caller")
		}
	case JobsCompletedElsewhere:
		for _, id := range ev.IDs {
			c.rememberCompleted(id)
			c.acquit(id)
		}
		c.jobsSurvivedElsewhere(ev.BlamedQueues)
	case CrashesShared:
		c.takeNotice(ev.Notice)
	case LoadsShared:
		if c.sharing != nil {
			c.sharing.shares.SetRemote(c.now, ev.Entry, ev.Loads)
		}
	case AgentConnected:
		c.connect(ev)
	case AgentDisconnected:
		c.disconnect(ev.Session, "connection ended")
	case AgentReported:
		c.handleReport(ev.Session, ev.Report)
	case EvacuationLearned:
		c.learnEvacuation(ev.State, ev.Source)
	case PeerConnected:
		c.connectPeer(ev)
	case PeerDisconnected:
		c.disconnectPeer(ev.Peer)
	case PeerReported:
		c.handlePeerReport(ev.Peer, ev.Report)
	case ForwardReceived:
		c.handleForward(ev)
	case OriginDisconnected:
		c.disconnectOrigin(ev.Origin)
	case StopRequested:
		c.stopping = true
		c.interrupt("this entry stops")
	case Tick:
	}
}

// expire handles timeouts, at most once per expireInterval.
func (c *Core) expire() {
	if c.now-c.lastExpiry < expireInterval {
		return
	}
	c.lastExpiry = c.now
	c.checkAgents()
	c.checkPeers()
	c.checkOrigins()
	for _, j := range c.jobOrder {
		if j.answered {
			continue
		}
		c.checkJob(j)
	}
	c.compact()
	c.noteLimitedQueues()
	c.learnCrashAges()
	c.forgetCrashes()
	c.trackEvacuations()
	for len(c.completedOrder) > 0 && c.now-c.completed[c.completedOrder[0]] > completedRetention {
		delete(c.completed, c.completedOrder[0])
		c.completedOrder = c.completedOrder[1:]
	}
}

// compact removes answered jobs from the submission order.
func (c *Core) compact() {
	kept := c.jobOrder[:0]
	for _, j := range c.jobOrder {
		if !j.answered {
			kept = append(kept, j)
		}
	}
	clear(c.jobOrder[len(kept):])
	c.jobOrder = kept
}

func (c *Core) rememberCompleted(id string) {
	if _, known := c.completed[id]; known {
		return
	}
	if len(c.completedOrder) >= maxCompletedJobs {
		delete(c.completed, c.completedOrder[0])
		c.completedOrder = c.completedOrder[1:]
	}
	c.completed[id] = c.now
	c.completedOrder = append(c.completedOrder, id)
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

// WaitingJobs returns, by queue, the number of open jobs without a started task.
func (c *Core) WaitingJobs() map[string]int {
	counts := map[string]int{}
	for _, j := range c.jobOrder {
		if !j.answered && j.runs == 0 && j.forward.away == nil {
			counts[j.Queue]++
		}
	}
	return counts
}

// OpenJobs returns the number of jobs that have not been answered.
func (c *Core) OpenJobs() int { return len(c.jobs) }

// Status reports whether a job is open and whether one of its tasks has
// started, or may have at the entry that it was forwarded to.
func (c *Core) Status(id string) (known, started bool) {
	j := c.jobs[id]
	return j != nil, j != nil && (j.runs > 0 || j.forward.away != nil)
}

// Completed reports whether a job is remembered as completed.
func (c *Core) Completed(id string) bool {
	_, done := c.completed[id]
	return done
}

// MayHaveAccepted reports whether a job is open or remembered as completed, here or at another
// entry, or whether a request on a connection that was accepted at the given time may be so old
// that its caller has submitted it elsewhere.
func (c *Core) MayHaveAccepted(id string, connectedAt time.Duration) bool {
	return c.jobs[id] != nil || c.Completed(id) || c.mayBeResubmitted(connectedAt)
}

// Ready reports whether at least one endpoint takes tasks.
func (c *Core) Ready() bool {
	for _, a := range c.agentList {
		if a.isReady() {
			return true
		}
	}
	return false
}
