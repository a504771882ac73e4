package experiment

import (
	"math"
	"math/rand/v2"
	"slices"

	"gonum.org/v1/gonum/stat"
)

const (
	resamples          = 4000 // of the bootstrap
	smallestDifference = 0.01 // of service that is worth detecting
)

// The interval is the central 95% of the resampled means; normalQuantile is the matching quantile of the normal
// distribution.
const (
	lowerQuantile  = 0.025
	upperQuantile  = 0.975
	normalQuantile = 1.96
)

// Verdict is what can be said of a variant compared with the first one.
type Verdict string

// The verdicts. Their text is what reports print.
const (
	Better       Verdict = "better"
	Worse        Verdict = "worse"
	Inconclusive Verdict = "not told apart"
)

// Comparison compares a variant with the first one, in the same scenarios with the same seeds.
type Comparison struct {
	Variant     string
	Mean        float64 // service
	Goodput     float64 // priority weight earned a second, over the valid runs
	Difference  float64 // mean difference of service to the first variant
	Low, High   float64 // its 95% interval, by the paired bootstrap
	Verdict     Verdict
	SeedsNeeded int // more seeds a scenario that would make an inconclusive difference, or one of 0.01, conclusive
	InvalidRuns int // runs that violated an invariant or failed
}

// Compare compares all variants with the first of the Spec, over all scenarios. Differences are resampled with
// replacement within each scenario (B. Efron, "Bootstrap Methods", 1979; percentile intervals), so that scenarios have
// equal weight.
func (s *Spec) Compare(cells []Cell) []Comparison {
	return s.compare(cells, func(string) bool { return true })
}

// CompareScenario compares all variants with the first in one scenario.
func (s *Spec) CompareScenario(cells []Cell, scenario string) []Comparison {
	return s.compare(cells, func(name string) bool { return name == scenario })
}

func (s *Spec) compare(cells []Cell, included func(scenario string) bool) []Comparison {
	runs := map[string]*variantRuns{}
	for _, v := range s.Variants {
		runs[v.Name] = &variantRuns{service: map[runID]float64{}}
	}
	for i := range cells {
		if c := &cells[i]; included(c.Scenario) && runs[c.Variant] != nil {
			runs[c.Variant].add(c)
		}
	}
	var list []Comparison
	first := runs[s.Variants[0].Name]
	for _, v := range s.Variants {
		list = append(list, s.compareRuns(v.Name, runs[v.Name], first))
	}
	return list
}

// runID tells the runs of one variant apart.
type runID struct {
	scenario string
	seed     uint64
}

// variantRuns are the runs of one variant.
type variantRuns struct {
	service map[runID]float64
	goodput []float64 // of the valid runs
	invalid int
}

func (r *variantRuns) add(c *Cell) {
	r.service[runID{c.Scenario, c.Seed}] = c.Service()
	if seconds := len(c.Result.Score.Seconds); seconds > 0 && c.Service() > 0 {
		r.goodput = append(r.goodput, c.Result.Score.Earned/float64(seconds))
	}
	if c.InvalidReason() != "" {
		r.invalid++
	}
}

// compareRuns compares a variant with the first one by the runs that both have.
func (s *Spec) compareRuns(name string, runs, first *variantRuns) Comparison {
	var differences [][]float64 // by scenario
	var services []float64
	for _, sc := range s.Scenarios {
		var ofScenario []float64
		for i := range s.Seeds {
			id := runID{sc.Name, uint64(s.FirstSeed + i)}
			x, found := runs.service[id]
			y, foundFirst := first.service[id]
			if found && foundFirst {
				ofScenario = append(ofScenario, x-y)
				services = append(services, x)
			}
		}
		if len(ofScenario) > 0 {
			differences = append(differences, ofScenario)
		}
	}
	c := Comparison{Variant: name, Mean: stat.Mean(services, nil), InvalidRuns: runs.invalid}
	if len(runs.goodput) > 0 {
		c.Goodput = stat.Mean(runs.goodput, nil)
	}
	c.estimate(differences)
	return c
}

// estimate fills in the difference, its interval and the verdict from the differences by scenario.
func (c *Comparison) estimate(differences [][]float64) {
	if len(differences) == 0 {
		c.Verdict = Inconclusive
		return
	}
	c.Difference = meanOfMeans(differences)
	means := resampleMeans(differences)
	c.Low = stat.Quantile(lowerQuantile, stat.Empirical, means, nil)
	c.High = stat.Quantile(upperQuantile, stat.Empirical, means, nil)
	switch {
	case c.Low > 0:
		c.Verdict = Better
	case c.High < 0:
		c.Verdict = Worse
	default:
		c.Verdict = Inconclusive
		c.SeedsNeeded = seedsNeeded(differences, max(math.Abs(c.Difference), smallestDifference))
	}
}

// resampleMeans draws the differences again with replacement within each scenario, and returns the means in
// ascending order. The same differences give the same means.
func resampleMeans(differences [][]float64) []float64 {
	rng := rand.New(rand.NewPCG(1, 2))
	means := make([]float64, resamples)
	drawn := make([][]float64, len(differences))
	for i, ofScenario := range differences {
		drawn[i] = make([]float64, len(ofScenario))
	}
	for k := range means {
		for i, ofScenario := range differences {
			for j := range drawn[i] {
				drawn[i][j] = ofScenario[rng.IntN(len(ofScenario))]
			}
		}
		means[k] = meanOfMeans(drawn)
	}
	slices.Sort(means)
	return means
}

func meanOfMeans(byScenario [][]float64) float64 {
	sum := 0.0
	for _, values := range byScenario {
		sum += stat.Mean(values, nil)
	}
	return sum / float64(len(byScenario))
}

// seedsNeeded is how many more seeds a scenario it would take to detect a difference at 95%, by the variance seen.
func seedsNeeded(differences [][]float64, difference float64) int {
	variance, fewest := 0.0, len(differences[0])
	for _, ofScenario := range differences {
		fewest = min(fewest, len(ofScenario))
		if len(ofScenario) > 1 {
			variance += stat.Variance(ofScenario, nil)
		}
	}
	scenarios := float64(len(differences))
	need := normalQuantile * normalQuantile * variance / (scenarios * scenarios) / (difference * difference)
	return max(0, int(math.Ceil(need))-fewest)
}
