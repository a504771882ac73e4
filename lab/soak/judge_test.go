package soak

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// sentRequest is a request to front end 0 that was sent at 1 s and served.
func sentRequest(class ClassName) *Request {
	return &Request{
		ID: "a", Class: class, SentAt: time.Second, Wait: 2 * time.Second,
		Answers: []Response{{At: 1200 * ms, Outcome: Served, Echoed: true}},
	}
}

// arrivalAt is an attempt of it that a worker of a cell received.
func arrivalAt(at time.Duration, worker string, cell int) *Arrival {
	return &Arrival{At: at, RequestID: "a", Worker: worker, Cell: cell, TTL: time.Second}
}

// Each broken rule is found, and what just keeps it is not.
func TestJudge_EachRule_IsFoundWhenBrokenOnly(t *testing.T) {
	cases := map[string]struct {
		class    ClassName
		change   func(h *History, request *Request)
		arrivals []*Arrival
		want     string // the rule, empty: none is broken
	}{
		"served": {class: Charge, arrivals: []*Arrival{arrivalAt(1010*ms, "w1", 1)}},
		"no response": {class: Quote, want: "lost", change: func(_ *History, r *Request) {
			r.Answers = nil
			r.Lost = 2 * time.Second
		}},
		"no response, its client left": {class: Quote, change: func(_ *History, r *Request) {
			r.Answers = nil
			r.GivenUp = 1500 * ms
		}},
		"no response, its front end was killed": {class: Quote, change: func(h *History, r *Request) {
			r.Answers = nil
			h.pauses = []*Pause{{From: 1500 * ms, To: 2 * time.Second, Killed: true}}
		}},
		"no response, another front end was killed": {class: Quote, want: "lost", change: func(h *History, r *Request) {
			r.Answers = nil
			h.pauses = []*Pause{{FrontEnd: 1, From: 1500 * ms, To: 2 * time.Second, Killed: true}}
		}},
		"crossed the close of its connection": {class: Quote, change: func(_ *History, r *Request) {
			r.Answers = nil
			r.Lost = r.SentAt + 40*ms
		}},
		"two responses": {class: Quote, want: "lost", change: func(_ *History, r *Request) { r.Answers = append(r.Answers, r.Answers[0]) }},
		"a body that no worker made": {class: Quote, want: "lost", change: func(_ *History, r *Request) {
			r.Answers[0].Echoed = false
		}},
		"late, but within half a second": {class: Quote, change: func(_ *History, r *Request) { r.Answers[0].At = 3500 * ms }},
		"too late":                       {class: Quote, want: "lost", change: func(_ *History, r *Request) { r.Answers[0].At = 3600 * ms }},
		"as late as its front end was stopped": {class: Quote, change: func(h *History, r *Request) {
			r.Answers[0].At = 3600 * ms
			h.pauses = []*Pause{{From: 2 * time.Second, To: 2100 * ms}}
		}},
		"idempotent, twice":     {class: Quote, arrivals: []*Arrival{arrivalAt(1010*ms, "w1", 1), arrivalAt(1900*ms, "w2", 2)}},
		"non-idempotent, twice": {class: Charge, want: "duplicate", arrivals: []*Arrival{arrivalAt(1010*ms, "w1", 1), arrivalAt(1100*ms, "w2", 1)}},
		"non-idempotent, the first one did not run": {
			class: Charge, arrivals: []*Arrival{arrivalAt(1010*ms, "w1", 1), arrivalAt(1100*ms, "w2", 1)},
			change: func(h *History, _ *Request) { h.notRun[executionKey{"a", "w1"}] = 1 },
		},
		"keyed, in its cell and time":    {class: Status, arrivals: []*Arrival{arrivalAt(1010*ms, "w1", 1), arrivalAt(1760*ms, "w2", 1)}},
		"keyed, after its key's time":    {class: Status, want: "duplicate", arrivals: []*Arrival{arrivalAt(1010*ms, "w1", 1), arrivalAt(1761*ms, "w2", 1)}},
		"keyed, in another cell":         {class: Status, want: "duplicate", arrivals: []*Arrival{arrivalAt(1010*ms, "w1", 1), arrivalAt(1100*ms, "w2", 2)}},
		"rejected after it may have run": {class: Charge, want: "duplicate", arrivals: []*Arrival{arrivalAt(1010*ms, "w1", 1)}, change: rejected},
		"rejected, may run anywhere":     {class: Quote, arrivals: []*Arrival{arrivalAt(1010*ms, "w1", 1)}, change: rejected},
		"sent after its client left": {class: Quote, want: "lost", arrivals: []*Arrival{arrivalAt(1311*ms, "w1", 1)}, change: func(_ *History, r *Request) {
			r.GivenUp = 1160 * ms
		}},
		"sent just after its client left": {class: Quote, arrivals: []*Arrival{arrivalAt(1310*ms, "w1", 1)}, change: func(_ *History, r *Request) {
			r.GivenUp = 1160 * ms
		}},
		"sent with more time than is left": {class: Quote, want: "ttl", arrivals: []*Arrival{{At: 2201 * ms, RequestID: "a", Worker: "w1", TTL: time.Second}}},
		"sent with the time that is left":  {class: Quote, arrivals: []*Arrival{{At: 2200 * ms, RequestID: "a", Worker: "w1", TTL: time.Second}}},
		"sent after a drain":               {class: Quote, want: "drain", arrivals: []*Arrival{arrivalAt(1651*ms, "w1", 1)}, change: draining},
		"sent within the grace":            {class: Quote, arrivals: []*Arrival{arrivalAt(1650*ms, "w1", 1)}, change: draining},
		"order to load after a drain": {class: Quote, want: "drain", change: func(h *History, r *Request) {
			draining(h, r)
			h.orders = []LoadOrder{{At: 1651 * ms, Worker: "w1"}}
		}},
		"a process that crashed": {class: Quote, want: "process", change: func(h *History, _ *Request) { h.Fault("front end 0 ended by itself") }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			history, request := NewHistory(), sentRequest(c.class)
			history.requests[request.ID] = request
			history.arrivals = c.arrivals
			if c.change != nil {
				c.change(history, request)
			}
			var rules []string
			for _, violation := range Judge(history) {
				rules = append(rules, violation.Rule)
			}
			if got := strings.Join(rules, " "); got != c.want {
				t.Errorf("broken rules %q, want %q", got, c.want)
			}
		})
	}
}

