package dispatch

import (
	"slices"
	"time"

	"marjoramlug.example/marjoramlug/config"
	"marjoramlug.example/marjoramlug/message"
)

// fifo is a queue in order of arrival.
type fifo struct{ tasks []*QueuedTask }

func (q *fifo) Configure(config.Service)           {}
func (q *fifo) Push(_ time.Time, t *QueuedTask)    { q.tasks = append(q.tasks, t) }
func (q *fifo) Requeue(_ time.Time, t *QueuedTask) { q.tasks = slices.Insert(q.tasks, 0, t) }
func (q *fifo) Len() int                           { return len(q.tasks) }
func (q *fifo) Urgent() int                        { return 0 }
func (q *fifo) is(t *QueuedTask) func(*QueuedTask) bool {
	return func(o *QueuedTask) bool { return o == t }
}
func (q *fifo) Remove(t *QueuedTask) { q.tasks = slices.DeleteFunc(q.tasks, q.is(t)) }

func (q *fifo) Next(_ time.Time, canRun func(*QueuedTask) bool) *QueuedTask {
	i := slices.IndexFunc(q.tasks, canRun)
	if i < 0 {
		return nil
	}
	t := q.tasks[i]
	q.tasks = slices.Delete(q.tasks, i, i+1)
	return t
}

// firstFit takes the first credit that meets the need.
type firstFit struct {
	endpoints map[EndpointKey]message.EndpointInfo
	credits   []Credit
	observed  []bool
}

func newFirstFit() *firstFit { return &firstFit{endpoints: make(map[EndpointKey]message.EndpointInfo)} }

func (p *firstFit) SetEndpoint(key EndpointKey, _ string, info message.EndpointInfo) {
	p.endpoints[key] = info
}

func (p *firstFit) RemoveEndpoint(key EndpointKey) {
	delete(p.endpoints, key)
	p.credits = slices.DeleteFunc(p.credits, func(c Credit) bool { return key == c.key() })
}

func (c Credit) key() EndpointKey { return EndpointKey{Agent: c.Agent, Endpoint: c.Endpoint} }

func (p *firstFit) Add(c Credit) { p.credits = append(p.credits, c) }

func (p *firstFit) Withdraw(session Session, id message.CreditID) bool {
	before := len(p.credits)
	p.credits = slices.DeleteFunc(p.credits, func(c Credit) bool { return c.Session == session && c.ID == id })
	return len(p.credits) < before
}

func (p *firstFit) DropSession(session Session) {
	p.credits = slices.DeleteFunc(p.credits, func(c Credit) bool { return c.Session == session })
}

func (p *firstFit) meets(key EndpointKey, need Need) bool {
	e, ok := p.endpoints[key]
	return ok && e.Memory >= need.Memory && (need.Accelerator == "" || slices.Contains(e.Accelerators, need.Accelerator))
}

func (p *firstFit) find(need Need) int {
	return slices.IndexFunc(p.credits, func(c Credit) bool { return p.meets(c.key(), need) })
}

func (p *firstFit) Free() int                          { return len(p.credits) }
func (p *firstFit) CanRun(_ time.Time, need Need) bool { return p.find(need) >= 0 }

func (p *firstFit) CouldRun(need Need) bool {
	for key := range p.endpoints {
		if p.meets(key, need) {
			return true
		}
	}
	return false
}

func (p *firstFit) Pick(_ time.Time, t *QueuedTask) (Credit, bool) {
	i := p.find(t.Need)
	if i < 0 {
		return Credit{}, false
	}
	c := p.credits[i]
	p.credits = slices.Delete(p.credits, i, i+1)
	return c, true
}

func (p *firstFit) Observe(_ time.Time, _ EndpointKey, _ string, _ time.Duration, failed bool) {
	p.observed = append(p.observed, failed)
}

func (p *firstFit) Expected(_ string, declared time.Duration) time.Duration { return declared }

func (p *firstFit) Slots() (n int) {
	for _, e := range p.endpoints {
		n += e.Slots
	}
	return n
}

func (p *firstFit) NextChange() time.Time { return time.Time{} }

// openAdmission admits every job unless refuse is set.
type openAdmission struct{ refuse *Refusal }

func (a *openAdmission) Configure(config.Service) {}

func (a *openAdmission) Admit(time.Time, *message.Submit, Load) *Refusal { return a.refuse }
