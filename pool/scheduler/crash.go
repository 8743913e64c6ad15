package scheduler

import (
	"math"
	"slices"
	"time"

	"marjoramlug.example/marjoramlug/kernel"
	"marjoramlug.example/marjoramlug/message"
)

const (
	// crashMemory is how long crashes and suspects are remembered: longer than callers
	// submit a job again.
	crashMemory = time.Minute
	// countedAge is the age at which a crash counts against its queues with a factor of
	// 1/e when it becomes known. What has completed since is not known.
	countedAge = 3 * time.Second
	// suspectBlame is the blame from which a job's next run is isolated.
	suspectBlame = 0.1
	// otherTaskShare is the part of a job's blame that applies to its other tasks: where
	// one task crashes its endpoint, all may do so.
	otherTaskShare = 0.25
	// strongBlame is the blame from which a job is more likely deadly than not.
	strongBlame = 0.5
	// certainBlame and crashesToGiveUp are the blame of a job and the number of
	// confirmed crashes under one of its tasks from which it is given up as failed. The
	// users forbid it after fewer crashes.
	certainBlame    = 0.9
	crashesToGiveUp = 2
	// budgetCrashes is the number of crashes under a task after which it gets at most
	// budgetStarts more starts, whatever the blame. The users forbid a third one.
	budgetCrashes = 3
	budgetStarts  = 2
)

// crashID identifies a crash: an endpoint's process crashes once.
type crashID struct {
	endpoint    string
	incarnation int64
}

// crashRecord is a crash and what each job under it is blamed for.
type crashRecord struct {
	id   crashID
	at   time.Duration
	jobs []*crashedJob
	// simultaneous is set if another endpoint crashed at the same time; otherCauses
	// multiplies the weight of a cause that has nothing to do with runs.
	simultaneous bool
	otherCauses  float64
	// unexplained is the probability that no job has caused the crash; ownAgent is set if
	// an agent of this entry reported it.
	unexplained float64
	ownAgent    bool
}

// crashedJob is a job under a crash.
type crashedJob struct {
	suspect *suspect
	queue   *queue
	// runs holds the run of each of its tasks.
	runs kernel.OrderedMap[int, crashedRun]
	// known is the blame for earlier crashes that applies to the tasks under this one.
	// prior is the probability that the job is deadly, as assessed before the crash; blame
	// the probability that it has caused this crash.
	known, prior, blame float64
	// acquitted is set when the job has completed, convicted when it has been given up
	// because endpoints crash under it.
	acquitted, convicted bool
	// weight is the factor with which blame counts against the queue, less for a crash
	// that becomes known late, and counted the amount that the queue's blame holds for
	// this crash.
	weight, counted float64
}

// crashedRun is a run under a crash, which the endpoint is not known to have had if
// unconfirmed is set. With completed its task has completed since.
type crashedRun struct {
	number                 int64
	age                    time.Duration
	unconfirmed, completed bool
}

// suspectedAge returns the time from the start of the job's youngest run to the crash,
// without tasks that have completed since; ok is false if all have.
func (cj *crashedJob) suspectedAge() (age time.Duration, ok bool) {
	for _, r := range cj.runs.All() {
		if !r.completed && (!ok || r.age < age) {
			age, ok = r.age, true
		}
	}
	return age, ok
}

// suspect is a job under which endpoints have crashed.
type suspect struct {
	job string
	// blame is the probability that the job crashes endpoints.
	blame float64
	// crashes counts the crashes under each task that has not completed, confirmed those
	// under runs that the endpoint certainly had, starts the starts of a task after
	// budgetCrashes crashes.
	crashes, confirmed, starts map[int]int
	records                    []*crashRecord
	lastCrash                  time.Duration
	// givenUp is set when the job is known to crash its endpoints.
	givenUp bool
}

// blameUnder returns the blame that applies to the job's tasks under a crash: that of the
// same tasks, or a part of that of others.
func (s *suspect) blameUnder(crash *message.EndpointCrash) float64 {
	blame := otherTaskShare * s.blame
	for _, r := range crash.Runs {
		if r.Run.Job == s.job {
			blame = max(blame, s.taskBlame(r.Run.Task))
		}
	}
	return blame
}

