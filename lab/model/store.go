package model

import "time"

// StoreConfig describes the function store that all workers share.
type StoreConfig struct {
	Concurrency    float64       // fetches that it serves at full speed
	Limit          int           // fetches at a time beyond which it rejects
	OutageMultiple float64       // it stops when asked for more than this many times what it can do; 0: never
	OutageAfter    time.Duration // over this window, rejected fetches included
	OutageDuration time.Duration
}

// Store is the model of the function store: slow when crowded, rejecting beyond a limit, and stopped for a while when
// it is pushed far beyond what it can do.
type Store struct {
	cfg        StoreConfig
	clock      Clock
	shared     *ProcessorSharing
	outages    int     // under way
	slowdown   float64 // factor on the time of all fetches
	failures   Sampler
	recentWork []arrival // asked for within OutageAfter

	StoreTotals
}

// StoreTotals count what was asked of a Store.
type StoreTotals struct{ Fetches, Rejected, Outages int }

// NewStore returns a Store without faults.
func NewStore(c Clock, cfg StoreConfig) *Store {
	return &Store{cfg: cfg, clock: c, shared: NewProcessorSharing(c, cfg.Concurrency)}
}

// Fetch asks for an artefact that takes work to fetch alone. done reports whether it was fetched; for a rejected fetch
// it is called before Fetch returns.
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

// recordDemand records what is asked of the store, and starts an outage where that is too much within the window.
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

// StartOutage makes the store reject everything for d; fetches under way stop until then.
func (s *Store) StartOutage(d time.Duration) {
	s.outages++
	s.updateSpeed()
	s.clock.After(d, func() {
		s.outages--
		s.recentWork = nil
		s.updateSpeed()
	})
}

// SetSlowdown makes fetches take factor times as long from now on; 1 ends it.
func (s *Store) SetSlowdown(factor float64) {
	s.slowdown = factor
	s.updateSpeed()
}

// SetFailureShare makes a share of the fetches fail from now on; 0 ends it.
func (s *Store) SetFailureShare(share float64) { s.failures = Sampler{Share: share} }

func (s *Store) updateSpeed() {
	if s.outages > 0 {
		s.shared.SetSpeed(0)
		return
	}
	s.shared.SetSpeed(1 / max(1, s.slowdown))
}
