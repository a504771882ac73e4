package scheduler

import (
	"cmp"
	"slices"
)

// This file keeps the recently requested functions, separating the active ones so that idle ones cost nothing per
// event. It contains no scheduling decisions.

// functionTable holds the recently requested functions. Each is either active or idle.
type functionTable struct {
	byID   map[FunctionID]*functionRecord
	active []*functionRecord // referenced at some time since the last tick; sorted by comparePriority
	idle   []*functionRecord // known but unreferenced; sorted by last request, oldest first
	added  uint64            // number of functions ever added
}

// trackFunction returns the record of a function, which it creates if there is none, and marks the function active.
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
	for _, function := range s.functions.idle {
		if s.now-function.lastUsed <= functionIdleTime {
			break
		}
		delete(s.functions.byID, function.id)
		expired++
	}
	s.functions.idle = slices.Delete(s.functions.idle, 0, expired)
}
