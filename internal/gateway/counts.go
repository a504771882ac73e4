package gateway

import (
	"encoding/json"

	"havencart/internal/decide/execution"
	"havencart/internal/shadow"
)

// Counts are the totals of a FrontEnd since it started. Except for Violations and ShadowDifferences, each field counts
// requests, attempts, responses, health checks, load orders or residency queries.
type Counts struct {
	// Admitted counts the admitted requests; Served, Rejected and Failed count them by their final response.
	// Disconnected counts the requests, admitted or not, whose client disconnected before the final response.
	Admitted, Served, Rejected, Failed, Disconnected uint64
	// Shed counts the requests that were rejected without being admitted.
	Shed                                                 uint64
	Attempts, LoadOrders, ResidencyQueries, HealthChecks uint64
	// Retries counts the attempts other than the first one of their request. AttemptsNotSent counts the attempts that
	// ended before they were completely written, AttemptsUnanswered those that the worker may have received but that
	// ended without a response.
	Retries, AttemptsNotSent, AttemptsUnanswered uint64
	// LateResponses counts the workers' responses to attempts that had already ended.
	LateResponses uint64
	// PastDeadline counts the final responses that the FrontEnd gave because the scheduler did not decide in time.
	PastDeadline uint64
	// Expired counts the requests that got their final response from the expiry timer, because the event loop did not
	// give it in time. Those that the loop had admitted also count as Failed and PastDeadline.
	Expired uint64
	// ResentAnswered counts the requests that were sent again after their connection had ended, and got the outcome of
	// the attempt before instead of being admitted.
	ResentAnswered uint64
	// Violations counts rule violations, both those that were prevented and those that were not.
	Violations ViolationCounts
	// ShadowDifferences counts the decisions that would have been different with the shadow settings.
	ShadowDifferences shadow.Counts
}

// ViolationCounts is the number of violations of each rule, prevented or not, indexed by execution.Violation. All
// counts are 0 unless the program has a fault.
type ViolationCounts [execution.NumViolations]uint64

// Total returns the number of violations of all rules.
func (v ViolationCounts) Total() (total uint64) {
	for _, count := range v {
		total += count
	}
	return total
}

// MarshalJSON implements json.Marshaler. It encodes the nonzero counts as an object keyed by the violation's name.
func (v ViolationCounts) MarshalJSON() ([]byte, error) {
	named := map[string]uint64{}
	for violation, count := range v {
		if count > 0 {
			named[execution.Violation(violation).String()] = count
		}
	}
	return json.Marshal(named)
}

// Add adds the totals of another FrontEnd to c.
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
	c.ResentAnswered += other.ResentAnswered
	for violation, count := range other.Violations {
		c.Violations[violation] += count
	}
	c.ShadowDifferences.Add(other.ShadowDifferences)
}

// Counts returns the totals since the FrontEnd started.
func (f *FrontEnd) Counts() Counts {
	if f.shadow != nil {
		f.counts.ShadowDifferences = f.shadow.Counts()
	}
	counts := f.counts
	counts.Violations = f.guard.Violations()
	return counts
}

// InFlight returns the number of admitted requests that have no final response yet.
func (f *FrontEnd) InFlight() int {
	inFlight := 0
	for _, request := range f.requests {
		if request.state == requestInFlight {
			inFlight++
		}
	}
	return inFlight
}

// Idle reports whether no requests or attempts are in flight, including responses that are still being streamed.
func (f *FrontEnd) Idle() bool { return len(f.requests) == 0 && len(f.attempts) == 0 }
