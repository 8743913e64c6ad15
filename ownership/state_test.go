package ownership_test

import (
	"testing"

	"github.com/matryer/is"

	"marjoramlug.example/marjoramlug/message"
	"marjoramlug.example/marjoramlug/ownership"
	"marjoramlug.example/marjoramlug/sharedlog"
)

func join(id, address string, applied sharedlog.Offset, guardian ownership.MemberID) ownership.Record {
	return ownership.Record{
		Type: ownership.RecordJoin, Member: ownership.Member{ID: ownership.MemberID(id), Address: address},
		Applied: applied, Guardian: guardian, Seq: 1,
	}
}

func renew(id string, seq uint64, applied sharedlog.Offset, guardian ownership.MemberID) ownership.Record {
	return ownership.Record{
		Type: ownership.RecordRenew, Member: ownership.Member{ID: ownership.MemberID(id)},
		Seq: seq, Applied: applied, Guardian: guardian,
	}
}

func remove(id, by string, seen sharedlog.Offset) ownership.Record {
	return ownership.Record{
		Type: ownership.RecordRemove, Member: ownership.Member{ID: ownership.MemberID(id)}, By: by, Seen: seen,
	}
}

func orphan(r ownership.Record) ownership.Record {
	r.Orphan = true
	return r
}

// TestApply applies records that race with each other or arrive late. The records
// have the offsets 1, 2, 3 and so on; a service with one owner exists from the
// start.
func TestApply(t *testing.T) {
	a, b, c := join("a", "A", 0, "b"), join("b", "B", 0, "a"), join("c", "C", 0, "a")
	leave := ownership.Record{Type: ownership.RecordLeave, Member: ownership.Member{ID: "a"}}
	for name, test := range map[string]struct {
		records []ownership.Record
		members []ownership.MemberID
	}{
		"a removal names the latest renewal":        {[]ownership.Record{a, b, remove("a", "b", 1)}, ids("b")},
		"a renewal earlier in the log voids it":     {[]ownership.Record{a, b, renew("a", 2, 0, "b"), remove("a", "b", 1)}, ids("a", "b")},
		"of two removals the second has no effect":  {[]ownership.Record{a, b, remove("a", "b", 1), remove("a", "b", 1)}, ids("b")},
		"a renewal after the removal has no effect": {[]ownership.Record{a, b, remove("a", "b", 1), renew("a", 2, 0, "b")}, ids("b")},
		"only the guardian removes":                 {[]ownership.Record{a, b, c, renew("a", 2, 0, "b"), remove("a", "c", 4)}, ids("a", "b", "c")},
		"a renewal changes the guardian":            {[]ownership.Record{a, b, c, renew("a", 2, 0, "c"), remove("a", "c", 4)}, ids("b", "c")},
		"an old renewal does not":                   {[]ownership.Record{a, b, c, renew("a", 3, 0, "c"), renew("a", 2, 0, "b"), remove("a", "b", 5)}, ids("a", "b", "c")},
		"anyone removes an orphan":                  {[]ownership.Record{a, b, c, orphan(remove("a", "c", 1))}, ids("b", "c")},
		"an orphan's renewal voids that too":        {[]ownership.Record{a, b, c, renew("a", 2, 0, "b"), orphan(remove("a", "c", 1))}, ids("a", "b", "c")},
		"anyone removes a member without guardian":  {[]ownership.Record{join("a", "A", 0, ""), b, remove("a", "b", 1)}, ids("b")},
		"a removed guardian removes nobody":         {[]ownership.Record{a, b, c, renew("a", 2, 0, "b"), remove("b", "a", 2), remove("a", "b", 4)}, ids("a", "c")},
		"members it guarded get another guardian":   {[]ownership.Record{a, b, c, renew("a", 2, 0, "b"), remove("b", "a", 2), remove("a", "c", 4)}, ids("c")},
		"a renewal may name a removed guardian":     {[]ownership.Record{a, b, c, remove("b", "a", 2), renew("a", 2, 0, "b"), remove("a", "c", 5)}, ids("c")},
		"a join at the same address supersedes":     {[]ownership.Record{a, b, join("a2", "A", 2, "b")}, ids("a2", "b")},
		"a late join supersedes nobody":             {[]ownership.Record{b, join("a2", "A", 1, "b"), a}, ids("a2", "b")},
		"a join twice counts once":                  {[]ownership.Record{a, b, a}, ids("a", "b")},
		"a leave ends the membership":               {[]ownership.Record{a, b, leave}, ids("b")},
		"a late leave has no effect":                {[]ownership.Record{b, leave}, ids("b")},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := ownership.NewState()
			s.SetService(0, "press", 1, "")
			for i, r := range test.records {
				s.Apply(sharedlog.Offset(i+1), r)
			}
			var got []ownership.MemberID
			for _, m := range s.Members() {
				got = append(got, m.ID)
			}
			is.Equal(got, test.members)
			owner, ok := s.Owner("press", 0)
			is.True(ok)
			_, listed := s.Member(owner.Member.ID)
			is.True(listed) // the owner is a member
		})
	}
}

