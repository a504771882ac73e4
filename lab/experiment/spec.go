// Package experiment plays variants on days with seeds, paired, and says which is better and how sure that is.
package experiment

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"havencart/internal/directive"
	"havencart/lab/fleet"
	"havencart/lab/loadgen"
	"havencart/lab/scenario"
	"havencart/lab/simulation"
)

// ErrSpec is wrapped by every error about an experiment's text.
var ErrSpec = errors.New("experiment")

// Spec is an experiment as its file has it.
type Spec struct {
	Path      string
	Title     string
	Seeds     int
	FirstSeed int
	Scenarios []Scenario
	Variants  []Variant
}

// Day is an installation, its clients and its troubles.
type Scenario struct {
	Name                      string
	Workers, Cells, FrontEnds int
	Duration                  time.Duration
	DiscoveryLag              time.Duration
	Mix                       loadgen.Mix
	WorkerQueue               int
	WorkerMemoryMB            float64
	WorkerCores               float64
	ReportsNotLoaded          bool
	StoreConcurrency          float64
	StoreLimit                int
	Tenants                   int
	TenantQuota               float64
	Faults                    []scenario.Fault
}

// Variant is what is set beside others.
type Variant struct {
	Name      string
	Policy    string
	Overrides []string // lines of settings
	Program   string   // another build of havencart, by path; empty: this one
}

const maxDuration = time.Hour

var specTable = []directive.Directive[Spec]{
	directive.Text("title", "words in quotes", "", "what it is about", func(s *Spec) *string { return &s.Title }),
	directive.Number("seeds", 1, 10000, "8", "runs of each variant on each day", func(s *Spec) *int { return &s.Seeds }),
	directive.Number("first-seed", 0, 1<<30, "1", "the first seed", func(s *Spec) *int { return &s.FirstSeed }),
}

