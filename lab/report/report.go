// Package report tells how an experiment went: in text, and as one HTML file that needs nothing beside it.
package report

import (
	"bytes"
	"fmt"
	"html/template"
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

	"havencart/lab/experiment"
	"havencart/lab/invariant"
	"havencart/lab/simulation"
)

// Report is an experiment with its runs.
type Report struct {
	Spec  *experiment.Spec
	Cells []experiment.Cell
}

// broken lists the runs that count for nothing.
func (r Report) invalidRuns() (list []string) {
	for i := range r.Cells {
		if c := &r.Cells[i]; c.InvalidReason() != "" {
			list = append(list, fmt.Sprintf("%s on %s, seed %d %s", c.Variant, c.Scenario, c.Seed, c.InvalidReason()))
		}
	}
	return list
}

// Total adds the auditor's tallies of a variant's runs.
func (r Report) Total(variant string) (t invariant.Tally) {
	for i := range r.Cells {
		if c := &r.Cells[i]; c.Variant == variant {
			t.Add(c.Result.Tally)
		}
	}
	return t
}

// Text writes the report for a terminal. Broken rules come first.
func (r Report) Text(out io.Writer) {
	fmt.Fprintf(out, "%s: %d days, %d seeds, %d variants; all emulated, in virtual time\n\n", r.Spec.Title, len(r.Spec.Scenarios),
		r.Spec.Seeds, len(r.Spec.Variants))
	if list := r.invalidRuns(); len(list) > 0 {
		fmt.Fprintf(out, "%d runs count for nothing:\n", len(list))
		for _, line := range list[:min(len(list), 20)] {
			fmt.Fprintf(out, "  %s\n", line)
		}
		if len(list) > 20 {
			fmt.Fprintf(out, "  and %d more\n", len(list)-20)
		}
		fmt.Fprintln(out)
	}
	r.writeTable(out, "all days", r.Spec.Compare(r.Cells))
	for _, d := range r.Spec.Scenarios {
		r.writeTable(out, "day "+d.Name, r.Spec.CompareScenario(r.Cells, d.Name))
		r.writeTenants(out, d)
	}
	fmt.Fprintln(out, "totals by the auditor")
	for _, v := range r.Spec.Variants {
		fmt.Fprintf(out, "  %-14s %v\n", v.Name, r.Total(v.Name))
	}
}

func (r Report) writeTable(out io.Writer, title string, list []experiment.Comparison) {
	top := 0.0
	for _, c := range list {
		top = max(top, c.Mean)
	}
	fmt.Fprintf(out, "%s\n  %-14s %7s %8s %9s %20s %7s  %s\n", title, "variant", "service", "worth/s", "to first", "95% interval", "of top", "verdict")
	for i, c := range list {
		fmt.Fprintf(out, "  %-14s %7.3f %8.0f %+9.3f %20s %7.2f  %s\n", c.Variant, c.Mean, c.Goodput, c.Difference,
			fmt.Sprintf("%+.3f to %+.3f", c.Low, c.High), share(c.Mean, top), verdict(i, c))
	}
	fmt.Fprintln(out)
}

// tenants writes the service of each tenant that a day's troubles name, and of the others together.
func (r Report) writeTenants(out io.Writer, d experiment.Scenario) {
	var named []string
	for _, t := range d.Faults {
		if t.Tenant != "" && !slices.Contains(named, t.Tenant) {
			named = append(named, t.Tenant)
		}
	}
	if len(named) == 0 {
		return
	}
	for _, v := range r.Spec.Variants {
		fmt.Fprintf(out, "  %-14s", v.Name)
		parts := r.serviceByTenant(v.Name, d.Name, named)
		for _, name := range append(named, "others") {
			p := parts[name]
			fmt.Fprintf(out, "  %s %.3f of %.0f", name, p.Share(), p.Offered)
		}
		fmt.Fprintln(out)
	}
	fmt.Fprintln(out)
}

// byTenant adds what tenants asked and got on a day, over all seeds, those not named as "others".
func (r Report) serviceByTenant(variant, day string, named []string) map[string]invariant.ServiceLevel {
	parts := map[string]invariant.ServiceLevel{}
	for i := range r.Cells {
		c := &r.Cells[i]
		if c.Variant != variant || c.Scenario != day || c.InvalidReason() != "" {
			continue
		}
		for name, course := range c.Result.Score.ByTenant {
			if !slices.Contains(named, name) {
				name = "others"
			}
			p := parts[name]
			parts[name] = invariant.ServiceLevel{Offered: p.Offered + course.Offered, Earned: p.Earned + course.Earned}
		}
	}
	return parts
}

