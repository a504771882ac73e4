package tenancy

import "time"

const (
	// recentOutcomeMemory is the time constant of the decayed counts of recent request outcomes.
	recentOutcomeMemory = time.Second
	// longOutcomeMemory is the time constant of the outcome counts that are used if there are fewer than
	// minRecentOutcomes recent ones, and of the request rate.
	longOutcomeMemory = 10 * time.Second
	// minRecentOutcomes is the decayed number of requests below which the recent outcomes are not significant.
	minRecentOutcomes = 20.0
	// outcomeTimeout is the time after the last outcome of a tenant within its share from which no shortage is assumed.
	outcomeTimeout = 2 * time.Second
	// startupPeriod is the time after the first request in which outcomes do not count: all functions are being loaded,
	// which makes requests miss their objectives.
	startupPeriod = 5 * time.Second
	// shortageFraction is the fraction of the requests of tenants within their shares above which missed objectives
	// indicate a shortage.
	shortageFraction = 0.04
	// minMissed is the minimum decayed number of missed objectives for a shortage, so that a single one is not enough.
	minMissed = 2.0

	// strictRestriction is the lending restriction at which only the capacity left by tenants within their shares is lent.
	strictRestriction = 1.0
	// maxRestriction is the lending restriction at which no capacity is lent, because at full utilization all requests
	// delay each other.
	maxRestriction = 2.0
	// coarseStep is the increase of the restriction, up to strictRestriction, at each evaluation that finds a shortage.
	coarseStep = 0.5
	// fineStep is the increase and decrease of the restriction above strictRestriction. It is small because the measured
	// work follows a change only after a delay.
	fineStep = 0.1
	// releaseStep is the decrease of the restriction below strictRestriction at each evaluation without a shortage.
	releaseStep = 0.01
)

// hasShortage reports whether tenants within their shares lack capacity at now.
func (l *Limiter) hasShortage(now time.Duration) bool {
	if now-l.lastOutcome > outcomeTimeout {
		return false
	}
	ended, missed := l.recentOutcomes.at(now, recentOutcomeMemory)
	if ended < minRecentOutcomes {
		ended, missed = l.longOutcomes.at(now, longOutcomeMemory)
	}
	return missed >= minMissed && missed > shortageFraction*ended
}

// updateLendingRestriction raises the restriction by one step if there is a shortage, and lowers it by one step
// otherwise.
func (l *Limiter) updateLendingRestriction(shortage bool) {
	switch {
	case shortage && l.lendingRestriction < strictRestriction:
		l.lendingRestriction = min(strictRestriction, l.lendingRestriction+coarseStep)
	case shortage:
		l.lendingRestriction = min(maxRestriction, l.lendingRestriction+fineStep)
	case l.lendingRestriction > strictRestriction:
		l.lendingRestriction = max(strictRestriction, l.lendingRestriction-fineStep)
	default:
		l.lendingRestriction = max(0, l.lendingRestriction-releaseStep)
	}
}
