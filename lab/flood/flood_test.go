package flood

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"
)

func TestTally_EachOutcome_Counted(t *testing.T) {
	var tally Tally
	for range 5 {
		tally.sent()
	}
	for _, outcome := range []Outcome{Served, Served, Rejected, Failed, Lost} {
		tally.ended(outcome, time.Millisecond)
	}
	if tally.Served != 2 || tally.Rejected != 1 || tally.Failed != 1 || tally.Lost != 1 || tally.ServedShare() != 0.4 {
		t.Errorf("tally is %v, want two served and one of each other outcome, of five", &tally)
	}
}

func TestOutcomeOf(t *testing.T) {
	for want, failure := range map[Outcome]any{
		Served:   nil,
		Rejected: []any{"Backoff", map[string]any{}},
		Failed:   []any{"Lost", map[string]any{}},
	} {
		if got := outcomeOf(failure); got != want {
			t.Errorf("outcome of error %v is %d, want %d", failure, got, want)
		}
	}
}

func TestAnonymousBytes_ThisProcess_GrowsWithItsMemory(t *testing.T) {
	const size = 64 << 20
	before := anonymousBytes(os.Getpid())
	memory := make([]byte, size)
	for i := range memory {
		memory[i] = 1
	}
	if grown := anonymousBytes(os.Getpid()) - before; before == 0 || grown < size/2 {
		t.Errorf("anonymous memory was %d bytes and grew by %d, want a growth of about %d", before, grown, len(memory))
	}
}

func TestPause_ContextDone_ReturnsEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if !pause(ctx, time.Millisecond) {
			t.Error("a pause that ends before its context was interrupted")
		}
		if pause(ctx, time.Hour) {
			t.Error("a pause longer than its context was not interrupted")
		}
	})
}

func TestRun_NoWorkers_Refused(t *testing.T) {
	if _, err := Run(t.Context(), Config{LogPath: filepath.Join(t.TempDir(), "log")}); err == nil {
		t.Error("a run without workers did not fail")
	}
}
