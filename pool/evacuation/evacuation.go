// Package evacuation holds what a process knows of the availability zones that the
// operator has evacuated: the zones in which no tasks are to be started. States come from
// one ordered history, so that the one with the higher version is the newer one, whatever
// way it took. The package has no clock and does no input or output.
package evacuation

import (
	"slices"

	"marjoramlug.example/marjoramlug/message"
)

// MaxZones is the number of evacuated zones that are kept: several times the number of
// zones of any deployment.
const MaxZones = 1000

// State is the set of evacuated zones, sorted, after all records of the history below
// Version.
type State = message.EvacuationState

// View is the newest state that a process has learned. The zero value knows none.
type View struct {
	state State
	known bool
}

// Known reports whether a state has been learned.
func (v *View) Known() bool { return v.known }

// Version returns the version of the newest state, or -1 if none is known.
func (v *View) Version() int64 {
	if !v.known {
		return -1
	}
	return v.state.Version
}

// State returns the newest state, or nil if none is known.
func (v *View) State() *State {
	if !v.known {
		return nil
	}
	s := v.state
	return &s
}

// Zones returns the evacuated zones, sorted.
func (v *View) Zones() []string { return v.state.Zones }

// Has reports whether a zone is evacuated. The empty name is no zone.
func (v *View) Has(zone string) bool {
	if zone == "" {
		return false
	}
	_, found := slices.BinarySearch(v.state.Zones, zone)
	return found
}

// Change describes what Merge has changed.
type Change struct {
	// First is set if no state was known before.
	First          bool
	Added, Removed []string
}

// IsZero reports whether the set of zones is the same as before.
func (c Change) IsZero() bool { return !c.First && len(c.Added) == 0 && len(c.Removed) == 0 }

// Merge takes a state over if it is newer than the known one, however late or often it
// arrives.
func (v *View) Merge(s State) Change {
	if v.known && s.Version <= v.state.Version {
		return Change{}
	}
	zones := normalize(s.Zones)
	change := Change{First: !v.known, Added: missing(zones, v.state.Zones), Removed: missing(v.state.Zones, zones)}
	v.state, v.known = State{Version: s.Version, Zones: zones}, true
	return change
}

// normalize returns at most MaxZones names, sorted, without duplicates and empty ones.
func normalize(zones []string) []string {
	list := slices.DeleteFunc(slices.Clone(zones), func(z string) bool { return z == "" })
	slices.Sort(list)
	list = slices.Compact(list)
	return slices.Clip(list[:min(len(list), MaxZones)])
}

// missing returns the elements of list that are not in other, which is sorted.
func missing(list, other []string) []string {
	var result []string
	for _, z := range list {
		if _, found := slices.BinarySearch(other, z); !found {
			result = append(result, z)
		}
	}
	return result
}

// Builder derives the state from a history that it is given in order: first a listing of
// the newest record of each zone, then the records after it.
type Builder struct {
	version int64
	zones   map[string]bool
}

// Load replaces the state by that of a listing whose end is the offset of the next record.
// It reports whether all zones are kept.
func (b *Builder) Load(end int64, zones []string) bool {
	b.version, b.zones = end, map[string]bool{}
	complete := true
	for _, z := range zones {
		complete = b.set(z, true) && complete
	}
	return complete
}

// Apply applies the record at an offset, unless the state includes it already. It reports
// false if the zone is not kept, as there are MaxZones.
func (b *Builder) Apply(offset int64, zone string, evacuated bool) bool {
	if offset < b.version {
		return true
	}
	b.version = offset + 1
	return b.set(zone, evacuated)
}

// Advance records that all records below an offset have been applied.
func (b *Builder) Advance(next int64) { b.version = max(b.version, next) }

func (b *Builder) set(zone string, evacuated bool) bool {
	if !evacuated {
		delete(b.zones, zone)
		return true
	}
	if len(b.zones) >= MaxZones && !b.zones[zone] {
		return false
	}
	if b.zones == nil {
		b.zones = map[string]bool{}
	}
	b.zones[zone] = true
	return true
}

// State returns the state.
func (b *Builder) State() State {
	zones := make([]string, 0, len(b.zones))
	for z := range b.zones {
		zones = append(zones, z)
	}
	return State{Version: b.version, Zones: normalize(zones)}
}

// Phase is a stage of the evacuation of a zone, for the log.
type Phase string

// The phases. Cleared follows when the last run in the zone has ended.
const (
	Began   Phase = "zone evacuated"
	Cleared Phase = "evacuated zone has no runs"
	Ended   Phase = "evacuation ended"
)

// Progress describes a phase of the evacuation of a zone as a process sees it, for the log.
type Progress struct {
	Phase   Phase
	Zone    string
	Version int64
	// Source is where the state came from.
	Source string
	// Endpoints is the number of endpoints in the zone, Runs that of runs in progress there.
	Endpoints, Runs int
}
