package slopes

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"marjoramlug.example/marjoramlug/config"
	"marjoramlug.example/marjoramlug/membership"
	"marjoramlug.example/marjoramlug/ownership"
	"marjoramlug.example/marjoramlug/sharedlog"
)

// changesPerService is the number of changes that fill a service's history.
const changesPerService = 16

// member returns the i-th member, with names and addresses of typical length.
func member(i int) ownership.Member {
	return ownership.Member{
		ID:          ownership.MemberID(fmt.Sprintf("entry-%03d-%016x", i, i)),
		Name:        fmt.Sprintf("entry-%03d", i),
		Address:     fmt.Sprintf("10.20.%d.%d:7001", i/200, i%200+1),
		HTTPAddress: fmt.Sprintf("10.20.%d.%d:8001", i/200, i%200+1),
		Zone:        fmt.Sprintf("zone-%02d", i%26),
		Region:      fmt.Sprintf("region-%d", i%7),
	}
}

// ownershipState returns a state with services of one owner each, members with
// leases, and agents of the first service.
func ownershipState(services, members, agents int) *ownership.State {
	s := ownership.NewState()
	next := func() sharedlog.Offset { return s.Applied() + 1 }
	for i := range members {
		s.Apply(next(), ownership.Record{Type: ownership.RecordJoin, Member: member(i), Seq: 1})
	}
	for i := range services {
		s.SetService(next(), fmt.Sprint("service-", i), 1, "")
	}
	names := make([]string, agents)
	for i := range names {
		names[i] = fmt.Sprintf("worker-%04d", i)
	}
	if services > 0 && agents > 0 {
		s.Apply(next(), ownership.Record{Type: ownership.RecordAgents, Service: "service-0", Agents: names})
	}
	return s
}

func renewal(s *ownership.State, i int, seq uint64) ownership.Record {
	return ownership.Record{
		Type: ownership.RecordRenew, Member: ownership.Member{ID: member(i).ID},
		Applied: s.Applied(), Guardian: member(i + 1).ID, Seq: seq,
	}
}

// folds measures the processor time that each reader takes to apply one ownership
// record, with 1,000 services.
func (h *harness) folds() error {
	renew := Series{Name: RenewFoldCPU, Driver: "members", Unit: "us/record", Note: "1,000 services"}
	join := Series{Name: JoinFoldCPU, Driver: "members", Unit: "us/pair", Note: "1,000 services; a join and a leave, each of which moves shards"}
	bytes := Series{Name: RenewBytes, Driver: "members", Unit: "B/record"}
	for _, members := range []int{3, 10, 30, 100} {
		s := ownershipState(1000, members, 0)
		seq, i := uint64(1), 0
		renew.Points = append(renew.Points, summarize(float64(members), microsPerOperation(2000, func() {
			i++
			seq++
			s.Apply(s.Applied()+1, renewal(s, i%members, seq))
		})))
		joining := 1000
		join.Points = append(join.Points, summarize(float64(members), microsPerOperation(2, func() {
			joining++
			s.Apply(s.Applied()+1, ownership.Record{Type: ownership.RecordJoin, Member: member(joining), Applied: s.Applied(), Seq: 1})
			s.Apply(s.Applied()+1, ownership.Record{Type: ownership.RecordLeave, Member: ownership.Member{ID: member(joining).ID}})
		})))
		record, err := sharedlog.EncodeRecord(sharedlog.KindOwnership, renewal(s, 1, 1_000_000))
		if err != nil {
			return err
		}
		bytes.Points = append(bytes.Points, summarize(float64(members), []float64{float64(len(record))}))
	}
	h.add(renew, join, bytes)
	return nil
}

func configState(services int) (*config.State, error) {
	s := config.NewState()
	source := rand.New(rand.NewPCG(1, 2))
	for range changesPerService {
		for i := range services {
			record, err := configRecord(s, fmt.Sprint("service-", i), teamsPerService, source)
			if err != nil {
				return nil, err
			}
			s.Apply(s.Applied()+1, record)
		}
	}
	return s, nil
}

// teamsPerService is the number of teams with quotas of a typical service.
const teamsPerService = 10

// configRecord returns a change of a service with six rules and the given number
// of teams.
func configRecord(s *config.State, name string, teams int, source *rand.Rand) (config.Record, error) {
	service := config.Service{Name: name, Region: "north", Owners: 4}
	for i := range 6 {
		service.Rules = append(service.Rules, config.Rule{Name: fmt.Sprint("class-", i), Method: "POST", PathPrefix: fmt.Sprint("/path/", i), Urgent: true})
	}
	for i := range teams {
		service.Teams = append(service.Teams, config.Team{Name: fmt.Sprint("team-", i), Weight: 2, Concurrency: 64, Rate: 100, Burst: 1900})
	}
	encoded, err := config.EncodeBody(config.SchemaV2, service)
	return config.Record{
		ID: fmt.Sprintf("%026x-%016x", source.Uint64(), source.Uint64()), Service: name, Schema: config.SchemaV2,
		Expect: s.Revision(name), Body: encoded, Author: "operations/ana", At: virtualStart.UnixMilli(),
	}, err
}

// snapshotBytes returns the size of the log record of a snapshot, in bytes.
func snapshotBytes(c *config.State, o *ownership.State) (float64, error) {
	var s config.Snapshot
	var err error
	if s.Config, err = c.Encode(); err != nil {
		return 0, err
	}
	if s.Ownership, err = o.Encode(); err != nil {
		return 0, err
	}
	record, err := s.Encode()
	return float64(len(record)), err
}

