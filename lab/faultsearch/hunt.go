// Package faultsearch searches for bad days: scripts of troubles on which the module stands far below the oracle, or
// on which a rule breaks. Scripts are drawn at random and mutated, the worst are kept, and each find is shrunk
// to what matters. It is seeded: the same hunt finds the same days.
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

// Config says where to hunt.
type Config struct {
	Base     simulation.Config // the installation, without troubles
	Rounds   int               // of mutation
	Width    int               // scripts tried in each round
	Keep     int               // finds
	Seed     uint64
	Parallel int
	Tell     func(string)
}

// Find is a bad day.
type Find struct {
	Troubles       []scenario.Fault
	Module, Oracle float64 // service
	Broken         string  // a rule that the module broke, and how
}

// Score is how bad the day is: the distance from the oracle, and far more where a rule broke.
func (f Find) Score() float64 {
	if f.Broken != "" {
		return 10
	}
	return f.Oracle - f.Module
}

// Text is the find as a script.
func (f Find) Text() string {
	var out strings.Builder
	fmt.Fprintf(&out, "# Found by a hunt and shrunk: module %.3f, oracle %.3f when it was found (emulated).\n", f.Module, f.Oracle)
	if f.Broken != "" {
		fmt.Fprintf(&out, "# Broke a rule: %s\n", f.Broken)
	}
	for _, t := range f.Troubles {
		out.WriteString(scenario.Format(t) + "\n")
	}
	return out.String()
}

// Run hunts and returns the finds, the worst first.
func Run(ctx context.Context, cfg Config) ([]Find, error) {
	h := &hunter{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0x68756e74))}
	for round := range cfg.Rounds {
		if ctx.Err() != nil {
			break
		}
		if err := h.round(); err != nil {
			return nil, err
		}
		cfg.Tell(fmt.Sprintf("round %d: worst by %.3f, of %d kept", round+1, h.best[0].Score(), len(h.best)))
	}
	for i := range h.best {
		if ctx.Err() != nil {
			break
		}
		f, err := h.shrink(h.best[i])
		if err != nil {
			return nil, err
		}
		h.best[i] = f
	}
	h.sort()
	return slices.CompactFunc(h.best, func(a, b Find) bool { return a.Text() == b.Text() }), nil
}

// sort puts the worst days first.
func (h *hunter) sort() {
	slices.SortStableFunc(h.best, func(a, b Find) int { return cmp.Compare(b.Score(), a.Score()) })
}

type hunter struct {
	cfg  Config
	rng  *rand.Rand
	best []Find
}

// round tries new scripts, half of them mutations of what was found, and keeps the worst of different kinds.
func (h *hunter) round() error {
	var tries [][]scenario.Fault
	for i := range h.cfg.Width {
		if i%2 == 0 || len(h.best) == 0 {
			tries = append(tries, h.draw())
		} else {
			tries = append(tries, h.mutate(h.best[h.rng.IntN(len(h.best))].Troubles))
		}
	}
	finds, err := h.all(tries)
	if err != nil {
		return err
	}
	h.best = append(h.best, finds...)
	h.sort()
	kinds := map[string]bool{}
	h.best = slices.DeleteFunc(h.best, func(f Find) bool {
		k := kind(f.Troubles)
		seen := kinds[k]
		kinds[k] = true
		return seen
	})
	h.best = h.best[:min(len(h.best), h.cfg.Keep)]
	return nil
}

// kind tells scripts apart by what they are made of, so that one trouble does not fill all places.
func kind(list []scenario.Fault) string {
	var verbs []string
	for _, t := range list {
		verbs = append(verbs, t.Kind)
	}
	slices.Sort(verbs)
	return strings.Join(slices.Compact(verbs), " ")
}

// all judges scripts, several at a time; the order of the result is theirs.
func (h *hunter) all(tries [][]scenario.Fault) ([]Find, error) {
	finds, errs := make([]Find, len(tries)), make([]error, len(tries))
	var tasks sync.WaitGroup
	slots := make(chan struct{}, max(1, h.cfg.Parallel))
	for i, t := range tries {
		slots <- struct{}{}
		tasks.Go(func() {
			finds[i], errs[i] = h.judge(t)
			<-slots
		})
	}
	tasks.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return finds, nil
}

// judge plays a script with the module and with the oracle.
func (h *hunter) judge(troubles []scenario.Fault) (Find, error) {
	cfg := h.cfg.Base
	cfg.Faults = troubles
	module, err := simulation.Run(cfg)
	if err != nil {
		return Find{}, err
	}
	cfg.Policy = "oracle"
	oracle, err := simulation.Run(cfg)
	if err != nil {
		return Find{}, err
	}
	f := Find{Troubles: troubles, Module: module.Score.Service(), Oracle: oracle.Score.Service()}
	switch {
	case len(module.Violations) > 0:
		f.Broken = module.Violations[0].Rule + ": " + module.Violations[0].What
	case !module.Tally.Balanced():
		f.Broken = "lost: " + module.Tally.String()
	}
	return f, nil
}