// TestAgentsAbsent checks when owners' absence reports remove an agent from the
// roster. The agent was registered at offset 4. The service has two owners, a and b.
func TestAgentsAbsent(t *testing.T) {
	absent := func(by string, seen sharedlog.Offset) ownership.Record {
		return ownership.Record{
			Type: ownership.RecordAgentAbsent, Service: "press", Agents: []string{"agent"}, By: by, Seen: seen,
		}
	}
	again := ownership.Record{Type: ownership.RecordAgents, Service: "press", Agents: []string{"agent"}}
	leave := ownership.Record{Type: ownership.RecordLeave, Member: ownership.Member{ID: "b"}}
	for name, test := range map[string]struct {
		records []ownership.Record
		kept    bool
	}{
		"one owner":                     {[]ownership.Record{absent("a", 4)}, true},
		"one owner twice":               {[]ownership.Record{absent("a", 4), absent("a", 4)}, true},
		"an owner and another member":   {[]ownership.Record{absent("a", 4), absent("c", 4)}, true},
		"both owners":                   {[]ownership.Record{absent("a", 4), absent("b", 4)}, false},
		"registered again in between":   {[]ownership.Record{absent("a", 4), again, absent("b", 4), absent("b", 6)}, true},
		"a report that arrives late":    {[]ownership.Record{again, absent("a", 4), absent("b", 4)}, true},
		"both, of the new registration": {[]ownership.Record{again, absent("a", 5), absent("b", 5)}, false},
		"owners change in between":      {[]ownership.Record{absent("a", 4), leave, absent("c", 4)}, true},
		"a report older than the epoch": {[]ownership.Record{absent("a", 4), leave, renew("a", 2, 6, ""), absent("c", 4)}, true},
		"a predecessor may still act":   {[]ownership.Record{leave, absent("c", 4), absent("a", 4)}, true},
		"all current owners report it":  {[]ownership.Record{absent("a", 4), leave, renew("a", 2, 6, ""), absent("c", 4), absent("a", 4)}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := ownership.NewState()
			s.Apply(1, join("x", "X", 0, ""))
			s.Apply(2, join("y", "Y", 0, ""))
			s.Apply(3, join("z", "Z", 0, ""))
			s.SetService(3, "press", 2, "")
			s.Apply(4, again)
			role := roles(s)
			for i, r := range test.records {
				r.By = role[r.By]
				r.Member.ID = ownership.MemberID(role[string(r.Member.ID)])
				s.Apply(sharedlog.Offset(5+i), r)
			}
			is.Equal(len(s.Roster("press")) == 1, test.kept)
		})
	}
}

// roles maps a and b to the IDs of the two owners, and c to that of the third
// member.
func roles(s *ownership.State) map[string]string {
	owns := map[string]bool{}
	for shard := range message.ShardsPerService {
		a, _ := s.Owner("press", shard)
		owns[string(a.Member.ID)] = true
	}
	role := map[string]string{}
	names := []string{"a", "b"}
	for _, m := range s.Members() {
		if !owns[string(m.ID)] {
			role["c"] = string(m.ID)
			continue
		}
		role[names[0]] = string(m.ID)
		names = names[1:]
	}
	return role
}

func ids(list ...ownership.MemberID) []ownership.MemberID { return list }

// TestTargetSize checks the distribution of shards for the number of services and
// members of the performance target.
func TestTargetSize(t *testing.T) {
	is := is.New(t)
	s := bigState(100, 1000)
	owners := map[ownership.MemberID]int{}
	for _, name := range serviceNames(1000) {
		for shard := range message.ShardsPerService {
			a, ok := s.Owner(name, shard)
			is.True(ok)
			owners[a.Member.ID]++
		}
	}
	for _, n := range owners {
		is.True(n < 3*1000*message.ShardsPerService/100) // no member owns more than three shares
	}
	is.Equal(len(owners), 100)
}

func BenchmarkLeaveAndJoin(b *testing.B) {
	s := bigState(100, 1000)
	at := s.Applied()
	for b.Loop() {
		at++
		s.Apply(at, ownership.Record{Type: ownership.RecordLeave, Member: ownership.Member{ID: "m7"}})
		at++
		s.Apply(at, join("m7", "10.0.0.7", at-1, ""))
	}
}
