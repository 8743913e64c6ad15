package ownership

import (
	"slices"

	"marjoramlug.example/marjoramlug/sharedlog"
)

// rosterEntry is an agent on which tasks of a service may have been started.
type rosterEntry struct {
	Name string `cbor:"1,keyasint"`
	// Registered is the offset of the record that last registered the agent.
	Registered sharedlog.Offset `cbor:"2,keyasint"`
	// AbsenceVotes lists the members that have reported the agent absent.
	AbsenceVotes []absenceVote `cbor:"3,keyasint,omitempty"`
}

// absenceVote is a member's report, by RecordAgentAbsent, that it has had no
// session with an agent for a long time.
type absenceVote struct {
	Member MemberID `cbor:"1,keyasint"`
	// At is the offset of the record.
	At sharedlog.Offset `cbor:"2,keyasint"`
}

// Roster returns the names of a service's agents, sorted.
func (s *State) Roster(name string) []string {
	svc, ok := s.services[name]
	if !ok {
		return nil
	}
	names := make([]string, len(svc.Roster))
	for i, e := range svc.Roster {
		names[i] = e.Name
	}
	return names
}

// Registered returns the offset of the record that last registered an agent of
// a service, or 0 when the agent is not in the roster.
func (s *State) Registered(name, agent string) sharedlog.Offset {
	svc, ok := s.services[name]
	if !ok {
		return 0
	}
	i, found := svc.findAgent(agent)
	if !found {
		return 0
	}
	return svc.Roster[i].Registered
}

// findAgent returns the agent's index in the roster, or the index at which to
// insert it, and whether it was found.
func (svc *service) findAgent(agent string) (int, bool) {
	return slices.BinarySearchFunc(svc.Roster, agent, func(e rosterEntry, name string) int {
		return compareStrings(e.Name, name)
	})
}

// addAgents registers agents. A new registration voids all earlier absence
// reports for the agent, including those not yet in the log.
func (s *State) addAgents(at sharedlog.Offset, r Record, d *Delta) {
	svc, ok := s.services[r.Service]
	if !ok {
		return
	}
	d.Service = r.Service
	for _, agent := range r.Agents {
		e := rosterEntry{Name: agent, Registered: at}
		i, found := svc.findAgent(agent)
		if found {
			svc.Roster[i] = e
		} else {
			svc.Roster = slices.Insert(svc.Roster, i, e)
		}
		d.Agents = append(d.Agents, agent)
	}
}

// recordAbsence adds a member's absence report for an agent, and removes the agent
// from the roster when all owners agree.
func (s *State) recordAbsence(at sharedlog.Offset, r Record) {
	svc, ok := s.services[r.Service]
	if !ok || len(r.Agents) != 1 {
		return
	}
	i, found := svc.findAgent(r.Agents[0])
	if !found || svc.Roster[i].Registered != r.Seen {
		return
	}
	e := &svc.Roster[i]
	e.AbsenceVotes = slices.DeleteFunc(e.AbsenceVotes, func(v absenceVote) bool {
		_, member := s.members[v.Member]
		return !member || v.Member == MemberID(r.By)
	})
	e.AbsenceVotes = append(e.AbsenceVotes, absenceVote{Member: MemberID(r.By), At: at})
	if svc.ownersAgree(e) {
		svc.Roster = slices.Delete(svc.Roster, i, i+1)
	}
}

// ownersAgree reports whether the owner of each shard has reported the agent
// absent since it became the owner, and no predecessor may still act.
func (svc *service) ownersAgree(e *rosterEntry) bool {
	for i := range svc.Shards {
		sh := &svc.Shards[i]
		agreed := slices.ContainsFunc(e.AbsenceVotes, func(v absenceVote) bool {
			return v.Member == sh.Owner && v.At > sh.Epoch
		})
		if !agreed || len(sh.Predecessors) > 0 {
			return false
		}
	}
	return true
}
