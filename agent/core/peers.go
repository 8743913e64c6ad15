package core

import (
	"math/rand/v2"
	"slices"
	"time"

	"marjoramlug.example/marjoramlug/message"
)

const (
	// backoffBase and backoffCap are the first and the longest delay before an
	// address is dialed again.
	backoffBase = 100 * time.Millisecond
	backoffCap  = 2 * time.Second
	// backoffResetTime is how long a session must last for the delay to begin at
	// backoffBase again.
	backoffResetTime = 5 * time.Second
	// maxZoneProbes is the maximum number of entries of a view that are dialed in
	// search of one in the agent's own availability zone. A view lists entries of
	// that zone first.
	maxZoneProbes = 3
)

// addressState is the state of the connection attempts to one address.
type addressState struct {
	dialing  bool
	failures int
	// notBefore is the earliest time of the next attempt.
	notBefore time.Time
	openedAt  time.Time
	// zone is the peer's availability zone, which is known once the peer has been
	// connected.
	zone      string
	zoneKnown bool
}

// addresses keeps the state of connection attempts by address.
type addresses struct {
	random *rand.Rand
	// seeds are the configured entries in a random order, so that agents with equal
	// settings don't all dial the same entry first.
	seeds     []string
	byAddress map[string]*addressState
}

func newAddresses(o Options) *addresses {
	seeds := slices.Clone(o.Seeds)
	o.Random.Shuffle(len(seeds), func(i, k int) { seeds[i], seeds[k] = seeds[k], seeds[i] })
	return &addresses{random: o.Random, seeds: seeds, byAddress: map[string]*addressState{}}
}

func (a *addresses) state(address string) *addressState {
	if a.byAddress[address] == nil {
		a.byAddress[address] = &addressState{}
	}
	return a.byAddress[address]
}

func (a *addresses) opened(now time.Time, address string, hello message.Hello) {
	state := a.state(address)
	state.dialing = false
	state.openedAt = now
	state.zone, state.zoneKnown = hello.Zone, true
	if hello.Address != "" {
		advertised := a.state(hello.Address)
		advertised.zone, advertised.zoneKnown = hello.Zone, true
	}
}

func (a *addresses) closed(now time.Time, address string) {
	if state := a.state(address); now.Sub(state.openedAt) >= backoffResetTime {
		state.failures = 0
	}
	a.failed(now, address)
}

// failed sets the delay before the next attempt: it doubles up to backoffCap, and
// jitter keeps agents from reconnecting all at once.
func (a *addresses) failed(now time.Time, address string) {
	state := a.state(address)
	state.dialing = false
	delay := min(backoffBase<<min(state.failures, 16), backoffCap)
	state.failures++
	state.notBefore = now.Add(delay/2 + time.Duration(a.random.Int64N(int64(delay/2)+1)))
}

// retain removes the state of all addresses except those being dialed and those for
// which keep returns true.
func (a *addresses) retain(keep func(address string) bool) {
	for address, state := range a.byAddress {
		if !state.dialing && !keep(address) {
			delete(a.byAddress, address)
		}
	}
}

// mayDial reports whether an address may be dialed now.
func (a *addresses) mayDial(now time.Time, address string) bool {
	state := a.state(address)
	return !state.dialing && !now.Before(state.notBefore)
}

// connect chooses the view session and dials the addresses that are needed and not
// connected. A drained agent does neither.
func (c *Core) connect(now time.Time) {
	if c.drained {
		return
	}
	c.chooseViewSession()
	wanted := c.ownerAddresses()
	if address, ok := c.candidate(now); ok {
		wanted = append(wanted, address)
	}
	c.addresses.retain(func(address string) bool {
		return slices.Contains(wanted, address) || slices.Contains(c.candidates(), address) || c.sessionAtAddress(address) != nil
	})
	for _, address := range wanted {
		if c.sessionAtAddress(address) == nil && c.addresses.mayDial(now, address) {
			c.addresses.state(address).dialing = true
			c.emit(Dial{address})
		}
	}
	if s := c.viewSession; s != nil && !s.servicesSent {
		c.requestView(now, s)
	}
}

