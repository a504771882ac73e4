package gateway

import (
	"container/list"
	"strings"
	"time"

	"havencart/internal/decide/tenancy"
	"havencart/internal/native/muxframe"
	"havencart/scheduler"
)

// functionRetention is how long the record of a function is kept after its last request, if there is room. It is longer
// than the time for which the scheduler remembers a function.
const functionRetention = 10 * time.Minute

// function is the state of a function, collected from its requests.
type function struct {
	id       scheduler.FunctionID
	replica  muxframe.ReplicaSpec // as in the latest request
	cost     tenancy.WorkEstimator
	requests int           // requests that refer to the function
	unusedAt time.Duration // when the last request ended, if there are none
	unused   *list.Element // element of functionTable.unused, nil while there are requests
}

// functionTable holds the functions of the requests in flight and, up to a limit, those that had requests before.
// Clients choose the names of functions, so without the limit they would choose how much memory the table takes.
type functionTable struct {
	byID      map[scheduler.FunctionID]*function
	unused    list.List // of *function without requests, longest unused first
	maxUnused int
	evicted   uint64 // functions removed because of maxUnused
}

// newFunctionTable returns an empty table that keeps at most maxUnused functions without requests.
func newFunctionTable(maxUnused int) *functionTable {
	return &functionTable{byID: map[scheduler.FunctionID]*function{}, maxUnused: maxUnused}
}

// size returns the number of functions in the table.
func (t *functionTable) size() int { return len(t.byID) }

// find returns the function with the given identifier, or nil if it is not in the table.
func (t *functionTable) find(id scheduler.FunctionID) *function { return t.byID[id] }

// acquire returns the function of a new request and stores its replica specification. The function stays in the table
// until release is called for the request. acquire returns nil if the hash of the function's name collides with that of
// another function in the table, whether by chance or by intent: the scheduler could not distinguish the replicas of the
// two functions.
func (t *functionTable) acquire(id scheduler.FunctionID, replica muxframe.ReplicaSpec) *function {
	known := t.byID[id]
	switch {
	case known == nil:
		// The name may be part of a larger string that holds the whole head of the request.
		known = &function{id: id, replica: muxframe.ReplicaSpec{Function: strings.Clone(replica.Function)}}
		t.byID[id] = known
	case known.replica.Function != replica.Function:
		return nil
	}
	replica.Function = known.replica.Function
	known.replica = replica
	known.requests++
	if known.unused != nil {
		t.unused.Remove(known.unused)
		known.unused = nil
	}
	return known
}

// release ends the use of a function by a request.
func (t *functionTable) release(now time.Duration, released *function) {
	released.requests--
	if released.requests > 0 {
		return
	}
	released.unusedAt = now
	released.unused = t.unused.PushBack(released)
	if t.unused.Len() > t.maxUnused {
		t.removeOldest()
		t.evicted++
	}
}

// expire removes the functions whose last request ended before the time from.
func (t *functionTable) expire(from time.Duration) {
	for t.unused.Len() > 0 && t.unused.Front().Value.(*function).unusedAt < from {
		t.removeOldest()
	}
}

// removeOldest removes the function that has been unused for the longest time.
func (t *functionTable) removeOldest() {
	oldest := t.unused.Remove(t.unused.Front()).(*function)
	delete(t.byID, oldest.id)
}
