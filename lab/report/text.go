package report

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"havencart/lab/experiment"
	"havencart/lab/invariant"
)

// maxInvalidRuns is the maximum number of invalid runs that the text lists.
const maxInvalidRuns = 20

// otherTenants is the name of the sum of all tenants that no fault names.
const otherTenants = "others"

// Text writes the report as plain text for a terminal. Invalid runs come first. Errors of out are ignored.
func (r Report) Text(out io.Writer) {
	var text strings.Builder
	fmt.Fprintf(&text, "%s: %d days, %d seeds, %d variants; all emulated, in virtual time\n\n", r.Spec.Title, len(r.Spec.Scenarios),
		r.Spec.Seeds, len(r.Spec.Variants))
	writeInvalidRuns(&text, r.invalidRuns())
	writeTable(&text, "all days", r.Spec.Compare(r.Cells))
	for _, s := range r.Spec.Scenarios {
		writeTable(&text, "day "+s.Name, r.Spec.CompareScenario(r.Cells, s.Name))
		r.writeTenants(&text, s)
	}
	fmt.Fprintln(&text, "totals by the auditor")
	for _, v := range r.Spec.Variants {
		fmt.Fprintf(&text, "  %-14s %v\n", v.Name, r.Total(v.Name))
	}
	_, _ = io.WriteString(out, text.String()) // the terminal may have been closed
}

func writeInvalidRuns(text *strings.Builder, list []string) {
	if len(list) == 0 {
		return
	}
	fmt.Fprintf(text, "%d runs count for nothing:\n", len(list))
	for _, line := range list[:min(len(list), maxInvalidRuns)] {
		fmt.Fprintf(text, "  %s\n", line)
	}
	if len(list) > maxInvalidRuns {
		fmt.Fprintf(text, "  and %d more\n", len(list)-maxInvalidRuns)
	}
	fmt.Fprintln(text)
}

func writeTable(text *strings.Builder, title string, comparisons []experiment.Comparison) {
	best := 0.0
	for _, c := range comparisons {
		best = max(best, c.Mean)
	}
	fmt.Fprintf(text, "%s\n  %-14s %7s %8s %9s %20s %7s  %s\n", title, "variant", "service", "worth/s", "to first", "95% interval", "of top",
		"verdict")
	for i, c := range comparisons {
		interval := fmt.Sprintf("%+.3f to %+.3f", c.Low, c.High)
		fmt.Fprintf(text, "  %-14s %7.3f %8.0f %+9.3f %20s %7.2f  %s\n", c.Variant, c.Mean, c.Goodput, c.Difference, interval,
			share(c.Mean, best), verdict(i, c))
	}
	fmt.Fprintln(text)
}

// share returns x as a fraction of best, or 0 if best is 0.
func share(x, best float64) float64 {
	if best == 0 {
		return 0
	}
	return x / best
}

// verdict returns the text of the verdict column for variant i, from 0.
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

// writeTenants writes, for each variant, the service of each tenant that the scenario's faults name and of all other
// tenants together. It writes nothing if the faults name no tenant.
func (r Report) writeTenants(text *strings.Builder, s experiment.Scenario) {
	named := namedTenants(s)
	if len(named) == 0 {
		return
	}
	for _, v := range r.Spec.Variants {
		fmt.Fprintf(text, "  %-14s", v.Name)
		levels := r.serviceByTenant(v.Name, s.Name, named)
		for _, name := range append(named, otherTenants) {
			level := levels[name]
			fmt.Fprintf(text, "  %s %.3f of %.0f", name, level.Share(), level.Offered)
		}
		fmt.Fprintln(text)
	}
	fmt.Fprintln(text)
}

// namedTenants returns the tenants that a scenario's faults name, in the order of the faults.
func namedTenants(s experiment.Scenario) (names []string) {
	for _, f := range s.Faults {
		if f.Tenant != "" && !slices.Contains(names, f.Tenant) {
			names = append(names, f.Tenant)
		}
	}
	return names
}

// serviceByTenant returns the service levels of tenants in a scenario, summed over the valid runs of a variant.
// Tenants that are not in named are summed under otherTenants.
func (r Report) serviceByTenant(variant, scenario string, named []string) map[string]invariant.ServiceLevel {
	levels := map[string]invariant.ServiceLevel{}
	for i := range r.Cells {
		c := &r.Cells[i]
		if c.Variant != variant || c.Scenario != scenario || c.InvalidReason() != "" {
			continue
		}
		for name, timeline := range c.Result.Score.ByTenant {
			if !slices.Contains(named, name) {
				name = otherTenants
			}
			level := levels[name]
			level.Offered += timeline.Offered
			level.Earned += timeline.Earned
			levels[name] = level
		}
	}
	return levels
}