func (h *harness) snapshots() error {
	size := Series{Name: SnapshotServicesBytes, Driver: "services", Unit: "B", Note: "6 rules, 10 teams, full history, 1 owner of 30"}
	cost := Series{Name: SnapshotServicesCPU, Driver: "services", Unit: "us"}
	memory := Series{Name: StateMemory, Driver: "services", Unit: "B"}
	for _, services := range []int{10, 100, 300, 1000} {
		before := liveMemory()
		c, err := configState(services)
		if err != nil {
			return err
		}
		o := ownershipState(services, 30, 0)
		memory.Points = append(memory.Points, summarize(float64(services), []float64{liveMemory() - before}))
		var bytes float64
		values := microsPerOperation(2, func() { bytes, err = snapshotBytes(c, o) })
		if err != nil {
			return err
		}
		size.Points = append(size.Points, summarize(float64(services), []float64{bytes}))
		cost.Points = append(cost.Points, summarize(float64(services), values))
	}
	h.add(size, cost, memory)
	return h.snapshotsOfNames()
}

func (h *harness) snapshotsOfNames() error {
	agents := Series{Name: SnapshotAgentsBytes, Driver: "agent names", Unit: "B", Note: "one service"}
	members := Series{Name: SnapshotMembersBytes, Driver: "members", Unit: "B", Note: "one service"}
	for _, n := range []int{10, 100, 1000, 2800} {
		bytes, err := snapshotBytes(config.NewState(), ownershipState(1, 3, n))
		if err != nil {
			return err
		}
		agents.Points = append(agents.Points, summarize(float64(n), []float64{bytes}))
	}
	for _, n := range []int{3, 10, 30, 100} {
		bytes, err := snapshotBytes(config.NewState(), ownershipState(1, n, 0))
		if err != nil {
			return err
		}
		members.Points = append(members.Points, summarize(float64(n), []float64{bytes}))
	}
	h.add(agents, members)
	return nil
}

func (h *harness) configChanges() error {
	fold := Series{Name: ConfigFoldCPU, Driver: "services", Unit: "us/change", Note: "6 rules, 10 teams"}
	record := Series{Name: ConfigRecordBytes, Driver: "services", Unit: "B/change"}
	source := rand.New(rand.NewPCG(3, 4))
	for _, services := range []int{10, 100, 300, 1000} {
		s, err := configState(services)
		if err != nil {
			return err
		}
		fold.Points = append(fold.Points, summarize(float64(services), microsPerOperation(500, func() {
			change, _ := configRecord(s, "service-0", teamsPerService, source)
			s.Apply(s.Applied()+1, change)
		})))
		change, err := configRecord(s, "service-0", teamsPerService, source)
		if err != nil {
			return err
		}
		encoded, err := sharedlog.EncodeRecord(sharedlog.KindConfig, change)
		if err != nil {
			return err
		}
		record.Points = append(record.Points, summarize(float64(services), []float64{float64(len(encoded))}))
	}
	h.add(fold, record)
	return h.configTeams()
}

// configTeams measures one change as a function of the number of teams with quotas
// in it.
func (h *harness) configTeams() error {
	fold := Series{Name: ConfigTeamFoldCPU, Driver: "teams", Unit: "us/change", Note: "decoding included"}
	record := Series{Name: ConfigTeamRecordBytes, Driver: "teams", Unit: "B/change"}
	source := rand.New(rand.NewPCG(5, 6))
	for _, teams := range []int{10, 100, 365, 730} {
		s := config.NewState()
		change, err := configRecord(s, "service-0", teams, source)
		if err != nil {
			return err
		}
		encoded, err := sharedlog.EncodeRecord(sharedlog.KindConfig, change)
		if err != nil {
			return err
		}
		record.Points = append(record.Points, summarize(float64(teams), []float64{float64(len(encoded))}))
		fold.Points = append(fold.Points, summarize(float64(teams), microsPerOperation(50, func() {
			change.Expect = s.Revision("service-0")
			change.ID = fmt.Sprint("change-", s.Applied())
			s.Apply(s.Applied()+1, change)
		})))
	}
	h.add(fold, record)
	return nil
}

// directory measures the membership directory: memory per agent, and the
// processor time to send a view to all agents after a change.
func (h *harness) directory() error {
	view := Series{Name: DirectoryViewCPU, Driver: "agents", Unit: "us/change"}
	memory := Series{Name: DirectoryMemory, Driver: "agents", Unit: "B"}
	for _, agents := range []int{100, 400, 1400, 2800} {
		before := liveMemory()
		d := membership.NewDirectory(time.Hour)
		for i := range agents {
			d.Step(virtualStart, membership.Connected{Session: membership.Session(i + 1), Agent: fmt.Sprintf("worker-%04d", i), Incarnation: 1})
			d.Step(virtualStart, membership.Subscribed{Session: membership.Session(i + 1), ServicesChanged: true, Services: []string{serviceName}})
		}
		memory.Points = append(memory.Points, summarize(float64(agents), []float64{liveMemory() - before}))
		generation := uint64(1)
		view.Points = append(view.Points, summarize(float64(agents), microsPerOperation(20, func() {
			generation++
			d.Step(virtualStart, membership.ViewChanged{Generation: generation})
		})))
		runtime.KeepAlive(d)
	}
	h.add(view, memory)
	return nil
}
