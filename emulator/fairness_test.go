package emulator

import (
	"testing"

	"github.com/matryer/is"
)

// TestSharingIsPlayedWithTheSameLoad guards against a comparison of policies under different
// loads, and against groups of jobs that overlap or leave jobs out.
func TestSharingIsPlayedWithTheSameLoad(t *testing.T) {
	is := is.New(t)
	x := experiment(t, "sharing_floor: 1\nfaults: [{at: 1s, for: 3s, kind: burst, factor: 2}]")
	x.Classes[2].Callers, x.Classes[2].HotShare = 10, 0.5
	report, err := RunAll(t.Context(), x, 2, func(string, *Result) {})
	is.NoErr(err)
	is.Equal(len(report.Policies), 3)
	product, sharing := report.Policies[0].Results[0], report.Policies[2].Results[0]
	is.Equal(report.Policies[2].Policy, PolicySharing)
	is.True(product.Worth != sharing.Worth)
	for i := range x.Classes {
		a, b := product.Classes[i], sharing.Classes[i]
		is.Equal(a.Jobs, b.Jobs)
		hot, widest := 0, 0
		for at, j := range b.ended {
			if j.caller == 0 {
				hot++
			}
			if at > 0 && j.tasks > b.ended[at-1].tasks {
				widest++
			}
		}
		is.Equal(widest, 0) // the widest jobs come first
		if share := float64(hot) / float64(b.Jobs); i == 2 && (share < 0.4 || share > 0.6) {
			t.Errorf("the first caller submitted %.2f of the jobs", share)
		}
		jobs := float64(len(b.ended))
		inTime := 0.1*b.InTimeBy[groupWidest] + 0.2*b.InTimeBy[groupWide] + 0.7*b.InTimeBy[groupNarrow]
		is.True(inTime > float64(b.InTime)/jobs-0.02 && inTime < float64(b.InTime)/jobs+0.02)
	}
}
