package reconnect

import "time"

const (
	// minWatchSilence is the minimum time without data after which the endpoint watch reconnects. The service sends at
	// least an empty event every second.
	minWatchSilence = 2200 * time.Millisecond
	// watchSilenceSpread is the upper bound of the random addition to minWatchSilence.
	watchSilenceSpread = 800 * time.Millisecond
	// watchDialTimeout is the maximum time to establish a connection to the service.
	watchDialTimeout = time.Second
	// firstWatchRetryDelay is the upper bound of the first retry delay. From the second failure on, each failure
	// doubles the bound.
	firstWatchRetryDelay = 200 * time.Millisecond
	// maxWatchRetryDelay is the maximum of the doubled bound.
	maxWatchRetryDelay = 500 * time.Millisecond
	// maxWatchDoublings limits the number of doublings, to avoid an overflow.
	maxWatchDoublings = 10
)

// The parameter random of the functions below is a number in [0, 1) that the caller draws for each call. It spreads the
// reconnections of hundreds of front ends when a service resets, moves or falls silent for all of them at the same
// time; otherwise they would all reconnect simultaneously. The cost is a fraction of a second without updates at each
// of them.

// WatchSilenceTimeout returns the time without data after which the connection of the endpoint watch is replaced. It
// protects against a service that has stopped but has left its connections open.
func WatchSilenceTimeout(random float64) time.Duration {
	return minWatchSilence + fraction(watchSilenceSpread, random)
}

// WatchDialTimeout returns the maximum time to establish the connection of the endpoint watch.
func WatchDialTimeout() time.Duration { return watchDialTimeout }

// WatchRetryDelay returns the delay before the endpoint watch reconnects after the given number of consecutive
// failures. The loss of a connection that delivered data does not count as a failure, and neither does a service that
// has moved. The first delays follow "full jitter", later ones "equal jitter" with a fixed half and a random half (M.
// Brooker, "Exponential Backoff And Jitter", 2015).
func WatchRetryDelay(failures int, random float64) time.Duration {
	if failures < 2 {
		return fraction(firstWatchRetryDelay, random)
	}
	limit := min(maxWatchRetryDelay, firstWatchRetryDelay<<min(failures-1, maxWatchDoublings))
	return limit/2 + fraction(limit/2, random)
}

// fraction returns the given fraction of a duration.
func fraction(d time.Duration, part float64) time.Duration {
	return time.Duration(part * float64(d))
}
