// Package experiment compares variants of the scheduler. It runs each variant in the same fault scenarios with the
// same seeds and estimates the differences of service with confidence intervals. Completed runs are stored in a
// results file, from which an interrupted experiment resumes.
package experiment

import (
	"errors"
	"strings"
	"time"

	"havencart/internal/directive"
	"havencart/lab/loadgen"
	"havencart/lab/scenario"
)

// ErrSpec is wrapped by every error about the text of an experiment.
var ErrSpec = errors.New("experiment")

// Spec is an experiment as described by its file.
type Spec struct {
	Path      string // path of the file
	Title     string
	Seeds     int // number of seeds, which is the number of runs of each variant in each scenario
	FirstSeed int // first of the consecutive seeds
	Scenarios []Scenario
	Variants  []Variant
}

// Scenario is an installation with its clients and the faults to inject. It is a "day" block of the file.
type Scenario struct {
	Name             string
	Workers          int
	Cells            int
	FrontEnds        int
	Duration         time.Duration // how long clients send requests
	DiscoveryLag     time.Duration // mean time from a change of the endpoint list until a front end receives it
	Mix              loadgen.Mix
	WorkerQueue      int // maximum number of requests that wait at a worker
	WorkerMemoryMB   float64
	WorkerCores      float64
	ReportsNotLoaded bool    // workers respond that a function is not loaded instead of loading it
	StoreConcurrency float64 // number of fetches that the function store serves at full speed
	StoreLimit       int     // number of concurrent fetches beyond which the function store rejects
	Tenants          int     // number of tenants with equal shares; 0: the tenants of the demo
	TenantQuota      float64 // requests per second of each of these tenants; 0: no limit
	Faults           []scenario.Fault
}

// Variant is one of the alternatives that an experiment compares. It is a "variant" block of the file.
type Variant struct {
	Name      string
	Policy    string   // scheduling policy, as in simulation.Config
	Overrides []string // lines of settings, which replace the lines of the same directives
	Program   string   // path of the build of havencart to run; empty: the running program
}

// maxDuration is the upper bound of durations in an experiment file, except those of faults.
const maxDuration = time.Hour

var specTable = []directive.Directive[Spec]{
	directive.Text("title", "words in quotes", "", "title of the report", func(s *Spec) *string { return &s.Title }),
	directive.Number("seeds", 1, 10000, "8", "number of seeds; each variant runs once per day and seed", func(s *Spec) *int { return &s.Seeds }),
	directive.Number("first-seed", 0, 1<<30, "1", "the first seed", func(s *Spec) *int { return &s.FirstSeed }),
}

