package scheduler

import (
	"cmp"
	"slices"
)

// This file keeps the functions that were requested lately, so that those of which nothing is left cost nothing; it
// decides nothing.

// functionTable holds the functions that were requested lately. Each is either active or idle.
type functionTable struct {
	byID   map[FunctionID]*functionRecord
	active []*functionRecord // those with something left, and some that had until the last tick; see comparePriority
	idle   []*functionRecord // those with nothing left but what is known of them, the one that was last requested first
	added  uint64            // functions that were ever added
}

// trackFunction returns the record of a function, made if there is none. It is active from then on.
func (s *Scheduler) trackFunction(id FunctionID, class int) *functionRecord {
	function := s.functions.byID[id]
	if function == nil {
		s.functions.added++
		function = &functionRecord{id: id, class: class, sequence: s.functions.added, queriedAt: -infiniteDuration}
		s.functions.byID[id] = function
	}
	s.activate(function)
	return function
}

// activate notes that a request, a replica or a residency query of a function is added.
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

// deactivate notes that nothing of a function is left. The caller removes it from those that are active.
func (s *Scheduler) deactivate(function *functionRecord) {
	function.active = false
	table := &s.functions
	i, _ := slices.BinarySearchFunc(table.idle, function, compareLastUsed)
	table.idle = slices.Insert(table.idle, i, function)
}

// compareLastUsed orders functions by when they were last requested, those of one time by when they were added.
func compareLastUsed(a, b *functionRecord) int {
	return cmp.Or(cmp.Compare(a.lastUsed, b.lastUsed), cmp.Compare(a.sequence, b.sequence))
}

// expireFunctions drops the idle replicas and hopeless requests of the active functions, and forgets the functions that
// have been idle for long.
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
	for _, function := range s.functions.idle {
		if s.now-function.lastUsed <= functionIdleTime {
			break
		}
		delete(s.functions.byID, function.id)
		expired++
	}
	s.functions.idle = slices.Delete(s.functions.idle, 0, expired)
}
