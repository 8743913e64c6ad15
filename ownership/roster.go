package ownership

import (
	"slices"

	"marjoramlug.example/marjoramlug/sharedlog"
)

// rosterAgent is an agent on which tasks of a service may have been started.
type rosterAgent struct {
	Name string `cbor:"1,keyasint"`
	// Registered is the offset of the record that last registered the agent.
	Registered sharedlog.Offset `cbor:"2,keyasint"`
	// AbsenceReports lists the members that have reported the agent absent.
	AbsenceReports []absenceReport `cbor:"3,keyasint,omitempty"`
}

// absenceReport is a member's report, by RecordAgentAbsent, that it has had no
// session with an agent for a long time.
type absenceReport struct {
	Member MemberID `cbor:"1,keyasint"`
	// At is the offset of the record.
	At sharedlog.Offset `cbor:"2,keyasint"`
}

// Roster returns the names of the agents on which tasks of a service may have been
// started, sorted.
func (s *State) Roster(service string) []string {
	svc, ok := s.services[service]
	if !ok {
		return nil
	}
	names := make([]string, len(svc.Roster))
	for i, a := range svc.Roster {
		names[i] = a.Name
	}
	return names
}

// Registered returns the offset of the record that last registered an agent of
// a service, or 0 when the agent is not in the roster.
func (s *State) Registered(service, agent string) sharedlog.Offset {
	svc, ok := s.services[service]
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
	return slices.BinarySearchFunc(svc.Roster, agent, func(a rosterAgent, name string) int {
		return compareStrings(a.Name, name)
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
		a := rosterAgent{Name: agent, Registered: at}
		i, found := svc.findAgent(agent)
		if found {
			svc.Roster[i] = a
		} else {
			svc.Roster = slices.Insert(svc.Roster, i, a)
		}
		d.Agents = append(d.Agents, agent)
	}
}

// addAbsenceReport adds a member's absence report for an agent. It removes the agent
// from the roster once all owners have reported it and no predecessor may still act.
func (s *State) addAbsenceReport(at sharedlog.Offset, r Record) {
	svc, ok := s.services[r.Service]
	if !ok || len(r.Agents) != 1 {
		return
	}
	i, found := svc.findAgent(r.Agents[0])
	if !found || svc.Roster[i].Registered != r.Seen {
		return
	}
	a := &svc.Roster[i]
	a.AbsenceReports = slices.DeleteFunc(a.AbsenceReports, func(report absenceReport) bool {
		_, member := s.members[report.Member]
		return !member || report.Member == MemberID(r.By)
	})
	a.AbsenceReports = append(a.AbsenceReports, absenceReport{Member: MemberID(r.By), At: at})
	if svc.allOwnersReported(a) {
		svc.Roster = slices.Delete(svc.Roster, i, i+1)
	}
}

// allOwnersReported reports whether the owner of each shard has reported the agent
// absent since it became the owner, and no predecessor may still act.
func (svc *service) allOwnersReported(a *rosterAgent) bool {
	for i := range svc.Shards {
		sh := &svc.Shards[i]
		reported := slices.ContainsFunc(a.AbsenceReports, func(report absenceReport) bool {
			return report.Member == sh.Owner && report.At > sh.Epoch
		})
		if !reported || len(sh.Predecessors) > 0 {
			return false
		}
	}
	return true
}
