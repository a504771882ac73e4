package simulation

import (
	"runtime"
	"testing"
	"time"
)

// TestWorkerClient_CrashedWorker_HasOneTimer guards against a dial timer for each request that is waiting for a
// connection. A scenario with many crashed workers then used up all memory.
func TestWorkerClient_CrashedWorker_HasOneTimer(t *testing.T) {
	cfg := smallInstallation(t, "at 1s crash 100% for 20s\n", 15*time.Second)
	cfg.Policy = "random"
	s, err := newSimulation(cfg)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.runScenario(); err != nil {
		t.Fatal(err)
	}
	if n := s.clock.Pending(); n > 500 {
		t.Errorf("%d timers are set, want 500 at most", n)
	}
}

// TestResult_DoesNotRetainSimulation guards against results that refer to their Simulation and so keep the whole
// installation in memory. An experiment keeps hundreds of results.
func TestResult_DoesNotRetainSimulation(t *testing.T) {
	cfg := smallInstallation(t, "", 2*time.Second)
	s, err := newSimulation(cfg)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.runScenario(); err != nil {
		t.Fatal(err)
	}
	freed := make(chan struct{})
	runtime.AddCleanup(s, func(c chan struct{}) { close(c) }, freed)
	r := s.result()
	s = nil
	for i := 0; ; i++ {
		runtime.GC()
		select {
		case <-freed:
		case <-time.After(10 * time.Millisecond): // cleanups run some time after a garbage collection
			if i < 500 {
				continue
			}
			t.Fatal("the Simulation was not freed although only its result is in use")
		}
		break
	}
	runtime.KeepAlive(r)
}
