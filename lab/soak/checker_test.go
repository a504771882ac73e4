package soak

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// sentRequest returns a request to front end 0 that was sent at 1 s and served.
// testKillAfter is the earliest time after SIGTERM at which the platform may kill a front end, with deadlines of 3 s.
const testKillAfter = 3700 * time.Millisecond

func sentRequest(class ClassName) *Request {
	return &Request{
		ID: "a", Class: class, SentAt: time.Second, Timeout: 2 * time.Second,
		Responses: []Response{{At: 1200 * ms, Outcome: Served, BodyMatches: true}},
	}
}

// arrivalAt returns an attempt of sentRequest's request that a worker received.
func arrivalAt(at time.Duration, worker string, cell int) *Arrival {
	return &Arrival{At: at, RequestID: "a", Worker: worker, Cell: cell, TTL: time.Second}
}

// Each rule's violation is reported, and a history that just keeps within the limit is not.
func TestCheckHistory_EachRule_IsReportedOnlyWhenBroken(t *testing.T) {
	cases := map[string]struct {
		class    ClassName
		change   func(h *History, request *Request)
		arrivals []*Arrival
		want     string // the rule that is broken; empty if none is
	}{
		"served": {class: Charge, arrivals: []*Arrival{arrivalAt(1010*ms, "w1", 1)}},
		"no response": {class: Quote, want: "lost", change: func(_ *History, r *Request) {
			r.Responses = nil
			r.ConnectionLostAt = 2 * time.Second
		}},
		"no response, abandoned by its client": {class: Quote, change: func(_ *History, r *Request) {
			r.Responses = nil
			r.AbandonedAt = 1500 * ms
		}},
		"no response, its front end was killed": {class: Quote, change: func(h *History, r *Request) {
			r.Responses = nil
			h.pauses = []*Pause{{From: 1500 * ms, To: 2 * time.Second, Killed: true}}
		}},
		"no response, another front end was killed": {class: Quote, want: "lost", change: func(h *History, r *Request) {
			r.Responses = nil
			h.pauses = []*Pause{{FrontEnd: 1, From: 1500 * ms, To: 2 * time.Second, Killed: true}}
		}},
		"crossed the close of its connection": {class: Quote, change: func(_ *History, r *Request) {
			r.Responses = nil
			r.ConnectionLostAt = r.SentAt + 40*ms
		}},
		"two responses": {class: Quote, want: "lost", change: func(_ *History, r *Request) { r.Responses = append(r.Responses, r.Responses[0]) }},
		"a body that no worker returned": {class: Quote, want: "lost", change: func(_ *History, r *Request) {
			r.Responses[0].BodyMatches = false
		}},
		"late, but within half a second": {class: Quote, change: func(_ *History, r *Request) { r.Responses[0].At = 3500 * ms }},
		"too late":                       {class: Quote, want: "lost", change: func(_ *History, r *Request) { r.Responses[0].At = 3600 * ms }},
		"as late as its front end was paused": {class: Quote, change: func(h *History, r *Request) {
			r.Responses[0].At = 3600 * ms
			h.pauses = []*Pause{{From: 2 * time.Second, To: 2100 * ms}}
		}},
		"idempotent, sent twice":     {class: Quote, arrivals: []*Arrival{arrivalAt(1010*ms, "w1", 1), arrivalAt(1900*ms, "w2", 2)}},
		"non-idempotent, sent twice": {class: Charge, want: "duplicate", arrivals: []*Arrival{arrivalAt(1010*ms, "w1", 1), arrivalAt(1100*ms, "w2", 1)}},
		"non-idempotent, first attempt not executed": {
			class: Charge, arrivals: []*Arrival{arrivalAt(1010*ms, "w1", 1), arrivalAt(1100*ms, "w2", 1)},
			change: func(h *History, _ *Request) { h.notExecuted[executionKey{"a", "w1"}] = 1 },
		},
		"keyed, in its cell within its key's retention": {class: Status, arrivals: []*Arrival{arrivalAt(1010*ms, "w1", 1), arrivalAt(1760*ms, "w2", 1)}},
		"keyed, after its key's retention":              {class: Status, want: "duplicate", arrivals: []*Arrival{arrivalAt(1010*ms, "w1", 1), arrivalAt(1761*ms, "w2", 1)}},
		"keyed, in another cell":                        {class: Status, want: "duplicate", arrivals: []*Arrival{arrivalAt(1010*ms, "w1", 1), arrivalAt(1100*ms, "w2", 2)}},
		"keyed, at a worker that was not announced": {
			class: Status, arrivals: []*Arrival{arrivalAt(1010*ms, "w1", 1), arrivalAt(1100*ms, "w2", 2)},
			change: func(h *History, _ *Request) { h.CameUpUnlisted("w2") },
		},
		"keyed, at a worker that was announced long before": {
			class: Status, want: "duplicate", arrivals: []*Arrival{arrivalAt(1010*ms, "w1", 1), arrivalAt(1100*ms, "w2", 2)},
			change: func(h *History, _ *Request) {
				h.CameUpUnlisted("w2")
				h.Listed("w2", 500*ms)
			},
		},
		"rejected after it may have been executed": {class: Charge, want: "duplicate", arrivals: []*Arrival{arrivalAt(1010*ms, "w1", 1)}, change: rejected},
		"rejected, safe to execute again":          {class: Quote, arrivals: []*Arrival{arrivalAt(1010*ms, "w1", 1)}, change: rejected},
		"sent after the cancellation grace": {class: Quote, want: "lost", arrivals: []*Arrival{arrivalAt(1311*ms, "w1", 1)}, change: func(_ *History, r *Request) {
			r.AbandonedAt = 1160 * ms
		}},
		"sent within the cancellation grace": {class: Quote, arrivals: []*Arrival{arrivalAt(1310*ms, "w1", 1)}, change: func(_ *History, r *Request) {
			r.AbandonedAt = 1160 * ms
		}},
		"sent with a TTL above the time left":  {class: Quote, want: "ttl", arrivals: []*Arrival{{At: 2201 * ms, RequestID: "a", Worker: "w1", TTL: time.Second}}},
		"sent with a TTL within the tolerance": {class: Quote, arrivals: []*Arrival{{At: 2200 * ms, RequestID: "a", Worker: "w1", TTL: time.Second}}},
		"sent after the drain grace":           {class: Quote, want: "drain", arrivals: []*Arrival{arrivalAt(1651*ms, "w1", 1)}, change: draining},
		"sent within the drain grace":          {class: Quote, arrivals: []*Arrival{arrivalAt(1650*ms, "w1", 1)}, change: draining},
		"load order after the drain grace": {class: Quote, want: "drain", change: func(h *History, r *Request) {
			draining(h, r)
			h.loadOrders = []LoadOrder{{At: 1651 * ms, Worker: "w1"}}
		}},
		"crashed process": {class: Quote, want: "process", change: func(h *History, _ *Request) { h.RecordViolation("front end 0 exited unexpectedly") }},
	}
	for name, testCase := range cases {
		t.Run(name, func(t *testing.T) {
			history, request := NewHistory(), sentRequest(testCase.class)
			history.requests[request.ID] = request
			history.arrivals = testCase.arrivals
			if testCase.change != nil {
				testCase.change(history, request)
			}
			var rules []string
			for _, violation := range CheckHistory(history, testKillAfter) {
				rules = append(rules, violation.Rule)
			}
			if got := strings.Join(rules, " "); got != testCase.want {
				t.Errorf("broken rules %q, want %q", got, testCase.want)
			}
		})
	}
}

