package gateway

import (
	"encoding/json"

	"havencart/internal/decide/execution"
	"havencart/internal/shadow"
)

// Counts are the totals of a FrontEnd since its start. All but ShadowDifferences count requests, attempts or orders.
type Counts struct {
	// Admitted requests, and how they ended; Disconnected counts those whose client disconnected before the response,
	// admitted or not.
	Admitted, Served, Rejected, Failed, Disconnected uint64
	// Shed requests were rejected without being admitted.
	Shed                                                 uint64
	Attempts, LoadOrders, ResidencyQueries, HealthChecks uint64
	// Retries are the Attempts after the first of their request. AttemptsNotSent ended without having been written whole,
	// AttemptsUnanswered without a response although the worker may have received them.
	Retries, AttemptsNotSent, AttemptsUnanswered uint64
	// LateResponses of workers were received when nothing waited for them any longer.
	LateResponses uint64
	// PastDeadline counts final responses given by the FrontEnd because the scheduler did not decide in time.
	PastDeadline uint64
	// Expired requests got their final response from their expiry, as the event loop did not give it in time. Those that the
	// loop had admitted count as Failed and PastDeadline too.
	Expired uint64
	// Violations are rules that were about to be broken, or were.
	Violations ViolationCounts
	// ShadowDifferences are decisions in which the shadow settings diverge.
	ShadowDifferences shadow.Counts
}

// ViolationCounts is how often each rule was about to be broken or was, by execution.Violation. All are 0 unless the
// program has a fault.
type ViolationCounts [execution.Violations]uint64

// Total is how many there were.
func (v ViolationCounts) Total() (total uint64) {
	for _, count := range v {
		total += count
	}
	return total
}

// MarshalJSON writes the counts by name, without those that are 0.
func (v ViolationCounts) MarshalJSON() ([]byte, error) {
	named := map[string]uint64{}
	for violation, count := range v {
		if count > 0 {
			named[execution.Violation(violation).String()] = count
		}
	}
	return json.Marshal(named)
}

// Add adds the totals of another FrontEnd.
func (c *Counts) Add(other Counts) {
	c.Admitted += other.Admitted
	c.Served += other.Served
	c.Rejected += other.Rejected
	c.Failed += other.Failed
	c.Disconnected += other.Disconnected
	c.Shed += other.Shed
	c.Attempts += other.Attempts
	c.LoadOrders += other.LoadOrders
	c.ResidencyQueries += other.ResidencyQueries
	c.HealthChecks += other.HealthChecks
	c.Retries += other.Retries
	c.AttemptsNotSent += other.AttemptsNotSent
	c.AttemptsUnanswered += other.AttemptsUnanswered
	c.LateResponses += other.LateResponses
	c.PastDeadline += other.PastDeadline
	c.Expired += other.Expired
	for violation, count := range other.Violations {
		c.Violations[violation] += count
	}
	c.ShadowDifferences.Add(other.ShadowDifferences)
}

// Counts returns the totals.
func (f *FrontEnd) Counts() Counts {
	if f.shadow != nil {
		f.counts.ShadowDifferences = f.shadow.Counts()
	}
	counts := f.counts
	counts.Violations = f.guard.Violations()
	return counts
}

// InFlight returns the number of requests that are owed a final response.
func (f *FrontEnd) InFlight() int {
	inFlight := 0
	for _, request := range f.requests {
		if request.state == requestInFlight {
			inFlight++
		}
	}
	return inFlight
}

// Idle reports whether nothing is in flight: neither requests nor responses on their way to clients.
func (f *FrontEnd) Idle() bool { return len(f.requests) == 0 && len(f.attempts) == 0 }
