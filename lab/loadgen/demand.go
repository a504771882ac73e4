package loadgen

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Demand holds the changes that faults make to the requests of a Mix.
type Demand struct {
	DisconnectShare float64                 // fraction of requests whose client disconnects early
	RateFactor      float64                 // factor on the arrival rate
	HotShare        float64                 // fraction of requests for hot functions, which nothing requested before
	HotFunctions    int                     // number of hot functions of each class
	HotPeriod       int                     // number of the hot period; each period has hot functions of its own
	ScanShare       float64                 // fraction of requests for functions requested only once, added to the Mix's
	TimeoutFactor   float64                 // factor on clients' timeouts
	WorkFactor      float64                 // factor on the work of requests
	Tenants         map[string]TenantDemand // changes of single tenants, by tenant name
}

// TenantDemand is what one tenant does differently from the others. The zero value changes nothing.
type TenantDemand struct {
	RateFactor float64 // factor on the tenant's arrival rate; 0 means 1
	Silent     bool    // the tenant sends no requests
	Retries    int     // number of immediate retries by RetryAlways; 0 keeps the Mix's retry policy
	ScanShare  float64 // fraction of the tenant's requests for functions requested only once
	WorkFactor float64 // factor on the work of the tenant's requests; 0 means 1
}

// ChangeTenant applies f to the demand of one tenant.
func (d *Demand) ChangeTenant(tenant string, f func(*TenantDemand)) {
	own := d.Tenants[tenant]
	if f(&own); own == (TenantDemand{}) {
		delete(d.Tenants, tenant)
	} else {
		d.Tenants[tenant] = own
	}
}

// Change applies f to the demand, from the next request on. It returns an error if f changed the demand of an unknown
// tenant, and discards that tenant's change.
func (s *Source) Change(f func(*Demand)) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.demand)
	for _, name := range slices.Sorted(maps.Keys(s.demand.Tenants)) {
		if !slices.Contains(s.tenants, name) {
			delete(s.demand.Tenants, name)
			return fmt.Errorf("unknown tenant %q; known tenants: %v", name, s.tenants)
		}
	}
	return nil
}

// floodShares returns the requests that tenants with a raised rate send in addition, as fractions of the mean rate, by
// tenant and in total.
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
		if factor := s.demand.Tenants[name].RateFactor; factor > 1 {
			byTenant[i] = (factor - 1) * s.shares[i] / total
			all += byTenant[i]
		}
	}
	return byTenant, all
}

// applyTenantDemand changes a drawn request as the demand of its tenant says.
func (s *Source) applyTenantDemand(c *Request) {
	own := s.demand.Tenants[c.Tenant]
	if own.Retries > 0 {
		c.RetryPolicy, c.Retries = RetryAlways, own.Retries
	}
	if own.WorkFactor > 0 {
		c.Work = time.Duration(own.WorkFactor * float64(c.Work))
	}
	if own.ScanShare > 0 && s.rng.Float64() < own.ScanShare {
		c.Function = s.uniqueFunction(c.Class)
	}
	if s.mix.OwnFunctions {
		c.Function = c.Tenant + "-" + c.Function
	}
}
