package model

import "time"

// StoreConfig describes the function store that all workers share.
type StoreConfig struct {
	Places         float64       // fetches that it serves at full pace
	Limit          int           // fetches in hand beyond which it turns away
	OutageMultiple float64       // with more than this many times Places asked for, turned away included,
	OutageAfter    time.Duration // for so long, it stops
	OutageDuration time.Duration // for so long
}

// Store is the model of the function store: slow when crowded, refusing beyond a limit, and stopped for a
// while when it is pushed far over what it can do.
type Store struct {
	cfg      StoreConfig
	clock    Clock
	shared   *ProcessorSharing
	outages  int // under way
	slowdown float64
	failures Sampler
	asked    []time.Duration // since FallAfter ago: when, and
	work     []time.Duration // how much

	StoreTotals
}

// StoreTotals count what was asked of a Store.
type StoreTotals struct{ Fetches, Rejected, Outages int }

// NewStore returns a Store at work.
func NewStore(c Clock, cfg StoreConfig) *Store {
	return &Store{cfg: cfg, clock: c, shared: NewProcessorSharing(c, cfg.Places)}
}

// Fetch asks for an artefact that takes work to fetch alone; done tells whether it came.
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

// press counts what is asked of the store and stops it where that is too much for too long.
func (s *Store) recordDemand(work time.Duration) {
	if s.cfg.OutageMultiple <= 0 || s.outages > 0 {
		return
	}
	now := s.clock.Now()
	s.asked, s.work = append(s.asked, now), append(s.work, work)
	for len(s.asked) > 0 && s.asked[0] <= now-s.cfg.OutageAfter {
		s.asked, s.work = s.asked[1:], s.work[1:]
	}
	total := time.Duration(0)
	for _, w := range s.work {
		total += w
	}
	if float64(total) > s.cfg.OutageMultiple*s.cfg.Places*float64(s.cfg.OutageAfter) {
		s.Outages++
		s.StartOutage(s.cfg.OutageDuration)
	}
}

// Stop makes the store turn everything away for a while; fetches under way stand still until then.
func (s *Store) StartOutage(d time.Duration) {
	s.outages++
	s.updateSpeed()
	s.clock.After(d, func() {
		s.outages--
		s.asked, s.work = nil, nil
		s.updateSpeed()
	})
}

// Slow makes fetches take factor times as long from now on; 1 ends it.
func (s *Store) SetSlowdown(factor float64) {
	s.slowdown = factor
	s.updateSpeed()
}

// Fail makes a share of the fetches fail from now on.
func (s *Store) SetFailureShare(share float64) { s.failures = Sampler{Share: share} }

func (s *Store) updateSpeed() {
	if s.outages > 0 {
		s.shared.SetSpeed(0)
		return
	}
	s.shared.SetSpeed(1 / max(1, s.slowdown))
}
