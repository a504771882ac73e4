package model

import "time"

// StoreConfig configures the function store that all workers share.
type StoreConfig struct {
	Concurrency    float64       // number of concurrent fetches that are served at full speed
	Limit          int           // number of concurrent fetches at which further fetches are rejected
	OutageMultiple float64       // demand that causes an outage, as a multiple of the store's capacity; 0: none does
	OutageAfter    time.Duration // window over which demand is measured; rejected fetches count
	OutageDuration time.Duration
}

// Store is the model of the function store. Concurrent fetches slow each other down, fetches beyond a limit are
// rejected, and demand far above the store's capacity causes an outage.
type Store struct {
	cfg        StoreConfig
	clock      Clock
	shared     *ProcessorSharing
	outages    int     // number of outages in progress
	slowdown   float64 // factor on the duration of all fetches
	failures   Sampler
	recentWork []arrival // demand within the last OutageAfter

	StoreTotals
}

// StoreTotals counts the fetches that a Store accepted and rejected, and its outages that were caused by demand.
type StoreTotals struct{ Fetches, Rejected, Outages int }

// NewStore returns a Store without faults.
func NewStore(c Clock, cfg StoreConfig) *Store {
	return &Store{cfg: cfg, clock: c, shared: NewProcessorSharing(c, cfg.Concurrency)}
}

// Fetch fetches an artefact. work is the duration of the fetch when nothing else is being fetched. done receives
// whether the fetch succeeded. For a rejected fetch, done is called before Fetch returns.
func (s *Store) Fetch(work time.Duration, done func(ok bool)) {
	s.recordDemand(work)
	if s.outages > 0 || s.shared.Len() >= s.cfg.Limit || s.failures.Next() {
		s.Rejected++
		done(false)
		return
	}
	s.Fetches++
	s.shared.Add(work, func() { done(true) })
}

// recordDemand records the demand of a fetch, and starts an outage if the demand within the window exceeds the limit.
func (s *Store) recordDemand(work time.Duration) {
	if s.cfg.OutageMultiple <= 0 || s.outages > 0 {
		return
	}
	now := s.clock.Now()
	s.recentWork = append(s.recentWork, arrival{now, work})
	for len(s.recentWork) > 0 && s.recentWork[0].at <= now-s.cfg.OutageAfter {
		s.recentWork = s.recentWork[1:]
	}
	total := time.Duration(0)
	for _, a := range s.recentWork {
		total += a.work
	}
	if float64(total) > s.cfg.OutageMultiple*s.cfg.Concurrency*float64(s.cfg.OutageAfter) {
		s.Outages++
		s.StartOutage(s.cfg.OutageDuration)
	}
}

// StartOutage makes the store reject all fetches for d. Fetches in progress are suspended until the outage ends.
func (s *Store) StartOutage(d time.Duration) {
	s.outages++
	s.updateSpeed()
	s.clock.After(d, func() {
		s.outages--
		s.recentWork = nil
		s.updateSpeed()
	})
}

// SetSlowdown makes fetches take factor times as long from now on. A factor of 1 ends the fault.
func (s *Store) SetSlowdown(factor float64) {
	s.slowdown = factor
	s.updateSpeed()
}

// SetFailureShare makes a share of the fetches fail from now on. A share of 0 ends the fault.
func (s *Store) SetFailureShare(share float64) { s.failures = Sampler{Share: share} }

func (s *Store) updateSpeed() {
	if s.outages > 0 {
		s.shared.SetSpeed(0)
		return
	}
	s.shared.SetSpeed(1 / max(1, s.slowdown))
}
