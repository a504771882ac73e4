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

// series lists the plots of a scenario other than that of service. The names are the titles of the plots.
var series = []struct {
	name   string
	values func([]simulation.Sample) []float64 // returns one value per sample, that is per second
}{
	{"calls in hand at front ends", gauge(func(s simulation.Sample) int { return s.InFlight })},
	{"calls waiting at workers", gauge(func(s simulation.Sample) int { return s.Queued })},
	{"copies loaded", gauge(func(s simulation.Sample) int { return s.Replicas })},
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

// gauge returns a series of the current value of a field at each sample.
func gauge(field func(simulation.Sample) int) func([]simulation.Sample) []float64 {
	return func(list []simulation.Sample) (values []float64) {
		for _, s := range list {
			values = append(values, float64(field(s)))
		}
		return values
	}
}

// rate returns a series of the increase of a counter since the previous sample. A decrease counts as 0: the counters
// of a front end start from 0 after it was killed.
func rate(counter func(simulation.Sample) uint64) func([]simulation.Sample) []float64 {
	return func(list []simulation.Sample) (values []float64) {
		last := uint64(0)
		for _, s := range list {
			count := counter(s)
			values = append(values, float64(max(count, last)-last))
			last = count
		}
		return values
	}
}

// curve is one curve of a plot, with one value per second.
type curve struct {
	name   string
	values []float64
}

// colours are the colours of the curves of a plot, in their order. Readers with colour vision deficiency can
// distinguish them too (M. Okabe, K. Ito, 2008). Plots of more than eight curves reuse them.
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
	lineWidth  = 1.2 // width of a curve, in points
)

// plotSVG plots curves over time, with one value per second, and returns the plot as an SVG element.
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

// Plot writes an SVG file with the service over time of each variant's run of one scenario with the first seed.
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

// timelineCurves returns the service over time of each class or tenant, sorted by name.
func timelineCurves(timelines map[string]*invariant.Timeline) (curves []curve) {
	for _, name := range slices.Sorted(maps.Keys(timelines)) {
		curves = append(curves, curve{name, service(timelines[name].Seconds)})
	}
	return curves
}

// service returns the earned fraction of the offered priority weight in each second.
func service(seconds []invariant.ServiceLevel) (values []float64) {
	for _, level := range seconds {
		values = append(values, level.Share())
	}
	return values
}
