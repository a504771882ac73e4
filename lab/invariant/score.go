package invariant

import (
	"strings"
	"time"

	"havencart/scheduler"
)

// Score is the service level of a run: the priority weight that responses earned, relative to the priority weight that
// requests offered. A response within the latency objective of its class earns the full weight; a later response earns
// that weight times the class's late weight. A client's retries count as part of their request.
type Score struct {
	Timeline
	Requests int // number of requests, not counting retries
	ByClass  map[string]*Timeline
	ByTenant map[string]*Timeline
}

// Timeline is a service level in total and for each second.
type Timeline struct {
	ServiceLevel
	Seconds []ServiceLevel // service level of the requests first sent in each second
}

func (t *Timeline) add(second int, offered, earned float64) {
	t.Offered += offered
	t.Earned += earned
	for len(t.Seconds) <= second {
		t.Seconds = append(t.Seconds, ServiceLevel{})
	}
	t.Seconds[second].Offered += offered
	t.Seconds[second].Earned += earned
}

// ServiceLevel is the priority weight that requests offered and the part of it that responses earned.
type ServiceLevel struct{ Offered, Earned float64 }

// Share returns the fraction of the offered weight that was earned, or 1 if no weight was offered.
func (l ServiceLevel) Share() float64 {
	if l.Offered == 0 {
		return 1
	}
	return l.Earned / l.Offered
}

// Service returns the fraction of the offered weight that was earned in the whole run.
func (s Score) Service() float64 { return s.Share() }

// Score computes the service level that clients saw. A request and its retries are recognized by their identifiers,
// "REQUEST.NUMBER"; the best response among them counts.
func (h *History) Score(classes map[string]scheduler.Class) Score {
	h.mu.Lock()
	defer h.mu.Unlock()
	score := Score{ByClass: map[string]*Timeline{}, ByTenant: map[string]*Timeline{}}
	first := map[string]*Request{}
	best := map[string]float64{} // weight earned by the best response, by request
	var order []string
	for _, r := range h.requests {
		id, _, _ := strings.Cut(r.ID, ".")
		if first[id] == nil {
			first[id] = r
			order = append(order, id)
		}
		best[id] = max(best[id], earned(r, first[id].SentAt, classes[r.Class]))
	}
	for _, id := range order {
		r := first[id]
		score.add(r, classes[r.Class].PriorityWeight, best[id])
	}
	return score
}

// earned returns the weight that a request or one of its retries earned. Latency counts from firstSentAt, when the
// request was first sent.
func earned(r *Request, firstSentAt time.Duration, class scheduler.Class) float64 {
	if len(r.Responses) == 0 {
		return 0
	}
	response := r.Responses[0]
	if response.Outcome != OutcomeServed || !response.Complete {
		return 0
	}
	if response.At-firstSentAt <= class.LatencyObjective {
		return class.PriorityWeight
	}
	return class.PriorityWeight * class.LateWeight
}

func (s *Score) add(r *Request, offered, earned float64) {
	s.Requests++
	second := int(r.SentAt / time.Second)
	s.Timeline.add(second, offered, earned)
	addTo(s.ByClass, r.Class, second, offered, earned)
	addTo(s.ByTenant, r.Tenant, second, offered, earned)
}

func addTo(timelines map[string]*Timeline, name string, second int, offered, earned float64) {
	if timelines[name] == nil {
		timelines[name] = &Timeline{}
	}
	timelines[name].add(second, offered, earned)
}
