package load

import (
	"fmt"
	"image/color"
	"os"
	"path/filepath"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 5 * vg.Inch
	barWidth   = 18
	// ticksPerHalfDistance is the number of points of a distribution function per
	// halving of the distance to 100 %.
	ticksPerHalfDistance = 20
)

// WritePlots writes the report's plots as PNG files into a directory, which it
// creates if needed.
func (rep *Report) WritePlots(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	if err := rep.plotResponse(filepath.Join(dir, "response.png")); err != nil {
		return fmt.Errorf("plot responses: %w", err)
	}
	if len(rep.Messages) == 0 {
		return nil
	}
	if err := rep.plotMessages(filepath.Join(dir, "messages.png")); err != nil {
		return fmt.Errorf("plot messages: %w", err)
	}
	return nil
}

// plotResponse draws the response time distributions of jobs and, by class, of
// tasks.
func (rep *Report) plotResponse(path string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s at %.0f %% load", rep.Profile, 100*rep.Load)
	p.X.Label.Text = "response, ms"
	p.Y.Label.Text = "share answered"
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Legend.Left = true
	p.Legend.Top = true
	if err := plotutil.AddLines(p, "jobs", cumulative(rep.response)); err != nil {
		return err
	}
	for i, class := range sortedKeys(rep.taskTimes) {
		line, err := plotter.NewLine(cumulative(rep.taskTimes[class]))
		if err != nil {
			return err
		}
		line.Color = plotutil.Color(i + 1)
		p.Add(line)
		p.Legend.Add("task "+class, line)
	}
	return p.Save(plotWidth, plotHeight, path)
}

// cumulative returns the points of a histogram's distribution function: X in
// milliseconds, Y from 0 to 1.
func cumulative(h *hdrhistogram.Histogram) plotter.XYs {
	var points plotter.XYs
	for _, b := range h.CumulativeDistributionWithTicks(ticksPerHalfDistance) {
		points = append(points, plotter.XY{X: max(float64(b.ValueAt)/1000, 0.1), Y: b.Quantile / 100})
	}
	return points
}

// plotMessages draws a bar chart of useful and wasted messages by kind.
func (rep *Report) plotMessages(path string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("messages by kind, %.2f per task", rep.MessagesPerTask)
	p.Y.Label.Text = "messages"
	kinds := sortedKeys(rep.Messages)
	useful := make(plotter.Values, len(kinds))
	wasted := make(plotter.Values, len(kinds))
	for i, kind := range kinds {
		n := rep.Messages[kind]
		useful[i] = float64(n.Total - n.Wasted)
		wasted[i] = float64(n.Wasted)
	}
	if err := addBars(p, "useful", useful, -barWidth/2, color.RGBA{B: 160, G: 90, A: 255}); err != nil {
		return err
	}
	if err := addBars(p, "wasted", wasted, barWidth/2, color.RGBA{R: 200, A: 255}); err != nil {
		return err
	}
	p.Legend.Top = true
	p.NominalX(kinds...)
	return p.Save(plotWidth, plotHeight, path)
}

func addBars(p *plot.Plot, name string, values plotter.Values, offset vg.Length, c color.Color) error {
	bars, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return err
	}
	bars.Color = c
	bars.Offset = offset
	p.Add(bars)
	p.Legend.Add(name, bars)
	return nil
}
