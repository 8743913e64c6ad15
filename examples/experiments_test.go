package examples_test

import (
	"testing"

	"github.com/matryer/is"

	"marjoramlug.example/marjoramlug/emulator"
)

// TestExperiments checks that the experiments that the documentation refers to can
// be played.
func TestExperiments(t *testing.T) {
	for _, path := range files(t, "experiments/*.yaml") {
		if _, err := emulator.Load(path); err != nil {
			t.Errorf("%v", err)
		}
	}
}

// TestSmallExperimentKeepsItsWorth is a regression test of the policy: the users'
// target for the mean of the days with trouble holds for each seed of the small
// experiment, an entry that is killed in a burst.
func TestSmallExperimentKeepsItsWorth(t *testing.T) {
	is := is.New(t)
	x, err := emulator.Load("experiments/small.yaml")
	is.NoErr(err)
	for _, seed := range x.Seeds {
		if r := emulator.Run(t.Context(), x, seed); r.Worth < 0.9 {
			t.Errorf("seed %d: worth %.3f, want 0.90", seed, r.Worth)
		}
	}
}
