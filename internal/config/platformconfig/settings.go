// Package platformconfig reads the platform's configuration: the JSON file with which it starts a front end, and the
// settings object within it, which the simulator hands to a front end directly. It decides nothing; the only I/O is
// the reading of the file that it is asked to load. Its functions are safe for concurrent use.
package platformconfig

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"havencart/scheduler"
)

// ErrMalformed is wrapped by every error about the content of a configuration or settings object.
var ErrMalformed = errors.New("malformed settings")

// Settings is what a settings object holds: the scheduler's settings, and what only a front end on the network needs.
type Settings struct {
	Scheduler            scheduler.Settings
	ClassNames           []string      // names, in the order of the scheduler's classes
	TenantNames          []string      // names, in the order of the scheduler's tenants
	ZoneNames            []string      // names; the scheduler's zone is an index into them
	WorkerKinds          []string      // names of the kinds of worker
	StreamsPerConnection int           // requests that one connection to a worker carries at a time
	WorkerIdleTimeout    time.Duration // a worker closes a connection that was idle for this long
	MaxInFlight          int           // requests in flight at one front end
	MaxWorkerMemoryMB    float64       // memory of the largest kind of worker, 0 if it is not given
}

// ParseSettings reads a settings object. seed becomes the scheduler's seed. Optional parts that are not given stay zero, and
// values are not checked for their range. Every error wraps ErrMalformed.
func ParseSettings(text []byte, seed uint64) (Settings, error) {
	var decoded settingsJSON
	if err := json.Unmarshal(text, &decoded); err != nil {
		return Settings{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	settings := Settings{
		Scheduler:            decoded.scheduler(seed),
		ZoneNames:            decoded.ZoneNames,
		WorkerKinds:          decoded.WorkerKinds,
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

// scheduler returns the scheduler's settings, without classes and tenants.
func (in *settingsJSON) scheduler(seed uint64) scheduler.Settings {
	settings := scheduler.Settings{
		Seed:          seed,
		FrontEndIndex: in.FrontEndIndex,
		FrontEndCount: max(1, in.FrontEndCount),
		Zone:          in.Zone,

		AnswersNotLoaded:   in.Functions.WhenNotLoaded == answerNotLoaded,
		LoadOrdersAllowed:  in.Functions.LoadOrdersAllowed,
		ReportsColdStart:   in.Functions.ReportsColdStart,
		ReportsQueueDepth:  in.Functions.ReportsQueueDepth,
		ReplicaIdleTimeout: in.Functions.ReplicaIdleTimeout.duration(),
		LoadOrderTimeout:   in.Functions.LoadOrderTimeout.duration(),
		LoadRateWindow:     in.Functions.LoadRateWindow.duration(),
		LoadRateBurst:      in.Functions.LoadRateBurst,
		LoadRatePerRequest: in.Functions.LoadRatePerRequest,

		HealthChecksAllowed: in.Limits.HealthChecksAllowed,
		CancelAllowed:       in.Limits.CancelAllowed,
		HedgingAllowed:      in.Limits.HedgingAllowed,
		MaxAttempts:         in.Limits.MaxAttempts,
		ConnectTimeout:      in.Limits.ConnectTimeout.duration(),
		WatchOnStart:        in.WatchMode == watchOnRequest,

		DrainGrace:        in.WorkerRules.DrainGrace.duration(),
		SlowStartFraction: in.WorkerRules.SlowStartFraction,
		SlowStartDuration: in.WorkerRules.SlowStartDuration.duration(),
		OverloadFactor:    in.WorkerRules.OverloadFactor,
		OverloadWindow:    in.WorkerRules.OverloadWindow.duration(),
		Resolution:        in.Resolution.duration(),
		LoadReportFields:  in.LoadReport.Fields,
		ScaleIsCapacity:   in.ScaleMeaning == scaleNominal || in.ScaleMeaning == scaleRough,
	}
	if in.Limits.RetryAfter {
		settings.MaxRetryAfter = in.Limits.MaxRetryAfter.duration()
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

// scheduler returns the class as the scheduler has it. The error begins with the key that is wrong.
func (c classJSON) scheduler() (scheduler.Class, error) {
	idempotency, known := idempotencyNames[c.Idempotency]
	if !known {
		return scheduler.Class{}, fmt.Errorf("repeat is %q", c.Idempotency)
	}
	keyScope, known := keyScopeNames[c.KeyScope]
	if !known {
		return scheduler.Class{}, fmt.Errorf("keyScope is %q", c.KeyScope)
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

// MaxTimeout returns the longest timeout of any class, and so the longest that a client waits.
func (s Settings) MaxTimeout() time.Duration {
	longest := time.Duration(0)
	for _, class := range s.Scheduler.Classes {
		longest = max(longest, class.Timeout)
	}
	return longest
}
