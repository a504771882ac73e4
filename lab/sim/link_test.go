package sim

import (
	"testing"
	"time"
)

// TestALinkToADeadWorkerHasOneTimer guards against a timer for each call that wants the connection: a day of many
// dead workers then took all memory.
func TestALinkToADeadWorkerHasOneTimer(t *testing.T) {
	cfg := small(t, "at 1s crash 100% for 20s\n", 15*time.Second)
	cfg.Policy = "random"
	s, err := newSim(cfg)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.play(); err != nil {
		t.Fatal(err)
	}
	if n := s.clock.Pending(); n > 500 {
		t.Errorf("%d events are set", n)
	}
}
