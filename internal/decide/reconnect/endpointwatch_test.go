package reconnect

import (
	"testing"
	"time"
)

func TestWatchRetryDelay_RepeatedFailures_SpreadsAndGrows(t *testing.T) {
	for failures, want := range map[int][2]time.Duration{
		0: {0, firstWatchRetry}, 1: {0, firstWatchRetry}, 2: {firstWatchRetry, 2 * firstWatchRetry},
		3: {maxWatchRetry / 2, maxWatchRetry}, 60: {maxWatchRetry / 2, maxWatchRetry},
	} {
		if least, most := WatchRetryDelay(failures, 0), WatchRetryDelay(failures, 0.9999); least != want[0] || most >= want[1] ||
			most < want[1]*9/10 {
			t.Errorf("after %d failures waits go from %v to %v; wanted %v", failures, least, most, want)
		}
	}
}

// An empty event arrives each second, and what changes in a silence counts as known after 4 s: the connection is
// replaced before that, and not for two events that arrive late.
func TestWatchSilenceTimeout_AnyDraw_IsShorterThanTheListsGrace(t *testing.T) {
	if least, most := WatchSilenceTimeout(0), WatchSilenceTimeout(1); least <= 2*time.Second ||
		most+WatchDialTimeout() > 4*time.Second || most-least < 500*time.Millisecond {
		t.Errorf("noticed after %v to %v", least, most)
	}
}
