package capacity

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"marjoramlug.example/marjoramlug/load/slopes"
)

const (
	pageName   = "CAPACITY.md"
	reportName = "capacity.json"
)

func readPage(t *testing.T) (string, *slopes.Report) {
	t.Helper()
	docs := filepath.Join("..", "..", "docs")
	page, err := os.ReadFile(filepath.Join(docs, pageName))
	if err != nil {
		t.Fatal(err)
	}
	report, err := slopes.Read(filepath.Join(docs, reportName))
	if err != nil {
		t.Fatal(err)
	}
	return string(page), report
}

func TestPageMatchesReport(t *testing.T) {
	page, report := readPage(t)
	want, err := Update(page, report)
	if err != nil {
		t.Fatal(err)
	}
	if page == want {
		return
	}
	got := strings.Split(page, "\n")
	for i, line := range strings.Split(want, "\n") {
		if i >= len(got) || got[i] != line {
			t.Fatalf("line %d of the page differs from the tables computed from the report; want\n%s", i+1, line)
		}
	}
	t.Fatal("the page has more lines than the one computed from the report")
}

// TestFitsMatchPoints guards against a fit that was edited by hand.
func TestFitsMatchPoints(t *testing.T) {
	_, report := readPage(t)
	for _, s := range report.Series {
		fit := slopes.LeastSquares(s.Points)
		if !nearlyEqual(fit.Slope, s.Fit.Slope) || !nearlyEqual(fit.Intercept, s.Fit.Intercept) || !nearlyEqual(fit.Residual, s.Fit.Residual) {
			t.Errorf("series %s: fit %+v, the points give %+v", s.Name, s.Fit, fit)
		}
	}
}

// nearlyEqual allows for processors with fused multiply-add, which rounds a
// product and a sum in one step.
func nearlyEqual(a, b float64) bool {
	const relative, absolute = 1e-6, 1e-6
	return math.Abs(a-b) <= absolute+relative*math.Abs(b)
}

func TestPageNamesEveryTarget(t *testing.T) {
	page, _ := readPage(t)
	_, rest, _ := strings.Cut(page, "## The size\n")
	section, _, _ := strings.Cut(rest, "\n## ")
	for _, number := range []string{
		withThousands(Workers), withThousands(StartsPerSecond), withThousands(MaxTasksPerJob), fmt.Sprint(Teams, " teams"),
		fmt.Sprint(Regions, " regions"), fmt.Sprint(Zones, " availability zones"), withThousands(ChangesPerDay),
		"20 s", "2.2 %", "256 MB", "13 KB/s", fmt.Sprint(FailedVMsPerDay, " VMs"), fmt.Sprint(ReplacedVMsPerDay, " are"),
	} {
		if !strings.Contains(section, number) {
			t.Errorf("the page's section on the size does not mention %q", number)
		}
	}
}

func TestLeastSquares(t *testing.T) {
	is := is.New(t)
	fit := slopes.LeastSquares([]slopes.Point{{Size: 1, Median: 5}, {Size: 2, Median: 7}, {Size: 4, Median: 11}})
	is.Equal(fit, slopes.Fit{Slope: 2, Intercept: 3})
	is.Equal(fit.At(10), 23.0)
	scattered := slopes.LeastSquares([]slopes.Point{{Size: 0, Median: 1}, {Size: 1, Median: 0}, {Size: 2, Median: 1}})
	is.True(scattered.Residual > 0.4 && scattered.Residual < 0.5) // a line can't pass through these
}

func TestUpdateRequiresTables(t *testing.T) {
	is := is.New(t)
	_, report := readPage(t)
	_, err := Update("no tables here", report)
	is.True(err != nil)
	_, err = Update("", new(slopes.Report))
	is.True(err != nil)
}
