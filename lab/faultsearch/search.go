// Package faultsearch searches for bad scenarios: faults under which the scheduler's service is far below that of the
// oracle, or under which the scheduler violates an invariant. Scenarios are drawn at random and mutated, the worst
// are kept, and each finding is then shrunk to the faults that cause it. A search is seeded, so that a repeated
// search finds the same scenarios.
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
	Base           simulation.Config // configuration of the installation, without faults
	Rounds         int               // number of rounds, each of which draws, mutates and selects scenarios
	Width          int               // number of scenarios that each round evaluates
	Keep           int               // maximum number of findings that a round keeps
	Seed           uint64
	Parallel       int          // number of scenarios that are evaluated concurrently
	ReportProgress func(string) // receives one line of progress per round
}

// Finding is a bad scenario that a search found, with the service that the scheduler and the oracle reached in it.
type Finding struct {
	Faults           []scenario.Fault
	SchedulerService float64
	OracleService    float64
	Violation        string // first invariant that the scheduler violated, with details; empty: none
}

// violationScore is the score of a finding with a violation. It is above the score of any finding without one.
const violationScore = 10

// Score returns how bad the scenario is: by how much the oracle's service exceeds the scheduler's, or violationScore if
// an invariant is violated.
func (f Finding) Score() float64 {
	if f.Violation != "" {
		return violationScore
	}
	return f.OracleService - f.SchedulerService
}

// Text returns the finding as the text of a scenario file.
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

// randomStream is the stream of the search's random generator, so that it differs from other generators with the same
// seed.
const randomStream = 0x68756e74

// Run runs a search and returns the findings, the worst first. If ctx ends early, it returns the findings so far,
// which may not be shrunk.
func Run(ctx context.Context, cfg Config) ([]Finding, error) {
	s := &search{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, randomStream))}
	for round := range cfg.Rounds {
		if ctx.Err() != nil {
			break
		}
		if err := s.round(); err != nil {
			return nil, err
		}
		cfg.ReportProgress(fmt.Sprintf("round %d: worst by %.3f, of %d kept", round+1, s.found[0].Score(), len(s.found)))
	}
	for i := range s.found {
		if ctx.Err() != nil {
			break
		}
		f, err := s.shrink(s.found[i])
		if err != nil {
			return nil, err
		}
		s.found[i] = f
	}
	s.sortFound()
	return slices.CompactFunc(s.found, func(a, b Finding) bool { return a.Text() == b.Text() }), nil
}

// search is the state of a running search.
type search struct {
	cfg   Config
	rng   *rand.Rand
	found []Finding // sorted by score, the worst first
}

// round evaluates new scenarios, half of them mutations of findings, and keeps the worst ones of distinct sets of
// fault kinds.
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
	s.found = worstPerKindSet(s.found)
	s.found = s.found[:min(len(s.found), s.cfg.Keep)]
	return nil
}

// sortFound sorts the findings, the worst first.
func (s *search) sortFound() {
	slices.SortStableFunc(s.found, func(a, b Finding) int { return cmp.Compare(b.Score(), a.Score()) })
}

// worstPerKindSet keeps only the first of the findings that have the same set of fault kinds, so that the findings do
// not all show the same weakness. The findings are sorted, so the first is the worst.
func worstPerKindSet(findings []Finding) []Finding {
	known := map[string]bool{}
	return slices.DeleteFunc(findings, func(f Finding) bool {
		kinds := kindsOf(f.Faults)
		found := known[kinds]
		known[kinds] = true
		return found
	})
}

// kindsOf returns the set of the fault kinds of a scenario, as sorted names separated by spaces.
func kindsOf(faults []scenario.Fault) string {
	var kinds []string
	for _, f := range faults {
		kinds = append(kinds, f.Kind)
	}
	slices.Sort(kinds)
	return strings.Join(slices.Compact(kinds), " ")
}

// evaluateAll evaluates scenarios, up to Config.Parallel at a time, and returns their findings in the same order.
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

// evaluate simulates a scenario once with the scheduler and once with the oracle and returns the result as a finding.
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

// minKeptScore is the fraction of a finding's score that a smaller scenario must reach to replace it.
const minKeptScore = 0.9

// shrink removes the faults and shortens the durations that a finding does not need: it replaces the finding by a
// smaller one while there is one whose score is at least minKeptScore of the finding's.
func (s *search) shrink(f Finding) (Finding, error) {
	for {
		findings, err := s.evaluateAll(reductions(f.Faults))
		if err != nil {
			return f, err
		}
		i := slices.IndexFunc(findings, func(x Finding) bool { return x.Score() >= minKeptScore*f.Score() })
		if i < 0 {
			return f, nil
		}
		f = findings[i]
	}
}

// reductions returns the smaller scenarios in which one fault is removed, or one duration of over a second is halved.
func reductions(faults []scenario.Fault) (candidates [][]scenario.Fault) {
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
