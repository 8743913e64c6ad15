package dispatch_test

import (
	"fmt"
	"time"

	"marjoramlug.example/marjoramlug/dispatch"
	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/plugin/admission/open"
	"marjoramlug.example/marjoramlug/plugin/placement/credit"
	"marjoramlug.example/marjoramlug/plugin/queueing/fair"
	"marjoramlug.example/marjoramlug/verdict"
)

// A core takes events and the current time, and returns the actions to carry
// out.
func ExampleCore() {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	core := dispatch.New(dispatch.Options{
		Incarnation:      1,
		Service:          "trials",
		AgentTimeout:     3 * time.Second,
		ResubmitWindow:   time.Minute,
		ClockSkew:        time.Second,
		AnswerBytes:      1 << 20,
		UnmetNeedTimeout: 5 * time.Second,
		NewQueue:         func() dispatch.Queue { return fair.New() },
		NewPlacement:     func() dispatch.Placement { return credit.New() },
		NewAdmission:     func() dispatch.Admission { return open.New() },
	})
	const session = 1
	start := &message.Start{}
	step := func(ev dispatch.Event) {
		for _, action := range core.Step(now, ev) {
			switch action := action.(type) {
			case dispatch.Send:
				start = action.Message.(*message.Start)
				fmt.Println("start", start.Job, "at", start.Endpoint)
			case dispatch.Reply:
				fmt.Println("answer", action.Answer.Verdict, string(action.Answer.Tasks[0].Body))
			}
		}
	}
	key := message.JobKey{Team: "kiln", Caller: "desk", Job: "batch-7"}
	step(dispatch.ShardAcquired{Shard: message.ShardOf("trials", key), Epoch: 1, First: true})
	step(dispatch.LeaseChanged{Until: now.Add(time.Minute)})
	step(dispatch.JobSubmitted{
		Waiter: dispatch.Waiter{Relay: 1, Request: 1},
		Submit: &message.Submit{
			Shard:       message.ShardOf("trials", key),
			Job:         key,
			SubmittedAt: now.UnixMilli(),
			Tasks:       []message.Task{{Method: "POST", Path: "/moisture"}},
		},
	})
	fmt.Println("queued", core.Queued())
	step(dispatch.AgentConnected{Session: session, Agent: "agent-1", Incarnation: 1, Registered: true})
	send := func(m message.Message) { step(dispatch.AgentMessage{Session: session, Message: m}) }
	send(&message.Announce{Sequence: 1, Endpoints: []message.EndpointInfo{{Name: "runner-1", Slots: 1}}})
	send(&message.Credits{Sequence: 2, Grants: []message.Grant{{Credit: 1, Endpoint: "runner-1"}}})
	send(&message.Result{Sequence: 3, ID: start.ID, Result: message.TaskResult{Verdict: verdict.Ran, Status: 200, Body: []byte("12 %")}})
	// Output:
	// queued 1
	// start kiln/desk/batch-7 at runner-1
	// answer ran 12 %
}