func share(x, top float64) float64 {
	if top == 0 {
		return 0
	}
	return x / top
}

func verdict(i int, c experiment.Comparison) string {
	text := string(c.Verdict)
	switch {
	case i == 0:
		text = "the first"
	case c.SeedsNeeded > 0:
		text += fmt.Sprintf(" (%d more seeds a day would)", c.SeedsNeeded)
	}
	if c.InvalidRuns > 0 {
		text += fmt.Sprintf("; %d runs count for nothing", c.InvalidRuns)
	}
	return text
}

// HTML writes the report as one file.
func (r Report) HTML(out io.Writer) error {
	page := htmlPage{Title: r.Spec.Title, Broken: r.invalidRuns(), Seeds: r.Spec.Seeds}
	page.Tables = append(page.Tables, htmlTable{"all days", r.Spec.Compare(r.Cells)})
	for _, v := range r.Spec.Variants {
		page.Totals = append(page.Totals, fmt.Sprintf("%s: %v", v.Name, r.Total(v.Name)))
	}
	for _, d := range r.Spec.Scenarios {
		day, err := r.scenarioPage(d.Name)
		if err != nil {
			return fmt.Errorf("day %s: %w", d.Name, err)
		}
		page.Days = append(page.Days, day)
	}
	return pageTemplate.Execute(out, page)
}

// first is a variant's run of a day with the first seed.
func (r Report) firstRun(variant, day string) *experiment.Cell {
	for i := range r.Cells {
		if c := &r.Cells[i]; c.Variant == variant && c.Scenario == day {
			return c
		}
	}
	return nil
}

func (r Report) scenarioPage(name string) (htmlDay, error) {
	d := htmlDay{Name: name, Table: htmlTable{"day " + name, r.Spec.CompareScenario(r.Cells, name)}}
	var first *experiment.Cell
	curves := map[string][]curve{}
	for _, v := range r.Spec.Variants {
		c := r.firstRun(v.Name, name)
		if c == nil {
			continue
		}
		if first == nil {
			first = c
		}
		add := func(plot string, values []float64) { curves[plot] = append(curves[plot], curve{v.Name, values}) }
		add("service, by the second of the first try", service(c.Result.Score.Seconds))
		for _, s := range series {
			add(s.name, s.of(c.Result.Samples))
		}
	}
	if first == nil {
		return d, nil
	}
	for _, name := range append([]string{"service, by the second of the first try"}, seriesNames()...) {
		svg, err := plotSVG(name, curves[name])
		if err != nil {
			return d, err
		}
		d.Plots = append(d.Plots, template.HTML(svg)) // made here from numbers and the spec's own names
	}
	score := first.Result.Score
	for _, by := range []struct {
		kind  string
		table map[string]*invariant.Timeline
	}{{"class", score.ByClass}, {"tenant", score.ByTenant}} {
		svg, err := plotSVG(fmt.Sprintf("service of %s, by %s", first.Variant, by.kind), timelineCurves(by.table))
		if err != nil {
			return d, err
		}
		d.Plots = append(d.Plots, template.HTML(svg))
	}
	d.Parts = append(serviceParts("class", score.ByClass), serviceParts("tenant", score.ByTenant)...)
	d.Told, d.Of = first.Result.Log, first.Variant
	return d, nil
}

// courses are the parts of a score over time.
func timelineCurves(table map[string]*invariant.Timeline) (list []curve) {
	for _, name := range slices.Sorted(maps.Keys(table)) {
		list = append(list, curve{name, service(table[name].Seconds)})
	}
	return list
}

func serviceParts(kind string, table map[string]*invariant.Timeline) (list []htmlPart) {
	for name, p := range table {
		list = append(list, htmlPart{kind, name, p.Offered, p.Earned, p.Share()})
	}
	slices.SortFunc(list, func(a, b htmlPart) int { return strings.Compare(a.Name, b.Name) })
	return list
}

func service(seconds []invariant.ServiceLevel) (values []float64) {
	for _, p := range seconds {
		values = append(values, p.Share())
	}
	return values
}

// series are the plots of a day beside service.
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

func now(of func(simulation.Sample) int) func([]simulation.Sample) []float64 {
	return func(list []simulation.Sample) (values []float64) {
		for _, s := range list {
			values = append(values, float64(of(s)))
		}
		return values
	}
}

// rate is the growth from second to second; a front end that was killed begins anew, which is no growth.
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

// curve is one variant's line in a plot.
type curve struct {
	name   string
	values []float64
}

