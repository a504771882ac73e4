package invariant

import (
	"fmt"
	"slices"
	"time"
)

// Violation is one violated invariant.
type Violation struct {
	Rule   string // name of the violated rule: lost, twice, drains, cold or loads
	Detail string
}

// Check checks the whole history against the rules. It must not be called before all requests have ended: a request
// without a response counts as a violation.
func (h *History) Check(rules Rules) ([]Violation, Tally) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := &checker{History: h, rules: rules}
	c.checkResponses()
	c.checkExecutions()
	c.checkDraining()
	c.checkColdWorkers()
	c.checkLoadRate()
	return c.violations, c.tally
}

// checker checks a History. Its methods require that the lock of the History is held.
type checker struct {
	*History
	rules      Rules
	violations []Violation
	tally      Tally
}

func (c *checker) violated(rule, format string, args ...any) {
	c.violations = append(c.violations, Violation{rule, fmt.Sprintf(format, args...)})
}

// checkResponses checks that each request got exactly one final response before its client's timeout. A request needs
// none if its client disconnected or its front end was killed.
func (c *checker) checkResponses() {
	for _, r := range c.requests {
		c.tally.Sent++
		switch {
		case len(r.Responses) > 0:
			c.checkResponse(r)
		case r.Disconnected:
			c.tally.Disconnected++
		case c.frontEndWasKilled(r):
			c.tally.AtKilledFrontEnds++
		default:
			c.violated(ruleResponse, "call %s at %s: no answer (left %t, connection lost %t)", r.ID, r.FrontEnd,
				r.Disconnected, r.ConnectionLost)
		}
	}
}

func (c *checker) checkResponse(r *Request) {
	if n := len(r.Responses); n > 1 {
		c.violated(ruleResponse, "call %s: %d final answers", r.ID, n)
	}
	first := r.Responses[0]
	if first.At > c.responseDeadline(r)+c.rules.Tolerance {
		c.violated(ruleResponse, "call %s: answered after %v, the client waits %v", r.ID, first.At-r.SentAt, r.Timeout)
	}
	switch {
	case first.Outcome == OutcomeServed && first.Complete:
		c.tally.Served++
	case first.Outcome == OutcomeRejected:
		c.tally.Rejected++
	default:
		c.tally.Failed++
	}
}

// responseDeadline returns the time by which a request must have its response: the client's timeout, or the end of a
// stall of the front end if the stall covers the timeout.
func (c *checker) responseDeadline(r *Request) time.Duration {
	deadline := r.SentAt + r.Timeout
	for _, s := range c.stalls {
		if s.FrontEnd == r.FrontEnd && s.covers(deadline) {
			deadline = s.To
		}
	}
	return deadline
}

// frontEndWasKilled reports whether a request's front end was killed between the sending of the request and the
// client's timeout.
func (c *checker) frontEndWasKilled(r *Request) bool {
	from, to := r.SentAt-c.rules.Tolerance, r.SentAt+r.Timeout
	return slices.ContainsFunc(c.kills, func(k FrontEndKill) bool {
		return k.FrontEnd == r.FrontEnd && from <= k.At && k.At <= to
	})
}
