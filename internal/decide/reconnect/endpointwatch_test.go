package reconnect

import (
	"testing"
	"time"
)

func TestWatchRetryDelay_RepeatedFailures_SpreadsAndGrows(t *testing.T) {
	for failures, want := range map[int][2]time.Duration{
		0: {0, firstWatchRetryDelay}, 1: {0, firstWatchRetryDelay}, 2: {firstWatchRetryDelay, 2 * firstWatchRetryDelay},
		3: {maxWatchRetryDelay / 2, maxWatchRetryDelay}, 60: {maxWatchRetryDelay / 2, maxWatchRetryDelay},
	} {
		if least, most := WatchRetryDelay(failures, 0), WatchRetryDelay(failures, 0.9999); least != want[0] || most >= want[1] ||
			most < want[1]*9/10 {
			t.Errorf("after %d failures the delays range from %v to %v, want %v", failures, least, most, want)
		}
	}
}

// The service sends an empty event every second, and a front end counts as notified of a change after 4 s of silence.
// The connection must be replaced before that, but not because two events arrive late.
func TestWatchSilenceTimeout_AnyDraw_IsShorterThanNotificationDelay(t *testing.T) {
	if least, most := WatchSilenceTimeout(0), WatchSilenceTimeout(1); least <= 2*time.Second ||
		most+WatchDialTimeout() > 4*time.Second || most-least < 500*time.Millisecond {
		t.Errorf("silence timeout ranges from %v to %v, want more than 2s and, with the dial timeout, at most 4s", least, most)
	}
}
