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

// peerState is the state of one address.
type peerState struct {
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

// peers keeps the state of connection attempts by address.
type peers struct {
	random *rand.Rand
	// seeds are the configured entries in a random order, so that agents with equal
	// settings don't all dial the same entry first.
	seeds     []string
	byAddress map[string]*peerState
}

func newPeers(o Options) *peers {
	seeds := slices.Clone(o.Seeds)
	o.Random.Shuffle(len(seeds), func(i, k int) { seeds[i], seeds[k] = seeds[k], seeds[i] })
	return &peers{random: o.Random, seeds: seeds, byAddress: map[string]*peerState{}}
}

func (p *peers) peer(address string) *peerState {
	if p.byAddress[address] == nil {
		p.byAddress[address] = &peerState{}
	}
	return p.byAddress[address]
}

func (p *peers) opened(now time.Time, address string, hello message.Hello) {
	peer := p.peer(address)
	peer.dialing = false
	peer.openedAt = now
	peer.zone, peer.zoneKnown = hello.Zone, true
	if hello.Address != "" {
		advertised := p.peer(hello.Address)
		advertised.zone, advertised.zoneKnown = hello.Zone, true
	}
}

func (p *peers) closed(now time.Time, address string) {
	if peer := p.peer(address); now.Sub(peer.openedAt) >= backoffResetTime {
		peer.failures = 0
	}
	p.failed(now, address)
}

// failed sets the delay before the next attempt: it doubles up to backoffCap, and
// jitter keeps agents from reconnecting all at once.
func (p *peers) failed(now time.Time, address string) {
	peer := p.peer(address)
	peer.dialing = false
	delay := min(backoffBase<<min(peer.failures, 16), backoffCap)
	peer.failures++
	peer.notBefore = now.Add(delay/2 + time.Duration(p.random.Int64N(int64(delay/2)+1)))
}

// retain removes the addresses that are neither being dialed nor in use.
func (p *peers) retain(inUse func(address string) bool) {
	for address, peer := range p.byAddress {
		if !peer.dialing && !inUse(address) {
			delete(p.byAddress, address)
		}
	}
}

// mayDial reports whether an address may be dialed now.
func (p *peers) mayDial(now time.Time, address string) bool {
	peer := p.peer(address)
	return !peer.dialing && !now.Before(peer.notBefore)
}

// connect chooses the configuration session and dials the addresses that are needed
// and not connected. A drained agent only closes its connections.
func (c *Core) connect(now time.Time) {
	if c.drained {
		return
	}
	c.chooseConfigurationSession()
	wanted := c.ownerAddresses()
	if address, ok := c.candidate(now); ok {
		wanted = append(wanted, address)
	}
	c.peers.retain(func(address string) bool {
		return slices.Contains(wanted, address) || slices.Contains(c.candidates(), address) || c.sessionAtAddress(address) != nil
	})
	for _, address := range wanted {
		if c.sessionAtAddress(address) == nil && c.peers.mayDial(now, address) {
			c.peers.peer(address).dialing = true
			c.emit(Dial{address})
		}
	}
	if s := c.configurationSession; s != nil && !s.servicesSent {
		c.sendConfigurationHeartbeat(now, s)
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

// chooseConfigurationSession keeps the current session while it is open, unless its
// peer is in another availability zone and there is a session to an entry in the
// agent's own zone.
func (c *Core) chooseConfigurationSession() {
	if !slices.Contains(c.sessions, c.configurationSession) {
		c.configurationSession = nil
	}
	if c.configurationSession != nil && c.configurationSession.peer.Zone == c.opts.Zone {
		return
	}
	for _, s := range c.sessions {
		if c.configurationSession == nil || s.peer.Zone == c.opts.Zone {
			c.configurationSession = s
			c.count(ConfigurationMoved)
			if s.peer.Zone == c.opts.Zone {
				return
			}
		}
	}
}

// candidate returns an address to dial in search of a configuration entry: any
// entry's if there is none, else one that may be in the agent's own zone. It
// returns none while an address is being dialed.
func (c *Core) candidate(now time.Time) (string, bool) {
	inOwnZone := c.configurationSession != nil && c.configurationSession.peer.Zone == c.opts.Zone
	if inOwnZone || c.dialing() {
		return "", false
	}
	if c.configurationSession != nil {
		return c.sameZoneCandidate(now)
	}
	for _, address := range c.candidates() {
		if c.peers.mayDial(now, address) {
			return address, true
		}
	}
	return "", false
}

// sameZoneCandidate returns one of the first entries of the view that may be in
// the agent's zone. An entry's zone is known once it has been connected.
func (c *Core) sameZoneCandidate(now time.Time) (string, bool) {
	for _, address := range c.view.entries[:min(len(c.view.entries), maxZoneProbes)] {
		peer := c.peers.peer(address)
		if peer.zoneKnown && peer.zone != c.opts.Zone {
			continue
		}
		if c.peers.mayDial(now, address) && c.sessionAtAddress(address) == nil {
			return address, true
		}
	}
	return "", false
}

func (c *Core) candidates() []string {
	list := slices.Clone(c.view.entries)
	for _, address := range c.peers.seeds {
		if !slices.Contains(list, address) {
			list = append(list, address)
		}
	}
	return list
}

func (c *Core) dialing() bool {
	for _, p := range c.peers.byAddress {
		if p.dialing {
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

// needed reports whether a session is used for configuration, by an owner of
// shards, or for results of running tasks.
func (c *Core) needed(s *session) bool {
	if s == c.configurationSession || len(s.shares) > 0 {
		return true
	}
	for _, address := range c.ownerAddresses() {
		if s.reaches(address) {
			return true
		}
	}
	return c.journal.running > 0 && c.expectsResults(s.process())
}

func (c *Core) expectsResults(p process) bool {
	for _, e := range c.journal.entries {
		if e.State == message.StartRunning && c.fences[shardKey{e.service, e.Shard}].owner == p {
			return true
		}
	}
	return false
}
