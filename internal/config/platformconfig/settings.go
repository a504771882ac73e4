// Package platformconfig reads the settings object of the users' platform: the one that the bench hands to an instance
// and that a front end on sockets finds in its configuration. It decides nothing.
package platformconfig

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"time"

	"havencart/scheduler"
)

type ms float64

func (m ms) duration() time.Duration { return time.Duration(math.Round(float64(m) * 1e6)) }

// ErrMalformed is wrapped by every error about settings that cannot be read.
var ErrMalformed = errors.New("malformed settings")

// Site is what the settings tell: the module's own, and what only a front end on sockets needs.
type Site struct {
	Control  scheduler.Settings
	Classes  []string      // names, in the order of Control.Classes
	Tenants  []string      // names, in the order of Control.Tenants
	Zones    []string      // names; Control.Zone is an index into them
	Kinds    []string      // names of the kinds of worker
	Streams  int           // calls that one connection to a worker carries at a time
	ConnIdle time.Duration // a worker closes a connection that was idle for so long
	MaxCalls int           // calls in hand
	MemoryMB float64       // of the largest kind of worker, 0 if not told
}

// object mirrors the JSON object; keys it lacks are ignored.
type object struct {
	Balancers int      `json:"balancers"`
	Ordinal   int      `json:"ordinal"`
	Zone      int      `json:"zone"`
	Registry  string   `json:"registryMode"`
	Tick      ms       `json:"resolution"`
	Weights   string   `json:"weights"`
	Classes   []class  `json:"classes"`
	Zones     []string `json:"azs"`
	Kinds     []string `json:"skus"`
	Customers []struct {
		Name    string  `json:"name"`
		Portion float64 `json:"portion"`
		Quota   float64 `json:"quotaPerS"`
	} `json:"customers"`
	Family struct {
		Keep        ms        `json:"keep"`
		FreeLoads   float64   `json:"freeLoads"`
		LoadPart    float64   `json:"loadPart"`
		LoadPeriod  ms        `json:"loadPeriod"`
		LoadWait    ms        `json:"loadWait"`
		MayLoad     bool      `json:"mayLoad"`
		WhenAbsent  string    `json:"whenAbsent"`
		WarmNotes   bool      `json:"warmNotes"`
		PeersInHand bool      `json:"notesPeersInHand"`
		Memory      []float64 `json:"memoryMbByKind"`
	} `json:"familyInfo"`
	Limits struct {
		ConnectTimeout ms   `json:"connectTimeout"`
		ConnIdle       ms   `json:"connIdle"`
		Streams        int  `json:"streamsPerConn"`
		OpenCap        int  `json:"openCap"`
		MaxAttempts    int  `json:"maxAttempts"`
		MaxRetryAfter  ms   `json:"maxRetryAfter"`
		MayCancel      bool `json:"mayCancel"`
		Probes         bool `json:"probes"`
		RetryAfter     bool `json:"retryAfter"`
		SecondCopies   bool `json:"secondCopies"`
	} `json:"limits"`
	Report struct {
		Fields []string `json:"fields"`
	} `json:"loadReport"`
	Rules struct {
		Cold        ms      `json:"cold"`
		ColdFrom    float64 `json:"coldFrom"`
		Fall        ms      `json:"fall"`
		StopSending ms      `json:"stopSendingWithin"`
		TipMultiple float64 `json:"tipMultiple"`
	} `json:"rules"`
}

type class struct {
	Name       string  `json:"name"`
	Deadline   ms      `json:"deadline"`
	OnTime     ms      `json:"onTime"`
	KeyScope   string  `json:"keyScope"`
	LateWorth  float64 `json:"lateWorth"`
	MemorySpan ms      `json:"memorySpan"`
	Repeat     string  `json:"repeat"`
	Worth      float64 `json:"worth"`
}

