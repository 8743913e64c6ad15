package dispatch

import (
	"testing"
	"time"

	"marjoramlug.example/marjoramlug/config"
	"marjoramlug.example/marjoramlug/message"
)

// newSharedOwner returns one of two owners of a service.
func newSharedOwner(t *testing.T) *harness {
	h := newOwner(t)
	h.step(Configured{Service: config.Service{Owners: 2}})
	return h
}

func TestStarvingOwnerAsksEachAgentOnce(t *testing.T) {
	h := newSharedOwner(t)
	for _, agent := range []string{"a", "b", "c"} {
		h.connect(agent, 1, 0)
	}
	h.submit(h.job("j", 5))
	h.is.Equal(len(takeSent[*message.Demand](h)), 0) // a credit may be in transit
	h.advance(demandDelay)
	asked := takeSent[*message.Demand](h)
	h.is.Equal(len(asked), demandFanout)
	h.is.Equal(asked[0].Queued, 5)
	h.advance(2 * demandDelay)
	h.is.Equal(len(takeSent[*message.Demand](h)), 1) // the third agent
	for range 10 {
		h.advance(100 * time.Millisecond)
	}
	h.is.Equal(len(takeSent[*message.Demand](h)), 0) // all agents have received the queue length
}

func TestStartReportsQueueLength(t *testing.T) {
	h := newSharedOwner(t)
	h.connect("a", 1, 1)
	h.submit(h.job("j", 3))
	h.is.Equal(h.starts()[0].Queued, 2)
	h.advance(demandDelay)
	h.is.Equal(len(takeSent[*message.Demand](h)), 0)
}

func TestIdleOwnerReturnsItsSurplus(t *testing.T) {
	h := newSharedOwner(t)
	s := h.connect("a", 1, 4)
	h.advance(surplusDelay)
	h.is.Equal(len(takeSent[*message.Demand](h)[0].Returned), 2) // the owner keeps half of the slots
	h.submit(h.job("j", 4))
	starts := h.starts()
	h.is.Equal(len(starts), 2)
	h.finish(s, starts[0], ran)
	h.advance(surplusDelay)
	h.is.Equal(len(takeSent[*message.Demand](h)), 0)
}

func TestSingleOwnerSendsNoDemand(t *testing.T) {
	h := newOwner(t)
	h.connect("a", 1, 4)
	h.advance(time.Second)
	h.submit(h.job("j", 6))
	for _, st := range h.starts() {
		h.is.Equal(st.Queued, 0)
	}
	h.advance(time.Second)
	h.is.Equal(len(takeSent[*message.Demand](h)), 0)
}
