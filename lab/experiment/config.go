package experiment

import (
	"fmt"
	"strings"

	"github.com/rs/zerolog"

	"havencart/lab/fleet"
	"havencart/lab/simulation"
)

// networkJitter is the share of the network latency that is drawn anew for each message.
const networkJitter = 0.3

// config is the simulation of a variant in a scenario with a seed.
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

// settings are the demo's, with the scenario's tenants.
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

// overrideSettings replaces the directives of a settings text that stand outside of blocks: lines of those that
// overrides name are removed, and the overrides are appended.
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

// startsBlock reports whether a directive of the settings starts a block.
func startsBlock(directive string) bool {
	return directive == "class" || directive == "tenant" || directive == "function"
}