var scenarioTable = []directive.Directive[Scenario]{
	directive.Number("workers", 1, 10000, "12", "emulated workers", func(s *Scenario) *int { return &s.Workers }),
	directive.Number("cells", 1, 1000, "3", "cells: groups of workers that share idempotency keys", func(s *Scenario) *int { return &s.Cells }),
	directive.Number("front-ends", 1, 10000, "3", "front ends", func(s *Scenario) *int { return &s.FrontEnds }),
	directive.Duration("lasts", time.Second, maxDuration, "30s", "how long clients send requests", func(s *Scenario) *time.Duration { return &s.Duration }),
	directive.Duration("list-lag", time.Millisecond, maxDuration, "1s", "mean time from a change of the endpoint list until a front end receives it",
		func(s *Scenario) *time.Duration { return &s.DiscoveryLag }),
	directive.Real("rate", 0.1, 1e6, "150", "mean requests per second", func(s *Scenario) *float64 { return &s.Mix.Rate }),
	directive.Choice("shape", []string{"steady", "bursty", "ramp", "daily"}, []loadgen.Shape{loadgen.Steady, loadgen.Bursty, loadgen.Ramp, loadgen.Daily},
		"steady", "how the rate varies over time", func(s *Scenario) *loadgen.Shape { return &s.Mix.Shape }),
	directive.Number("functions", 1, 1e6, "12", "functions of each class", func(s *Scenario) *int { return &s.Mix.Functions }),
	directive.Real("zipf", 1.01, 10, "1.3", "exponent of the Zipf distribution of the functions' popularity", func(s *Scenario) *float64 { return &s.Mix.Zipf }),
	directive.Real("once", 0, 1, "0", "share of requests for functions that are requested only once", func(s *Scenario) *float64 { return &s.Mix.RequestedOnceShare }),
	directive.Duration("drift", 0, maxDuration, "0s", "interval at which a fifth of the functions is replaced; 0s: never",
		func(s *Scenario) *time.Duration { return &s.Mix.Drift }),
	directive.Duration("work", 0, maxDuration, "60ms", "mean work of a request", func(s *Scenario) *time.Duration { return &s.Mix.Work }),
	directive.Real("sigma", 0, 3, "0.6", "standard deviation of the logarithm of the work, which is lognormal", func(s *Scenario) *float64 { return &s.Mix.WorkSigma }),
	directive.Duration("load", 0, maxDuration, "600ms", "time to load a function", func(s *Scenario) *time.Duration { return &s.Mix.LoadTime }),
	directive.Real("size", 1, 1e6, "400", "megabytes of memory of a replica", func(s *Scenario) *float64 { return &s.Mix.MemoryMB }),
	directive.Duration("patience", time.Millisecond, maxDuration, "2s", "maximum timeout of clients", func(s *Scenario) *time.Duration { return &s.Mix.Timeout }),
	directive.Choice("habit", []string{"never", "at-once", "wait", "advised", "impolite"},
		[]loadgen.RetryPolicy{loadgen.RetryNever, loadgen.RetryAtOnce, loadgen.RetryWithBackoff, loadgen.RetryAsAdvised, loadgen.RetryAlways}, "advised", "retry policy of clients",
		func(s *Scenario) *loadgen.RetryPolicy { return &s.Mix.RetryPolicy }),
	directive.Number("retries", 0, 100, "1", "maximum number of retries", func(s *Scenario) *int { return &s.Mix.Retries }),
	directive.Real("cores", 0.1, 1000, "4", "cores of a worker", func(s *Scenario) *float64 { return &s.WorkerCores }),
	directive.Real("memory", 1, 1e9, "4000", "megabytes of memory of a worker", func(s *Scenario) *float64 { return &s.WorkerMemoryMB }),
	directive.Number("queue", 1, 1e6, "100", "maximum number of requests that wait at a worker", func(s *Scenario) *int { return &s.WorkerQueue }),
	directive.OnOff("miss", "off", "workers respond that a function is not loaded instead of loading it", func(s *Scenario) *bool { return &s.ReportsNotLoaded }),
	directive.Real("store-places", 0.1, 1e6, "8", "number of fetches that the function store serves at full speed", func(s *Scenario) *float64 { return &s.StoreConcurrency }),
	directive.Number("tenants", 0, 100000, "0", "number of tenants t1, t2 and so on, with equal shares; 0: the two tenants of the demo",
		func(s *Scenario) *int { return &s.Tenants }),
	directive.Real("tenant-quota", 0, 1e9, "0", "requests per second that each of these tenants may send; 0: no limit",
		func(s *Scenario) *float64 { return &s.TenantQuota }),
	directive.OnOff("own-functions", "off", "each tenant requests functions of its own", func(s *Scenario) *bool { return &s.Mix.OwnFunctions }),
	directive.Number("store-limit", 1, 1e6, "40", "number of concurrent fetches beyond which the function store rejects", func(s *Scenario) *int { return &s.StoreLimit }),
}

var variantTable = []directive.Directive[Variant]{
	directive.Text("policy", "module, oracle, random, round-robin, least-out, two-choices or rendezvous", "module", "scheduling policy",
		func(v *Variant) *string { return &v.Policy }),
	{
		Name: "set", AllowedValues: "a line of settings", Help: "replaces the line of the same directive", ValueCount: -1, Repeatable: true,
		Set: func(v *Variant, words []string) error {
			if len(words) < 2 {
				return directive.ErrValue
			}
			v.Overrides = append(v.Overrides, strings.Join(words, " "))
			return nil
		},
	},
	directive.Text("program", "a path", "", "another build of havencart, for example of another commit", func(v *Variant) *string { return &v.Program }),
}
