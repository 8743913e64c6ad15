package slopes

import (
	"fmt"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/verdict"
)

// messages measures the encoded sizes of starts, results, views and journals.
func (h *harness) messages() error {
	start := Series{Name: StartBytes, Driver: "bytes of the task's body", Unit: "B"}
	result := Series{Name: ResultBytes, Driver: "bytes of the answer's body", Unit: "B"}
	lean := "service, owner and credits by numbers of the session, the endpoint by its credit"
	startLean := Series{Name: StartLeanBytes, Driver: start.Driver, Unit: "B", Note: lean}
	resultLean := Series{Name: ResultLeanBytes, Driver: result.Driver, Unit: "B", Note: lean}
	view := Series{Name: ViewBytes, Driver: "services of an agent", Unit: "B", Note: "4 owners each, 8 entries"}
	for _, n := range []int{0, 30, 200, 800} {
		if err := measureMessage(&start, float64(n), typicalStart(n)); err != nil {
			return err
		}
		if err := measureMessage(&result, float64(n), typicalResult(n)); err != nil {
			return err
		}
		if err := measureMessage(&startLean, float64(n), shorterStart(n)); err != nil {
			return err
		}
		if err := measureMessage(&resultLean, float64(n), shorterResult(n)); err != nil {
			return err
		}
	}
	for _, n := range []int{1, 2, 4, 8} {
		if err := measureMessage(&view, float64(n), typicalView(n)); err != nil {
			return err
		}
	}
	journal := Series{Name: JournalBytes, Driver: "starts remembered", Unit: "B", Note: "200 B answers"}
	for _, n := range []int{1, 10, 100, 1000} {
		if err := measureMessage(&journal, float64(n), typicalJournal(n)); err != nil {
			return err
		}
	}
	h.add(start, result, startLean, resultLean, view, journal)
	return nil
}

func measureMessage(s *Series, size float64, m message.Message) error {
	data, err := message.Append(nil, m)
	if err != nil {
		return err
	}
	s.Points = append(s.Points, summarize(size, []float64{float64(len(data))}))
	return nil
}

// IDs and counters as large as they are after some time of operation: larger
// numbers take more bytes when encoded.
const (
	typicalCredit = 1 << 40
	typicalCount  = 1 << 20
)

func typicalStart(n int) *message.Start {
	return &message.Start{
		Service: serviceName, Shard: 7, Epoch: typicalCount, Index: 940,
		Job: message.JobKey{Team: "kiln", Caller: "desk", Job: "job-18a2b3c4d5e6f708-000001"},
		ID:  message.StartID{Owner: 1 << 62, Seq: typicalCount}, Credit: typicalCredit, Endpoint: "endpoint-1",
		Sequence: typicalCount, Fingerprint: 1 << 62, Queued: 100,
		Task: message.Task{Method: "POST", Path: "/labels", Body: body(n)},
	}
}

func typicalResult(n int) *message.Result {
	return &message.Result{
		Service: serviceName, ID: message.StartID{Owner: 1 << 62, Seq: typicalCount}, Sequence: typicalCount,
		Result: message.TaskResult{Verdict: verdict.Ran, Status: 200, Body: body(n), Endpoint: "endpoint-1", RunMicros: 330_000},
		Grants: []message.Grant{{Credit: typicalCredit, Endpoint: "endpoint-1"}},
	}
}

// Values for shorter start and result messages, which are not implemented ("lean"
// in the names of their series). A session could assign numbers to the names and
// IDs that it repeats: services, owners' incarnations and credits.
const (
	serviceNumber = "1"
	ownerNumber   = 1
	creditNumber  = typicalCount
)

func shorterStart(n int) *message.Start {
	m := typicalStart(n)
	m.Service = serviceNumber
	m.ID.Owner = ownerNumber
	m.Credit = creditNumber
	m.Endpoint = ""
	return m
}

func shorterResult(n int) *message.Result {
	m := typicalResult(n)
	m.Service = serviceNumber
	m.ID.Owner = ownerNumber
	m.Result.Endpoint = ""
	m.Grants[0] = message.Grant{Credit: creditNumber}
	return m
}

func typicalView(services int) *message.View {
	v := &message.View{Generation: typicalCount}
	for i := range services {
		s := message.ServiceView{Service: fmt.Sprintf("service-%04d", i), Configured: true}
		for j := range 4 {
			s.Owners = append(s.Owners, message.OwnerInfo{Name: member(j).Name, Address: member(j).Address})
		}
		v.Services = append(v.Services, s)
	}
	for j := range 8 {
		v.Entries = append(v.Entries, member(j).Address)
	}
	return v
}

func typicalJournal(n int) *message.Journal {
	start, result := typicalStart(typicalBody), typicalResult(typicalBody)
	m := &message.Journal{Service: serviceName, Shards: []message.ShardEpoch{{Shard: 7, Epoch: typicalCount}}, CompleteSince: virtualStart.UnixMilli()}
	for range n {
		m.Entries = append(m.Entries, message.JournalEntry{
			Shard: start.Shard, Job: start.Job, Index: start.Index, ID: start.ID, Fingerprint: start.Fingerprint,
			State: message.StartEnded, Result: result.Result, Endpoint: start.Endpoint,
		})
	}
	return m
}