// A request that was left without a response as its front end ended is told by times only where it may have crossed the close.
func TestJudge_Termination_TellsWhatIsFoundByTimes(t *testing.T) {
	cases := map[string]struct {
		lostAfter time.Duration // 0: the request was served
		arrivals  []*Arrival
		killed    bool
		rule      string // empty: none is broken
		timed     bool
	}{
		"ended when told":                          {},
		"had to be killed":                         {killed: true, rule: "process", timed: true},
		"request crossed the close":                {lostAfter: 50 * ms},
		"request crossed the close late":           {lostAfter: 60 * ms, rule: "lost", timed: true},
		"request lost long after it was sent":      {lostAfter: lateResponse + ms, rule: "lost"},
		"request lost that had reached its worker": {lostAfter: 60 * ms, arrivals: []*Arrival{arrivalAt(1010*ms, "w1", 1)}, rule: "lost"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			history, request := NewHistory(), sentRequest(Quote)
			history.requests[request.ID] = request
			history.arrivals = c.arrivals
			history.ends = []*Termination{{At: 500 * ms, Killed: c.killed}}
			if c.lostAfter > 0 {
				request.Answers, request.Lost = nil, request.SentAt+c.lostAfter
			}
			found := Judge(history)
			if c.rule == "" {
				if len(found) > 0 {
					t.Errorf("found %v, want nothing", found)
				}
				return
			}
			if len(found) != 1 || found[0].Rule != c.rule || found[0].Timed != c.timed {
				t.Errorf("found %+v, want one of rule %s, by times %v", found, c.rule, c.timed)
			}
		})
	}
}

func rejected(_ *History, request *Request) { request.Answers[0].Outcome = Rejected }

func draining(history *History, _ *Request) {
	history.notices["w1"] = &Notice{Worker: "w1", At: 1100 * ms}
}

// The faults are drawn by their weights, each of them at times.
func TestPickFault_DrawsEachKind(t *testing.T) {
	seen := map[string]bool{}
	rng := rand.New(rand.NewPCG(1, 1))
	for range 2000 {
		seen[pickFault(rng).name] = true
	}
	if len(seen) != len(faults) {
		t.Errorf("%d of %d kinds were drawn", len(seen), len(faults))
	}
}
