package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/dghubble/sling"

	"marjoramlug.example/marjoramlug/kernel"
	"marjoramlug.example/marjoramlug/telemetry"
)

type topCommand struct {
	Server   string        `help:"Base URL of an entry." default:"http://127.0.0.1:8001" env:"MARJORAMLUG_SERVER"`
	Interval time.Duration `help:"Pause between two pictures." default:"1s"`
	Count    int           `help:"Number of pictures; 0 goes on until a signal."`
}

// Help shows examples below the usage.
func (topCommand) Help() string {
	return "Examples:\n  marjoramlug top --server http://127.0.0.1:8001\n  marjoramlug top --count 1"
}

// clearScreen moves the cursor to the top left and clears the rest of the screen.
const clearScreen = "\x1b[H\x1b[2J"

// Run shows an entry's services, rates and slowest series until a signal.
func (c topCommand) Run() error {
	ctx, cancel := interruptible()
	defer cancel()
	previous, err := fetchMetrics(ctx, c.Server)
	if err != nil {
		return err
	}
	for n := 0; c.Count == 0 || n < c.Count; n++ {
		if !kernel.Sleep(ctx, c.Interval) {
			return nil
		}
		current, err := fetchMetrics(ctx, c.Server)
		if err != nil {
			return err
		}
		if c.Count != 1 {
			fmt.Print(clearScreen)
		}
		if err := writeScreen(os.Stdout, c.Server, previous, current, c.Interval); err != nil {
			return err
		}
		previous = current
	}
	return nil
}

func fetchMetrics(ctx context.Context, server string) (telemetry.Report, error) {
	var report telemetry.Report
	req, err := sling.New().Base(server).Get(telemetry.JSONPath).Request()
	if err != nil {
		return report, fmt.Errorf("%w: %w", ErrUsage, err)
	}
	resp, err := sling.New().Do(req.WithContext(ctx), &report, nil)
	if err != nil {
		return report, err
	}
	if resp.StatusCode >= 300 {
		return report, fmt.Errorf("%s: %s", server, resp.Status)
	}
	return report, nil
}

// maxSeries is the number of histograms shown.
const maxSeries = 10

// writeScreen prints one row per service and the slowest series. Rates are the
// differences between the two reports divided by interval.
func writeScreen(w io.Writer, server string, previous, current telemetry.Report, interval time.Duration) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "%s  agents %d\n\n", server, current.Gauges["agents"])
	fmt.Fprintln(tw, "SERVICE\tSHARDS\tQUEUED\tURGENT\tRUNNING\tFREE\tAGENTS\tSTARTS/S\tJOBS FAILED")
	for _, service := range serviceNames(current.Gauges) {
		value := func(name string) int64 { return current.Gauges["service."+service+"."+name] }
		starts := value("starts") - previous.Gauges["service."+service+".starts"]
		fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%d\n", service, value("shards_owned"), value("queued"),
			value("queued_urgent"), value("running"), value("free_credits"), value("agents"),
			float64(starts)/interval.Seconds(), value("jobs_failed"))
	}
	fmt.Fprintln(tw, "\nSERIES\tCALLER\tCLASS\tCOUNT\tP50 MS\tP99 MS")
	for _, h := range slowestSeries(current.Summaries) {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%d\t%.1f\t%.1f\n", h.Name, h.Who, h.Class, h.Count, h.P50/1000, h.P99/1000)
	}
	return tw.Flush()
}

// serviceNames returns the sorted names of the services with a shards_owned gauge.
func serviceNames(gauges map[string]int64) []string {
	var names []string
	for name := range gauges {
		rest, ok := strings.CutPrefix(name, "service.")
		if service, isOwned := strings.CutSuffix(rest, ".shards_owned"); ok && isOwned {
			names = append(names, service)
		}
	}
	slices.Sort(names)
	return names
}

func slowestSeries(histograms []telemetry.Summary) []telemetry.Summary {
	sorted := slices.Clone(histograms)
	slices.SortStableFunc(sorted, func(a, b telemetry.Summary) int { return int(b.P99 - a.P99) })
	return sorted[:min(len(sorted), maxSeries)]
}
