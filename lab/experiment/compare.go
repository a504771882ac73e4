package experiment

import (
	"math"
	"math/rand/v2"
	"slices"

	"gonum.org/v1/gonum/stat"
)

const (
	bootstrapResamples = 4000
	smallestDifference = 0.01 // smallest difference of service that is worth detecting
)

// The confidence interval is the central 95% of the resampled means. normalQuantile is the quantile of the standard
// normal distribution for a two-sided interval at the same level.
const (
	lowerQuantile  = 0.025
	upperQuantile  = 0.975
	normalQuantile = 1.96
)

// Verdict is the conclusion of comparing a variant with the first one.
type Verdict string

// The verdicts. Reports print these texts.
const (
	Better       Verdict = "better"
	Worse        Verdict = "worse"
	Inconclusive Verdict = "not told apart"
)

// Comparison is the result of comparing a variant with the first one by runs of the same scenarios with the same seeds.
type Comparison struct {
	Variant    string
	Mean       float64 // mean service of the runs, invalid runs counted as 0
	Goodput    float64 // mean priority weight earned per second in the valid runs whose service is not 0
	Difference float64 // mean difference of service from the first variant
	Low, High  float64 // 95% confidence interval of Difference, by the paired bootstrap
	Verdict    Verdict

	// SeedsNeeded estimates how many more seeds per scenario would make an inconclusive comparison conclusive, if the
	// absolute value of the true difference is that of Difference or smallestDifference, whichever is larger. It is 0
	// for a conclusive comparison.
	SeedsNeeded int

	InvalidRuns int // number of runs with an InvalidReason
}

// Compare compares all variants with the first one of the Spec over all scenarios. The interval is a percentile
// bootstrap interval (B. Efron, "Bootstrap Methods", 1979). Differences are resampled with replacement within each
// scenario, so that all scenarios have equal weight.
func (s *Spec) Compare(cells []Cell) []Comparison {
	return s.compare(cells, func(string) bool { return true })
}

// CompareScenario compares all variants with the first one in a single scenario.
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

// runID identifies a run among the runs of one variant.
type runID struct {
	scenario string
	seed     uint64
}

// variantRuns collects the results of the runs of one variant.
type variantRuns struct {
	service map[runID]float64
	goodput []float64 // priority weight earned per second, one value for each valid run whose service is not 0
	invalid int       // number of invalid runs
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

// compareRuns compares a variant with the first one by the scenarios and seeds that both were run with.
func (s *Spec) compareRuns(variant string, runs, first *variantRuns) Comparison {
	var differences [][]float64 // differences of service from the first variant, grouped by scenario
	var services []float64
	for _, sc := range s.Scenarios {
		var scenarioDifferences []float64
		for i := range s.Seeds {
			id := runID{sc.Name, uint64(s.FirstSeed + i)}
			service, found := runs.service[id]
			firstService, foundFirst := first.service[id]
			if found && foundFirst {
				scenarioDifferences = append(scenarioDifferences, service-firstService)
				services = append(services, service)
			}
		}
		if len(scenarioDifferences) > 0 {
			differences = append(differences, scenarioDifferences)
		}
	}
	c := Comparison{Variant: variant, Mean: stat.Mean(services, nil), InvalidRuns: runs.invalid}
	if len(runs.goodput) > 0 {
		c.Goodput = stat.Mean(runs.goodput, nil)
	}
	c.estimate(differences)
	return c
}

// estimate sets the difference, its confidence interval, the verdict and the seeds needed from the differences of
// service by scenario.
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

// resampleMeans resamples the differences with replacement within each scenario and returns the means of the
// resamples in ascending order. Its generator has a fixed seed, so that the same differences always give the same
// means.
func resampleMeans(differences [][]float64) []float64 {
	rng := rand.New(rand.NewPCG(1, 2))
	means := make([]float64, bootstrapResamples)
	drawn := make([][]float64, len(differences))
	for i, scenarioDifferences := range differences {
		drawn[i] = make([]float64, len(scenarioDifferences))
	}
	for k := range means {
		for i, scenarioDifferences := range differences {
			for j := range drawn[i] {
				drawn[i][j] = scenarioDifferences[rng.IntN(len(scenarioDifferences))]
			}
		}
		means[k] = meanOfMeans(drawn)
	}
	slices.Sort(means)
	return means
}

// meanOfMeans returns the mean over the scenarios of the mean of each scenario.
func meanOfMeans(byScenario [][]float64) float64 {
	sum := 0.0
	for _, values := range byScenario {
		sum += stat.Mean(values, nil)
	}
	return sum / float64(len(byScenario))
}

// seedsNeeded estimates how many more seeds per scenario are needed to detect a difference with 95% confidence, given
// the variance of the differences observed so far.
func seedsNeeded(differences [][]float64, difference float64) int {
	variance, fewest := 0.0, len(differences[0])
	for _, scenarioDifferences := range differences {
		fewest = min(fewest, len(scenarioDifferences))
		if len(scenarioDifferences) > 1 {
			variance += stat.Variance(scenarioDifferences, nil)
		}
	}
	scenarios := float64(len(differences))
	needed := normalQuantile * normalQuantile * variance / (scenarios * scenarios) / (difference * difference)
	return max(0, int(math.Ceil(needed))-fewest)
}
