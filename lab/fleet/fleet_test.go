package fleet

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"havencart/lab/loadgen"
	"havencart/lab/model"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const threeClasses = `
keep-alive 10s
max-retry-after 200ms
cold-time 3s
tip-window 1s
class quote
  aim 500ms
  give-up 2s
  worth 2
  repeat safe
end
class log
  aim 1s
  give-up 2s
  worth 2
  repeat keyed
  scope cell
  memory 4s
end
class unlock
  aim 400ms
  give-up 2s
  worth 6
  repeat unsafe
end
tenant palermo
  share 0.8
end
tenant catania
  share 0.2
end
`

func smallConfig(workers, frontEnds int) Config {
	cfg := Config{
		Workers: workers, Cells: 2, FrontEnds: frontEnds, Settings: threeClasses, Tolerance: time.Second, Log: zerolog.Nop(),
		Worker: DemoWorker(), Store: model.StoreConfig{Concurrency: 20, Limit: 100},
	}
	cfg.Worker.MemoryMB, cfg.Worker.Queue, cfg.Worker.SlowStart, cfg.Worker.KeyRetention = 8000, 200, 3*time.Second, 4*time.Second
	return cfg
}

func start(t *testing.T, cfg Config) *Fleet {
	t.Helper()
	f, err := Start(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

func TestFleet_RequestsThroughSockets_AreServed(t *testing.T) {
	fleet := start(t, smallConfig(4, 2))
	var all sync.WaitGroup
	for i := range 60 {
		all.Go(func() {
			class := []string{"quote", "log", "unlock"}[i%3]
			response, err := fleet.FrontEnds[i%2].Pool().Do(loadgen.Request{
				ID: fmt.Sprint("call-", i), Class: class,
				Function: class + "-f", Timeout: 2 * time.Second, Work: 2 * time.Millisecond, ResponseBytes: 100000 * (i % 2),
				LoadTime: 50 * time.Millisecond, MemoryMB: 200, Concurrency: 2,
			})
			if err != nil || response.Outcome != "served" || response.Bytes != 100000*(i%2) {
				t.Errorf("request %d: %+v, %v", i, response, err)
			}
		})
	}
	all.Wait()
	for _, fe := range fleet.FrontEnds {
		if err := fe.Stop(); err != nil {
			t.Error(err)
		}
	}
	violations, tally := fleet.Check()
	if len(violations) > 0 || !tally.Balanced() || tally.Served != 60 || tally.Executions != 60 {
		t.Errorf("%v; violations: %v", tally, violations)
	}
}

func TestFleet_ShadowSettings_CountDifferences(t *testing.T) {
	cfg := smallConfig(4, 2)
	cfg.Settings += "watch other\n  orders off\n  retry-after off\nend\n"
	fleet := start(t, cfg)
	waitUntil(t, "the endpoint lists", func() bool { return len(fleet.Discovery.Updates()) >= 2 })
	for number, frontEnd := range fleet.FrontEnds {
		sent := 0
		// Each request has its own function, as only the first request of a function causes a residency query. A single
		// request does not suffice, as a front end whose event loop lags sends no queries.
		waitUntil(t, "a residency query", func() bool {
			request := newRequest(fmt.Sprint("w.", number, ".", sent), "quote", time.Millisecond)
			request.Function = fmt.Sprint("quote-", sent)
			sent++
			if response := fleet.send(t, number, request); response.Outcome != "served" {
				t.Errorf("request %d: %+v", sent, response)
			}
			return sent >= 6 && frontEnd.Service().Counts().ResidencyQueries > 0
		})
	}
	for _, fe := range fleet.FrontEnds {
		if err := fe.Stop(); err != nil {
			t.Error(err)
		}
		if c := fe.Counts(); c.ResidencyQueries == 0 || c.ShadowDifferences.ResidencyQuery != c.ResidencyQueries || c.ShadowDifferences.OtherResponse != 0 || c.ShadowDifferences.Compared == 0 {
			t.Errorf("%s: %+v; every residency query should differ from the shadow, which sends no load orders, and no response should", fe.Name(), c)
		}
	}
	fleet.stopAndCheck(t)
}
