package scheduler

import "time"

// allows reports whether the load rate limit permits another load order, and records the order if it does.
// Orders within the window are limited to a burst plus a fraction of the requests received in the window.
func (l *loadRateLimiter) allows(now time.Duration, settings *Settings) bool {
	if settings.LoadRateWindow <= 0 {
		return true
	}
	windowStart := now - settings.LoadRateWindow
	margin := max(tickInterval, settings.Resolution) // whoever checks the limit may shift the window
	l.orderTimes = dropBefore(l.orderTimes, windowStart-margin)
	l.requestTimes = dropBefore(l.requestTimes, windowStart+margin)
	allowed := settings.LoadRateBurst + settings.LoadRatePerRequest*float64(len(l.requestTimes))
	if float64(len(l.orderTimes)+1) > allowed {
		return false
	}
	l.orderTimes = append(l.orderTimes, now)
	return true
}