// verbs that a hunt uses. Kills of front ends and lists that are partial say little of the decisions.
var verbs = []string{
	"crash", "deploy", "take-out", "fail", "hang", "pause", "pauses", "slow", "neighbour", "reset", "flush",
	"re-release", "clock-jump", "ageing", "handshake", "heavy", "store-stop", "store-slow", "store-fail", "directory-lag", "directory-down", "net-delay",
	"net-loss", "net-cut", "leave", "surge", "hot", "scan", "stall",
}

func (h *hunter) draw() (list []scenario.Fault) {
	for range 1 + h.rng.IntN(4) {
		list = append(list, h.trouble())
	}
	scenario.SortByTime(list)
	return list
}

// trouble draws one trouble, in tenths of a second and whole percents.
func (h *hunter) trouble() scenario.Fault {
	t := scenario.Fault{Kind: verbs[h.rng.IntN(len(verbs))]}
	lasts := int(h.cfg.Base.Duration / (100 * time.Millisecond))
	t.At = h.tenths(lasts/20, lasts*3/4)
	draws := []struct {
		word scenario.Parameter
		draw func()
	}{
		{scenario.ShareParameter, func() { t.Share = float64(5+h.rng.IntN(46)) / 100 }},
		{scenario.FrontEndParameter, func() { t.Number = 1 + h.rng.IntN(h.cfg.Base.FrontEnds) }},
		{scenario.ZoneParameter, func() { t.Number = 1 + h.rng.IntN(zones) }},
		{scenario.OtherZoneParameter, func() { t.OtherZone = 1 + h.rng.IntN(zones) }},
		{scenario.FunctionsParameter, func() { t.Number = 1 + h.rng.IntN(4) }},
		{scenario.RateParameter, func() { t.Factor = float64(3+h.rng.IntN(8)) / 10 }},
		{scenario.FactorParameter, func() { t.Factor = float64(2 + h.rng.IntN(8)) }},
		{scenario.OffsetParameter, func() { t.Offset = h.tenths(1, 50) }},
		{scenario.SkewParameter, func() { t.Offset = h.tenths(1, 50) }},
		{scenario.PauseLengthParameter, func() { t.PauseLength = h.tenths(1, 6) }},
		{scenario.IntervalParameter, func() { t.Interval = h.tenths(8, 30) }},
		{scenario.SpreadParameter, func() { t.Spread = h.tenths(10, lasts/2) }},
		{scenario.DrainTimeParameter, func() { t.DrainTime = h.tenths(2, 20) }},
		{scenario.DurationParameter, func() { t.Duration = h.tenths(3, lasts/3) }},
	}
	for _, d := range draws {
		if scenario.HasParameter(t.Kind, d.word) {
			d.draw()
		}
	}
	switch t.Kind {
	case "deploy", "flush", "re-release":
		t.Share = float64(30+h.rng.IntN(71)) / 100
	case "pause", "stall":
		t.Duration = h.tenths(2, 8)
	case "surge":
		t.Factor = 1 + t.Factor/10
	case "net-loss":
		t.Factor /= 10
	}
	return t
}

// zones in which the machines of a hunt stand.
const zones = 3

func (h *hunter) tenths(from, to int) time.Duration {
	return time.Duration(from+h.rng.IntN(max(1, to-from))) * 100 * time.Millisecond
}

// mutate changes, adds or takes away a trouble.
func (h *hunter) mutate(list []scenario.Fault) []scenario.Fault {
	list = slices.Clone(list)
	i := h.rng.IntN(len(list))
	switch x := h.rng.IntN(4); {
	case x == 0 && len(list) < 6:
		list = append(list, h.trouble())
	case x == 1 && len(list) > 1:
		list = slices.Delete(list, i, i+1)
	case x == 2:
		list[i] = h.trouble()
	default:
		fresh := h.trouble()
		list[i].At = fresh.At
		if list[i].Duration > 0 {
			list[i].Duration = list[i].Duration * time.Duration(5+h.rng.IntN(11)) / 10
		}
	}
	scenario.SortByTime(list)
	return list
}

// mattersStill is the part of a find's score that a smaller script must keep.
const mattersStill = 0.9

// shrink takes away what the find does not need: whole troubles, then halves of their times.
func (h *hunter) shrink(f Find) (Find, error) {
	for again := true; again; {
		again = false
		var tries [][]scenario.Fault
		for i := range f.Troubles {
			if len(f.Troubles) > 1 {
				tries = append(tries, slices.Delete(slices.Clone(f.Troubles), i, i+1))
			}
			if t := f.Troubles[i]; t.Duration > time.Second {
				list := slices.Clone(f.Troubles)
				list[i].Duration = (t.Duration / 2).Round(100 * time.Millisecond)
				tries = append(tries, list)
			}
		}
		finds, err := h.all(tries)
		if err != nil {
			return f, err
		}
		for _, smaller := range finds {
			if smaller.Score() >= mattersStill*f.Score() {
				f, again = smaller, true
				break
			}
		}
	}
	return f, nil
}
