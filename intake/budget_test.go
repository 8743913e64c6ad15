package intake

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

// TestOldestIncompleteRequestMakesRoom guards against a budget that stalled requests hold, so
// that no other client is served.
func TestOldestIncompleteRequestMakesRoom(t *testing.T) {
	is := is.New(t)
	b := NewBudget(100)
	var evicted []string
	begin := func(name string, bytes int64) (*Request, error) {
		return b.Begin(bytes, func() { evicted = append(evicted, name) })
	}
	received, err := begin("received", 40)
	is.NoErr(err)
	oldest, err := begin("oldest", 30)
	is.NoErr(err)
	younger, err := begin("younger", 30)
	is.NoErr(err)
	is.True(!received.Release())
	_, err = begin("fits", 40)
	is.NoErr(err)
	is.Equal(len(evicted), 0)

	_, err = begin("new", 10)
	is.NoErr(err)
	is.Equal(evicted, []string{"oldest"}) // not the younger ones
	is.Equal(b.Used(), int64(80))
	is.True(errors.Is(oldest.Reserve(1), ErrEvicted))
	is.True(oldest.Release())
	is.Equal(b.Used(), int64(80)) // its share was returned once

	is.True(errors.Is(younger.Reserve(30), ErrEvicted)) // itself the oldest: the younger ones stay
	is.Equal(evicted, []string{"oldest"})
	is.Equal(b.Used(), int64(50))
	_, err = begin("too large", 101)
	is.True(errors.Is(err, ErrExhausted))
	is.Equal(evicted, []string{"oldest"}) // none is evicted in vain
}
