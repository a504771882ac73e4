package experiment

import (
	"fmt"

	"havencart/lab/simulation"
)

// Cell is one run: a variant in a scenario with a seed.
type Cell struct {
	Variant  string
	Scenario string
	Seed     uint64
	Key      string // a hash of everything that the run depends on
	Failed   string // why the variant could not be run to its end, empty if it was
	Result   simulation.Result
}

// InvalidReason is why the run counts for nothing, empty where it counts.
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

// Service is the run's service, 0 where the run is invalid.
func (c *Cell) Service() float64 {
	if c.InvalidReason() != "" {
		return 0
	}
	return c.Result.Score.Service()
}

// cells lists all runs, the variants of one scenario and seed side by side.
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

// programHashes are the hashes of the variants' programs, by path.
func (s *Spec) programHashes() map[string]uint64 {
	hashes := map[string]uint64{}
	for _, v := range s.Variants {
		if _, known := hashes[v.Program]; !known {
			hashes[v.Program] = programHash(v.Program)
		}
	}
	return hashes
}

// find returns a variant and a scenario by their names, zero values for names that are unknown.
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
