package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramlug.example/marjoramlug/config"
	"marjoramlug.example/marjoramlug/dispatch"
	"marjoramlug.example/marjoramlug/message"
)

// The state of the log can be ahead of the events that the core has processed:
// the core then still issues a start for a shard that the entry has lost. The
// loop must not send it.
func TestStartIsNotSentAfterShardLoss(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I, h *harness) {
		starts, mayAct := 0, false
		core := dispatch.New(h.entry.coreOptions("trials", config.Service{Name: "trials"}))
		l := newServiceLoop("trials", core, loopCallbacks{
			send: func(_ dispatch.Session, m message.Message) bool {
				if _, ok := m.(*message.Start); ok {
					starts++
				}
				return true
			},
			mayAct: func(_ string, shard int, epoch message.Epoch) bool {
				is.Equal(shard, 0)
				is.Equal(epoch, message.Epoch(7))
				return mayAct
			},
		})
		timer := time.NewTimer(time.Hour)
		endpoints := []message.EndpointInfo{{Name: "e", Slots: 1}}
		grants := []message.Grant{{Credit: 1, Endpoint: "e"}}
		for _, ev := range []dispatch.Event{
			dispatch.ShardAcquired{Shard: 0, Epoch: 7, First: true},
			dispatch.LeaseChanged{Until: time.Now().Add(time.Minute)},
			dispatch.AgentConnected{Session: 1, Agent: "a", Incarnation: 1, Registered: true},
			dispatch.AgentMessage{Session: 1, Message: &message.Announce{Sequence: 1, Endpoints: endpoints}},
			dispatch.AgentMessage{Session: 1, Message: &message.Credits{Sequence: 2, Grants: grants}},
			dispatch.JobSubmitted{Submit: newJob("j")},
		} {
			l.step(timer, ev)
		}
		is.Equal(starts, 0)
		is.Equal(core.Queued(), 1)
		mayAct = true
		l.step(timer, dispatch.Tick{})
		is.Equal(starts, 1) // uses the credit of the start that was not sent
	})
}
