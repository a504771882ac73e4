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

// Shape is how the arrival rate changes over a run. Its values are the words that experiment files use.
type Shape string

// The shapes.
const (
	Steady Shape = "steady"
	Bursty Shape = "bursty" // twice the rate for 2 s of every 10 s and 0.75 of it otherwise, which keeps the mean
	Ramp   Shape = "ramp"   // rises linearly from 0.5 to 1.5 times the rate
	Daily  Shape = "daily"  // one sine period between 0.4 and 1.6 times the rate, lowest at the start and the end
)

// Mix describes the requests of all clients.
type Mix struct {
	Rate               float64 // requests per second of all clients, mean over the run
	Shape              Shape
	Functions          int           // number of functions of each class; their popularity follows Zipf's law
	Zipf               float64       // exponent of Zipf's law, above 1; 0 means 1.3
	RequestedOnceShare float64       // fraction of requests for functions requested only once
	Drift              time.Duration // interval at which another fifth of the functions is replaced; 0 means never
	Work               time.Duration // mean of the work of a request
	WorkSigma          float64       // sigma of the lognormal distribution of the work
	LoadTime           time.Duration // time to load a replica
	MemoryMB           float64       // memory of each replica
	ResponseBytes      int           // upper bound of the size of a response's body, which is distributed uniformly from 0
	Timeout            time.Duration // upper bound of a client's timeout, which is distributed uniformly from half of it
	RetryPolicy        RetryPolicy
	Retries            int // maximum number of retries of a request

	OwnFunctions bool // each tenant requests functions of its own
}

const (
	defaultZipf        = 1.3
	zipfOffset         = 2
	replicaConcurrency = 2
	randomStream       = 0x6c6f6164 // PCG stream of the source, unlike that of other generators with the same seed
	driftParts         = 5          // number of parts of the functions, of which each drift replaces one
)

// Source draws the requests of a Mix one after another.
type Source struct {
	mix      Mix
	duration time.Duration
	classes  []string
	tenants  []string
	shares   []float64 // relative shares of the tenants in the requests
	rng      *rand.Rand
	zipf     *rand.Zipf
	time     time.Duration // time of the last arrival
	count    int           // number of requests drawn

	mu     sync.Mutex
	demand Demand
}

// NewSource returns a Source for a run of the given duration. Each request has a class chosen uniformly and a tenant
// chosen by shares, which has one entry per tenant and need not add up to 1.
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

// NewSourceForSettings returns a Source for a run of the given duration with the classes and tenants of a front end's
// settings.
func NewSourceForSettings(m Mix, duration time.Duration, settings *gatewayconfig.Settings, seed uint64) *Source {
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

// Next draws the next request and its arrival time; more is false when the run is over. Arrivals are a Poisson process
// that does not wait for responses (open loop), so that a slow server does not lower its own load. Next and Change may
// be called concurrently.
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

// drawRequest draws a request, which may be of a silent tenant. The order of the random draws must not change, because
// it determines the requests that a seed yields.
func (s *Source) drawRequest() (time.Duration, Request, bool) {
	mix := &s.mix
	floodByTenant, flood := s.floodShares()
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
			shares = floodByTenant
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
		return s.uniqueFunction(class)
	case x < once+d.HotShare:
		return fmt.Sprintf("%s-hot-%d-%d", class, d.HotPeriod, s.rng.IntN(max(1, d.HotFunctions)))
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

// uniqueFunction returns the name of a function that no other request is for.
func (s *Source) uniqueFunction(class string) string {
	return fmt.Sprintf("%s-once-%d", class, s.count)
}

// drawTenant draws a tenant with a probability proportional to its share.
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

// relativeRate returns the arrival rate at the given time, relative to the mean rate.
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
