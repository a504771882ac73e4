package report

import (
	"bytes"
	"fmt"
	"image/color"
	"io"
	"maps"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"havencart/lab/invariant"
	"havencart/lab/simulation"
)

// series are the plots of a scenario beside service. Their names are the plots' titles.
var series = []struct {
	name string
	of   func([]simulation.Sample) []float64
}{
	{"calls in hand at front ends", now(func(s simulation.Sample) int { return s.InFlight })},
	{"calls waiting at workers", now(func(s simulation.Sample) int { return s.Queued })},
	{"copies loaded", now(func(s simulation.Sample) int { return s.Replicas })},
	{"attempts a second", rate(func(s simulation.Sample) uint64 { return s.Attempts })},
	{"refusals a second", rate(func(s simulation.Sample) uint64 { return s.Rejected })},
	{"failures a second", rate(func(s simulation.Sample) uint64 { return s.Failed })},
	{"orders to load a second", rate(func(s simulation.Sample) uint64 { return s.LoadOrders })},
	{"store's fetches a second", rate(func(s simulation.Sample) uint64 { return uint64(s.Fetches) })},
}

func seriesNames() (names []string) {
	for _, s := range series {
		names = append(names, s.name)
	}
	return names
}

// now plots what a sample has.
func now(of func(simulation.Sample) int) func([]simulation.Sample) []float64 {
	return func(list []simulation.Sample) (values []float64) {
		for _, s := range list {
			values = append(values, float64(of(s)))
		}
		return values
	}
}

// rate plots the growth from sample to sample. A front end that was killed starts counting anew, which is no growth.
func rate(of func(simulation.Sample) uint64) func([]simulation.Sample) []float64 {
	return func(list []simulation.Sample) (values []float64) {
		last := uint64(0)
		for _, s := range list {
			x := of(s)
			values = append(values, float64(max(x, last)-last))
			last = x
		}
		return values
	}
}

// curve is one line in a plot.
type curve struct {
	name   string
	values []float64
}

// colours tell up to eight curves apart, also for readers with colour vision deficiency (M. Okabe, K. Ito, 2008).
var colours = []color.Color{
	color.RGBA{0, 114, 178, 255},
	color.RGBA{213, 94, 0, 255},
	color.RGBA{0, 158, 115, 255},
	color.RGBA{204, 121, 167, 255},
	color.RGBA{86, 180, 233, 255},
	color.RGBA{230, 159, 0, 255},
	color.RGBA{0, 0, 0, 255},
	color.RGBA{128, 128, 128, 255},
}

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
	lineWidth  = 1.2 // points
)

// plotSVG draws curves over the seconds as SVG.
func plotSVG(title string, curves []curve) (string, error) {
	figure := plot.New()
	figure.Title.Text, figure.X.Label.Text = title, "seconds"
	figure.Y.Min = 0
	figure.Legend.Top = true
	for i, c := range curves {
		points := make(plotter.XYs, len(c.values))
		for j, v := range c.values {
			points[j].X, points[j].Y = float64(j), v
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return "", fmt.Errorf("plot %s: %w", title, err)
		}
		line.Color, line.Width = colours[i%len(colours)], vg.Points(lineWidth)
		figure.Add(line)
		figure.Legend.Add(c.name, line)
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	figure.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", fmt.Errorf("plot %s: %w", title, err)
	}
	svg := out.String()
	return svg[strings.Index(svg, "<svg"):], nil
}

// Plot writes the service of all variants in one scenario, with the first seed, as an SVG file.
func (r Report) Plot(out io.Writer, scenario string) error {
	var curves []curve
	for _, v := range r.Spec.Variants {
		if c := r.firstRun(v.Name, scenario); c != nil {
			curves = append(curves, curve{v.Name, service(c.Result.Score.Seconds)})
		}
	}
	svg, err := plotSVG("service on day "+scenario+", first seed", curves)
	if err != nil {
		return err
	}
	_, err = io.WriteString(out, svg)
	return err
}

// timelineCurves are the curves of the parts of a score.
func timelineCurves(timelines map[string]*invariant.Timeline) (curves []curve) {
	for _, name := range slices.Sorted(maps.Keys(timelines)) {
		curves = append(curves, curve{name, service(timelines[name].Seconds)})
	}
	return curves
}

func service(seconds []invariant.ServiceLevel) (values []float64) {
	for _, level := range seconds {
		values = append(values, level.Share())
	}
	return values
}
