package experiment

import (
	"math"
	"math/rand/v2"
	"slices"

	"gonum.org/v1/gonum/stat"
)

const (
	resamples          = 4000
	smallestDifference = 0.01 // difference of service that is worth telling apart
)

// Verdict is what can be said of a variant beside the first one.
type Verdict string

// The verdicts.
const (
	Better       Verdict = "better"
	Worse        Verdict = "worse"
	Inconclusive Verdict = "not told apart"
)

// Comparison sets a variant beside the first one, on the same days and seeds.
type Comparison struct {
	Variant     string
	Mean        float64 // service
	Goodput     float64 // worth got a second, where no rule broke
	Difference  float64 // mean difference to the first
	Low, High   float64 // 95% interval of it, by the paired bootstrap
	Verdict     Verdict
	SeedsNeeded int // seeds a day that it would take besides to tell it, or a difference of 0.01, apart; 0: none
	InvalidRuns int // runs in which a rule broke or the variant failed
}

// Compare compares all variants with the first of the Spec. Differences are drawn again with replacement
// within each day (B. Efron, "Bootstrap Methods", 1979; percentile intervals), so that the days count alike.
func (s *Spec) Compare(cells []Cell) []Comparison {
	return s.compare(cells, func(string) bool { return true })
}

// CompareDay compares them on one day.
func (s *Spec) CompareScenario(cells []Cell, day string) []Comparison {
	return s.compare(cells, func(d string) bool { return d == day })
}

func (s *Spec) compare(cells []Cell, wanted func(day string) bool) []Comparison {
	type run struct {
		day  string
		seed uint64
	}
	service := map[string]map[run]float64{}
	worth := map[string][]float64{}
	broken := map[string]int{}
	for i := range cells {
		c := &cells[i]
		if !wanted(c.Scenario) {
			continue
		}
		if service[c.Variant] == nil {
			service[c.Variant] = map[run]float64{}
		}
		service[c.Variant][run{c.Scenario, c.Seed}] = c.Service()
		if seconds := len(c.Result.Score.Seconds); seconds > 0 && c.Service() > 0 {
			worth[c.Variant] = append(worth[c.Variant], c.Result.Score.Earned/float64(seconds))
		}
		if c.InvalidReason() != "" {
			broken[c.Variant]++
		}
	}
	var list []Comparison
	first := service[s.Variants[0].Name]
	for _, v := range s.Variants {
		var byDay [][]float64
		var all []float64
		for _, d := range s.Scenarios {
			var diffs []float64
			for i := range s.Seeds {
				r := run{d.Name, uint64(s.FirstSeed + i)}
				x, here := service[v.Name][r]
				if y, there := first[r]; here && there {
					diffs, all = append(diffs, x-y), append(all, x)
				}
			}
			if len(diffs) > 0 {
				byDay = append(byDay, diffs)
			}
		}
		c := Comparison{Variant: v.Name, Mean: stat.Mean(all, nil), InvalidRuns: broken[v.Name]}
		if len(worth[v.Name]) > 0 {
			c.Goodput = stat.Mean(worth[v.Name], nil)
		}
		c.estimate(byDay)
		list = append(list, c)
	}
	return list
}

// judge fills the comparison from the differences by day.
func (c *Comparison) estimate(byDay [][]float64) {
	if len(byDay) == 0 {
		c.Verdict = Inconclusive
		return
	}
	c.Difference = meanOfMeans(byDay)
	rng := rand.New(rand.NewPCG(1, 2)) // the same cells give the same interval
	means := make([]float64, resamples)
	drawn := make([][]float64, len(byDay))
	for i, day := range byDay {
		drawn[i] = make([]float64, len(day))
	}
	for k := range means {
		for i, day := range byDay {
			for j := range drawn[i] {
				drawn[i][j] = day[rng.IntN(len(day))]
			}
		}
		means[k] = meanOfMeans(drawn)
	}
	slices.Sort(means)
	c.Low, c.High = stat.Quantile(0.025, stat.Empirical, means, nil), stat.Quantile(0.975, stat.Empirical, means, nil)
	switch {
	case c.Low > 0:
		c.Verdict = Better
	case c.High < 0:
		c.Verdict = Worse
	default:
		c.Verdict = Inconclusive
		c.SeedsNeeded = seedsNeeded(byDay, max(math.Abs(c.Difference), smallestDifference))
	}
}

func meanOfMeans(byDay [][]float64) float64 {
	sum := 0.0
	for _, day := range byDay {
		sum += stat.Mean(day, nil)
	}
	return sum / float64(len(byDay))
}

// more is how many more seeds a day it would take to tell an effect apart at 95%, by the spread seen.
func seedsNeeded(byDay [][]float64, effect float64) int {
	variance, least := 0.0, len(byDay[0])
	for _, day := range byDay {
		least = min(least, len(day))
		if len(day) > 1 {
			variance += stat.Variance(day, nil)
		}
	}
	days := float64(len(byDay))
	need := 1.96 * 1.96 * variance / (days * days) / (effect * effect)
	return max(0, int(math.Ceil(need))-least)
}
