package report

import (
	"fmt"
	"html/template"
	"io"
	"slices"
	"strings"

	"havencart/lab/experiment"
	"havencart/lab/invariant"
)

// HTML writes the report as a single HTML page.
func (r Report) HTML(out io.Writer) error {
	page := htmlPage{Title: r.Spec.Title, InvalidRuns: r.invalidRuns(), Seeds: r.Spec.Seeds}
	page.Tables = append(page.Tables, htmlTable{"all days", r.Spec.Compare(r.Cells)})
	for _, v := range r.Spec.Variants {
		page.Totals = append(page.Totals, fmt.Sprintf("%s: %v", v.Name, r.Total(v.Name)))
	}
	for _, s := range r.Spec.Scenarios {
		section, err := r.scenarioSection(s.Name)
		if err != nil {
			return fmt.Errorf("day %s: %w", s.Name, err)
		}
		page.Scenarios = append(page.Scenarios, section)
	}
	return pageTemplate.Execute(out, page)
}

// htmlPage is the data of pageTemplate.
type htmlPage struct {
	Title       string
	Seeds       int
	InvalidRuns []string
	Tables      []htmlTable
	Totals      []string
	Scenarios   []htmlScenario
}

// htmlTable is a table of comparisons.
type htmlTable struct {
	Title string
	Rows  []experiment.Comparison
}

// htmlScenario is the section of one scenario.
type htmlScenario struct {
	Name    string
	Variant string // variant of the run that Parts and Log show
	Table   htmlTable
	Plots   []template.HTML
	Parts   []htmlPart
	Log     []string
}

// htmlPart is the service level of a class or of a tenant.
type htmlPart struct {
	Kind, Name      string  // Kind is kindClass or kindTenant
	Offered, Earned float64 // priority weight
	Share           float64 // earned fraction of the offered priority weight, 0 to 1
}

const (
	kindClass  = "class"
	kindTenant = "tenant"
	// servicePlot is the title of the plot of service over time.
	servicePlot = "service, by the second of the first try"
)

// scenarioSection returns the section of a scenario. Its plots show each variant's run with the first seed.
func (r Report) scenarioSection(name string) (htmlScenario, error) {
	section := htmlScenario{Name: name, Table: htmlTable{"day " + name, r.Spec.CompareScenario(r.Cells, name)}}
	curves, first := r.scenarioCurves(name)
	if first == nil {
		return section, nil
	}
	for _, title := range append([]string{servicePlot}, seriesNames()...) {
		if err := section.addPlot(title, curves[title]); err != nil {
			return section, err
		}
	}
	score := first.Result.Score
	for _, part := range []struct {
		kind      string
		timelines map[string]*invariant.Timeline
	}{{kindClass, score.ByClass}, {kindTenant, score.ByTenant}} {
		title := fmt.Sprintf("service of %s, by %s", first.Variant, part.kind)
		if err := section.addPlot(title, timelineCurves(part.timelines)); err != nil {
			return section, err
		}
		section.Parts = append(section.Parts, serviceParts(part.kind, part.timelines)...)
	}
	section.Log, section.Variant = first.Result.Log, first.Variant
	return section, nil
}

// scenarioCurves returns the curves of each variant's run of a scenario with the first seed, by the title of the plot,
// and the first of these runs, or nil if there is none.
func (r Report) scenarioCurves(name string) (curves map[string][]curve, first *experiment.Cell) {
	curves = map[string][]curve{}
	for _, v := range r.Spec.Variants {
		c := r.firstRun(v.Name, name)
		if c == nil {
			continue
		}
		if first == nil {
			first = c
		}
		curves[servicePlot] = append(curves[servicePlot], curve{v.Name, service(c.Result.Score.Seconds)})
		for _, s := range series {
			curves[s.name] = append(curves[s.name], curve{v.Name, s.values(c.Result.Samples)})
		}
	}
	return curves, first
}

// addPlot draws curves and adds the plot to the section. The SVG needs no escaping by the template, because it is
// generated here from numbers and names of the experiment.
func (s *htmlScenario) addPlot(title string, curves []curve) error {
	svg, err := plotSVG(title, curves)
	if err != nil {
		return err
	}
	s.Plots = append(s.Plots, template.HTML(svg))
	return nil
}

// serviceParts returns the service levels of classes or tenants, sorted by name.
func serviceParts(kind string, timelines map[string]*invariant.Timeline) (parts []htmlPart) {
	for name, t := range timelines {
		parts = append(parts, htmlPart{kind, name, t.Offered, t.Earned, t.Share()})
	}
	slices.SortFunc(parts, func(a, b htmlPart) int { return strings.Compare(a.Name, b.Name) })
	return parts
}

var pageTemplate = template.Must(template.New("page").Parse(`<!doctype html>
<meta charset="utf-8"><title>{{.Title}}</title>
<style>body{font:14px/1.4 sans-serif;max-width:75em;margin:2em auto;padding:0 1em}table{border-collapse:collapse;margin:1em 0}
td,th{padding:.2em .8em;border-bottom:1px solid #ccc;text-align:right}td:first-child,th:first-child,td:last-child{text-align:left}
.broken{background:#fee;padding:1em}pre{overflow:auto;background:#f6f6f6;padding:1em;max-height:30em}svg{max-width:100%;height:auto}</style>
<h1>{{.Title}}</h1>
{{if .InvalidRuns}}<div class="broken"><b>{{len .InvalidRuns}} runs count for nothing</b><ul>{{range .InvalidRuns}}<li>{{.}}</li>{{end}}</ul></div>{{end}}
<p>{{.Seeds}} seeds a day; all emulated, in virtual time. Service is the worth answered in time over the worth asked.</p>
{{define "table"}}<h3>{{.Title}}</h3><table><tr><th>variant</th><th>service</th><th>worth a second</th><th>to the first</th><th>95% interval</th><th>broken</th><th>verdict</th></tr>
{{range .Rows}}<tr><td>{{.Variant}}</td><td>{{printf "%.3f" .Mean}}</td><td>{{printf "%.0f" .Goodput}}</td><td>{{printf "%+.3f" .Difference}}</td><td>{{printf "%+.3f to %+.3f" .Low .High}}</td><td>{{.InvalidRuns}}</td><td>{{.Verdict}}{{if .SeedsNeeded}} ({{.SeedsNeeded}} more seeds a day would){{end}}</td></tr>{{end}}</table>{{end}}
{{range .Tables}}{{template "table" .}}{{end}}
<h3>Totals by the auditor</h3><ul>{{range .Totals}}<li>{{.}}</li>{{end}}</ul>
{{range .Scenarios}}<h2>Day {{.Name}}</h2>{{template "table" .Table}}
<p>Below: the first seed.</p>{{range .Plots}}{{.}}{{end}}
<table><tr><th>{{.Variant}}</th><th>asked</th><th>got</th><th>service</th></tr>
{{range .Parts}}<tr><td>{{.Kind}} {{.Name}}</td><td>{{printf "%.0f" .Offered}}</td><td>{{printf "%.1f" .Earned}}</td><td>{{printf "%.3f" .Share}}</td></tr>{{end}}</table>
<details><summary>What happened, {{.Variant}}</summary><pre>{{range .Log}}{{.}}
{{end}}</pre></details>{{end}}
`))
