package soak

import (
	"fmt"
	"slices"
	"time"
)

// timingSlack is added to every time limit of the rules. The platform checks with the same slack.
const timingSlack = 50 * time.Millisecond

// Time limits of the rules that are not part of a front end's settings.
const (
	cancelGrace       = 100 * time.Millisecond // an attempt may begin this long after its request was abandoned
	lateResponseGrace = 500 * time.Millisecond // a response may be this late after the client's timeout
	ttlTolerance      = 150 * time.Millisecond // an attempt's TTL may exceed the time left to the client by this
	closeRaceWindow   = 50 * time.Millisecond  // a request sent this soon before an idle connection ends may be lost
)

// Violation describes one case in which a rule was broken.
type Violation struct {
	Rule       string
	Text       string
	TimingOnly bool // only time limits were exceeded, which can also happen because the machine is busy with other work
}

// String returns the rule and the text in one line.
func (v Violation) String() string { return v.Rule + ": " + v.Text }

// checker collects the violations of one run.
type checker struct {
	*History
	killAfter  time.Duration
	arrivalsOf map[string][]*Arrival // the attempts of each request, by its identifier, in the order of arrival
	violations []Violation
}

// CheckHistory returns the violations in the history of a run that has ended, sorted by their text. The platform may kill
// a front end killAfter after SIGTERM.
func CheckHistory(history *History, killAfter time.Duration) []Violation {
	history.mu.Lock()
	defer history.mu.Unlock()
	c := &checker{History: history, killAfter: killAfter, arrivalsOf: map[string][]*Arrival{}}
	for _, arrival := range history.arrivals {
		if key := (executionKey{arrival.RequestID, arrival.Worker}); history.notExecuted[key] > 0 {
			history.notExecuted[key]--
			arrival.NotExecuted = true
		}
		c.arrivalsOf[arrival.RequestID] = append(c.arrivalsOf[arrival.RequestID], arrival)
	}
	for _, text := range history.immediateViolations {
		c.report("process", "%s", text)
	}
	for _, request := range history.requests {
		c.checkResponse(request)
		c.checkExecutions(request)
		c.checkCancel(request)
		c.checkTTL(request)
	}
	c.checkDrains()
	c.checkTerminations()
	slices.SortFunc(c.violations, func(a, b Violation) int { return compareText(a.String(), b.String()) })
	return c.violations
}

