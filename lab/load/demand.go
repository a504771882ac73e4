package load

import (
	"fmt"
	"maps"
	"slices"
)

// Demand is what troubles change of what clients ask for, beside their Mix.
type Demand struct {
	Leaving      float64            // share of clients that leave early
	Surge        float64            // times the rate
	Hot          float64            // share of calls for functions that nobody called before
	HotFunctions int                // so many of each class
	HotSpell     int                // counts the spells: each has functions of its own
	Scan         float64            // share of calls for functions wanted once only, beside the Mix's
	Patience     float64            // times the patience
	Work         float64            // times the work
	Floods       map[string]float64 // tenants that ask so many times what they usually do
	Repeats      map[string]int     // tenants whose clients repeat at once so many times, whatever they are told
}

// Change changes the demand from the next call on. Who asks for what is not changed where an error is returned.
func (s *Source) Change(f func(*Demand)) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.demand)
	for _, name := range slices.Concat(slices.Collect(maps.Keys(s.demand.Floods)), slices.Collect(maps.Keys(s.demand.Repeats))) {
		if !slices.Contains(s.tenants, name) {
			delete(s.demand.Floods, name)
			delete(s.demand.Repeats, name)
			return fmt.Errorf("no tenant %q; there are: %v", name, s.tenants)
		}
	}
	return nil
}

// flood is what floods add, in shares of the mean rate, by tenant and in all.
func (s *Source) flood() (by []float64, all float64) {
	if len(s.demand.Floods) == 0 {
		return nil, 0
	}
	total := 0.0
	for _, x := range s.shares {
		total += x
	}
	by = make([]float64, len(s.tenants))
	for i, name := range s.tenants {
		if times := s.demand.Floods[name]; times > 1 {
			by[i] = (times - 1) * s.shares[i] / total
			all += by[i]
		}
	}
	return by, all
}
