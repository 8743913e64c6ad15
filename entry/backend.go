package entry

import (
	"context"
	"crypto/rand"
	"strings"
	"time"

	"marjoramlug.example/marjoramlug/config"
	"marjoramlug.example/marjoramlug/dispatch"
	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/ownership"
	"marjoramlug.example/marjoramlug/verdict"
)

// asyncRelayTimeout bounds how long an asynchronous job is relayed, whether or not
// its caller set a deadline.
const asyncRelayTimeout = time.Hour

// Classify implements api.CallerBackend.
func (e *Entry) Classify(service string, task *message.Task) error {
	cfg, _, ok := e.replica.Service(service)
	if !ok {
		return e.unknownService(service)
	}
	rule, ok := matchRule(cfg.Rules, task)
	if !ok {
		return nil
	}
	task.Class = rule.Name
	task.Urgent = rule.Urgent
	task.Idempotent = rule.Idempotent
	if task.TimeoutMillis == 0 {
		task.TimeoutMillis = rule.Timeout.Milliseconds()
	}
	return nil
}

// unknownService returns the refusal for a service that this entry has no
// configuration of: Unavailable while the entry has not read the whole
// configuration and the service may still exist, UnknownService afterwards.
func (e *Entry) unknownService(service string) error {
	if !e.replica.Ready() {
		return verdict.New(verdict.NotRun, verdict.ReasonUnavailable, "configuration not complete yet")
	}
	return verdict.New(verdict.NotRun, verdict.ReasonUnknownService, "no service %q", service)
}

// matchRule returns the first rule that matches the task's method and path.
func matchRule(rules []config.Rule, task *message.Task) (config.Rule, bool) {
	for _, rule := range rules {
		if rule.Method != "" && rule.Method != task.Method {
			continue
		}
		if strings.HasPrefix(task.Path, rule.PathPrefix) {
			return rule, true
		}
	}
	return config.Rule{}, false
}

// Submit implements api.CallerBackend.
func (e *Entry) Submit(ctx context.Context, job *message.Submit) message.JobAnswer {
	e.relayedJobs.Add(1)
	defer e.relayedJobs.Done()
	begin := time.Now()
	answer := e.relay.submit(ctx, job)
	e.recordAnswer(job, answer, time.Since(begin))
	return answer
}

// SubmitAsync implements api.CallerBackend.
func (e *Entry) SubmitAsync(job *message.Submit) {
	e.relayedJobs.Add(1)
	go func() {
		defer e.relayedJobs.Done()
		ctx, cancel := context.WithTimeout(e.ctx, asyncRelayTimeout)
		defer cancel()
		begin := time.Now()
		answer := e.relay.submit(ctx, job)
		e.recordAnswer(job, answer, time.Since(begin))
	}()
}

// Status implements api.CallerBackend.
func (e *Entry) Status(ctx context.Context, service string, job message.JobKey) (message.Status, error) {
	if _, _, ok := e.replica.Service(service); !ok {
		return message.Status{}, e.unknownService(service)
	}
	return e.relay.status(ctx, service, job)
}

// Cancel implements api.CallerBackend.
func (e *Entry) Cancel(ctx context.Context, service string, job message.JobKey) (message.Status, error) {
	if _, _, ok := e.replica.Service(service); !ok {
		return message.Status{}, e.unknownService(service)
	}
	return e.relay.cancel(ctx, service, job)
}

// recordAnswer counts the outcome of a job and observes its response time by
// caller and class. A job has at least one task: the callers' interface refuses
// others.
func (e *Entry) recordAnswer(job *message.Submit, answer message.JobAnswer, duration time.Duration) {
	class := job.Tasks[0].Class
	e.metrics.Observe("response_us", job.Job.Team+"/"+job.Job.Caller, class, duration)
	if !answer.Failed {
		e.metrics.Add("job.complete", 1)
		return
	}
	e.metrics.Add("job.failed."+answer.Verdict.String()+"."+answer.Reason.String(), 1)
}

// Configure publishes a service's configuration to replace the current revision
// and returns once this entry has applied it.
func (e *Entry) Configure(ctx context.Context, service config.Service, author string) (config.Outcome, error) {
	_, revision, _ := e.replica.Service(service.Name)
	schema := config.LowestSchema(service)
	body, err := config.EncodeBody(schema, service)
	if err != nil {
		return config.Outcome{}, err
	}
	return e.replica.Publish(ctx, config.Record{
		ID:      rand.Text(),
		Service: service.Name,
		Schema:  schema,
		Expect:  revision,
		Body:    body,
		Author:  author,
		At:      time.Now().UnixMilli(),
	})
}

// Members returns the entries that have joined according to the part of the log
// that this entry has read.
func (e *Entry) Members() []ownership.Member { return e.replica.Members() }

// ServiceCounters returns the counters of this entry's core of a service. It
// returns false when the entry runs no core for the service or is shutting down.
func (e *Entry) ServiceCounters(service string) (dispatch.Counters, bool) {
	e.loopsMu.Lock()
	l, ok := e.loops[service]
	e.loopsMu.Unlock()
	if !ok {
		return dispatch.Counters{}, false
	}
	var counters dispatch.Counters
	ok = l.inspectCore(e.ctx, func(c *dispatch.Core) { counters = c.Counters() })
	return counters, ok
}