func (c class) control() (scheduler.Class, error) {
	repeats := map[string]scheduler.Idempotency{
		"retryable": scheduler.Idempotent, "dedup": scheduler.IdempotentByKey, "fragile": scheduler.NonIdempotent,
	}
	scopes := map[string]scheduler.KeyScope{
		"": scheduler.ScopeAll, "all": scheduler.ScopeAll, "zone": scheduler.ScopeZone, "cell": scheduler.ScopeCell,
	}
	repeat, known := repeats[c.Repeat]
	scope, knownScope := scopes[c.KeyScope]
	switch {
	case !known:
		return scheduler.Class{}, fmt.Errorf("repeat is %q", c.Repeat)
	case !knownScope:
		return scheduler.Class{}, fmt.Errorf("keyScope is %q", c.KeyScope)
	}
	return scheduler.Class{
		LatencyObjective: c.OnTime.duration(), Timeout: c.Deadline.duration(), PriorityWeight: c.Worth, LateWeight: c.LateWorth,
		Idempotency: repeat, KeyScope: scope, KeyRetention: c.MemorySpan.duration(),
	}, nil
}

// Parse reads the settings of an instance, which draws its random numbers from seed.
func Parse(text []byte, seed uint64) (Site, error) {
	var in object
	if err := json.Unmarshal(text, &in); err != nil {
		return Site{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	site := Site{Control: in.control(seed), Zones: in.Zones, Kinds: in.Kinds, Streams: in.Limits.Streams,
		ConnIdle: in.Limits.ConnIdle.duration(), MaxCalls: in.Limits.OpenCap}
	for _, m := range in.Family.Memory {
		site.MemoryMB = max(site.MemoryMB, m)
	}
	for _, t := range in.Customers {
		site.Tenants = append(site.Tenants, t.Name)
		site.Control.Tenants = append(site.Control.Tenants, scheduler.Tenant{Share: t.Portion, Quota: t.Quota})
	}
	for i, c := range in.Classes {
		converted, err := c.control()
		if err != nil {
			return Site{}, fmt.Errorf("%w: classes[%d].%w", ErrMalformed, i, err)
		}
		site.Classes = append(site.Classes, c.Name)
		site.Control.Classes = append(site.Control.Classes, converted)
	}
	return site, nil
}

// control is what the module is told, but for classes and tenants.
func (in *object) control(seed uint64) scheduler.Settings {
	out := scheduler.Settings{
		Seed: seed, FrontEndIndex: in.Ordinal, FrontEndCount: max(1, in.Balancers), Zone: in.Zone,
		AnswersNotLoaded: in.Family.WhenAbsent == "miss", LoadOrdersAllowed: in.Family.MayLoad,
		ReportsColdStart: in.Family.WarmNotes, ReportsQueueDepth: in.Family.PeersInHand,
		ReplicaIdleTimeout: in.Family.Keep.duration(), LoadOrderTimeout: in.Family.LoadWait.duration(),
		LoadRateWindow: in.Family.LoadPeriod.duration(), LoadRateBurst: in.Family.FreeLoads, LoadRatePerRequest: in.Family.LoadPart,
		HealthChecksAllowed: in.Limits.Probes, CancelAllowed: in.Limits.MayCancel, HedgingAllowed: in.Limits.SecondCopies,
		MaxAttempts: in.Limits.MaxAttempts, ConnectTimeout: in.Limits.ConnectTimeout.duration(),
		WatchOnStart: in.Registry == "ask", DrainGrace: in.Rules.StopSending.duration(),
		SlowStartFraction: in.Rules.ColdFrom, SlowStartDuration: in.Rules.Cold.duration(), OverloadFactor: in.Rules.TipMultiple,
		OverloadWindow: in.Rules.Fall.duration(), Resolution: in.Tick.duration(), LoadReportFields: in.Report.Fields,
		ScaleIsCapacity: in.Weights == "nominal" || in.Weights == "rough",
	}
	if in.Limits.RetryAfter {
		out.MaxRetryAfter = in.Limits.MaxRetryAfter.duration()
	}
	return out
}
