package scheduler

import "time"

// This file defines the Scheduler's overall state. It contains no scheduling decisions.

// infiniteDuration stands for an unlimited duration. It is small enough to be added to a time without overflow.
const infiniteDuration time.Duration = 1e15

// Timer tokens.
const (
	tickTimer uint64 = iota
	watchTimer
)

// Scheduler decides for one front end which worker each of its requests is sent to, which requests wait, where
// functions are loaded and which requests are rejected. It is a pure state machine: its owner (a gateway's event
// loop, the simulator's adapter or the shadow evaluation) reports events one at a time, each with its time since the
// process's start, and carries out the Actions that the Scheduler calls while handling the event. It is not safe for
// concurrent use.
type Scheduler struct {
	settings  Settings
	actions   Actions
	now       time.Duration // time of the event being handled
	startedAt time.Duration

	endpoints  endpointTable
	functions  functionTable
	requests   map[RequestID]*requestRecord // requests that are not closed or have an attempt in flight
	loadOrders map[replicaKey]int           // replicas ordered by each load order in flight; residencyQuery for a query

	stall     stallDetector
	latency   latencyEstimates
	demand    demandEstimates
	delay     queueDelayEstimates
	evictions evictionEstimates
	loadRate  loadRateLimiter
	breaker   loadBreaker
	tenants   tenantQuotas
}

// newScheduler returns a Scheduler with empty state and no pending actions.
func newScheduler(now time.Duration, settings Settings, actions Actions) *Scheduler {
	return &Scheduler{
		settings:   settings,
		actions:    actions,
		now:        now,
		startedAt:  now,
		endpoints:  newEndpointTable(len(settings.Classes)),
		functions:  functionTable{byID: map[FunctionID]*functionRecord{}},
		requests:   map[RequestID]*requestRecord{},
		loadOrders: map[replicaKey]int{},
		stall:      stallDetector{lastTickAt: now},
		latency:    newLatencyEstimates(len(settings.Classes)),
		delay:      queueDelayEstimates{memory: maxDelayMemory, clockAt: now},
		tenants:    newTenantQuotas(len(settings.Tenants)),
	}
}

// stallDetector detects stalls of this front end itself by late ticks.
type stallDetector struct {
	lastTickAt time.Duration
	resumedAt  time.Duration // end of the last stall
}

// tick records a tick. A late tick indicates a stall.
func (d *stallDetector) tick(now time.Duration) {
	if now-d.lastTickAt > stallTicks*tickInterval {
		d.resumedAt = now
	}
	d.lastTickAt = now
}

// hasRecovered reports whether no stall was observed recently. After a stall, an apparent silence of a worker may
// have been caused by this front end.
func (d *stallDetector) hasRecovered(now time.Duration) bool {
	return now-d.resumedAt > stallTicks*tickInterval
}

// isLagging reports whether a stall was observed recently, that is, whether this front end lacks processor time.
func (d *stallDetector) isLagging(now time.Duration) bool {
	return d.resumedAt > 0 && !d.hasRecovered(now)
}

// dropBefore returns the times at or after from. The times must be in ascending order.
func dropBefore(times []time.Duration, from time.Duration) []time.Duration {
	i := 0
	for i < len(times) && times[i] < from {
		i++
	}
	return times[i:]
}
