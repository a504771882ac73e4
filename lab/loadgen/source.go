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

// Shape is how the rate of arrivals changes over a run. Its values are the words of experiment files.
type Shape string

// The shapes.
const (
	Steady Shape = "steady"
	Bursty Shape = "bursty" // for a fifth of each ten seconds twice the rate, else less, so that the mean holds
	Ramp   Shape = "ramp"   // from a half to one and a half times the rate
	Daily  Shape = "daily"  // a sine with one period, between 0.4 and 1.6 times the rate
)

// Mix is what clients ask for.
type Mix struct {
	Rate               float64 // requests a second in all, the mean of the run
	Shape              Shape
	Functions          int           // of each class, with popularity by Zipf's law
	Zipf               float64       // its exponent, above 1; 0: 1.3
	RequestedOnceShare float64       // share of requests for functions that are requested once only
	Drift              time.Duration // after each of these, a fifth of the functions are replaced by others; 0: never
	Work               time.Duration // mean of the work of a request
	WorkSigma          float64       // of its lognormal distribution
	LoadTime           time.Duration // of a replica
	MemoryMB           float64       // of a replica
	ResponseBytes      int           // bytes of a response at most, distributed evenly
	Timeout            time.Duration // timeout of a client at most; drawn from half of it up
	RetryPolicy        RetryPolicy
	Retries            int

	OwnFunctions bool // each tenant requests functions of its own
}

const (
	defaultZipf        = 1.3
	zipfOffset         = 2
	replicaConcurrency = 2
	randomStream       = 0x6c6f6164 // of the source's generator, beside those with the same seed
	driftParts         = 5          // functions of one part in these change with each drift
)

// Source draws the requests of a Mix one after another.
type Source struct {
	mix      Mix
	duration time.Duration
	classes  []string
	tenants  []string
	shares   []float64 // of the tenants
	rng      *rand.Rand
	zipf     *rand.Zipf
	time     time.Duration // of the last arrival
	count    int           // of requests drawn

	mu     sync.Mutex
	demand Demand
}

// NewSource returns the requests of a run of some duration. Tenants have the given shares of them.
func NewSource(m Mix, duration time.Duration, classes, tenants []string, shares []float64, seed uint64) *Source {
	rng := rand.New(rand.NewPCG(seed, randomStream))
	return &Source{
		mix:      m,
		duration: duration,
		classes:  classes,
		tenants:  tenants,
		shares:   shares,
		rng:      rng,
		zipf:     rand.NewZipf(rng, cmp.Or(m.Zipf, defaultZipf), zipfOffset, uint64(max(1, m.Functions)-1)),
		demand:   Demand{RateFactor: 1, TimeoutFactor: 1, WorkFactor: 1, Tenants: map[string]TenantDemand{}},
	}
}

// ForSettings returns the requests of a run for the classes and tenants of a front end's settings.
func ForSettings(m Mix, duration time.Duration, settings *gatewayconfig.Settings, seed uint64) *Source {
	var classes, tenants []string
	var shares []float64
	for _, c := range settings.Classes {
		classes = append(classes, c.Name)
	}
	for _, t := range settings.Tenants {
		tenants, shares = append(tenants, t.Name), append(shares, t.Share)
	}
	return NewSource(m, duration, classes, tenants, shares, seed)
}

// Next draws the next request and its time; false when the run is over. Arrivals are a Poisson process that does not
// wait for responses, so that a slow server is not spared. It may be called while Change is.
func (s *Source) Next() (at time.Duration, request Request, more bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		at, request, more = s.drawRequest()
		if !more || !s.demand.Tenants[request.Tenant].Silent {
			return at, request, more
		}
	}
}

