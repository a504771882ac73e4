package experiment

import (
	"context"
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"havencart/lab/invariant"
	"havencart/lab/simulation"
)

const quickSpec = `
title "a test"
seeds 3
variant module
end
variant random
  policy random
end
variant fewer
  set max-attempts 1
end
day quiet
  lasts 3s
  rate 60
end
day crash
  lasts 4s
  rate 60
  at 1s crash 30% for 1s   # a fault
end
`

func parse(t *testing.T, text string) *Spec {
	t.Helper()
	s, err := Parse("spec", text)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// discardProgress ignores the progress that Spec.Run reports.
func discardProgress(string) {}

func TestParse_ManyErrors_ReportsAll(t *testing.T) {
	_, err := Parse("spec", "seeds 0\nvariant a\npolicy best\nend\nvariant b\nset\nend\nvariant c\nset colour red\nend\nday d\nrate -1\nat noon crash 5% for 1s\nlasts 3s\nend\n")
	if !errors.Is(err, ErrSpec) {
		t.Fatal(err)
	}
	for _, want := range []string{
		"spec:1:7: seeds", "spec:6:1: set", "spec:12:6: rate", "spec:13:4: found \"noon\"", `variant "a" on day "d": no policy "best"`,
		`variant "c" on day "d"`, `found "colour"`,
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("no %q in:\n%v", want, err)
		}
	}
}

// TestRun_InterruptedExperiment_Resumes interrupts an experiment and cuts off the last line of its results file. The
// resumed experiment must run again only the run of that line and the runs that were not stored, and its results must
// equal those of an uninterrupted experiment.
func TestRun_InterruptedExperiment_Resumes(t *testing.T) {
	s := parse(t, quickSpec)
	path := filepath.Join(t.TempDir(), "results")
	ctx, cancel := context.WithCancel(context.Background())
	n := 0
	if _, err := s.Run(ctx, path, 1, func(string) {
		if n++; n == 6 {
			cancel()
		}
	}); !errors.Is(err, context.Canceled) {
		t.Fatalf("error %v from an interrupted experiment, want context.Canceled", err)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	stored := strings.Count(string(raw), "\n")
	if err := os.WriteFile(path, raw[:len(raw)-10], 0o600); err != nil {
		t.Fatal(err)
	}
	completed := -1 // the first line of progress reports the number of stored runs, not a run
	cells, err := s.Run(context.Background(), path, 2, func(string) { completed++ })
	if err != nil || len(cells) != 18 || completed != 18-stored+1 {
		t.Errorf("%d cells, %d run after %d were stored, error %v", len(cells), completed, stored, err)
	}
	uninterrupted, err := s.Run(context.Background(), filepath.Join(t.TempDir(), "results"), 4, discardProgress)
	if err != nil {
		t.Fatal(err)
	}
	for i := range cells {
		if cells[i].Result.Trace != uninterrupted[i].Result.Trace || cells[i].Result.Tally != uninterrupted[i].Result.Tally {
			t.Errorf("%s on %s, seed %d differs from the uninterrupted experiment", cells[i].Variant, cells[i].Scenario, cells[i].Seed)
		}
	}
}

func TestRun_VariantThatCrashes_IsReportedAndOthersRun(t *testing.T) {
	s := parse(t, strings.Replace(quickSpec, "  policy random\n", "  program /does/not/exist\n", 1))
	cells, err := s.Run(context.Background(), filepath.Join(t.TempDir(), "results"), 2, discardProgress)
	if err != nil {
		t.Fatal(err)
	}
	failed := 0
	for i := range cells {
		if c := &cells[i]; (c.Failed != "") != (c.Variant == "random") || c.Failed != "" && c.Service() != 0 {
			t.Errorf("%s: %q, service %.3f", c.Variant, c.Failed, c.Service())
		} else if c.Failed != "" {
			failed++
		}
	}
	if failed != 6 {
		t.Errorf("%d runs failed", failed)
	}
}

// cellsWithService returns runs of the scenario "quiet" with the given services by variant, one for each seed.
func cellsWithService(s *Spec, service map[string][]float64) (list []Cell) {
	for name, values := range service {
		for i, v := range values {
			r := simulation.Result{Score: invariant.Score{Timeline: invariant.Timeline{ServiceLevel: invariant.ServiceLevel{Offered: 1, Earned: v}}}}
			list = append(list, Cell{Variant: name, Scenario: "quiet", Seed: uint64(s.FirstSeed + i), Result: r})
		}
	}
	return list
}

func TestCompareScenario_DifferenceAndSpread_DecideVerdict(t *testing.T) {
	s := parse(t, strings.Replace(quickSpec, "seeds 3", "seeds 8", 1))
	first := []float64{0.5, 0.7, 0.6, 0.9, 0.4, 0.8, 0.55, 0.65} // the runs of a variant differ far more than the variants
	shifted := func(by, spread float64) (out []float64) {
		for i, x := range first {
			out = append(out, x+by+spread*float64(i%2*2-1))
		}
		return out
	}
	for _, x := range []struct {
		by, spread float64
		want       Verdict
	}{{0.02, 0.005, Better}, {-0.02, 0.005, Worse}, {0.002, 0.05, Inconclusive}, {0, 0, Inconclusive}} {
		list := s.CompareScenario(cellsWithService(s, map[string][]float64{"module": first, "random": shifted(x.by, x.spread)}), "quiet")
		c := list[1]
		if c.Verdict != x.want || c.Low > c.Difference || c.High < c.Difference {
			t.Errorf("by %v, spread %v: %+v", x.by, x.spread, c)
		}
		if (x.spread == 0.05) != (c.SeedsNeeded > 0) {
			t.Errorf("by %v, spread %v: %d more seeds", x.by, x.spread, c.SeedsNeeded)
		}
	}
}

// TestEstimate_NoDifference_IntervalContainsZeroInAbout95Percent checks the coverage of the 95% interval: if the
// variants do not differ, about 95% of the intervals must contain 0.
func TestEstimate_NoDifference_IntervalContainsZeroInAbout95Percent(t *testing.T) {
	rng, misses, rounds := rand.New(rand.NewPCG(7, 7)), 0, 400
	for range rounds {
		var diffs []float64
		for range 16 {
			diffs = append(diffs, rng.NormFloat64())
		}
		var c Comparison
		c.estimate([][]float64{diffs})
		if c.Verdict != Inconclusive {
			misses++
		}
	}
	if share := float64(misses) / float64(rounds); share < 0.02 || share > 0.12 {
		t.Errorf("a share of %.3f of the intervals does not contain 0", share)
	}
}

func TestCompareScenario_RunWithViolation_CountsZero(t *testing.T) {
	s := parse(t, quickSpec)
	cells := cellsWithService(s, map[string][]float64{"module": {0.9, 0.9, 0.9}, "random": {0.9, 0.9, 0.9}})
	for i := range cells {
		if cells[i].Variant == "random" {
			cells[i].Result.Violations = []invariant.Violation{{Rule: "cold", Detail: "x"}}
		}
	}
	c := s.CompareScenario(cells, "quiet")[1]
	if c.Mean != 0 || c.InvalidRuns != 3 || c.Verdict != Worse {
		t.Errorf("%+v", c)
	}
}

func TestOverrideSettings_LinesInBlocks_StayUnchanged(t *testing.T) {
	got := overrideSettings("keep-alive 10s\nclass a\n  aim 1s\nend\naim 3s\n", []string{"keep-alive 5s", "aim 2s"})
	if want := "class a\n  aim 1s\nend\n\nkeep-alive 5s\naim 2s\n"; got != want {
		t.Errorf("%q", got)
	}
}
