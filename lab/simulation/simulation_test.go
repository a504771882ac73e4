package simulation

import (
	"context"
	"math"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"havencart/lab/baseline"
	"havencart/lab/fleet"
	"havencart/lab/invariant"
	"havencart/lab/scenario"
)

// smallInstallation returns the configuration of the demo's installation in virtual time.
func smallInstallation(t *testing.T, script string, duration time.Duration) Config {
	t.Helper()
	faults, err := scenario.Parse("day", script)
	if err != nil {
		t.Fatal(err)
	}
	return Config{
		Workers:      12,
		Cells:        3,
		FrontEnds:    3,
		Worker:       fleet.DemoWorker(),
		Store:        fleet.DemoStore(),
		Settings:     fleet.DemoSettings,
		Mix:          fleet.DemoMix(150),
		Duration:     duration,
		Faults:       faults,
		Seed:         1,
		LogLevel:     zerolog.WarnLevel,
		DiscoveryLag: 20 * time.Millisecond,
		Jitter:       0.3,
	}
}

func scenarioText(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile("../scenarios/" + name + ".day")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func runChecked(t *testing.T, cfg Config) Result {
	t.Helper()
	r, err := Run(cfg)
	if err != nil {
		t.Fatal(err)
	}
	for i, v := range r.Violations {
		if i < 10 {
			t.Errorf("invariant %s is violated: %s", v.Rule, v.Detail)
		}
	}
	if !r.Tally.Balanced() {
		t.Errorf("some requests are not accounted for: %v", r.Tally)
	}
	return r
}

func TestRun_WithoutFaults_ServesRequests(t *testing.T) {
	r := runChecked(t, smallInstallation(t, "", 20*time.Second))
	if got := r.Score.Service(); got < 0.97 || r.Tally.Failed > 0 {
		t.Errorf("service level %.3f, %v", got, r.Tally)
	}
}

// TestRun_SameSeed_GivesTheSameTrace checks that runs with the same seed have the same messages, responses and times,
// and that a run with another seed differs. It guards against behaviour that depends on the order of map iteration or
// of goroutines.
func TestRun_SameSeed_GivesTheSameTrace(t *testing.T) {
	for _, name := range []string{"bad", "ways"} {
		cfg := smallInstallation(t, scenarioText(t, name), 22*time.Second)
		first := runChecked(t, cfg)
		for range 2 {
			if again := runChecked(t, cfg); again.Trace != first.Trace || again.Tally != first.Tally {
				t.Fatalf("%s: two runs with the same seed differ: %v and %v", name, first.Tally, again.Tally)
			}
		}
		cfg.Seed = 2
		if other := runChecked(t, cfg); other.Trace == first.Trace {
			t.Errorf("%s: a run with another seed has the same trace, so the trace does not distinguish runs", name)
		}
	}
}

func TestRun_FaultScenarios_KeepInvariants(t *testing.T) {
	for _, name := range []string{"bad", "ways"} {
		for seed := range uint64(5) {
			cfg := smallInstallation(t, scenarioText(t, name), 22*time.Second)
			cfg.Seed = seed
			r := runChecked(t, cfg)
			if r.Tally.Served < r.Tally.Sent/2 || r.Tally.Rejected+r.Tally.Disconnected == 0 {
				t.Errorf("%s, seed %d: %v", name, seed, r.Tally)
			}
		}
	}
}

// TestRun_Policies_RankAsExpected checks that the best oracle has the best service level, and that the scheduler has a
// better one than the random policy, which does not know where replicas are loaded. Policies may violate the invariant
// of cold workers, but no other one.
func TestRun_Policies_RankAsExpected(t *testing.T) {
	service := map[string]float64{}
	for _, policy := range append([]string{"module", "oracle"}, baseline.Names...) {
		cfg := smallInstallation(t, "at 3s crash 25% for 3s\nat 8s deploy 50% over 4s drain 300ms\n", 20*time.Second)
		cfg.Policy = policy
		cfg.Mix.Rate = 250
		r, err := Run(cfg)
		if err != nil {
			t.Fatal(err)
		}
		if !r.Tally.Balanced() {
			t.Errorf("%s: some requests are not accounted for: %v", policy, r.Tally)
		}
		for _, v := range r.Violations {
			if v.Rule != "cold" {
				t.Errorf("%s: invariant %s is violated: %s", policy, v.Rule, v.Detail)
			}
		}
		service[policy] = r.Score.Service()
		t.Logf("%-12s service level %.3f, %d violations", policy, r.Score.Service(), len(r.Violations))
	}
	for policy, got := range service {
		if policy != "oracle" && got > service["oracle"]+0.01 { // in easy scenarios the policies come close to the oracle
			t.Errorf("service level of %s is %.3f, above that of the oracle, %.3f", policy, got, service["oracle"])
		}
	}
	if service["module"] <= service["random"] {
		t.Errorf("service level of module is %.3f, not above that of random, %.3f", service["module"], service["random"])
	}
}

// TestRun_RealAndVirtualTime_AgreeWithinTolerance runs one scenario with the same clients, models and faults in real
// time over sockets and in virtual time. The results may differ within a tolerance, because sockets and the operating
// system add delays in real time.
func TestRun_RealAndVirtualTime_AgreeWithinTolerance(t *testing.T) {
	const script, duration = "at 2s crash 25% for 2s\nat 5s store-slow factor 3 for 2s\nat 6s slow 25% factor 3 for 2s\n", 9 * time.Second
	d := fleet.Demo{
		Workers: 12, FrontEnds: 3, Mix: fleet.DemoMix(150), Duration: duration, Scenario: script, Seed: 1, Log: zerolog.Nop(),
		ReportProgress: func(string) {},
	}
	realTime, err := d.Run(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	virtual := runChecked(t, smallInstallation(t, script, duration))
	t.Logf("real time: %v, service level %.3f", realTime.Tally, realTime.Score.Service())
	t.Logf("virtual time: %v, service level %.3f", virtual.Tally, virtual.Score.Service())
	if a, b := realTime.Score.Requests, virtual.Score.Requests; a != b {
		t.Errorf("%d requests in real time, %d in virtual time", a, b)
	}
	for metric, values := range map[string][2]float64{
		"service":  {realTime.Score.Service(), virtual.Score.Service()},
		"served":   {float64(realTime.Tally.Served) / float64(realTime.Score.Requests), float64(virtual.Tally.Served) / float64(virtual.Score.Requests)},
		"attempts": {float64(realTime.Tally.Attempts) / float64(realTime.Score.Requests), float64(virtual.Tally.Attempts) / float64(virtual.Score.Requests)},
	} {
		if math.Abs(values[0]-values[1]) > 0.1 {
			t.Errorf("%s: %.3f in real time, %.3f in virtual time", metric, values[0], values[1])
		}
	}
}

// TestRun_TenantOverload_LeavesOtherTenantsService checks that the overload of one tenant does not take the service of
// another. One tenant sends ten times the requests, calls a new function with each request, sends requests that take
// twenty times as long, or retries. With this seed, the other tenant must keep 0.85 of the service level that it has
// alone. Requests count from 5 s on, because before that all tenants load their functions.
func TestRun_TenantOverload_LeavesOtherTenantsService(t *testing.T) {
	const duration, from = 30 * time.Second, 5
	service := func(script string) float64 {
		cfg := smallInstallation(t, script, duration)
		cfg.Settings = "shares work\n" + strings.NewReplacer("share 0.8", "share 0.5", "share 0.2", "share 0.5").Replace(cfg.Settings)
		cfg.Mix.Rate, cfg.Mix.Functions, cfg.Mix.OwnFunctions = 400, 6, true
		cfg.Mix.Work, cfg.Mix.MemoryMB = 30*time.Millisecond, 200
		var sum invariant.ServiceLevel
		for _, p := range runChecked(t, cfg).Score.ByTenant["catania"].Seconds[from:] {
			sum.Offered += p.Offered
			sum.Earned += p.Earned
		}
		return sum.Share()
	}
	alone := service("at 1ms silent palermo for 30s")
	for _, overload := range []string{"flood palermo factor 10", "scan-of palermo 100%", "heavy-of palermo factor 20", "repeat palermo times 9"} {
		if got := service("at 5s " + overload + " for 25s"); got < 0.85*alone {
			t.Errorf("%s: service level of the other tenant is %.3f, alone %.3f", overload, got, alone)
		}
	}
}