// drawRequest draws a request, also of a tenant that is silent. The order of the random draws decides what a seed
// gives.
func (s *Source) drawRequest() (time.Duration, Request, bool) {
	mix := &s.mix
	floods, flood := s.floodShares()
	rate := mix.Rate * s.relativeRate(s.time) * s.demand.RateFactor
	s.time += time.Duration(s.rng.ExpFloat64() / (rate * (1 + flood)) * float64(time.Second))
	if s.time >= s.duration {
		return 0, Request{}, false
	}
	s.count++
	class := s.classes[s.rng.IntN(len(s.classes))]
	request := Request{
		ID:             fmt.Sprintf("c%d", s.count),
		IdempotencyKey: fmt.Sprintf("k%d", s.count),
		Class:          class,
		Function:       s.drawFunction(class),
		Timeout:        s.drawTimeout(),
		Work:           s.drawWork(),
		MemoryMB:       mix.MemoryMB,
		Concurrency:    replicaConcurrency,
		LoadTime:       mix.LoadTime,
		RetryPolicy:    mix.RetryPolicy,
		Retries:        mix.Retries,
	}
	if mix.ResponseBytes > 0 {
		request.ResponseBytes = s.rng.IntN(mix.ResponseBytes)
	}
	if len(s.tenants) > 0 {
		shares := s.shares
		if s.rng.Float64() < flood/(1+flood) {
			shares = floods
		}
		request.Tenant = s.drawTenant(shares)
	}
	s.applyTenantDemand(&request)
	if s.rng.Float64() < s.demand.DisconnectShare {
		request.DisconnectAfter = 1 + time.Duration(s.rng.Float64()*float64(request.Timeout/2))
	}
	return s.time, request, true
}

func (s *Source) drawTimeout() time.Duration {
	longest := s.mix.Timeout
	timeout := longest/2 + time.Duration(s.rng.Float64()*float64(longest/2))
	return time.Duration(s.demand.TimeoutFactor * float64(timeout))
}

func (s *Source) drawWork() time.Duration {
	sigma := s.mix.WorkSigma
	return time.Duration(s.demand.WorkFactor * float64(s.mix.Work) * math.Exp(sigma*s.rng.NormFloat64()-sigma*sigma/2))
}

// drawFunction draws the function of a request.
func (s *Source) drawFunction(class string) string {
	d := &s.demand
	once := s.mix.RequestedOnceShare + d.ScanShare
	switch x := s.rng.Float64(); {
	case x < once:
		return s.functionRequestedOnce(class)
	case x < once+d.HotShare:
		return fmt.Sprintf("%s-hot-%d-%d", class, d.HotSpell, s.rng.IntN(max(1, d.HotFunctions)))
	}
	rank := s.zipf.Uint64()
	if s.mix.Drift > 0 {
		drifts := int(s.time / s.mix.Drift)
		if int(rank)%driftParts == drifts%driftParts {
			return fmt.Sprintf("%s-%d-%d", class, rank, drifts)
		}
	}
	return fmt.Sprintf("%s-%d", class, rank)
}

// functionRequestedOnce is a function that no other request is for.
func (s *Source) functionRequestedOnce(class string) string {
	return fmt.Sprintf("%s-once-%d", class, s.count)
}

// drawTenant draws a tenant by shares.
func (s *Source) drawTenant(shares []float64) string {
	total := 0.0
	for _, x := range shares {
		total += x
	}
	x := s.rng.Float64() * total
	for i, share := range shares {
		x -= share
		if x < 0 {
			return s.tenants[i]
		}
	}
	return s.tenants[len(s.tenants)-1]
}

const (
	burstPeriod = 10 * time.Second
	burstLength = 2 * time.Second
)

// relativeRate is the rate at a time, relative to the mean rate.
func (s *Source) relativeRate(at time.Duration) float64 {
	elapsed := float64(at) / float64(max(1, s.duration))
	switch s.mix.Shape {
	case Bursty:
		if at%burstPeriod < burstLength {
			return 2
		}
		return 0.75
	case Ramp:
		return 0.5 + elapsed
	case Daily:
		return 1 - 0.6*math.Cos(2*math.Pi*elapsed)
	}
	return 1
}
