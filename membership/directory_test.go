package membership

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const heartbeatTimeout = 3 * time.Second

var startTime = time.Unix(1_000_000, 0)

func TestDirectoryStep(t *testing.T) {
	connect := func(s Session, incarnation uint64) Connected {
		return Connected{Session: s, Agent: "a", Incarnation: incarnation}
	}
	cases := []struct {
		name   string
		events []Event
		after  time.Duration
		last   Event
		want   []Action
	}{
		{"unresponsive agent's session is closed", []Event{connect(1, 1)}, heartbeatTimeout, Tick{}, []Action{CloseSession{Session: 1}}},
		{"responsive agent's session is kept", []Event{connect(1, 1)}, heartbeatTimeout - 1, Tick{}, nil},
		{"newer session replaces the older", []Event{connect(1, 1)}, 0, connect(2, 2), []Action{CloseSession{Session: 1, Replaced: true}}},
		{"late disconnect of the replaced session is ignored", []Event{connect(1, 1), connect(2, 2), Disconnected{1}}, heartbeatTimeout, Tick{}, []Action{CloseSession{Session: 2}}},
		{"first subscription gets a view", []Event{connect(1, 1)}, 0, Subscribed{Session: 1, ServicesChanged: true, Services: []string{"s"}}, []Action{SendView{1, []string{"s"}}}},
		{"unchanged generation sends nothing", []Event{ViewChanged{7}, connect(1, 1), Subscribed{Session: 1}}, 0, Subscribed{Session: 1, Generation: 7}, nil},
		{"subscriber gets a newer view", []Event{connect(1, 1), Subscribed{Session: 1}}, 0, ViewChanged{8}, []Action{SendView{Session: 1}}},
		{"session without subscription gets nothing", []Event{connect(1, 1)}, 0, ViewChanged{8}, nil},
		{"older generation is ignored", []Event{ViewChanged{9}, connect(1, 1), Subscribed{Session: 1}}, 0, ViewChanged{8}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := NewDirectory(heartbeatTimeout)
			for _, ev := range c.events {
				d.Step(startTime, ev)
			}
			is.Equal(d.Step(startTime.Add(c.after), c.last), c.want)
		})
	}
}

// TestDirectoryKeepsOneSessionPerAgent compares the directory with the set of each
// agent's newest session, without those that are unresponsive or disconnected.
func TestDirectoryKeepsOneSessionPerAgent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := NewDirectory(heartbeatTimeout)
		now := startTime
		next := Session(1)
		newest := map[string]Session{}
		lastReceived := map[Session]time.Time{}
		t.Repeat(map[string]func(*rapid.T){
			"connect": func(t *rapid.T) {
				name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "agent")
				d.Step(now, Connected{Session: next, Agent: name})
				newest[name], lastReceived[next] = next, now
				next++
			},
			"hear": func(t *rapid.T) {
				s := Session(rapid.Uint64Range(1, uint64(next)).Draw(t, "session"))
				d.Step(now, MessageReceived{s})
				lastReceived[s] = now
			},
			"disconnect": func(t *rapid.T) {
				s := Session(rapid.Uint64Range(1, uint64(next)).Draw(t, "session"))
				d.Step(now, Disconnected{s})
				for name, other := range newest {
					if other == s {
						delete(newest, name)
					}
				}
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
				d.Step(now, Tick{})
				for name, s := range newest {
					if now.Sub(lastReceived[s]) >= heartbeatTimeout {
						delete(newest, name)
					}
				}
			},
			"": func(t *rapid.T) {
				if d.Len() != len(newest) {
					t.Fatalf("%d sessions, want %d", d.Len(), len(newest))
				}
				for name, s := range newest {
					if a, ok := d.Get(s); !ok || a.Name != name {
						t.Fatalf("agent %s: session %d missing", name, s)
					}
				}
			},
		})
	})
}
