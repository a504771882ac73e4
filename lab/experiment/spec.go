// Package experiment runs variants of the scheduler's settings in fault scenarios, paired by seed, and compares them:
// which one gives better service, with a confidence interval. Runs are kept in a results file, from which an
// interrupted experiment resumes.
package experiment

import (
	"errors"
	"strings"
	"time"

	"havencart/internal/directive"
	"havencart/lab/loadgen"
	"havencart/lab/scenario"
)

// ErrSpec is wrapped by every error about an experiment's text.
var ErrSpec = errors.New("experiment")

// Spec is an experiment as its file describes it.
type Spec struct {
	Path      string
	Title     string
	Seeds     int
	FirstSeed int
	Scenarios []Scenario
	Variants  []Variant
}

// Scenario is an installation, its clients and the faults that are injected: a "day" block of the file.
type Scenario struct {
	Name             string
	Workers          int
	Cells            int
	FrontEnds        int
	Duration         time.Duration // of the clients' load
	DiscoveryLag     time.Duration // mean time until a front end learns of a change
	Mix              loadgen.Mix
	WorkerQueue      int
	WorkerMemoryMB   float64
	WorkerCores      float64
	ReportsNotLoaded bool // workers respond not loaded where they would load a replica
	StoreConcurrency float64
	StoreLimit       int
	Tenants          int     // 0: those of the demo
	TenantQuota      float64 // requests a second; 0: no limit
	Faults           []scenario.Fault
}

// Variant is what is compared: a "variant" block of the file.
type Variant struct {
	Name      string
	Policy    string   // as simulation.Config has it
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
	directive.Number("workers", 1, 10000, "12", "emulated workers", func(s *Scenario) *int { return &s.Workers }),
	directive.Number("cells", 1, 1000, "3", "groups of workers that share keys", func(s *Scenario) *int { return &s.Cells }),
	directive.Number("front-ends", 1, 10000, "3", "front ends", func(s *Scenario) *int { return &s.FrontEnds }),
	directive.Duration("lasts", time.Second, maxDuration, "30s", "how long clients call", func(s *Scenario) *time.Duration { return &s.Duration }),
	directive.Duration("list-lag", time.Millisecond, maxDuration, "1s", "mean time until a front end hears of a change",
		func(s *Scenario) *time.Duration { return &s.DiscoveryLag }),
	directive.Real("rate", 0.1, 1e6, "150", "calls a second", func(s *Scenario) *float64 { return &s.Mix.Rate }),
	directive.Choice("shape", []string{"steady", "bursty", "ramp", "daily"}, []loadgen.Shape{loadgen.Steady, loadgen.Bursty, loadgen.Ramp, loadgen.Daily},
		"steady", "how the rate changes", func(s *Scenario) *loadgen.Shape { return &s.Mix.Shape }),
	directive.Number("functions", 1, 1e6, "12", "functions of each class", func(s *Scenario) *int { return &s.Mix.Functions }),
	directive.Real("zipf", 1.01, 10, "1.3", "exponent of their popularity", func(s *Scenario) *float64 { return &s.Mix.Zipf }),
	directive.Real("once", 0, 1, "0", "share of calls for functions wanted once", func(s *Scenario) *float64 { return &s.Mix.RequestedOnceShare }),
	directive.Duration("drift", 0, maxDuration, "0s", "a fifth of the functions give way after each; 0s: never",
		func(s *Scenario) *time.Duration { return &s.Mix.Drift }),
	directive.Duration("work", 0, maxDuration, "60ms", "mean work of a call", func(s *Scenario) *time.Duration { return &s.Mix.Work }),
	directive.Real("sigma", 0, 3, "0.6", "of its lognormal distribution", func(s *Scenario) *float64 { return &s.Mix.WorkSigma }),
	directive.Duration("load", 0, maxDuration, "600ms", "time of a load", func(s *Scenario) *time.Duration { return &s.Mix.LoadTime }),
	directive.Real("size", 1, 1e6, "400", "megabytes of a copy", func(s *Scenario) *float64 { return &s.Mix.MemoryMB }),
	directive.Duration("patience", time.Millisecond, maxDuration, "2s", "of clients, at most", func(s *Scenario) *time.Duration { return &s.Mix.Timeout }),
	directive.Choice("habit", []string{"never", "at-once", "wait", "advised", "impolite"},
		[]loadgen.RetryPolicy{loadgen.RetryNever, loadgen.RetryAtOnce, loadgen.RetryWithBackoff, loadgen.RetryAsAdvised, loadgen.RetryAlways}, "advised", "what clients do after a refusal",
		func(s *Scenario) *loadgen.RetryPolicy { return &s.Mix.RetryPolicy }),
	directive.Number("retries", 0, 100, "1", "times at most", func(s *Scenario) *int { return &s.Mix.Retries }),
	directive.Real("cores", 0.1, 1000, "4", "of a worker", func(s *Scenario) *float64 { return &s.WorkerCores }),
	directive.Real("memory", 1, 1e9, "4000", "megabytes of a worker", func(s *Scenario) *float64 { return &s.WorkerMemoryMB }),
	directive.Number("queue", 1, 1e6, "100", "calls that may wait at a worker", func(s *Scenario) *int { return &s.WorkerQueue }),
	directive.OnOff("miss", "off", "workers answer miss in place of loading", func(s *Scenario) *bool { return &s.ReportsNotLoaded }),
	directive.Real("store-places", 0.1, 1e6, "8", "fetches that the store serves at full pace", func(s *Scenario) *float64 { return &s.StoreConcurrency }),
	directive.Number("tenants", 0, 100000, "0", "t1, t2 and so on with equal shares, in place of the demo's two; 0: those",
		func(s *Scenario) *int { return &s.Tenants }),
	directive.Real("tenant-quota", 0, 1e9, "0", "calls a second that each of them may make; 0: no limit",
		func(s *Scenario) *float64 { return &s.TenantQuota }),
	directive.OnOff("own-functions", "off", "each tenant calls functions of its own", func(s *Scenario) *bool { return &s.Mix.OwnFunctions }),
	directive.Number("store-limit", 1, 1e6, "40", "fetches in hand beyond which it refuses", func(s *Scenario) *int { return &s.StoreLimit }),
}

var variantTable = []directive.Directive[Variant]{
	directive.Text("policy", "module, oracle, random, round-robin, least-out, two-choices or rendezvous", "module", "what decides",
		func(v *Variant) *string { return &v.Policy }),
	{
		Name: "set", AllowedValues: "a line of settings", Help: "in place of the line of that directive", ValueCount: -1, Repeatable: true,
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
