package simulation

import (
	"runtime"
	"testing"
	"time"
)

// TestWorkerClient_CrashedWorker_HasOneTimer guards against a timer for each request that wants the connection: a
// scenario of many crashed workers then took all memory.
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
		t.Errorf("%d timers are set", n)
	}
}

// TestResult_KeepsNothingOfItsRun guards against results that hold the whole installation alive: an experiment keeps
// hundreds of them.
func TestResult_KeepsNothingOfItsRun(t *testing.T) {
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
		case <-time.After(10 * time.Millisecond): // cleanups run soon after a collection
			if i < 500 {
				continue
			}
			t.Fatal("the run is still held")
		}
		break
	}
	runtime.KeepAlive(r)
}
