// Package faultsearch searches for bad scenarios: faults with which the scheduler's service is far below the oracle's,
// or with which an invariant is violated. Scenarios are drawn at random and mutated, the worst are kept, and each
// finding is shrunk to what matters. The search is seeded: the same one finds the same scenarios.
package faultsearch

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"havencart/lab/scenario"
	"havencart/lab/simulation"
)

// Config describes a search.
type Config struct {
	Base     simulation.Config // the installation, without faults
	Rounds   int               // of mutation
	Width    int               // scenarios tried in each round
	Keep     int               // findings
	Seed     uint64
	Parallel int          // simulations at a time
	Report   func(string) // is called with the progress
}

// Finding is a bad scenario.
type Finding struct {
	Faults           []scenario.Fault
	SchedulerService float64
	OracleService    float64
	Violation        string // an invariant that the scheduler violated, and how
}

// violationScore is the score of a finding with a violation, above that of any service.
const violationScore = 10

// Score is how bad the scenario is: the distance from the oracle, and far more where an invariant is violated.
func (f Finding) Score() float64 {
	if f.Violation != "" {
		return violationScore
	}
	return f.OracleService - f.SchedulerService
}

// Text is the finding as a scenario file.
func (f Finding) Text() string {
	var out strings.Builder
	fmt.Fprintf(&out, "# Found by a hunt and shrunk: module %.3f, oracle %.3f when it was found (emulated).\n",
		f.SchedulerService, f.OracleService)
	if f.Violation != "" {
		fmt.Fprintf(&out, "# Broke a rule: %s\n", f.Violation)
	}
	for _, fault := range f.Faults {
		out.WriteString(scenario.Format(fault) + "\n")
	}
	return out.String()
}

// randomStream is that of the search's generator, beside those with the same seed.
const randomStream = 0x68756e74

// Run searches and returns the findings, the worst first. When ctx ends, it returns what was found so far.
func Run(ctx context.Context, cfg Config) ([]Finding, error) {
	search := &search{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, randomStream))}
	for round := range cfg.Rounds {
		if ctx.Err() != nil {
			break
		}
		if err := search.round(); err != nil {
			return nil, err
		}
		cfg.Report(fmt.Sprintf("round %d: worst by %.3f, of %d kept", round+1, search.found[0].Score(), len(search.found)))
	}
	for i := range search.found {
		if ctx.Err() != nil {
			break
		}
		f, err := search.shrink(search.found[i])
		if err != nil {
			return nil, err
		}
		search.found[i] = f
	}
	search.sortFound()
	return slices.CompactFunc(search.found, func(a, b Finding) bool { return a.Text() == b.Text() }), nil
}

// search is a search under way.
type search struct {
	cfg   Config
	rng   *rand.Rand
	found []Finding // the worst first
}

// round tries new scenarios, half of them mutations of findings, and keeps the worst of different kinds.
func (s *search) round() error {
	var candidates [][]scenario.Fault
	for i := range s.cfg.Width {
		if i%2 == 0 || len(s.found) == 0 {
			candidates = append(candidates, s.randomScenario())
			continue
		}
		parent := s.found[s.rng.IntN(len(s.found))]
		candidates = append(candidates, s.mutate(parent.Faults))
	}
	findings, err := s.evaluateAll(candidates)
	if err != nil {
		return err
	}
	s.found = append(s.found, findings...)
	s.sortFound()
	s.found = worstOfEachKind(s.found)
	s.found = s.found[:min(len(s.found), s.cfg.Keep)]
	return nil
}

// sortFound sorts the findings, the worst first.
func (s *search) sortFound() {
	slices.SortStableFunc(s.found, func(a, b Finding) int { return cmp.Compare(b.Score(), a.Score()) })
}

// worstOfEachKind keeps the first of the findings that consist of the same kinds of fault, so that one kind does not
// fill all places.
func worstOfEachKind(findings []Finding) []Finding {
	known := map[string]bool{}
	return slices.DeleteFunc(findings, func(f Finding) bool {
		kinds := kindsOf(f.Faults)
		found := known[kinds]
		known[kinds] = true
		return found
	})
}

// kindsOf is the set of the kinds of fault of a scenario.
func kindsOf(faults []scenario.Fault) string {
	var kinds []string
	for _, f := range faults {
		kinds = append(kinds, f.Kind)
	}
	slices.Sort(kinds)
	return strings.Join(slices.Compact(kinds), " ")
}

// evaluateAll evaluates scenarios, several at a time. The findings have their order.
func (s *search) evaluateAll(candidates [][]scenario.Fault) ([]Finding, error) {
	findings, errs := make([]Finding, len(candidates)), make([]error, len(candidates))
	var tasks sync.WaitGroup
	slots := make(chan struct{}, max(1, s.cfg.Parallel))
	for i, faults := range candidates {
		slots <- struct{}{}
		tasks.Go(func() {
			findings[i], errs[i] = s.evaluate(faults)
			<-slots
		})
	}
	tasks.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return findings, nil
}

// evaluate simulates a scenario with the scheduler and with the oracle.
func (s *search) evaluate(faults []scenario.Fault) (Finding, error) {
	cfg := s.cfg.Base
	cfg.Faults = faults
	scheduler, err := simulation.Run(cfg)
	if err != nil {
		return Finding{}, err
	}
	cfg.Policy = simulation.PolicyOracle
	oracle, err := simulation.Run(cfg)
	if err != nil {
		return Finding{}, err
	}
	f := Finding{Faults: faults, SchedulerService: scheduler.Score.Service(), OracleService: oracle.Score.Service()}
	switch {
	case len(scheduler.Violations) > 0:
		first := scheduler.Violations[0]
		f.Violation = first.Rule + ": " + first.Detail
	case !scheduler.Tally.Balanced():
		f.Violation = "lost: " + scheduler.Tally.String()
	}
	return f, nil
}

// keptScoreShare is the share of a finding's score that a smaller scenario must keep.
const keptScoreShare = 0.9

// shrink removes what a finding does not need: whole faults, then halves of their durations.
func (s *search) shrink(f Finding) (Finding, error) {
	for {
		findings, err := s.evaluateAll(smaller(f.Faults))
		if err != nil {
			return f, err
		}
		i := slices.IndexFunc(findings, func(x Finding) bool { return x.Score() >= keptScoreShare*f.Score() })
		if i < 0 {
			return f, nil
		}
		f = findings[i]
	}
}

// smaller lists the scenarios that lack one fault, or have one of half the duration.
func smaller(faults []scenario.Fault) (candidates [][]scenario.Fault) {
	for i, fault := range faults {
		if len(faults) > 1 {
			candidates = append(candidates, slices.Delete(slices.Clone(faults), i, i+1))
		}
		if fault.Duration > time.Second {
			shorter := slices.Clone(faults)
			shorter[i].Duration = (fault.Duration / 2).Round(timeUnit)
			candidates = append(candidates, shorter)
		}
	}
	return candidates
}
