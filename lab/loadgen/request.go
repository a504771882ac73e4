// Package loadgen decides what clients ask for and when: arrivals, mixes of functions, patience and the habit of
// repeating. It is pure and seeded, so that the same clients call in real and in virtual time.
package loadgen

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"havencart/internal/config/gatewayconfig"
)

// Call is what a client asks for.
type Call struct {
	ID, Function, Class, Tenant, IdempotencyKey string
	Timeout                                     time.Duration
	Work                                        time.Duration // that the worker is to do
	ResponseBytes                               int           // bytes that the worker is to answer
	PaddingBytes                                int           // bytes added to the call's body
	MemoryMB                                    float64
	Concurrency                                 int
	LoadTime                                    time.Duration
	DisconnectAfter                             time.Duration // the client closes then; 0: it stays
	RetryPolicy                                 Habit
	Retries                                     int
}

// Shape is how the rate of arrivals changes over a run.
type Shape string

// The shapes.
const (
	Steady Shape = "steady"
	Bursty Shape = "bursty" // for a fifth of each ten seconds twice the rate, else less, so that the mean holds
	Ramp   Shape = "ramp"   // from a half to one and a half times the rate
	Daily  Shape = "daily"  // a sine with one period, between 0.4 and 1.6 times the rate
)

// Habit is what a client does after a refusal.
type Habit string

// The habits.
const (
	Never    Habit = "never"
	AtOnce   Habit = "at-once"  // repeats at once, whatever it is told
	Wait     Habit = "wait"     // repeats after a wait of its own that doubles
	Advised  Habit = "advised"  // repeats when it is told to
	Impolite Habit = "impolite" // repeats at once, also after failures that promise nothing; for storms
)

// Mix is what clients ask for.
type Mix struct {
	Rate      float64 // calls a second over all, the mean of the run
	Shape     Shape
	Functions int           // of each class, called by Zipf's law
	Zipf      float64       // its exponent, above 1
	Once      float64       // share of calls for functions that are wanted once only
	Drift     time.Duration // after each of these, a fifth of the functions give way to others; 0: never
	Work      time.Duration // mean of the work of a call
	WorkSigma float64       // of its lognormal distribution
	Load      time.Duration
	MemoryMB  float64
	Reply     int           // bytes of an answer at most, drawn evenly
	Patience  time.Duration // at most; drawn from half of it up
	Habit     Habit
	Retries   int

	OwnFunctions bool // each tenant calls functions of its own
}

// Source draws the calls of a Mix one after another.
type Source struct {
	mix      Mix
	duration time.Duration
	classes  []string
	tenants  []string
	shares   []float64
	rng      *rand.Rand
	zipf     *rand.Zipf
	time     time.Duration
	count    int

	mu     sync.Mutex
	demand Demand
}

// NewSource returns the calls that a run of lasts draws. Tenants ask by their shares.
func NewSource(m Mix, lasts time.Duration, classes, tenants []string, shares []float64, seed uint64) *Source {
	rng := rand.New(rand.NewPCG(seed, 0x6c6f6164))
	return &Source{
		mix: m, duration: lasts, classes: classes, tenants: tenants, shares: shares, rng: rng,
		demand: Demand{RateFactor: 1, TimeoutFactor: 1, WorkFactor: 1, Tenants: map[string]TenantDemand{}},
		zipf:   rand.NewZipf(rng, cmp.Or(m.Zipf, 1.3), 2, uint64(max(1, m.Functions)-1)),
	}
}

// ForSettings returns the calls that a run draws for the classes and tenants of settings.
func ForSettings(m Mix, lasts time.Duration, set *gatewayconfig.Settings, seed uint64) *Source {
	var classes, tenants []string
	var shares []float64
	for _, c := range set.Classes {
		classes = append(classes, c.Name)
	}
	for _, t := range set.Tenants {
		tenants, shares = append(tenants, t.Name), append(shares, t.Share)
	}
	return NewSource(m, lasts, classes, tenants, shares, seed)
}

