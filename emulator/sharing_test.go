package emulator

import (
	"testing"
)

// zonedPool is a pool of ten entries in four zones with as many callers each; each agent
// works for three of the entries.
const zonedPool = `
length: 8s
seeds: [1]
fleet:
  entries:
    - {count: 3, cores: 0.8, zone: a, weight: 0.8}
    - {count: 2, cores: 0.192, zone: b, weight: 1.2}
    - {count: 1, cores: 0.8, zone: c, weight: 2.4}
    - {count: 4, cores: 0.192, zone: d, weight: 0.6}
  agents: [{count: 40, cores: 32}, {count: 18, cores: 48}]
classes:
  - {name: short, urgent: true, rate: 182, tasks: 8, cores: 2.7, work: 51ms, value: 0.01, estimate_error: 0.4}
  - {name: long, rate: 33.1, tasks: 4, cores: 2.7, work: 760ms, value: 0.05, estimate_error: 0.4}
  - {name: mid, rate: 529, tasks: 2, cores: 2.7, work: 170ms, value: 0.003, estimate_error: 0.4}
`

// TestLoadSharingUsesFreeEndpointsOfOthers guards against refusals while endpoints that
// other entries see are free: under each pattern of load there are at least 20 without load
// sharing, and at most a tenth of them with it, and the jobs are worth no less.
func TestLoadSharingUsesFreeEndpointsOfOthers(t *testing.T) {
	for name, pattern := range map[string]string{
		"waves by zone out of phase": `
waves: {amplitude: 0.9, period: 6s}
faults: [{at: 1s, for: 8s, kind: burst, factor: 1.25, class: mid}]`,
		"callers move to one zone": `
faults:
  - {at: 2s, for: 7s, kind: move_callers, share: 0.5, zone: b}
  - {at: 4s, for: 4s, kind: burst, factor: 1.9, class: mid}`,
		"endpoints of different speed and size": `
faults:
  - {at: 0s, for: 30s, kind: slow_endpoints, share: 0.25, factor: 1.6}
  - {at: 2s, for: 7s, kind: move_callers, share: 0.5, zone: b}
  - {at: 3s, for: 5s, kind: burst, factor: 1.8, class: mid}`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			run := func(sharing bool) *Result {
				x, err := Parse([]byte(zonedPool + pattern))
				if err != nil {
					t.Fatal(err)
				}
				x.Fleet.LoadSharing = sharing
				return Run(t.Context(), x, 1)
			}
			without, with := run(false), run(true)
			t.Logf("%d refused while endpoints were free, %d with load sharing; worth %.3f and %.3f; %d of %d forwarded jobs run",
				without.RefusedWhileFree, with.RefusedWhileFree, without.Worth, with.Worth, with.ForwardedRun, with.Forwarded)
			if without.RefusedWhileFree < 20 || with.RefusedWhileFree*10 > without.RefusedWhileFree {
				t.Errorf("%d refused while endpoints were free, %d with load sharing", without.RefusedWhileFree, with.RefusedWhileFree)
			}
			if with.Worth < without.Worth {
				t.Errorf("worth %.3f, %.3f with load sharing", without.Worth, with.Worth)
			}
			if with.Overlaps+with.OverCapacity > 0 {
				t.Errorf("%d overlaps, %d starts over capacity", with.Overlaps, with.OverCapacity)
			}
		})
	}
}

// TestQuietPoolForwardsNothing guards against messages and bytes that load sharing costs
// when all jobs can be served where they arrive.
func TestQuietPoolForwardsNothing(t *testing.T) {
	x, err := Parse([]byte(zonedPool))
	if err != nil {
		t.Fatal(err)
	}
	x.Fleet.LoadSharing = true
	if r := Run(t.Context(), x, 1); r.Forwarded > 0 || r.PeerMessages > 0 {
		t.Errorf("%d jobs forwarded, %d messages between entries", r.Forwarded, r.PeerMessages)
	}
}
