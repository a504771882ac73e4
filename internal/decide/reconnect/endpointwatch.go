package reconnect

import "time"

const (
	// watchSilence is the least silence after which the endpoint watch is connected again. The service sends at least
	// an empty event each second.
	watchSilence = 2200 * time.Millisecond
	// watchSilenceSpread is the largest random addition to watchSilence.
	watchSilenceSpread = 800 * time.Millisecond
	// watchDialTimeout bounds the time that a connection to the service may take to be established.
	watchDialTimeout = time.Second
	// firstWatchRetry is the range of the first wait before a retry; each failure doubles it.
	firstWatchRetry = 200 * time.Millisecond
	// maxWatchRetry bounds that range.
	maxWatchRetry = 500 * time.Millisecond
	// maxWatchDoublings keeps the doubling from overflowing.
	maxWatchDoublings = 10
)

// The parameter random of the functions below is a number in [0, 1), drawn anew for each call. It spreads what
// hundreds of front ends do when one service resets, moves or falls silent for all of them at once; else they would
// all reconnect to it in one instant. It costs each of them a part of a second without news.

// WatchSilenceTimeout is the silence after which the connection of the endpoint watch is replaced. It guards against
// a service that has stopped and left its connections open.
func WatchSilenceTimeout(random float64) time.Duration {
	return watchSilence + fraction(watchSilenceSpread, random)
}

// WatchDialTimeout is how long establishing the connection of the endpoint watch may take.
func WatchDialTimeout() time.Duration { return watchDialTimeout }

// WatchRetryDelay is how long to wait before the endpoint watch is connected again after so many failures in a row.
// A connection that delivered something, and a service that has moved, count as no failure. The first waits follow
// "full jitter", later ones "equal jitter": a fixed half and a random half (M. Brooker, "Exponential Backoff And
// Jitter", 2015).
func WatchRetryDelay(failures int, random float64) time.Duration {
	if failures < 2 {
		return fraction(firstWatchRetry, random)
	}
	limit := min(maxWatchRetry, firstWatchRetry<<min(failures-1, maxWatchDoublings))
	return limit/2 + fraction(limit/2, random)
}

// fraction is the given part of a duration.
func fraction(d time.Duration, part float64) time.Duration {
	return time.Duration(part * float64(d))
}