// ownerAddresses returns the addresses of the owners of all services served.
func (c *Core) ownerAddresses() []string {
	var addresses []string
	for _, sv := range c.sortedServices() {
		for _, o := range c.view.services[sv.name].Owners {
			if o.Address != "" && !slices.Contains(addresses, o.Address) {
				addresses = append(addresses, o.Address)
			}
		}
	}
	return addresses
}

func (c *Core) sessionAtAddress(address string) *session {
	for _, s := range c.sessions {
		if s.reaches(address) {
			return s
		}
	}
	return nil
}

// chooseViewSession keeps the current session while it is open, unless its peer is
// in another availability zone and there is a session to an entry in the agent's own
// zone.
func (c *Core) chooseViewSession() {
	if !slices.Contains(c.sessions, c.viewSession) {
		c.viewSession = nil
	}
	if c.viewSession != nil && c.viewSession.peer.Zone == c.opts.Zone {
		return
	}
	for _, s := range c.sessions {
		if c.viewSession == nil || s.peer.Zone == c.opts.Zone {
			c.viewSession = s
			c.count(ViewSessionChanged)
			if s.peer.Zone == c.opts.Zone {
				return
			}
		}
	}
}

// candidate returns an address to dial for a view session. Without a view session,
// it is the address of any entry; with one in another availability zone, the address
// of an entry that may be in the agent's own zone. It returns none while an address
// is being dialed.
func (c *Core) candidate(now time.Time) (string, bool) {
	inOwnZone := c.viewSession != nil && c.viewSession.peer.Zone == c.opts.Zone
	if inOwnZone || c.dialing() {
		return "", false
	}
	if c.viewSession != nil {
		return c.sameZoneCandidate(now)
	}
	for _, address := range c.candidates() {
		if c.addresses.mayDial(now, address) {
			return address, true
		}
	}
	return "", false
}

// sameZoneCandidate returns one of the first entries of the view that may be in
// the agent's zone. An entry's zone is known once it has been connected.
func (c *Core) sameZoneCandidate(now time.Time) (string, bool) {
	for _, address := range c.view.entryAddresses[:min(len(c.view.entryAddresses), maxZoneProbes)] {
		state := c.addresses.state(address)
		if state.zoneKnown && state.zone != c.opts.Zone {
			continue
		}
		if c.addresses.mayDial(now, address) && c.sessionAtAddress(address) == nil {
			return address, true
		}
	}
	return "", false
}

func (c *Core) candidates() []string {
	list := slices.Clone(c.view.entryAddresses)
	for _, address := range c.addresses.seeds {
		if !slices.Contains(list, address) {
			list = append(list, address)
		}
	}
	return list
}

func (c *Core) dialing() bool {
	for _, state := range c.addresses.byAddress {
		if state.dialing {
			return true
		}
	}
	return false
}

// closeUnneeded closes sessions that have not been needed for sessionIdleTimeout.
func (c *Core) closeUnneeded(now time.Time) {
	for _, s := range slices.Clone(c.sessions) {
		if c.needed(s) {
			s.unneededSince = time.Time{}
			continue
		}
		if s.unneededSince.IsZero() {
			s.unneededSince = now
		}
		if now.Sub(s.unneededSince) >= sessionIdleTimeout {
			c.emit(Disconnect{s.id})
		}
	}
}

// needed reports whether a session is the view session, is used by an owner of
// shards, or waits for results of running tasks.
func (c *Core) needed(s *session) bool {
	if s == c.viewSession || len(s.ownerStates) > 0 {
		return true
	}
	for _, address := range c.ownerAddresses() {
		if s.reaches(address) {
			return true
		}
	}
	return c.journal.running > 0 && c.expectsResults(s.entryIncarnation())
}

// expectsResults reports whether an entry incarnation is to receive the results of
// running tasks.
func (c *Core) expectsResults(p entryIncarnation) bool {
	for _, e := range c.journal.starts {
		if e.State == message.StartRunning && c.fences[shardKey{e.service, e.Shard}].owner == p {
			return true
		}
	}
	return false
}
