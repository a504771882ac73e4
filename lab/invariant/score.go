package invariant

import (
	"strings"
	"time"

	"havencart/scheduler"
)

// Score is service: the worth answered in time over the worth asked, a client's repeats counted as part of its
// first try. An answer after its aim earns what the class keeps of a late one.
type Score struct {
	Timeline
	Requests int // first tries
	ByClass  map[string]*Timeline
	ByTenant map[string]*Timeline
}

// Course is a part of a Score over time.
type Timeline struct {
	ServiceLevel
	Seconds []ServiceLevel // by the second of the first try
}

func (c *Timeline) add(second int, asked, got float64) {
	c.Offered += asked
	c.Earned += got
	for len(c.Seconds) <= second {
		c.Seconds = append(c.Seconds, ServiceLevel{})
	}
	c.Seconds[second].Offered += asked
	c.Seconds[second].Earned += got
}

// Part is a part of a Score.
type ServiceLevel struct{ Offered, Earned float64 } // worth

// Share is the part's service, 1 where nothing was asked.
func (p ServiceLevel) Share() float64 {
	if p.Offered == 0 {
		return 1
	}
	return p.Earned / p.Offered
}

// Service is the whole run's.
func (s Score) Service() float64 { return s.Share() }

// Worst is the least service of any stretch of so many seconds.
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

// Score scores what clients saw. Tries are told by their ids: "call.try".
func (b *History) Score(classes map[string]scheduler.Class) Score {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := Score{ByClass: map[string]*Timeline{}, ByTenant: map[string]*Timeline{}}
	first := map[string]*Request{}
	got := map[string]float64{}
	var order []string
	for _, a := range b.requests {
		id, _, _ := strings.Cut(a.ID, ".")
		if first[id] == nil {
			first[id] = a
			order = append(order, id)
		}
		got[id] = max(got[id], earned(a, first[id].SentAt, classes[a.Class]))
	}
	for _, id := range order {
		a := first[id]
		s.add(a, classes[a.Class].PriorityWeight, got[id])
	}
	return s
}

// earned is the worth of what a try brought, counted from the first try.
func earned(a *Request, since time.Duration, class scheduler.Class) float64 {
	if len(a.Responses) == 0 || a.Responses[0].Outcome != "served" || !a.Responses[0].Complete {
		return 0
	}
	if a.Responses[0].At-since <= class.LatencyObjective {
		return class.PriorityWeight
	}
	return class.PriorityWeight * class.LateWeight
}

func (s *Score) add(a *Request, asked, got float64) {
	s.Requests++
	second := int(a.SentAt / time.Second)
	s.Timeline.add(second, asked, got)
	for _, x := range []struct {
		table map[string]*Timeline
		name  string
	}{{s.ByClass, a.Class}, {s.ByTenant, a.Tenant}} {
		if x.table[x.name] == nil {
			x.table[x.name] = &Timeline{}
		}
		x.table[x.name].add(second, asked, got)
	}
}