// taskBlame returns the blame of the job for the last crash under one of its tasks.
func (s *suspect) taskBlame(task int) float64 {
	for _, k := range slices.Backward(s.records) {
		for _, cj := range k.jobs {
			if cj.suspect == s && cj.runs.Has(task) && !cj.runs.Get(task).completed {
				return cj.blame
			}
		}
	}
	return 0
}

// updateBlame sets the blame of the job to that of the task that is blamed most.
func (s *suspect) updateBlame() {
	s.blame = 0
	for task := range s.crashes {
		s.blame = max(s.blame, s.taskBlame(task))
	}
}

// mostCrashes returns the largest number of crashes under one task.
func (s *suspect) mostCrashes() int { return most(s.crashes) }

// mayFail reports whether the job may be answered as failed.
func (s *suspect) mayFail() bool { return most(s.confirmed) >= crashesToGiveUp }

func most(counts map[int]int) int {
	n := 0
	for _, count := range counts {
		n = max(n, count)
	}
	return n
}

// recordCrash takes in a crash and reports whether it has runs that were not known.
func (c *Core) recordCrash(crash *message.EndpointCrash, fromAgent bool) bool {
	id := crashID{crash.Endpoint, crash.Incarnation}
	k := c.crashes.Get(id)
	known := k != nil
	if !known {
		k = &crashRecord{id: id, at: c.now - time.Duration(max(crash.AgoMillis, 0))*time.Millisecond, otherCauses: 1}
		c.crashes.Set(id, k)
	}
	k.ownAgent = k.ownAgent || fromAgent
	changed := false
	for _, r := range crash.Runs {
		changed = c.addCrashedRun(k, crash, r) || changed
	}
	if !changed {
		return false
	}
	c.assessWithSimultaneous(k)
	c.judge(k)
	if !known {
		c.counters.Crashes++
		c.unlearned = append(c.unlearned, k)
	}
	return true
}

// addCrashedRun adds a run to a crash and reports whether it or its completion was not
// known.
func (c *Core) addCrashedRun(k *crashRecord, crash *message.EndpointCrash, r message.CrashedRun) bool {
	age := max(time.Duration(r.AgeMillis)*time.Millisecond, 0)
	at := slices.IndexFunc(k.jobs, func(cj *crashedJob) bool { return cj.suspect.job == r.Run.Job })
	if at < 0 {
		k.jobs = append(k.jobs, c.newCrashedJob(k, crash, r))
		at = len(k.jobs) - 1
	}
	cj := k.jobs[at]
	if cj.runs.Has(r.Run.Task) {
		return r.Completed && cj.complete(r.Run.Task)
	}
	cj.runs.Set(r.Run.Task, crashedRun{number: r.Run.Number, age: age, unconfirmed: r.Unconfirmed})
	if r.Completed {
		return cj.complete(r.Run.Task)
	}
	cj.suspect.crashes[r.Run.Task]++
	if !r.Unconfirmed {
		cj.suspect.confirmed[r.Run.Task]++
	}
	return true
}

// complete records that a task under the crash has completed since, which clears it, and
// reports whether that was not known.
func (cj *crashedJob) complete(task int) bool {
	r := cj.runs.Get(task)
	if r.completed {
		return false
	}
	r.completed = true
	cj.runs.Set(task, r)
	delete(cj.suspect.crashes, task)
	delete(cj.suspect.confirmed, task)
	return true
}

func (c *Core) newCrashedJob(k *crashRecord, crash *message.EndpointCrash, r message.CrashedRun) *crashedJob {
	j := c.jobs[r.Run.Job]
	cj := &crashedJob{queue: c.queueOf(r.Queue), weight: math.Exp(-(c.now - k.at).Seconds() / countedAge.Seconds())}
	s := c.suspects.Get(r.Run.Job)
	if s == nil {
		s = &suspect{job: r.Run.Job, crashes: map[int]int{}, confirmed: map[int]int{}, starts: map[int]int{}}
		c.suspects.Set(s.job, s)
	}
	cj.known = s.blameUnder(crash)
	cj.prior = max(cj.known, cj.queue.risk())
	if j != nil {
		j.suspect = s
	}
	s.records = append(s.records, k)
	s.lastCrash = c.now
	cj.suspect = s
	return cj
}