// A request that lost its connection while its front end shut down is a violation by time alone only if it may have
// crossed the close of its connection.
func TestCheckHistory_Termination_MarksTimedViolations(t *testing.T) {
	cases := map[string]struct {
		lostAfter time.Duration // 0 if the request was served
		arrivals  []*Arrival
		killed    bool
		rule      string // the rule that is broken; empty if none is
		timed     bool
	}{
		"ended after SIGTERM":                      {},
		"had to be killed":                         {killed: true, rule: "process", timed: true},
		"request crossed the close":                {lostAfter: 50 * ms},
		"request crossed the close late":           {lostAfter: 60 * ms, rule: "lost", timed: true},
		"request lost long after it was sent":      {lostAfter: lateResponseGrace + ms, rule: "lost"},
		"request lost that had reached its worker": {lostAfter: 60 * ms, arrivals: []*Arrival{arrivalAt(1010*ms, "w1", 1)}, rule: "lost"},
	}
	for name, testCase := range cases {
		t.Run(name, func(t *testing.T) {
			history, request := NewHistory(), sentRequest(Quote)
			history.requests[request.ID] = request
			history.arrivals = testCase.arrivals
			history.terminations = []*Termination{{At: 500 * ms, Killed: testCase.killed}}
			if testCase.lostAfter > 0 {
				request.Responses, request.ConnectionLostAt = nil, request.SentAt+testCase.lostAfter
			}
			found := CheckHistory(history, testKillAfter)
			if testCase.rule == "" {
				if len(found) > 0 {
					t.Errorf("found %v, want nothing", found)
				}
				return
			}
			if len(found) != 1 || found[0].Rule != testCase.rule || found[0].TimingOnly != testCase.timed {
				t.Errorf("found %+v, want one violation of rule %s with TimingOnly %v", found, testCase.rule, testCase.timed)
			}
		})
	}
}

func rejected(_ *History, request *Request) { request.Responses[0].Outcome = Rejected }

func draining(history *History, _ *Request) {
	history.notices["w1"] = &DrainNotice{Worker: "w1", At: 1100 * ms}
}

// Each kind of fault is drawn sometimes.
func TestPickFault_DrawsEachKind(t *testing.T) {
	seen := map[string]bool{}
	rng := rand.New(rand.NewPCG(1, 1))
	for range 2000 {
		seen[pickFault(rng).name] = true
	}
	if len(seen) != len(faults) {
		t.Errorf("%d of %d kinds of faults were drawn", len(seen), len(faults))
	}
}
