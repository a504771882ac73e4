package experiment

import (
	"fmt"

	"havencart/lab/simulation"
)

// Cell is one run of the experiment: one variant in one scenario with one seed.
type Cell struct {
	Variant  string
	Scenario string
	Seed     uint64
	Key      string // hash of everything that the result of the run depends on
	Failed   string // reason why the run did not complete, empty if it did
	Result   simulation.Result
}

// InvalidReason returns why the run is invalid, or an empty string if it is valid. A run is invalid if it failed, if it
// violated an invariant or if its tally does not account for every request.
func (c *Cell) InvalidReason() string {
	r := &c.Result
	switch {
	case c.Failed != "":
		return "failed: " + c.Failed
	case len(r.Violations) > 0:
		first := r.Violations[0]
		return fmt.Sprintf("broke rule %s (%d times): %s", first.Rule, len(r.Violations), first.Detail)
	case !r.Tally.Balanced():
		return fmt.Sprintf("does not account for all calls: %v", r.Tally)
	}
	return ""
}

// Service returns the service of the run, or 0 if the run is invalid.
func (c *Cell) Service() float64 {
	if c.InvalidReason() != "" {
		return 0
	}
	return c.Result.Score.Service()
}

// cells lists all runs of the experiment, without their results. Runs of all variants with the same scenario and seed
// are adjacent.
func (s *Spec) cells() (cells []Cell) {
	programs := s.programHashes()
	for _, sc := range s.Scenarios {
		for i := range s.Seeds {
			seed := uint64(s.FirstSeed + i)
			for _, v := range s.Variants {
				key := s.key(v, sc, seed, programs[v.Program])
				cells = append(cells, Cell{Variant: v.Name, Scenario: sc.Name, Seed: seed, Key: key})
			}
		}
	}
	return cells
}

// programHashes returns the hashes of the variants' programs by path. Each program is read once.
func (s *Spec) programHashes() map[string]uint64 {
	hashes := map[string]uint64{}
	for _, v := range s.Variants {
		if _, known := hashes[v.Program]; !known {
			hashes[v.Program] = programHash(v.Program)
		}
	}
	return hashes
}

// find returns the variant and the scenario with the given names, and the zero value for each name that is unknown.
func (s *Spec) find(variant, scenario string) (v Variant, sc Scenario) {
	for _, x := range s.Variants {
		if x.Name == variant {
			v = x
		}
	}
	for _, x := range s.Scenarios {
		if x.Name == scenario {
			sc = x
		}
	}
	return v, sc
}
