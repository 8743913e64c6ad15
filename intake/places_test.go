package intake

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLongestRequestGivesWay guards against requests in progress that keep all others out, and
// against ones that are ended while tasks usually still run: clients that connect again at once
// would otherwise end all requests before their answers.
func TestLongestRequestGivesWay(t *testing.T) {
	is := is.New(t)
	p, now := newPlaces(4), time.Unix(1, 0)
	enter := func(to phase) *connection {
		e := &connection{asked: true}
		p.enter(e, to, now)
		now = now.Add(time.Millisecond)
		return e
	}
	longest, second, pipeline := enter(working), enter(working), enter(pipelining)
	next := enter(queued)
	is.Equal(p.open(), 4)
	evicted, ok := p.admit()
	is.True(ok && evicted == next) // without a place, it makes room for a new connection

	begins, evicted, _ := p.next(now)
	is.True(begins == next && evicted == pipeline)
	p.leave(pipeline)
	p.enter(begins, working, now)

	last := enter(queued)
	begins, evicted, at := p.next(now)
	is.True(begins == nil && evicted == nil)
	is.Equal(at, longest.since.Add(minServiceTime))
	begins, evicted, _ = p.next(at)
	is.True(begins == last && evicted == longest)
	p.leave(second)
	begins, evicted, _ = p.next(now)
	is.True(begins == last && evicted == nil)
}
