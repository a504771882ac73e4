package soak

import (
	"fmt"
	"slices"
	"time"
)

// Slack of the rules: all their times are longer by it, as the platform has it.
const slack = 50 * time.Millisecond

// The times of the rules, which the settings do not name.
const (
	cancelGrace  = 100 * time.Millisecond // after a client left, until which an attempt may begin
	lateResponse = 500 * time.Millisecond // after the client's timeout, until which a response is only late
	ttlSlack     = 150 * time.Millisecond // by which the time passed to a worker may exceed what the client has left
	crossing     = 50 * time.Millisecond  // in which a request may cross the close of a connection without one in flight
)

// Violation is a rule that was broken.
type Violation struct {
	Rule  string
	Text  string
	Timed bool // it is told from other cases by times alone, which a machine that is busy otherwise makes later
}

// String returns the violation in one line.
func (v Violation) String() string { return v.Rule + ": " + v.Text }

// judge collects violations.
type judge struct {
	*History
	arrivalsOf map[string][]*Arrival // by request, in their order
	found      []Violation
}

// Judge returns the rules that were broken in a run that has ended.
func Judge(history *History) []Violation {
	history.mu.Lock()
	defer history.mu.Unlock()
	j := &judge{History: history, arrivalsOf: map[string][]*Arrival{}}
	for _, arrival := range history.arrivals {
		if key := (executionKey{arrival.RequestID, arrival.Worker}); history.notRun[key] > 0 {
			history.notRun[key]--
			arrival.NotRun = true
		}
		j.arrivalsOf[arrival.RequestID] = append(j.arrivalsOf[arrival.RequestID], arrival)
	}
	for _, fault := range history.faults {
		j.report("process", "%s", fault)
	}
	for _, request := range history.requests {
		j.checkResponse(request)
		j.checkExecutions(request)
		j.checkCancel(request)
		j.checkTTL(request)
	}
	j.checkDrains()
	j.checkTerminations()
	slices.SortFunc(j.found, func(a, b Violation) int { return compareText(a.String(), b.String()) })
	return j.found
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

func (j *judge) report(rule, format string, args ...any) {
	j.found = append(j.found, Violation{Rule: rule, Text: fmt.Sprintf(format, args...)})
}

// reportTimed reports a violation that is found by times.
func (j *judge) reportTimed(rule, format string, args ...any) {
	j.found = append(j.found, Violation{Rule: rule, Text: fmt.Sprintf(format, args...), Timed: true})
}

// checkResponse holds that each request has one final response, in time and with what a worker made for it.
func (j *judge) checkResponse(request *Request) {
	if len(request.Answers) > 1 {
		j.report("lost", "%s has %d final responses", request.ID, len(request.Answers))
	}
	if len(request.Answers) == 0 {
		switch {
		case j.isExcused(request):
		case j.crossedTermination(request):
			j.reportTimed("lost", "%s, sent at %v, was left without a response %v later as its front end ended",
				request.ID, request.SentAt, request.Lost-request.SentAt)
		default:
			j.report("lost", "%s, sent at %v, has no response: connection lost at %v", request.ID, request.SentAt, request.Lost)
		}
		return
	}
	answer := request.Answers[0]
	if answer.Outcome == Served && !answer.Echoed {
		j.report("lost", "%s was served what no worker made for it", request.ID)
	}
	due := request.SentAt + request.Wait + lateResponse + slack
	if late := answer.At - due - j.pausedWithin(request.FrontEnd, request.SentAt, answer.At); late > 0 {
		j.reportTimed("lost", "%s was answered %v too late", request.ID, late)
	}
}

// isExcused is whether no response is owed: the client left, the process was killed, or the request crossed the close of
// a connection on which none was in flight.
func (j *judge) isExcused(request *Request) bool {
	if request.GivenUp > 0 {
		return true
	}
	for _, pause := range j.pauses {
		wasHeld := pause.Killed && pause.FrontEnd == request.FrontEnd
		if wasHeld && request.SentAt <= pause.To && pause.From <= request.SentAt+request.Wait {
			return true
		}
	}
	neverSent := len(j.arrivalsOf[request.ID]) == 0
	return request.Lost > 0 && request.Lost-request.SentAt <= crossing && neverSent
}

// crossedTermination is whether a request was sent to a front end that was ending, reached no worker and lost its
// connection soon: only the time tells whether it crossed the close.
func (j *judge) crossedTermination(request *Request) bool {
	isSoon := request.Lost > 0 && request.Lost-request.SentAt <= lateResponse
	if !isSoon || len(j.arrivalsOf[request.ID]) > 0 {
		return false
	}
	for _, end := range j.ends {
		if end.FrontEnd == request.FrontEnd && end.At <= request.SentAt && request.SentAt <= end.At+killAfter {
			return true
		}
	}
	return false
}

// pausedWithin is how long a front end did not run between two times.
func (j *judge) pausedWithin(frontEnd int, from, to time.Duration) (paused time.Duration) {
	for _, pause := range j.pauses {
		if pause.FrontEnd == frontEnd {
			paused += max(0, min(to, pause.To)-max(from, pause.From))
		}
	}
	return paused
}

// checkExecutions holds that nothing is executed twice where that does harm, and that no rejection promises too much.
func (j *judge) checkExecutions(request *Request) {
	class := classes[request.Class]
	var first *Arrival
	for _, arrival := range j.arrivalsOf[request.ID] {
		if first != nil {
			j.checkRepeat(request, class, first, arrival)
		}
		if first == nil && !arrival.NotRun {
			first = arrival
		}
	}
	for _, answer := range request.Answers {
		if answer.Outcome == Rejected && first != nil && class.repeat != repeatAnywhere {
			j.report("duplicate", "%s was rejected although it may have run at %s", request.ID, first.Worker)
		}
	}
}

// checkRepeat checks an attempt of what may have run.
func (j *judge) checkRepeat(request *Request, class class, first, again *Arrival) {
	age := again.At - first.At
	switch {
	case class.repeat == repeatNever:
		j.report("duplicate", "%s was sent again after %v, to %s after %s", request.ID, age, again.Worker, first.Worker)
	case class.repeat == repeatByKey && again.Cell != first.Cell:
		j.report("duplicate", "%s was sent again outside its cell, to %s after %s", request.ID, again.Worker, first.Worker)
	case class.repeat == repeatByKey && age > keyRetention+slack:
		j.reportTimed("duplicate", "%s was sent again %v after its first attempt, to %s", request.ID, age, again.Worker)
	}
}

// checkCancel holds that no attempt begins once the client has left.
func (j *judge) checkCancel(request *Request) {
	if request.GivenUp == 0 {
		return
	}
	for _, arrival := range j.arrivalsOf[request.ID] {
		if late := arrival.At - request.GivenUp; late > cancelGrace+slack {
			j.reportTimed("lost", "%s was sent to %s %v after its client left", request.ID, arrival.Worker, late)
		}
	}
}

// checkTTL holds that a worker is told no more time than the client has left.
func (j *judge) checkTTL(request *Request) {
	for _, arrival := range j.arrivalsOf[request.ID] {
		left := request.SentAt + request.Wait - arrival.At
		if excess := arrival.TTL - max(0, left); excess > ttlSlack+slack {
			j.reportTimed("ttl", "%s, sent to front end %d at %v, had %v left at %v and was sent with %v",
				request.ID, request.FrontEnd, request.SentAt, left, arrival.At, arrival.TTL)
		}
	}
}

// checkTerminations holds that a front end that was told to end does so before the platform may kill it.
func (j *judge) checkTerminations() {
	for _, end := range j.ends {
		if end.Killed {
			j.reportTimed("process", "front end %d, told to end at %v, had not ended %v later", end.FrontEnd, end.At, killAfter)
		}
	}
}

// checkDrains holds that a worker gets nothing new once front ends were told that it drains.
func (j *judge) checkDrains() {
	for _, arrival := range j.arrivals {
		if late, isLate := j.afterDrain(arrival.Worker, arrival.At); isLate {
			j.reportTimed("drain", "%s was sent to %s %v after the grace", arrival.RequestID, arrival.Worker, late)
		}
	}
	for _, order := range j.orders {
		if late, isLate := j.afterDrain(order.Worker, order.At); isLate {
			j.reportTimed("drain", "an order to load was sent to %s %v after the grace", order.Worker, late)
		}
	}
}

// afterDrain is how long after the grace of a drain something was sent to a worker.
func (j *judge) afterDrain(worker string, at time.Duration) (late time.Duration, isLate bool) {
	notice := j.notices[worker]
	if notice == nil {
		return 0, false
	}
	late = at - notice.At - drainGrace - slack
	return late, late > 0
}
