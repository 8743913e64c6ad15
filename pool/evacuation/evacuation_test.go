package evacuation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// TestNewestStateWins guards against starts in an evacuated zone, and against a zone that
// stays evacuated, because of states that arrive late, repeatedly or out of order: whatever
// the order, the newest one that has arrived holds.
func TestNewestStateWins(t *testing.T) {
	states := []State{{Version: 1}, {Version: 2, Zones: []string{"a"}}, {Version: 3, Zones: []string{"b", "a"}},
		{Version: 4, Zones: []string{"b"}}, {Version: 5}, {Version: 6, Zones: []string{"a"}}}
	draw := rand.New(rand.NewPCG(1, 0))
	for range 200 {
		var v View
		newest := State{Version: -1}
		for range 12 {
			s := states[draw.IntN(len(states))]
			change := v.Merge(s)
			if s.Version > newest.Version {
				newest = s
			} else if !change.IsZero() {
				t.Fatalf("version %d after version %d changed %+v", s.Version, newest.Version, change)
			}
			for _, zone := range []string{"a", "b"} {
				if v.Has(zone) != slices.Contains(newest.Zones, zone) {
					t.Fatalf("zone %s: evacuated %v at version %d", zone, v.Has(zone), newest.Version)
				}
			}
		}
	}
}

// TestUnknownDiffersFromEmpty guards against a new process that counts as informed: an
// empty history is a state, also at version 0.
func TestUnknownDiffersFromEmpty(t *testing.T) {
	is := is.New(t)
	var v View
	is.True(!v.Known())
	is.True(v.State() == nil)
	is.Equal(v.Version(), int64(-1))
	is.True(v.Merge(State{}).First)
	is.True(v.Known())
	is.Equal(v.Version(), int64(0))
	is.True(!v.Has(""))
}

// TestMergeReportsChanges guards against changes that are not passed on or logged.
func TestMergeReportsChanges(t *testing.T) {
	is := is.New(t)
	var v View
	is.Equal(v.Merge(State{Version: 2, Zones: []string{"b", "a", "", "a"}}), Change{First: true, Added: []string{"a", "b"}})
	is.Equal(v.Merge(State{Version: 4, Zones: []string{"c", "b"}}), Change{Added: []string{"c"}, Removed: []string{"a"}})
	is.True(v.Merge(State{Version: 5, Zones: []string{"b", "c"}}).IsZero())
	is.Equal(v.Version(), int64(5)) // a newer version of the same zones outranks states in between
}

// TestBuilderFollowsAHistory guards against wrong states from listings and records: re-read
// records have no effect, and other records raise the version.
func TestBuilderFollowsAHistory(t *testing.T) {
	is := is.New(t)
	var b Builder
	b.Load(5, []string{"b"})
	is.Equal(b.State(), State{Version: 5, Zones: []string{"b"}})
	b.Apply(3, "b", false) // included in the listing
	b.Apply(5, "a", true)
	b.Advance(8)
	is.Equal(b.State(), State{Version: 8, Zones: []string{"a", "b"}})
	b.Apply(6, "a", false)
	b.Apply(8, "b", false)
	b.Apply(8, "b", true)
	is.Equal(b.State(), State{Version: 9, Zones: []string{"a"}})
	b.Load(4, nil) // a stale listing yields its own, lower version
	is.Equal(b.State().Version, int64(4))
}

// TestZonesAreBounded guards against memory that grows with the records of another writer.
func TestZonesAreBounded(t *testing.T) {
	is := is.New(t)
	var b Builder
	var zones []string
	for i := range MaxZones + 1 {
		zones = append(zones, fmt.Sprintf("z%04d", i))
		is.Equal(b.Apply(int64(i), zones[i], true), i < MaxZones)
	}
	is.Equal(len(b.State().Zones), MaxZones)
	is.True(!b.Load(1, zones))
	var v View
	v.Merge(State{Version: 1, Zones: zones})
	is.Equal(len(v.Zones()), MaxZones)
}