var scenarioTable = []directive.Directive[Scenario]{
	directive.Number("workers", 1, 10000, "12", "emulated workers", func(d *Scenario) *int { return &d.Workers }),
	directive.Number("cells", 1, 1000, "3", "groups of workers that share keys", func(d *Scenario) *int { return &d.Cells }),
	directive.Number("front-ends", 1, 10000, "3", "front ends", func(d *Scenario) *int { return &d.FrontEnds }),
	directive.Duration("lasts", time.Second, maxDuration, "30s", "how long clients call", func(d *Scenario) *time.Duration { return &d.Duration }),
	directive.Duration("list-lag", time.Millisecond, maxDuration, "1s", "mean time until a front end hears of a change",
		func(d *Scenario) *time.Duration { return &d.DiscoveryLag }),
	directive.Real("rate", 0.1, 1e6, "150", "calls a second", func(d *Scenario) *float64 { return &d.Mix.Rate }),
	directive.Choice("shape", []string{"steady", "bursty", "ramp", "daily"}, []loadgen.Shape{loadgen.Steady, loadgen.Bursty, loadgen.Ramp, loadgen.Daily},
		"steady", "how the rate changes", func(d *Scenario) *loadgen.Shape { return &d.Mix.Shape }),
	directive.Number("functions", 1, 1e6, "12", "functions of each class", func(d *Scenario) *int { return &d.Mix.Functions }),
	directive.Real("zipf", 1.01, 10, "1.3", "exponent of their popularity", func(d *Scenario) *float64 { return &d.Mix.Zipf }),
	directive.Real("once", 0, 1, "0", "share of calls for functions wanted once", func(d *Scenario) *float64 { return &d.Mix.Once }),
	directive.Duration("drift", 0, maxDuration, "0s", "a fifth of the functions give way after each; 0s: never",
		func(d *Scenario) *time.Duration { return &d.Mix.Drift }),
	directive.Duration("work", 0, maxDuration, "60ms", "mean work of a call", func(d *Scenario) *time.Duration { return &d.Mix.Work }),
	directive.Real("sigma", 0, 3, "0.6", "of its lognormal distribution", func(d *Scenario) *float64 { return &d.Mix.WorkSigma }),
	directive.Duration("load", 0, maxDuration, "600ms", "time of a load", func(d *Scenario) *time.Duration { return &d.Mix.Load }),
	directive.Real("size", 1, 1e6, "400", "megabytes of a copy", func(d *Scenario) *float64 { return &d.Mix.MemoryMB }),
	directive.Duration("patience", time.Millisecond, maxDuration, "2s", "of clients, at most", func(d *Scenario) *time.Duration { return &d.Mix.Patience }),
	directive.Choice("habit", []string{"never", "at-once", "wait", "advised", "impolite"},
		[]loadgen.Habit{loadgen.Never, loadgen.AtOnce, loadgen.Wait, loadgen.Advised, loadgen.Impolite}, "advised", "what clients do after a refusal",
		func(d *Scenario) *loadgen.Habit { return &d.Mix.Habit }),
	directive.Number("retries", 0, 100, "1", "times at most", func(d *Scenario) *int { return &d.Mix.Retries }),
	directive.Real("cores", 0.1, 1000, "4", "of a worker", func(d *Scenario) *float64 { return &d.WorkerCores }),
	directive.Real("memory", 1, 1e9, "4000", "megabytes of a worker", func(d *Scenario) *float64 { return &d.WorkerMemoryMB }),
	directive.Number("queue", 1, 1e6, "100", "calls that may wait at a worker", func(d *Scenario) *int { return &d.WorkerQueue }),
	directive.OnOff("miss", "off", "workers answer miss in place of loading", func(d *Scenario) *bool { return &d.ReportsNotLoaded }),
	directive.Real("store-places", 0.1, 1e6, "8", "fetches that the store serves at full pace", func(d *Scenario) *float64 { return &d.StoreConcurrency }),
	directive.Number("tenants", 0, 100000, "0", "t1, t2 and so on with equal shares, in place of the demo's two; 0: those",
		func(d *Scenario) *int { return &d.Tenants }),
	directive.Real("tenant-quota", 0, 1e9, "0", "calls a second that each of them may make; 0: no limit",
		func(d *Scenario) *float64 { return &d.TenantQuota }),
	directive.OnOff("own-functions", "off", "each tenant calls functions of its own", func(d *Scenario) *bool { return &d.Mix.OwnFunctions }),
	directive.Number("store-limit", 1, 1e6, "40", "fetches in hand beyond which it refuses", func(d *Scenario) *int { return &d.StoreLimit }),
}

var variantTable = []directive.Directive[Variant]{
	directive.Text("policy", "module, oracle, random, round-robin, least-out, two-choices or rendezvous", "module", "what decides",
		func(v *Variant) *string { return &v.Policy }),
	{
		Name: "set", Takes: "a line of settings", Help: "in place of the line of that directive", Words: -1, Many: true,
		Set: func(v *Variant, words []string) error {
			if len(words) < 2 {
				return directive.ErrValue
			}
			v.Overrides = append(v.Overrides, strings.Join(words, " "))
			return nil
		},
	},
	directive.Text("program", "a path", "", "another build of havencart, say of another commit", func(v *Variant) *string { return &v.Program }),
}

// Load reads an experiment's file.
func Load(path string) (*Spec, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSpec, err)
	}
	return Parse(path, string(raw))
}

