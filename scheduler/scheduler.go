package scheduler

import "time"

// This file keeps what a Scheduler remembers as a whole; it decides nothing.

// never is a delay without end, short enough to be added to a time.
const infiniteDuration time.Duration = 1e15

// The tokens of timers.
const (
	tickTimer uint64 = iota
	watchTimer
)

// Scheduler decides for one front end which worker each of its requests goes to, which requests wait, where functions
// are loaded and which requests are rejected. It is a pure state machine: its owner (a gateway's event loop, the
// simulator's adapter, the shadow evaluation) reports events one after another, each with its time since the process's
// start, and carries out the Actions that the Scheduler calls meanwhile. It is not safe for concurrent use.
type Scheduler struct {
	settings  Settings
	actions   Actions
	now       time.Duration // of the event being handled
	startedAt time.Duration

	endpoints  endpointTable
	functions  functionTable
	requests   map[RequestID]*requestRecord // not closed, or with an attempt in flight
	loadOrders map[replicaKey]int           // replicas asked for by each order in flight; residencyQuery for a query

	stall     stallDetector
	latency   latencyEstimates
	demand    demandEstimates
	delay     queueDelayEstimates
	evictions evictionEstimates
	loadRate  loadRateLimiter
	breaker   loadBreaker
	tenants   tenantQuotas
}

// newScheduler returns a Scheduler that knows nothing and has asked for nothing.
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

// stallDetector notices that this front end itself stood still, by ticks that come late.
type stallDetector struct {
	lastTickAt time.Duration
	resumedAt  time.Duration // end of the last stall
}

// tick notes a tick; a late one tells of a stall.
func (d *stallDetector) tick(now time.Duration) {
	if now-d.lastTickAt > stallTicks*tickInterval {
		d.resumedAt = now
	}
	d.lastTickAt = now
}

// hasRecovered is whether no stall was seen lately. While one was, a silence of workers may be our own.
func (d *stallDetector) hasRecovered(now time.Duration) bool {
	return now-d.resumedAt > stallTicks*tickInterval
}

// isLagging is whether a stall was seen lately: this front end has less processor time than it wants.
func (d *stallDetector) isLagging(now time.Duration) bool {
	return d.resumedAt > 0 && !d.hasRecovered(now)
}

// dropBefore returns the times, which ascend, that are not before from.
func dropBefore(times []time.Duration, from time.Duration) []time.Duration {
	i := 0
	for i < len(times) && times[i] < from {
		i++
	}
	return times[i:]
}
