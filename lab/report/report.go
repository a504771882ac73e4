// Package report writes the results of an experiment as text, as a self-contained HTML page or as an SVG plot.
package report

import (
	"fmt"

	"havencart/lab/experiment"
	"havencart/lab/invariant"
)

// Report is an experiment and its runs. Cells are in the order in which experiment.Spec.Run returns them.
type Report struct {
	Spec  *experiment.Spec
	Cells []experiment.Cell
}

// invalidRuns describes each invalid run with the reason why it is invalid.
func (r Report) invalidRuns() (list []string) {
	for i := range r.Cells {
		c := &r.Cells[i]
		if reason := c.InvalidReason(); reason != "" {
			list = append(list, fmt.Sprintf("%s on %s, seed %d %s", c.Variant, c.Scenario, c.Seed, reason))
		}
	}
	return list
}

// Total returns the sum of the invariant checker's tallies of a variant's runs.
func (r Report) Total(variant string) (t invariant.Tally) {
	for i := range r.Cells {
		if c := &r.Cells[i]; c.Variant == variant {
			t.Add(c.Result.Tally)
		}
	}
	return t
}

// firstRun returns a variant's run of a scenario with the first seed, or nil if there is none.
func (r Report) firstRun(variant, scenario string) *experiment.Cell {
	for i := range r.Cells {
		if c := &r.Cells[i]; c.Variant == variant && c.Scenario == scenario {
			return c
		}
	}
	return nil
}
