// Package platformconfig parses the platform's configuration: the JSON file that a front end is started with, and the
// settings object in that file, which the simulator passes to a front end directly. The package makes no scheduling
// decisions, and its only I/O is reading the file passed to Load. Its functions are safe for concurrent use.
package platformconfig

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"havencart/scheduler"
)

// ErrMalformed is wrapped by every error about the content of a configuration or a settings object.
var ErrMalformed = errors.New("malformed settings")

// Settings is a decoded settings object. It holds the scheduler's settings and those that only a front end on the
// network needs.
type Settings struct {
	Scheduler            scheduler.Settings
	ClassNames           []string      // class names, in the order of Scheduler.Classes
	TenantNames          []string      // tenant names, in the order of Scheduler.Tenants
	ZoneNames            []string      // zone names; Scheduler.Zone is an index into them
	WorkerKindNames      []string      // names of the kinds of worker
	StreamsPerConnection int           // requests in flight on one connection to a worker
	WorkerIdleTimeout    time.Duration // idle time after which a worker closes a connection
	MaxInFlight          int           // requests in flight at one front end
	MaxWorkerMemoryMB    float64       // memory of the largest kind of worker in megabytes; 0 if unknown
}

// ParseSettings parses a settings object and sets the scheduler's seed to seed. Optional values that are missing stay
// zero, and ranges are not checked. Every error wraps ErrMalformed.
func ParseSettings(text []byte, seed uint64) (Settings, error) {
	var decoded settingsJSON
	if err := json.Unmarshal(text, &decoded); err != nil {
		return Settings{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	settings := Settings{
		Scheduler:            decoded.scheduler(seed),
		ZoneNames:            decoded.ZoneNames,
		WorkerKindNames:      decoded.WorkerKindNames,
		StreamsPerConnection: decoded.Limits.StreamsPerConnection,
		WorkerIdleTimeout:    decoded.Limits.WorkerIdleTimeout.duration(),
		MaxInFlight:          decoded.Limits.MaxInFlight,
	}
	for _, memoryMB := range decoded.Functions.WorkerMemoryMB {
		settings.MaxWorkerMemoryMB = max(settings.MaxWorkerMemoryMB, memoryMB)
	}
	for _, tenant := range decoded.Tenants {
		settings.TenantNames = append(settings.TenantNames, tenant.Name)
		settings.Scheduler.Tenants = append(settings.Scheduler.Tenants, scheduler.Tenant{Share: tenant.Share, Quota: tenant.Quota})
	}
	for i, class := range decoded.Classes {
		converted, err := class.scheduler()
		if err != nil {
			return Settings{}, fmt.Errorf("%w: classes[%d].%w", ErrMalformed, i, err)
		}
		settings.ClassNames = append(settings.ClassNames, class.Name)
		settings.Scheduler.Classes = append(settings.Scheduler.Classes, converted)
	}
	return settings, nil
}

// scheduler returns the settings as scheduler.Settings, without classes and tenants.
func (s *settingsJSON) scheduler(seed uint64) scheduler.Settings {
	settings := scheduler.Settings{
		Seed:          seed,
		FrontEndIndex: s.FrontEndIndex,
		FrontEndCount: max(1, s.FrontEndCount),
		Zone:          s.Zone,

		ReportsNotLoaded:   s.Functions.WhenNotLoaded == answerNotLoaded,
		LoadOrdersAllowed:  s.Functions.LoadOrdersAllowed,
		ReportsColdStart:   s.Functions.ReportsColdStart,
		ReportsQueueDepth:  s.Functions.ReportsQueueDepth,
		ReplicaIdleTimeout: s.Functions.ReplicaIdleTimeout.duration(),
		LoadOrderTimeout:   s.Functions.LoadOrderTimeout.duration(),
		LoadRateWindow:     s.Functions.LoadRateWindow.duration(),
		LoadRateBurst:      s.Functions.LoadRateBurst,
		LoadRatePerRequest: s.Functions.LoadRatePerRequest,

		HealthChecksAllowed: s.Limits.HealthChecksAllowed,
		CancelAllowed:       s.Limits.CancelAllowed,
		HedgingAllowed:      s.Limits.HedgingAllowed,
		MaxAttempts:         s.Limits.MaxAttempts,
		ConnectTimeout:      s.Limits.ConnectTimeout.duration(),
		WatchOnStart:        s.WatchMode == watchOnRequest,

		DrainGrace:        s.WorkerRules.DrainGrace.duration(),
		SlowStartFraction: s.WorkerRules.SlowStartFraction,
		SlowStartDuration: s.WorkerRules.SlowStartDuration.duration(),
		OverloadFactor:    s.WorkerRules.OverloadFactor,
		OverloadWindow:    s.WorkerRules.OverloadWindow.duration(),
		Resolution:        s.Resolution.duration(),
		LoadReportFields:  s.LoadReport.Fields,
		ScaleIsCapacity:   s.ScaleMeaning == scaleNominal || s.ScaleMeaning == scaleRough,
	}
	if s.Limits.RetryAfter {
		settings.MaxRetryAfter = s.Limits.MaxRetryAfter.duration()
	}
	return settings
}

var idempotencyNames = map[string]scheduler.Idempotency{
	"retryable": scheduler.Idempotent,
	"dedup":     scheduler.IdempotentByKey,
	"fragile":   scheduler.NonIdempotent,
}

var keyScopeNames = map[string]scheduler.KeyScope{
	"":     scheduler.ScopeAll,
	"all":  scheduler.ScopeAll,
	"zone": scheduler.ScopeZone,
	"cell": scheduler.ScopeCell,
}

// scheduler returns the class as scheduler.Class. The text of an error begins with the invalid key.
func (c classJSON) scheduler() (scheduler.Class, error) {
	idempotency, known := idempotencyNames[c.Idempotency]
	if !known {
		return scheduler.Class{}, fmt.Errorf("repeat is %q; it must be retryable, dedup or fragile", c.Idempotency)
	}
	keyScope, known := keyScopeNames[c.KeyScope]
	if !known {
		return scheduler.Class{}, fmt.Errorf("keyScope is %q; it must be all, zone or cell", c.KeyScope)
	}
	return scheduler.Class{
		LatencyObjective: c.LatencyObjective.duration(),
		Timeout:          c.Timeout.duration(),
		PriorityWeight:   c.PriorityWeight,
		LateWeight:       c.LateWeight,
		Idempotency:      idempotency,
		KeyScope:         keyScope,
		KeyRetention:     c.KeyRetention.duration(),
	}, nil
}

// MaxTimeout returns the longest timeout of all classes, which is the longest time that a client waits for a response.
func (s Settings) MaxTimeout() time.Duration {
	longest := time.Duration(0)
	for _, class := range s.Scheduler.Classes {
		longest = max(longest, class.Timeout)
	}
	return longest
}
