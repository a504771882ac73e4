package tenancy

import "time"

const (
	// recentOutcomeMemory is the memory of how requests ended.
	recentOutcomeMemory = time.Second
	// longOutcomeMemory is the same where fewer than minRecentOutcomes ended in that time, and the memory of the rate
	// of requests.
	longOutcomeMemory = 10 * time.Second
	// minRecentOutcomes is the decayed number of requests below which how they ended says little.
	minRecentOutcomes = 20.0
	// presenceTimeout is how long after the last end of a request of a tenant within its share nobody counts as
	// suffering.
	presenceTimeout = 2 * time.Second
	// startupPeriod is the time after the first request in which ends do not count: all functions are being loaded
	// and requests miss their objectives for that.
	startupPeriod = 5 * time.Second
	// shortageFraction is the part of the requests of tenants within their shares that may miss the objective; more
	// is a shortage.
	shortageFraction = 0.04
	// minMissed is the least decayed number of such requests that is a shortage, so that a single one is not.
	minMissed = 2.0

	// strictRestraint is the restraint at which only what tenants within their shares leave is lent.
	strictRestraint = 1.0
	// maxRestraint is the restraint at which nothing is lent: at full use, all wait for each other.
	maxRestraint = 2.0
	// coarseStep is added up to strictRestraint at each evaluation that finds a shortage.
	coarseStep = 0.5
	// fineStep is added beyond strictRestraint, and taken back from there: the work done follows only after a while.
	fineStep = 0.1
	// releaseStep is taken back below strictRestraint at each evaluation without a shortage.
	releaseStep = 0.01
)

// hasShortage reports whether tenants within their shares suffer at now.
func (t *Limiter) hasShortage(now time.Duration) bool {
	if now-t.lastOutcome > presenceTimeout {
		return false
	}
	ended, missed := t.recentOutcomes.at(now, recentOutcomeMemory)
	if ended < minRecentOutcomes {
		ended, missed = t.longOutcomes.at(now, longOutcomeMemory)
	}
	return missed >= minMissed && missed > shortageFraction*ended
}

// updateRestraint moves the restraint one step, by whether there is a shortage.
func (t *Limiter) updateRestraint(shortage bool) {
	switch {
	case shortage && t.restraint < strictRestraint:
		t.restraint = min(strictRestraint, t.restraint+coarseStep)
	case shortage:
		t.restraint = min(maxRestraint, t.restraint+fineStep)
	case t.restraint > strictRestraint:
		t.restraint = max(strictRestraint, t.restraint-fineStep)
	default:
		t.restraint = max(0, t.restraint-releaseStep)
	}
}
