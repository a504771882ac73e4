package scheduler

import (
	"cmp"
	"slices"
)

// This file keeps the recently requested functions, separating the active ones so that idle ones cost nothing per
// event. It contains no scheduling decisions.

// functionTable holds the recently requested functions. Each is either active or idle. Clients choose the functions, so
// the table has a bound: Settings.FunctionLimit, or the number of busy functions if that is larger.
type functionTable struct {
	byID   map[FunctionID]*functionRecord
	active []*functionRecord // referenced at some time since the last tick; sorted by comparePriority
	idle   []*functionRecord // known but unreferenced; sorted by last request, oldest first
	added  uint64            // number of functions ever added
}

// FunctionLimit returns how many functions are remembered apart from those with requests or loads.
func (s *Settings) FunctionLimit() int { return cmp.Or(s.MaxFunctions, defaultMaxFunctions) }

// trackFunction returns the record of a function, which it creates if there is none, and marks the function active.
func (s *Scheduler) trackFunction(id FunctionID, class int) *functionRecord {
	function := s.functions.byID[id]
	if function == nil {
		s.forgetExcessFunctions(s.settings.FunctionLimit() - 1)
		s.functions.added++
		function = &functionRecord{id: id, class: class, sequence: s.functions.added, queriedAt: -infiniteDuration}
		s.functions.byID[id] = function
	}
	s.activate(function)
	return function
}

// activate marks a function as active because a request, a replica or a residency query of it is being added.
func (s *Scheduler) activate(function *functionRecord) {
	if function.active {
		return
	}
	function.active = true
	table := &s.functions
	if i, isIdle := slices.BinarySearchFunc(table.idle, function, compareLastUsed); isIdle {
		table.idle = slices.Delete(table.idle, i, i+1)
	}
	i, _ := slices.BinarySearchFunc(table.active, function, s.comparePriority)
	table.active = slices.Insert(table.active, i, function)
}

// deactivate marks a function that is no longer referenced as idle. The caller removes it from the active functions.
func (s *Scheduler) deactivate(function *functionRecord) {
	function.active = false
	table := &s.functions
	i, _ := slices.BinarySearchFunc(table.idle, function, compareLastUsed)
	table.idle = slices.Insert(table.idle, i, function)
}

// compareLastUsed orders functions by the time of their last request, and within the same time by when they were
// added.
func compareLastUsed(a, b *functionRecord) int {
	return cmp.Or(cmp.Compare(a.lastUsed, b.lastUsed), cmp.Compare(a.sequence, b.sequence))
}

// expireFunctions drops the idle replicas and the unservable requests of the active functions, and removes the
// functions that have been idle for longer than functionIdleTime.
func (s *Scheduler) expireFunctions() {
	s.functions.active = slices.DeleteFunc(s.functions.active, func(function *functionRecord) bool {
		function.dropIdleReplicas(s.now - s.settings.ReplicaIdleTimeout)
		s.finishUnservable(function)
		if function.isReferenced() {
			return false
		}
		s.deactivate(function)
		return true
	})
	expired := 0
	for expired < len(s.functions.idle) && s.now-s.functions.idle[expired].lastUsed > functionIdleTime {
		expired++
	}
	s.functions.forgetIdle(expired)
	s.forgetExcessFunctions(s.settings.FunctionLimit())
}

// forgetExcessFunctions removes functions until at most limit are left: first the idle ones that were not requested for
// the longest time, then the active ones. It never removes a busy function.
func (s *Scheduler) forgetExcessFunctions(limit int) {
	table := &s.functions
	excess := len(table.byID) - limit
	if excess <= 0 {
		return
	}
	table.forgetIdle(min(excess, len(table.idle)))
	for len(table.byID) > limit {
		oldest := table.oldestUnused()
		if oldest == nil {
			return
		}
		table.active = without(table.active, oldest)
		delete(table.byID, oldest.id)
	}
}

// forgetIdle removes the given number of idle functions, those that were not requested for the longest time.
func (t *functionTable) forgetIdle(count int) {
	for _, function := range t.idle[:count] {
		delete(t.byID, function.id)
	}
	t.idle = slices.Delete(t.idle, 0, count)
}

// oldestUnused returns the active function that is not busy and was not requested for the longest time, or nil if all
// are busy.
func (t *functionTable) oldestUnused() (oldest *functionRecord) {
	for _, function := range t.active {
		if !function.isBusy() && (oldest == nil || compareLastUsed(function, oldest) < 0) {
			oldest = function
		}
	}
	return oldest
}
