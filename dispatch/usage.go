package dispatch

import "marjoramlug.example/marjoramlug/config"

// usage counts the running tasks of a caller or a team against its limit.
type usage struct {
	key     usageKey
	running int
	// limit is 0 when there is none.
	limit int
	// refs counts the jobs and starts that refer to this usage.
	refs int
}

// usageKey identifies a caller, or a team if isTeam is set.
type usageKey struct {
	team, caller string
	isTeam       bool
}

func (u *usage) atLimit() bool { return u.limit > 0 && u.running >= u.limit }

// usages holds the callers and teams that have jobs or running tasks.
type usages struct {
	byKey       map[usageKey]*usage
	callerLimit int
	teamLimits  map[string]int
}

func newUsages() usages {
	return usages{byKey: make(map[usageKey]*usage)}
}

func (u *usages) configure(service config.Service) {
	u.callerLimit = service.Limits.CallerConcurrency
	u.teamLimits = make(map[string]int, len(service.Teams))
	for _, team := range service.Teams {
		u.teamLimits[team.Name] = team.Concurrency
	}
	for _, n := range u.byKey {
		n.limit = u.limit(n.key)
	}
}

func (u *usages) limit(key usageKey) int {
	if key.isTeam {
		return u.teamLimits[key.team]
	}
	return u.callerLimit
}

// caller returns a caller's usage and adds a reference to it.
func (u *usages) caller(team, caller string) *usage {
	return u.get(usageKey{team: team, caller: caller})
}

// team returns a team's usage and adds a reference to it.
func (u *usages) team(team string) *usage {
	return u.get(usageKey{team: team, isTeam: true})
}

func (u *usages) get(key usageKey) *usage {
	n := u.byKey[key]
	if n == nil {
		n = &usage{key: key, limit: u.limit(key)}
		u.byKey[key] = n
	}
	n.refs++
	return n
}

// unref removes a reference and deletes the usage with the last one.
func (u *usages) unref(n *usage) {
	n.refs--
	if n.refs == 0 {
		delete(u.byKey, n.key)
	}
}

// addRunning counts a running task and adds a reference.
func (u *usages) addRunning(n *usage) *usage {
	n.refs++
	n.running++
	return n
}

// removeRunning reverses addRunning; nil is ignored.
func (u *usages) removeRunning(n *usage) {
	if n == nil {
		return
	}
	n.running--
	u.unref(n)
}
