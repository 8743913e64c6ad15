package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramlug.example/marjoramlug/config"
	"marjoramlug.example/marjoramlug/dispatch"
	"marjoramlug.example/marjoramlug/message"
)

// TestStartIsKeptBackOnceTheShardIsLost lets the state of the log be ahead of the
// core's events: the core still decides a start, which must not leave.
func TestStartIsKeptBackOnceTheShardIsLost(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I, b *bench) {
		starts, mayAct := 0, false
		core := dispatch.New(b.entry.coreOptions("trials", config.Service{Name: "trials"}))
		l := newServiceLoop("trials", core, loopPorts{
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
			dispatch.JobSubmitted{Submit: aJob("j")},
		} {
			l.step(timer, ev)
		}
		is.Equal(starts, 0)
		is.Equal(core.Queued(), 1)
		mayAct = true
		l.step(timer, dispatch.Tick{})
		is.Equal(starts, 1) // with the credit of the start that was kept back
	})
}