// colours tell up to eight variants apart, also for readers who see few colours (M. Okabe, K. Ito, 2008).
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

// draws draws curves over the seconds as SVG.
func plotSVG(title string, curves []curve) (string, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text = title, "seconds"
	p.Y.Min = 0
	p.Legend.Top = true
	for i, c := range curves {
		points := make(plotter.XYs, len(c.values))
		for j, v := range c.values {
			points[j].X, points[j].Y = float64(j), v
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return "", fmt.Errorf("plot %s: %w", title, err)
		}
		line.Color, line.Width = colours[i%len(colours)], vg.Points(1.2)
		p.Add(line)
		p.Legend.Add(c.name, line)
	}
	canvas := vgsvg.New(16*vg.Centimeter, 7*vg.Centimeter)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", fmt.Errorf("plot %s: %w", title, err)
	}
	svg := out.String()
	return svg[strings.Index(svg, "<svg"):], nil
}

// Plot writes one day's service of all variants as an SVG file.
func (r Report) Plot(out io.Writer, day string) error {
	var curves []curve
	for _, v := range r.Spec.Variants {
		if c := r.firstRun(v.Name, day); c != nil {
			curves = append(curves, curve{v.Name, service(c.Result.Score.Seconds)})
		}
	}
	svg, err := plotSVG("service on day "+day+", first seed", curves)
	if err != nil {
		return err
	}
	_, err = io.WriteString(out, svg)
	return err
}

type htmlPage struct {
	Title  string
	Seeds  int
	Broken []string
	Tables []htmlTable
	Totals []string
	Days   []htmlDay
}

type htmlTable struct {
	Title string
	Rows  []experiment.Comparison
}

type htmlDay struct {
	Name  string
	Of    string
	Table htmlTable
	Plots []template.HTML
	Parts []htmlPart
	Told  []string
}

type htmlPart struct {
	Kind, Name string
	Asked, Got float64
	Share      float64
}

var pageTemplate = template.Must(template.New("page").Parse(`<!doctype html>
<meta charset="utf-8"><title>{{.Title}}</title>
<style>body{font:14px/1.4 sans-serif;max-width:75em;margin:2em auto;padding:0 1em}table{border-collapse:collapse;margin:1em 0}
td,th{padding:.2em .8em;border-bottom:1px solid #ccc;text-align:right}td:first-child,th:first-child,td:last-child{text-align:left}
.broken{background:#fee;padding:1em}pre{overflow:auto;background:#f6f6f6;padding:1em;max-height:30em}svg{max-width:100%;height:auto}</style>
<h1>{{.Title}}</h1>
{{if .Broken}}<div class="broken"><b>{{len .Broken}} runs count for nothing</b><ul>{{range .Broken}}<li>{{.}}</li>{{end}}</ul></div>{{end}}
<p>{{.Seeds}} seeds a day; all emulated, in virtual time. Service is the worth answered in time over the worth asked.</p>
{{define "table"}}<h3>{{.Title}}</h3><table><tr><th>variant</th><th>service</th><th>worth a second</th><th>to the first</th><th>95% interval</th><th>broken</th><th>verdict</th></tr>
{{range .Rows}}<tr><td>{{.Variant}}</td><td>{{printf "%.3f" .Mean}}</td><td>{{printf "%.0f" .Goodput}}</td><td>{{printf "%+.3f" .Difference}}</td><td>{{printf "%+.3f to %+.3f" .Low .High}}</td><td>{{.InvalidRuns}}</td><td>{{.Verdict}}{{if .SeedsNeeded}} ({{.SeedsNeeded}} more seeds a day would){{end}}</td></tr>{{end}}</table>{{end}}
{{range .Tables}}{{template "table" .}}{{end}}
<h3>Totals by the auditor</h3><ul>{{range .Totals}}<li>{{.}}</li>{{end}}</ul>
{{range .Days}}<h2>Day {{.Name}}</h2>{{template "table" .Table}}
<p>Below: the first seed.</p>{{range .Plots}}{{.}}{{end}}
<table><tr><th>{{.Of}}</th><th>asked</th><th>got</th><th>service</th></tr>
{{range .Parts}}<tr><td>{{.Kind}} {{.Name}}</td><td>{{printf "%.0f" .Asked}}</td><td>{{printf "%.1f" .Got}}</td><td>{{printf "%.3f" .Share}}</td></tr>{{end}}</table>
<details><summary>What happened, {{.Of}}</summary><pre>{{range .Told}}{{.}}
{{end}}</pre></details>{{end}}
`))
