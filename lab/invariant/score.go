package invariant

import (
	"strings"
	"time"

	"havencart/scheduler"
)

// Score is service: the worth answered in time over the worth asked, a client's repeats counted as part of its
// first try. An answer after its aim earns what the class keeps of a late one.
type Score struct {
	Course
	Calls    int // first tries
	ByClass  map[string]*Course
	ByTenant map[string]*Course
}

// Course is a part of a Score over time.
type Course struct {
	Part
	Seconds []Part // by the second of the first try
}

func (c *Course) add(second int, asked, got float64) {
	c.Asked += asked
	c.Got += got
	for len(c.Seconds) <= second {
		c.Seconds = append(c.Seconds, Part{})
	}
	c.Seconds[second].Asked += asked
	c.Seconds[second].Got += got
}

// Part is a part of a Score.
type Part struct{ Asked, Got float64 } // worth

// Share is the part's service, 1 where nothing was asked.
func (p Part) Share() float64 {
	if p.Asked == 0 {
		return 1
	}
	return p.Got / p.Asked
}

// Service is the whole run's.
func (s Score) Service() float64 { return s.Share() }

// Worst is the least service of any stretch of so many seconds.
func (s Score) Worst(seconds int) float64 {
	worst := 1.0
	for i := 0; i+seconds <= len(s.Seconds); i++ {
		var sum Part
		for _, p := range s.Seconds[i : i+seconds] {
			sum.Asked += p.Asked
			sum.Got += p.Got
		}
		worst = min(worst, sum.Share())
	}
	return worst
}

// Score scores what clients saw. Tries are told by their ids: "call.try".
func (b *Book) Score(classes map[string]scheduler.Class) Score {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := Score{ByClass: map[string]*Course{}, ByTenant: map[string]*Course{}}
	first := map[string]*Ask{}
	got := map[string]float64{}
	var order []string
	for _, a := range b.asks {
		id, _, _ := strings.Cut(a.ID, ".")
		if first[id] == nil {
			first[id] = a
			order = append(order, id)
		}
		got[id] = max(got[id], earned(a, first[id].Sent, classes[a.Class]))
	}
	for _, id := range order {
		a := first[id]
		s.add(a, classes[a.Class].PriorityWeight, got[id])
	}
	return s
}

// earned is the worth of what a try brought, counted from the first try.
func earned(a *Ask, since time.Duration, class scheduler.Class) float64 {
	if len(a.Answers) == 0 || a.Answers[0].Outcome != "served" || !a.Answers[0].Whole {
		return 0
	}
	if a.Answers[0].At-since <= class.LatencyObjective {
		return class.PriorityWeight
	}
	return class.PriorityWeight * class.LateWeight
}

func (s *Score) add(a *Ask, asked, got float64) {
	s.Calls++
	second := int(a.Sent / time.Second)
	s.Course.add(second, asked, got)
	for _, x := range []struct {
		table map[string]*Course
		name  string
	}{{s.ByClass, a.Class}, {s.ByTenant, a.Tenant}} {
		if x.table[x.name] == nil {
			x.table[x.name] = &Course{}
		}
		x.table[x.name].add(second, asked, got)
	}
}
