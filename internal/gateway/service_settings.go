package gateway

import (
	"fmt"
	"math/rand/v2"
	"time"

	"havencart/internal/config/gatewayconfig"
	"havencart/internal/decide/tenancy"
	"havencart/internal/discovery"
	"havencart/internal/native/muxclient"
	"havencart/internal/shadow"
	"havencart/scheduler"
)

// loadReportFields are the fields of the load reports that workers send.
var loadReportFields = []string{"queue"}

// eventQueue is the capacity of a loop's event queue. While the queue is full, worker clients stop reading.
const eventQueue = 4096

// workerQueue is the capacity of the queue of work to be sent to one worker.
const workerQueue = 4096

// loopConfig returns the configuration of the process's event loop with index i.
func loopConfig(set *gatewayconfig.Settings, i int, clockStart time.Time) EventLoopConfig {
	cfg := EventLoopConfig{
		Settings:        SettingsFromConfig(set, i, clockStart, rand.Uint64()),
		RequestQueue:    set.RequestQueue,
		EventQueue:      eventQueue,
		ShutdownTimeout: set.ShutdownTimeout,
		WorkerClient:    muxclient.Config{ConnectTimeout: set.ConnectTimeout, Window: set.ResponseWindow, MaxQueue: workerQueue},
	}
	if set.Discovery.Kind == "file" {
		cfg.Source = discovery.NewFile(set.Discovery.Location)
	} else {
		cfg.Source = discovery.NewConsul(set.Discovery.Location, set.Discovery.Service, cfg.Name)
	}
	return cfg
}

// SettingsFromConfig returns the settings of the process's front end with index i. Its clock is 0 at the wall time
// clockStart, and seed is the seed of its random numbers.
func SettingsFromConfig(set *gatewayconfig.Settings, i int, clockStart time.Time, seed uint64) Settings {
	out := Settings{
		Name:           fmt.Sprintf("%s-%d", set.Name, set.FirstFrontEndIndex+i),
		DeadlineMargin: set.DeadlineMargin,
		MaxInFlight:    set.MaxInFlight,
		ClockStart:     clockStart,
		Zones:          append([]string{set.Zone}, set.Zones...),
		Scheduler:      schedulerSettings(set, i, seed),
		Tenancy:        tenancySettings(set),
	}
	for _, class := range set.Classes {
		out.Classes = append(out.Classes, class.Name)
	}
	for _, tenant := range set.Tenants {
		out.Tenants = append(out.Tenants, tenant.Name)
	}
	if shadowed, interval := set.ShadowSettings(); shadowed != nil {
		out.Shadow = &shadow.Settings{Scheduler: schedulerSettings(shadowed, i, seed), SampleInterval: interval}
	}
	return out
}

// tenancySettings returns the tenants' limits on one front end. Quotas are divided by the number of front ends, shares are
// not, because they are fractions.
func tenancySettings(set *gatewayconfig.Settings) tenancy.Settings {
	out := tenancy.Settings{Basis: set.ShareBasis}
	for _, tenant := range set.Tenants {
		out.Shares = append(out.Shares, tenant.Share)
		out.Quotas = append(out.Quotas, tenant.Quota/float64(max(1, set.FrontEndCount)))
	}
	return out
}

// schedulerSettings returns the settings of the scheduler for the process's front end with index i.
func schedulerSettings(set *gatewayconfig.Settings, i int, seed uint64) scheduler.Settings {
	out := scheduler.Settings{
		Seed:                seed,
		FrontEndIndex:       set.FirstFrontEndIndex + i,
		FrontEndCount:       set.FrontEndCount,
		AnswersNotLoaded:    set.AnswersNotLoaded,
		LoadOrdersAllowed:   set.LoadOrdersAllowed,
		ReportsColdStart:    set.ReportsColdStart,
		ReportsQueueDepth:   set.ReportsQueueDepth,
		ReplicaIdleTimeout:  set.ReplicaIdleTimeout,
		LoadOrderTimeout:    set.LoadOrderTimeout,
		LoadRateWindow:      set.LoadRateWindow,
		LoadRateBurst:       set.LoadRateBurst,
		LoadRatePerRequest:  set.LoadRatePerRequest,
		HealthChecksAllowed: set.HealthChecksAllowed,
		CancelAllowed:       set.CancelAllowed,
		MaxAttempts:         set.MaxAttempts,
		MaxRetryAfter:       set.EffectiveMaxRetryAfter(),
		ConnectTimeout:      set.ConnectTimeout,
		DrainGrace:          set.DrainGrace,
		SlowStartFraction:   set.SlowStartFraction,
		SlowStartDuration:   set.SlowStartDuration,
		OverloadFactor:      set.OverloadFactor,
		OverloadWindow:      set.OverloadWindow,
		Resolution:          time.Millisecond,
		LoadReportFields:    loadReportFields,
		ScaleIsCapacity:     set.ScaleIsCapacity,
	}
	for _, class := range set.Classes {
		out.Classes = append(out.Classes, class.SchedulerClass())
	}
	for _, tenant := range set.Tenants {
		out.Tenants = append(out.Tenants, scheduler.Tenant{Share: tenant.Share, Quota: tenant.Quota})
	}
	return out
}
