package loadgen

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Demand is what faults change of what clients ask for, beside their Mix.
type Demand struct {
	DisconnectShare float64                 // share of clients that disconnect early
	RateFactor      float64                 // factor on the rate
	HotShare        float64                 // share of requests for new functions
	HotFunctions    int                     // number of new functions of each class
	HotSpell        int                     // counts the periods of new functions: each has its own
	ScanShare       float64                 // share of requests for functions that are requested once only, beside the Mix's
	TimeoutFactor   float64                 // factor on clients' timeouts
	WorkFactor      float64                 // factor on the work of requests
	Tenants         map[string]TenantDemand // by tenant
}

// TenantDemand is what one tenant does differently from the others. The zero value changes nothing.
type TenantDemand struct {
	RateFactor float64 // factor on its rate; 0: 1
	Silent     bool    // it sends no requests
	Repeats    int     // its clients retry at once so many times, whatever they are advised
	ScanShare  float64 // share of its requests for functions that are requested once only
	WorkFactor float64 // factor on the work of its requests; 0: 1
}

// ChangeTenant changes what one tenant does.
func (d *Demand) ChangeTenant(tenant string, f func(*TenantDemand)) {
	own := d.Tenants[tenant]
	if f(&own); own == (TenantDemand{}) {
		delete(d.Tenants, tenant)
	} else {
		d.Tenants[tenant] = own
	}
}

// Change changes the demand from the next request on. Its error names a tenant that is unknown; that tenant's demand is
// not changed then.
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

// floodShares is what tenants that flood add, in shares of the mean rate, by tenant and in all.
func (s *Source) floodShares() (byTenant []float64, all float64) {
	if len(s.demand.Tenants) == 0 {
		return nil, 0
	}
	total := 0.0
	for _, x := range s.shares {
		total += x
	}
	byTenant = make([]float64, len(s.tenants))
	for i, name := range s.tenants {
		if times := s.demand.Tenants[name].RateFactor; times > 1 {
			byTenant[i] = (times - 1) * s.shares[i] / total
			all += byTenant[i]
		}
	}
	return byTenant, all
}

// applyTenantDemand changes a drawn request by its tenant's demand.
func (s *Source) applyTenantDemand(c *Request) {
	own := s.demand.Tenants[c.Tenant]
	if own.Repeats > 0 {
		c.RetryPolicy, c.Retries = RetryAlways, own.Repeats
	}
	if own.WorkFactor > 0 {
		c.Work = time.Duration(own.WorkFactor * float64(c.Work))
	}
	if own.ScanShare > 0 && s.rng.Float64() < own.ScanShare {
		c.Function = s.functionRequestedOnce(c.Class)
	}
	if s.mix.OwnFunctions {
		c.Function = c.Tenant + "-" + c.Function
	}
}