// judge gives up the jobs under a crash that are known to crash their endpoints.
func (c *Core) judge(k *crashRecord) {
	for _, cj := range k.jobs {
		if s := cj.suspect; !cj.acquitted && !s.givenUp && s.mayFail() && s.blame >= certainBlame {
			c.giveUp(s, "endpoints crash under it")
			c.clearNeighbours(s)
		}
	}
}

// clearNeighbours divides the blame for all crashes under a job again that is known to
// crash its endpoints.
func (c *Core) clearNeighbours(s *suspect) {
	for _, k := range s.records {
		for _, cj := range k.jobs {
			if cj.suspect == s {
				cj.convicted = true
			}
		}
		c.assess(k)
	}
}

func (c *Core) giveUp(s *suspect, cause string) {
	s.givenUp = true
	c.counters.GivenUp++
	c.emit(Note{What: "job given up", Job: s.job, Detail: cause})
	if j := c.jobs[s.job]; j != nil {
		c.finishGivenUp(j, cause)
	}
}

// finishGivenUp answers a job that has been given up: as failed if enough endpoints have
// crashed under it for certain.
func (c *Core) finishGivenUp(j *job, cause string) {
	outcome := JobExpired
	if j.suspect.mayFail() {
		outcome = JobFailed
	}
	c.finish(j, outcome, cause)
}

// withinBudget reports whether a task may be started, and gives its job up if too many
// endpoints have crashed under it, whoever is to blame.
func (c *Core) withinBudget(j *job, task int) bool {
	s := j.suspect
	if s == nil {
		return true
	}
	// Each crash after budgetCrashes had a start, by this entry or by another one.
	if max(s.starts[task], s.crashes[task]-budgetCrashes) < budgetStarts {
		return true
	}
	c.giveUp(s, "too many endpoints crashed under a task")
	return false
}

// acquit clears a job that has completed. The blame for its crashes falls to the
// others.
func (c *Core) acquit(id string) {
	s := c.suspects.Get(id)
	if s == nil {
		return
	}
	c.suspects.Delete(id)
	for _, k := range s.records {
		for _, cj := range k.jobs {
			if cj.suspect == s {
				cj.prior, cj.acquitted = 0, true
			}
		}
		c.assess(k)
		c.judge(k)
	}
}

// clearTask takes in that a task of a job has completed. The blame for crashes under it
// falls to the others, at other entries too.
func (c *Core) clearTask(s *suspect, task int) {
	var cleared []message.EndpointCrash
	for _, k := range s.records {
		at := slices.IndexFunc(k.jobs, func(cj *crashedJob) bool { return cj.suspect == s })
		if at < 0 || !k.jobs[at].runs.Has(task) || !k.jobs[at].complete(task) {
			continue
		}
		crash := c.crashMessage(k)
		crash.Runs = []message.CrashedRun{k.jobs[at].runMessage(task)}
		cleared = append(cleared, crash)
		c.assess(k)
		c.judge(k)
	}
	if len(cleared) > 0 {
		c.emit(ShareCrashes{Notice: &message.CrashNotice{Crashes: cleared}})
	}
}

// forgetCrashes removes what is older than crashMemory, once a second.
func (c *Core) forgetCrashes() {
	if c.now-c.crashesForgotten < time.Second {
		return
	}
	c.crashesForgotten = c.now
	for id, k := range c.crashes.All() {
		if c.now-k.at > crashMemory {
			c.crashes.Delete(id)
		}
	}
	for id, s := range c.suspects.All() {
		if c.now-s.lastCrash > crashMemory && c.jobs[id] == nil {
			c.suspects.Delete(id)
		}
	}
}

// blameOf returns the probability that a job crashes its endpoints, as far as endpoints
// have crashed under it.
func (j *job) blameOf() float64 {
	if j.suspect == nil {
		return 0
	}
	return j.suspect.blame
}

func (j *job) isSuspect() bool { return j.blameOf() >= suspectBlame }