func compareText(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func (c *checker) report(rule, format string, args ...any) {
	c.violations = append(c.violations, Violation{Rule: rule, Text: fmt.Sprintf(format, args...)})
}

// reportTimed reports a violation that only exceeds a time limit; see Violation.TimingOnly.
func (c *checker) reportTimed(rule, format string, args ...any) {
	c.violations = append(c.violations, Violation{Rule: rule, Text: fmt.Sprintf(format, args...), TimingOnly: true})
}

// checkResponse checks that a request has exactly one final response, that the response was received in time, and that
// a served response has the body that a worker returns for the request.
func (c *checker) checkResponse(request *Request) {
	if len(request.Responses) > 1 {
		c.report("lost", "%s has %d final responses", request.ID, len(request.Responses))
	}
	if len(request.Responses) == 0 {
		switch {
		case c.isExcused(request):
		case c.mayHaveCrossedTermination(request):
			c.reportTimed("lost", "%s, sent at %v, lost its connection without a response %v later, while its front end shut down",
				request.ID, request.SentAt, request.ConnectionLostAt-request.SentAt)
		default:
			c.report("lost", "%s, sent at %v, has no response: connection lost at %v", request.ID, request.SentAt, request.ConnectionLostAt)
		}
		return
	}
	response := request.Responses[0]
	if response.Outcome == Served && !response.BodyMatches {
		c.report("lost", "%s was served a body that no worker returned for it", request.ID)
	}
	due := request.SentAt + request.Timeout + lateResponseGrace + timingSlack
	if late := response.At - due - c.pausedWithin(request.FrontEnd, request.SentAt, response.At); late > 0 {
		c.reportTimed("lost", "%s had its final response %v too late", request.ID, late)
	}
}

// isExcused reports whether a request may lack a response: its client abandoned it, its front end was killed, or it
// crossed the close of an idle connection.
func (c *checker) isExcused(request *Request) bool {
	if request.AbandonedAt > 0 {
		return true
	}
	for _, pause := range c.pauses {
		wasKilled := pause.Killed && pause.FrontEnd == request.FrontEnd
		if wasKilled && request.SentAt <= pause.To && pause.From <= request.SentAt+request.Timeout {
			return true
		}
	}
	reachedNoWorker := len(c.arrivalsOf[request.ID]) == 0
	return request.ConnectionLostAt > 0 && request.ConnectionLostAt-request.SentAt <= closeRaceWindow && reachedNoWorker
}

// mayHaveCrossedTermination reports whether a request was sent to a front end that was shutting down, reached no
// worker and lost its connection within lateResponseGrace. Only the time tells whether such a request crossed the
// close of its connection.
func (c *checker) mayHaveCrossedTermination(request *Request) bool {
	wasLostSoon := request.ConnectionLostAt > 0 && request.ConnectionLostAt-request.SentAt <= lateResponseGrace
	if !wasLostSoon || len(c.arrivalsOf[request.ID]) > 0 {
		return false
	}
	for _, end := range c.terminations {
		if end.FrontEnd == request.FrontEnd && end.At <= request.SentAt && request.SentAt <= end.At+c.killAfter {
			return true
		}
	}
	return false
}

// pausedWithin returns how long a front end did not run between two times.
func (c *checker) pausedWithin(frontEnd int, from, to time.Duration) (paused time.Duration) {
	for _, pause := range c.pauses {
		if pause.FrontEnd == frontEnd {
			paused += max(0, min(to, pause.To)-max(from, pause.From))
		}
	}
	return paused
}

// checkExecutions checks that a request which may have been executed is sent again only where its class allows it, and
// is rejected only if it is safe to execute again: a rejection tells the client that it may send the request again.
func (c *checker) checkExecutions(request *Request) {
	class := classes[request.Class]
	var first *Arrival
	for _, arrival := range c.arrivalsOf[request.ID] {
		if first != nil {
			c.checkRetry(request, class, first, arrival)
		}
		if first == nil && !arrival.NotExecuted {
			first = arrival
		}
	}
	for _, response := range request.Responses {
		if response.Outcome == Rejected && first != nil && class.retryRule != retryAnywhere {
			c.report("duplicate", "%s was rejected although %s may have executed it", request.ID, first.Worker)
		}
	}
}

// checkRetry checks an attempt of a request that an earlier attempt, first, may have executed.
func (c *checker) checkRetry(request *Request, class class, first, retry *Arrival) {
	age := retry.At - first.At
	switch {
	case class.retryRule == retryNever:
		c.report("duplicate", "%s was sent again after %v, to %s after %s", request.ID, age, retry.Worker, first.Worker)
	case class.retryRule == retryWithKey && retry.Cell != first.Cell && (c.isUnlisted(first) || c.isUnlisted(retry)):
	case class.retryRule == retryWithKey && retry.Cell != first.Cell:
		c.report("duplicate", "%s was sent again outside its cell, to %s after %s", request.ID, retry.Worker, first.Worker)
	case class.retryRule == retryWithKey && age > keyRetention+timingSlack:
		c.reportTimed("duplicate", "%s was sent again %v after its first attempt, to %s", request.ID, age, retry.Worker)
	}
}

// isUnlisted reports whether an attempt arrived at a worker that front ends were not notified of: one that came up at the
// address of another, of which they could not know that it had gone.
func (c *checker) isUnlisted(arrival *Arrival) bool {
	listedAt, cameUpUnlisted := c.listed[arrival.Worker]
	return cameUpUnlisted && arrival.At-drainGrace-timingSlack <= listedAt
}

// checkCancel checks that no attempt begins later than cancelGrace after the client abandoned the request.
func (c *checker) checkCancel(request *Request) {
	if request.AbandonedAt == 0 {
		return
	}
	for _, arrival := range c.arrivalsOf[request.ID] {
		if late := arrival.At - request.AbandonedAt; late > cancelGrace+timingSlack {
			c.reportTimed("lost", "%s was sent to %s %v after its client abandoned it", request.ID, arrival.Worker, late)
		}
	}
}

// checkTTL checks that the TTL of each attempt does not exceed the time left to the client by more than ttlTolerance.
func (c *checker) checkTTL(request *Request) {
	for _, arrival := range c.arrivalsOf[request.ID] {
		left := request.SentAt + request.Timeout - arrival.At
		if excess := arrival.TTL - max(0, left); excess > ttlTolerance+timingSlack {
			c.reportTimed("ttl", "%s, sent to front end %d at %v, had %v left at %v but was sent to a worker with a TTL of %v",
				request.ID, request.FrontEnd, request.SentAt, left, arrival.At, arrival.TTL)
		}
	}
}

// checkTerminations checks that each front end ended within c.killAfter of SIGTERM, when the platform may kill it.
func (c *checker) checkTerminations() {
	for _, end := range c.terminations {
		if end.Killed {
			c.reportTimed("process", "front end %d, sent SIGTERM at %v, had not exited %v later", end.FrontEnd, end.At, c.killAfter)
		}
	}
}

// checkDrains checks that no worker receives attempts or load orders later than drainGrace after front ends were
// notified that it drains.
func (c *checker) checkDrains() {
	for _, arrival := range c.arrivals {
		if late, isLate := c.timeAfterDrain(arrival.Worker, arrival.At); isLate {
			c.reportTimed("drain", "%s was sent to %s %v after the drain grace", arrival.RequestID, arrival.Worker, late)
		}
	}
	for _, order := range c.loadOrders {
		if late, isLate := c.timeAfterDrain(order.Worker, order.At); isLate {
			c.reportTimed("drain", "a load order was sent to %s %v after the drain grace", order.Worker, late)
		}
	}
}

// timeAfterDrain returns how long after the end of a worker's drain grace a time is, and whether it is after the end.
func (c *checker) timeAfterDrain(worker string, at time.Duration) (late time.Duration, isLate bool) {
	notice := c.notices[worker]
	if notice == nil {
		return 0, false
	}
	late = at - notice.At - drainGrace - timingSlack
	return late, late > 0
}