// pace is the rate at a time, of the mean rate.
func (s *Source) relativeRate(at time.Duration) float64 {
	part := float64(at) / float64(max(1, s.duration))
	switch s.mix.Shape {
	case Bursty:
		if at%(10*time.Second) < 2*time.Second {
			return 2
		}
		return 0.75
	case Ramp:
		return 0.5 + part
	case Daily:
		return 1 - 0.6*math.Cos(2*math.Pi*part)
	}
	return 1
}

// Next draws the next call and when it comes; false when the run is over. Arrivals are a Poisson process that
// does not wait for answers, so that a slow server is not spared.
func (s *Source) Next() (time.Duration, Call, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		at, c, more := s.draw()
		if !more || !s.demand.Tenants[c.Tenant].Silent {
			return at, c, more
		}
	}
}

// draw draws a call, also of a tenant that is silent.
func (s *Source) draw() (time.Duration, Call, bool) {
	m := &s.mix
	floods, flood := s.floodShares()
	rate := m.Rate * s.relativeRate(s.time) * s.demand.RateFactor
	s.time += time.Duration(s.rng.ExpFloat64() / (rate * (1 + flood)) * float64(time.Second))
	if s.time >= s.duration {
		return 0, Call{}, false
	}
	s.count++
	class := s.classes[s.rng.IntN(len(s.classes))]
	c := Call{
		ID: fmt.Sprintf("c%d", s.count), IdempotencyKey: fmt.Sprintf("k%d", s.count), Class: class, Function: s.drawFunction(class),
		Timeout: m.Patience/2 + time.Duration(s.rng.Float64()*float64(m.Patience/2)), MemoryMB: m.MemoryMB, Concurrency: 2, LoadTime: m.Load,
		RetryPolicy: m.Habit, Retries: m.Retries,
	}
	c.Timeout = time.Duration(s.demand.TimeoutFactor * float64(c.Timeout))
	sigma := m.WorkSigma
	c.Work = time.Duration(s.demand.WorkFactor * float64(m.Work) * math.Exp(sigma*s.rng.NormFloat64()-sigma*sigma/2))
	if m.Reply > 0 {
		c.ResponseBytes = s.rng.IntN(m.Reply)
	}
	if len(s.tenants) > 0 {
		shares := s.shares
		if s.rng.Float64() < flood/(1+flood) {
			shares = floods
		}
		c.Tenant = s.drawTenant(shares)
	}
	s.applyTenantDemand(&c)
	if s.rng.Float64() < s.demand.DisconnectShare {
		c.DisconnectAfter = 1 + time.Duration(s.rng.Float64()*float64(c.Timeout/2))
	}
	return s.time, c, true
}

// function draws the function of a call.
func (s *Source) drawFunction(class string) string {
	d := &s.demand
	once := s.mix.Once + d.ScanShare
	switch x := s.rng.Float64(); {
	case x < once:
		return fmt.Sprintf("%s-once-%d", class, s.count)
	case x < once+d.HotShare:
		return fmt.Sprintf("%s-hot-%d-%d", class, d.HotSpell, s.rng.IntN(max(1, d.HotFunctions)))
	}
	rank := s.zipf.Uint64()
	if s.mix.Drift > 0 {
		if spells := int(s.time / s.mix.Drift); int(rank)%5 == spells%5 {
			return fmt.Sprintf("%s-%d-%d", class, rank, spells)
		}
	}
	return fmt.Sprintf("%s-%d", class, rank)
}

// tenant draws a tenant by shares.
func (s *Source) drawTenant(shares []float64) string {
	total := 0.0
	for _, x := range shares {
		total += x
	}
	x := s.rng.Float64() * total
	for i, share := range shares {
		if x -= share; x < 0 {
			return s.tenants[i]
		}
	}
	return s.tenants[len(s.tenants)-1]
}

// Again says whether a client tries again after its try (from 0) ended so, and after which wait.
func (c *Call) Retry(try int, outcome string, advice time.Duration) (time.Duration, bool) {
	if try >= c.Retries || outcome == "served" {
		return 0, false
	}
	if outcome != "refused" && outcome != "unreachable" {
		return 0, c.RetryPolicy == Impolite
	}
	switch c.RetryPolicy {
	case AtOnce, Impolite:
		return 0, true
	case Wait:
		return 50 * time.Millisecond << min(try, 6), true
	case Advised:
		return advice, true
	}
	return 0, false
}
