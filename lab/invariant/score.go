package invariant

import (
	"strings"
	"time"

	"havencart/scheduler"
)

// Score is the service of a run: the priority weight earned by responses in time over the weight offered by requests.
// A client's retries count as part of its request. A response after the class's latency objective earns the class's late
// weight.
type Score struct {
	Timeline
	Requests int // without retries
	ByClass  map[string]*Timeline
	ByTenant map[string]*Timeline
}

// Timeline is a service level over time.
type Timeline struct {
	ServiceLevel
	Seconds []ServiceLevel // by the second in which the request was first sent
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

// ServiceLevel is the priority weight that requests offered, and what was earned of it.
type ServiceLevel struct{ Offered, Earned float64 }

// Share is the share that was earned, 1 where nothing was offered.
func (l ServiceLevel) Share() float64 {
	if l.Offered == 0 {
		return 1
	}
	return l.Earned / l.Offered
}

// Service is the share that was earned in the whole run.
func (s Score) Service() float64 { return s.Share() }

// Worst is the least service over any period of so many seconds.
func (s Score) Worst(seconds int) float64 {
	worst := 1.0
	for i := 0; i+seconds <= len(s.Seconds); i++ {
		var sum ServiceLevel
		for _, p := range s.Seconds[i : i+seconds] {
			sum.Offered += p.Offered
			sum.Earned += p.Earned
		}
		worst = min(worst, sum.Share())
	}
	return worst
}

// Score computes the service that clients saw. The attempts of a request have identifiers "REQUEST.NUMBER".
func (h *History) Score(classes map[string]scheduler.Class) Score {
	h.mu.Lock()
	defer h.mu.Unlock()
	score := Score{ByClass: map[string]*Timeline{}, ByTenant: map[string]*Timeline{}}
	first := map[string]*Request{}
	best := map[string]float64{} // earned by the best attempt
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

// earned is the weight that an attempt earned, where the request was first sent at a time.
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
