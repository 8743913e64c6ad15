package emulator

import (
	"math"
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
		is.Equal(b.FirstCaller.Jobs+b.OtherCallers.Jobs, b.Jobs)
		is.Equal(b.Widest.Jobs+b.NextWidest.Jobs+b.Others.Jobs, b.Jobs)
		if share := float64(b.FirstCaller.Jobs) / float64(b.Jobs); i == 2 && (share < 0.4 || share > 0.6) {
			t.Errorf("the first caller submitted %.2f of the jobs", share)
		}
		inTime := func(jobs int, share float64) float64 { return float64(jobs) * share }
		byWidth := inTime(b.Widest.Jobs, b.Widest.InTime) + inTime(b.NextWidest.Jobs, b.NextWidest.InTime) + inTime(b.Others.Jobs, b.Others.InTime)
		byCaller := inTime(b.FirstCaller.Jobs, b.FirstCaller.InTime) + inTime(b.OtherCallers.Jobs, b.OtherCallers.InTime)
		is.Equal(int(math.Round(byWidth)), b.InTime)
		is.Equal(int(math.Round(byCaller)), b.InTime)
	}
}

// TestPolicyNeedsItsParameter guards against an experiment that plays the product's policy
// under the name of sharing, and against a list of policies that is not played as given.
func TestPolicyNeedsItsParameter(t *testing.T) {
	is := is.New(t)
	_, err := Parse([]byte(smallPool + "policies: [product, sharing]"))
	is.True(err != nil)
	is.Equal(experiment(t, "").Policies, []string{PolicyProduct, PolicyPerfect})
	is.Equal(experiment(t, "sharing_floor: 0.5").Policies, []string{PolicyProduct, PolicyPerfect, PolicySharing})
	is.Equal(experiment(t, "sharing_floor: 0.5\npolicies: [reservations]").Policies, []string{PolicyReservations})
}