// Parse reads an experiment. All errors are told at once.
func Parse(path, text string) (*Spec, error) {
	s, p := &Spec{Path: path}, &directive.Parser{}
	directive.Defaults(s, specTable)
	p.Top = func(at directive.Place, words []directive.Word) {
		switch words[0].Text {
		case "day":
			directive.Block(p, at, words, scenarioTable, func(d *Scenario) *string { return &d.Name }, &s.Scenarios, func(d *Scenario, at directive.Place, w []directive.Word) bool {
				return d.parseFault(p, at, w)
			})
		case "variant":
			directive.Block(p, at, words, variantTable, func(v *Variant) *string { return &v.Name }, &s.Variants, nil)
		default:
			directive.Apply(p, at, words, s, specTable, "day, variant, include")
		}
	}
	p.Parse(path, text)
	if len(s.Scenarios) == 0 || len(s.Variants) == 0 {
		p.Fail(directive.Place{File: path}, 0, "%d days and %d variants; at least one of each is needed", len(s.Scenarios), len(s.Variants))
	}
	for _, v := range s.Variants {
		for _, d := range s.Scenarios {
			if _, err := simulation.Check(s.config(v, d, 1)); err != nil {
				p.Fail(directive.Place{File: path}, 0, "variant %q on day %q: %v", v.Name, d.Name, err)
			}
		}
	}
	if err := p.Err(); err != nil {
		return nil, fmt.Errorf("%w:\n%w", ErrSpec, err)
	}
	return s, nil
}

// trouble takes the lines of a day that are a script's: troubles, and scripts by file.
func (d *Scenario) parseFault(p *directive.Parser, at directive.Place, words []directive.Word) bool {
	switch words[0].Text {
	case "at":
		line, _, _ := strings.Cut(at.Text, "#")
		t, column, err := scenario.ParseLine(line)
		if err != nil {
			p.Fail(at, column, "%v", err)
			return true
		}
		t.Line = at.Line
		d.Faults = append(d.Faults, t)
	case "script":
		if len(words) != 2 {
			p.Fail(at, words[0].Column, "script takes one file")
			return true
		}
		path := filepath.Join(filepath.Dir(at.File), words[1].Text)
		list, err := scenario.Load(path)
		if err != nil {
			p.Fail(at, words[1].Column, "%v", err)
		}
		d.Faults = append(d.Faults, list...)
	default:
		return false
	}
	return true
}

// config is a variant on a day with a seed.
func (s *Spec) config(v Variant, d Scenario, seed uint64) simulation.Config {
	worker := fleet.DemoWorker()
	worker.Cores, worker.MemoryMB, worker.Queue, worker.MissAnswers = d.WorkerCores, d.WorkerMemoryMB, d.WorkerQueue, d.ReportsNotLoaded
	store := fleet.DemoStore()
	store.Places, store.Limit = d.StoreConcurrency, d.StoreLimit
	set := v.Overrides
	if d.ReportsNotLoaded {
		set = append([]string{"on-miss miss"}, set...)
	}
	return simulation.Config{
		Workers: d.Workers, Cells: d.Cells, FrontEnds: d.FrontEnds, Worker: worker, Settings: overrideSettings(d.settings(), set),
		Store: store, Mix: d.Mix, Duration: d.Duration, DiscoveryLag: d.DiscoveryLag, Jitter: 0.3, Faults: d.Faults, Seed: seed, Policy: v.Policy, LogLevel: zerolog.InfoLevel,
	}
}

// settings are the demo's, with the day's tenants.
func (d *Scenario) settings() string {
	if d.Tenants == 0 {
		return fleet.DemoSettings
	}
	var text strings.Builder
	text.WriteString(fleet.DemoClasses)
	for i := range d.Tenants {
		fmt.Fprintf(&text, "tenant t%d\n  share %v\n  quota %v\nend\n", i+1, 1/float64(d.Tenants), d.TenantQuota)
	}
	return text.String()
}

// override puts lines in place of those of the same directive outside blocks.
func overrideSettings(text string, set []string) string {
	given := map[string]bool{}
	for _, line := range set {
		given[strings.Fields(line)[0]] = true
	}
	var out []string
	inside := false
	for _, line := range strings.Split(text, "\n") {
		words := strings.Fields(line)
		if len(words) > 0 && !inside && given[words[0]] {
			continue
		}
		if len(words) > 0 {
			inside = inside && words[0] != "end" || words[0] == "class" || words[0] == "tenant" || words[0] == "function"
		}
		out = append(out, line)
	}
	return strings.Join(append(out, set...), "\n") + "\n"
}
