package intake

import (
	"container/list"
	"sync"
	"time"
)

const (
	// pacerBurst is the number of steps that are taken without a pause: more than arrive at
	// once from clients within their limits.
	pacerBurst = 64
	// pacerSteps is the number of steps that are taken between two pauses when more wait.
	pacerSteps = 8
	// minPause is the length of a pause. When the timer that ends it is late, the processor is
	// short, and the next pause is longer by as much, maxPause at most.
	minPause = time.Millisecond
	maxPause = 20 * time.Millisecond
)

// Pacer bounds the processor time that clients take while the rest of the process needs it.
// Go's scheduler takes ready goroutines in turn, and looks for network events and timers only
// now and then while some are ready. With hundreds of clients whose next requests have arrived
// already, what comes from other processes would wait for a second. Therefore, when many steps
// have been taken without a pause, the next ones wait, in their order, until a timer has fired:
// meanwhile all others get the processor. A nil Pacer does not pause. It is safe for concurrent use.
type Pacer struct {
	// paced is called for each step that waits.
	paced func()

	mu sync.Mutex
	// left is the number of steps until the next pause.
	left int
	// delayed holds a channel for each step that waits, in order of arrival.
	delayed list.List
	// due is the time at which the present pause ends; zero if there is none.
	due   time.Time
	pause time.Duration
}

// NewPacer returns a pacer that calls paced for each step that waits.
func NewPacer(paced func()) *Pacer {
	return &Pacer{paced: paced, left: pacerBurst, pause: minPause}
}

// Take waits until the next step for a client may begin: the handling of a request, of a part of
// a large body, or of a new connection.
func (p *Pacer) Take() {
	if p == nil {
		return
	}
	p.mu.Lock()
	if p.left > 0 && p.delayed.Len() == 0 {
		p.left--
		if p.left < pacerBurst/2 {
			p.startPause()
		}
		p.mu.Unlock()
		return
	}
	begin := make(chan struct{})
	p.delayed.PushBack(begin)
	p.startPause()
	p.mu.Unlock()
	p.paced()
	<-begin
}

func (p *Pacer) startPause() {
	if !p.due.IsZero() {
		return
	}
	p.due = time.Now().Add(p.pause)
	time.AfterFunc(p.pause, p.endPause)
}

// endPause begins the next delayed steps.
func (p *Pacer) endPause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	late := time.Since(p.due)
	p.due = time.Time{}
	if p.delayed.Len() == 0 {
		p.left, p.pause = pacerBurst, minPause
		return
	}
	p.pause = min(minPause+max(late, 0), maxPause)
	for p.left = pacerSteps; p.left > 0 && p.delayed.Len() > 0; p.left-- {
		close(p.delayed.Remove(p.delayed.Front()).(chan struct{}))
	}
	p.startPause()
}
