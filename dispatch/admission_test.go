package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramlug.example/marjoramlug/config"
	"marjoramlug.example/marjoramlug/dispatch"
	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/plugin/admission/open"
	"marjoramlug.example/marjoramlug/plugin/queueing/fair"
)

// recordingAdmission records the load and the job ends that it receives.
type recordingAdmission struct {
	open.Admission
	load  dispatch.Load
	ended []dispatch.JobEnd
}

func (r *recordingAdmission) Admit(_ time.Time, _ *message.Submit, load dispatch.Load) *dispatch.Refusal {
	r.load = load
	return nil
}

func (r *recordingAdmission) JobEnded(_ time.Time, _ message.JobKey, end dispatch.JobEnd) {
	r.ended = append(r.ended, end)
}

func submitOne(s *sim, deadline time.Duration) {
	list := []*arrival{singleJobs.arrival(newRandom(), s.now, len(s.arrived), s.backends)}
	list[0].setTimes(false)
	if deadline != 0 {
		list[0].submit.Deadline = epoch.Add(s.now + deadline).UnixMilli()
	}
	s.submit(len(s.arrived), list[0])
}

// The admission receives the owner's share of the slots and how its jobs ended.
func TestAdmissionGetsLoadAndJobEnds(t *testing.T) {
	is := is.New(t)
	r := &recordingAdmission{}
	s := newSim(policies[0], 1, config.Service{}, fleet(3))
	s.cores[0] = dispatch.New(dispatch.Options{
		Incarnation: 1, Service: simService, AgentTimeout: time.Hour, ResubmitWindow: time.Hour, UnmetNeedTimeout: time.Hour,
		NewQueue:     func() dispatch.Queue { return fair.New() },
		NewPlacement: load[dispatch.Placement](policies[0].placement),
		NewAdmission: func() dispatch.Admission { return r },
	})
	s.step(0, dispatch.Configured{Service: config.Service{Name: simService, Owners: 3}})
	s.step(0, dispatch.LeaseChanged{Until: epoch.Add(time.Hour)})
	for shard := range message.ShardsPerService {
		s.step(0, dispatch.ShardAcquired{Shard: shard, Epoch: 1, First: true})
	}
	for b := range s.backends {
		s.connect(b)
	}
	submitOne(s, 0)
	is.Equal(r.load.Slots, 27) // a third of 80 slots, rounded up
	is.True(r.load.Shares != nil)
	submitOne(s, time.Millisecond)
	s.run(10 * time.Second)
	is.Equal(r.ended, []dispatch.JobEnd{dispatch.JobLate, dispatch.JobComplete})
}
