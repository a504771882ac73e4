package loadgen

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Demand is what troubles change of what clients ask for, beside their Mix.
type Demand struct {
	DisconnectShare float64                 // share of clients that leave early
	RateFactor      float64                 // times the rate
	HotShare        float64                 // share of calls for functions that nobody called before
	HotFunctions    int                     // so many of each class
	HotSpell        int                     // counts the spells: each has functions of its own
	ScanShare       float64                 // share of calls for functions wanted once only, beside the Mix's
	TimeoutFactor   float64                 // times the patience
	WorkFactor      float64                 // times the work
	Tenants         map[string]TenantDemand // what single tenants do beside the others
}

// Own is what one tenant does beside the others; the zero value changes nothing.
type TenantDemand struct {
	RateFactor float64 // times what it usually asks
	Silent     bool    // it asks nothing
	Repeats    int     // its clients repeat at once so many times, whatever they are told
	ScanShare  float64 // share of its calls for functions wanted once only
	WorkFactor float64 // times the work of its calls
}

// Of changes what one tenant does.
func (d *Demand) ChangeTenant(tenant string, f func(*TenantDemand)) {
	own := d.Tenants[tenant]
	if f(&own); own == (TenantDemand{}) {
		delete(d.Tenants, tenant)
	} else {
		d.Tenants[tenant] = own
	}
}

// Change changes the demand from the next call on. Who asks for what is not changed where an error is returned.
func (s *Source) Change(f func(*Demand)) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.demand)
	for _, name := range slices.Sorted(maps.Keys(s.demand.Tenants)) {
		if !slices.Contains(s.tenants, name) {
			delete(s.demand.Tenants, name)
			return fmt.Errorf("no tenant %q; there are: %v", name, s.tenants)
		}
	}
	return nil
}

// flood is what floods add, in shares of the mean rate, by tenant and in all.
func (s *Source) floodShares() (by []float64, all float64) {
	if len(s.demand.Tenants) == 0 {
		return nil, 0
	}
	total := 0.0
	for _, x := range s.shares {
		total += x
	}
	by = make([]float64, len(s.tenants))
	for i, name := range s.tenants {
		if times := s.demand.Tenants[name].RateFactor; times > 1 {
			by[i] = (times - 1) * s.shares[i] / total
			all += by[i]
		}
	}
	return by, all
}

// own changes a drawn call as its tenant's own ways say.
func (s *Source) applyTenantDemand(c *Call) {
	own := s.demand.Tenants[c.Tenant]
	if own.Repeats > 0 {
		c.RetryPolicy, c.Retries = Impolite, own.Repeats
	}
	if own.WorkFactor > 0 {
		c.Work = time.Duration(own.WorkFactor * float64(c.Work))
	}
	if own.ScanShare > 0 && s.rng.Float64() < own.ScanShare {
		c.Function = fmt.Sprintf("%s-once-%d", c.Class, s.count)
	}
	if s.mix.OwnFunctions {
		c.Function = c.Tenant + "-" + c.Function
	}
}
