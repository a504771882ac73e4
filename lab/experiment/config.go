package experiment

import (
	"fmt"
	"strings"

	"github.com/rs/zerolog"

	"havencart/lab/fleet"
	"havencart/lab/simulation"
)

// networkJitter is the largest random deviation of a message's network latency from the mean, as a fraction of the
// mean. The deviation is drawn anew for each message.
const networkJitter = 0.3

// config returns the configuration of the simulation that runs a variant in a scenario with a seed.
func (s *Spec) config(variant Variant, scenario Scenario, seed uint64) simulation.Config {
	worker := fleet.DemoWorker()
	worker.Cores = scenario.WorkerCores
	worker.MemoryMB = scenario.WorkerMemoryMB
	worker.Queue = scenario.WorkerQueue
	worker.ReportsNotLoaded = scenario.ReportsNotLoaded
	store := fleet.DemoStore()
	store.Concurrency, store.Limit = scenario.StoreConcurrency, scenario.StoreLimit
	overrides := variant.Overrides
	if scenario.ReportsNotLoaded {
		overrides = append([]string{"on-miss miss"}, overrides...)
	}
	return simulation.Config{
		Workers:      scenario.Workers,
		Cells:        scenario.Cells,
		FrontEnds:    scenario.FrontEnds,
		Worker:       worker,
		Store:        store,
		Settings:     overrideSettings(scenario.settings(), overrides),
		Jitter:       networkJitter,
		DiscoveryLag: scenario.DiscoveryLag,
		Mix:          scenario.Mix,
		Duration:     scenario.Duration,
		Faults:       scenario.Faults,
		Seed:         seed,
		LogLevel:     zerolog.InfoLevel,
		Policy:       variant.Policy,
	}
}

// settings returns the front ends' settings: those of the demo, or the demo's classes with generated tenants t1, t2
// and so on if the scenario sets their number.
func (sc *Scenario) settings() string {
	if sc.Tenants == 0 {
		return fleet.DemoSettings
	}
	var text strings.Builder
	text.WriteString(fleet.DemoClasses)
	for i := range sc.Tenants {
		fmt.Fprintf(&text, "tenant t%d\n  share %v\n  quota %v\nend\n", i+1, 1/float64(sc.Tenants), sc.TenantQuota)
	}
	return text.String()
}

// overrideSettings replaces top-level directives of a settings text. It removes the top-level lines whose directive
// occurs in overrides and appends overrides. Lines within blocks stay unchanged.
func overrideSettings(text string, overrides []string) string {
	overridden := map[string]bool{}
	for _, line := range overrides {
		overridden[strings.Fields(line)[0]] = true
	}
	var kept []string
	inBlock := false
	for _, line := range strings.Split(text, "\n") {
		words := strings.Fields(line)
		if len(words) == 0 {
			kept = append(kept, line)
			continue
		}
		if !inBlock && overridden[words[0]] {
			continue
		}
		inBlock = startsBlock(words[0]) || inBlock && words[0] != "end"
		kept = append(kept, line)
	}
	return strings.Join(append(kept, overrides...), "\n") + "\n"
}

// startsBlock reports whether a directive of the settings opens a block, which ends with an "end" line.
func startsBlock(directive string) bool {
	return directive == "class" || directive == "tenant" || directive == "function"
}
