package invariant

import (
	"slices"

	"havencart/lab/model"
	"havencart/scheduler"
)

// checkExecutions checks the attempts of each request whose class restricts retries. A request that may have executed
// is sent again only as far as its class allows and takes effect at most once. It is rejected only if its class allows
// another execution at any worker, because the client may retry a rejected request.
func (c *checker) checkExecutions() {
	byRequest := map[string][]*Attempt{}
	for _, a := range c.attempts {
		c.tally.Attempts++
		c.tally.Executions += a.Executions
		byRequest[a.RequestID] = append(byRequest[a.RequestID], a)
	}
	for id, attempts := range byRequest {
		class := c.rules.Classes[attempts[0].Class]
		slices.SortFunc(attempts, func(a, b *Attempt) int { return a.Number - b.Number })
		switch class.Idempotency {
		case scheduler.NonIdempotent:
			c.checkNonIdempotent(id, attempts)
		case scheduler.IdempotentByKey:
			c.checkIdempotentByKey(id, attempts, class)
		}
	}
	for _, r := range c.requests {
		if !rejected(r) || retryIsSafe(c.rules.Classes[r.Class]) {
			continue
		}
		if slices.ContainsFunc(byRequest[r.ID], mayHaveExecuted) {
			c.violated(ruleExecution, "call %s: refused, yet a worker may have run it", r.ID)
		}
	}
}

func rejected(r *Request) bool {
	return len(r.Responses) > 0 && r.Responses[0].Outcome == OutcomeRejected
}

// retryIsSafe reports whether any worker may execute a request of a class again after the request was executed.
func retryIsSafe(class scheduler.Class) bool {
	if class.Idempotency == scheduler.Idempotent {
		return true
	}
	return class.Idempotency == scheduler.IdempotentByKey && class.KeyScope == scheduler.ScopeAll
}

// mayHaveExecuted reports whether an attempt that a worker received may have taken effect. Only a rejection by the
// worker rules that out; an attempt without a response may have executed.
func mayHaveExecuted(a *Attempt) bool {
	return a.Outcome != model.Overloaded && a.Outcome != model.NotLoaded
}

// checkNonIdempotent checks that a request is not sent again after an attempt that may have executed, and that it takes
// effect at most once.
func (c *checker) checkNonIdempotent(id string, attempts []*Attempt) {
	executions := 0
	for i, a := range attempts {
		executions += a.Executions
		if i > 0 && mayHaveExecuted(attempts[i-1]) {
			c.violated(ruleExecution, "unsafe call %s: sent to %s after %s may have run it", id, a.Worker,
				attempts[i-1].Worker)
		}
	}
	if executions > 1 {
		c.violated(ruleExecution, "unsafe call %s: %d effects", id, executions)
	}
}

// checkIdempotentByKey checks the attempts that follow the first one that may have executed, and that the request takes
// effect at most once.
func (c *checker) checkIdempotentByKey(id string, attempts []*Attempt, class scheduler.Class) {
	executions := 0
	var first *Attempt // first attempt that may have executed
	for _, a := range attempts {
		executions += a.Executions
		if first != nil {
			c.checkKeyedRetry(id, first, a, class)
		} else if mayHaveExecuted(a) {
			first = a
		}
	}
	if executions > 1 {
		c.violated(ruleExecution, "keyed call %s: %d effects", id, executions)
	}
}

// checkKeyedRetry checks that a retry stays within the scope of its idempotency key, if that is a cell, and within the
// key's retention, counted from the first attempt that may have executed. The scope of a zone is not checked, because
// an Attempt does not record the worker's zone.
func (c *checker) checkKeyedRetry(id string, first, retry *Attempt, class scheduler.Class) {
	elapsed := retry.At - first.At
	switch {
	case class.KeyScope == scheduler.ScopeCell && retry.Cell != first.Cell:
		c.violated(ruleExecution, "keyed call %s: sent to cell %s after cell %s may have run it", id, retry.Cell, first.Cell)
	case elapsed > class.KeyRetention+c.rules.Tolerance:
		c.violated(ruleExecution, "keyed call %s: sent again after %v, the memory is %v", id, elapsed, class.KeyRetention)
	}
}
