package gateway

import (
	"reflect"
	"testing"
	"time"

	"havencart/internal/config/gatewayconfig"
	"havencart/internal/decide/tenancy"
	"havencart/scheduler"
)

// TestTenancySettings_QuotaAndShares_DividedByFrontEnds checks that quotas are divided by the number of front ends
// and that shares are not.
func TestTenancySettings_QuotaAndShares_DividedByFrontEnds(t *testing.T) {
	text := "directory file /nowhere\nfront-ends 4\nclass a\nend\ntenant t\n  share 0.7\n  quota 100\nend\ntenant u\n  share 0.3\nend\n"
	for add, by := range map[string]tenancy.ShareBasis{"": tenancy.NotEnforced, "shares work\n": tenancy.ByWork, "shares calls\n": tenancy.ByRequestCount} {
		settings, err := gatewayconfig.Parse("f", add+text)
		if err != nil {
			t.Fatal(err)
		}
		want := tenancy.Settings{Shares: []float64{0.7, 0.3}, Quotas: []float64{25, 0}, Basis: by}
		if got := SettingsFromConfig(settings, 0, time.Time{}, 3).Tenancy; !reflect.DeepEqual(got, want) {
			t.Errorf("%q: %+v, want %+v", add, got, want)
		}
	}
}

// TestFrontEndSettings_Defaults_Unchanged checks the scheduler's settings if the settings file does not set them.
func TestFrontEndSettings_Defaults_Unchanged(t *testing.T) {
	settings, err := gatewayconfig.Parse("f", "directory file /nowhere\nclass a\nend\n")
	if err != nil {
		t.Fatal(err)
	}
	got := SettingsFromConfig(settings, 0, time.Time{}, 3)
	want := scheduler.Settings{
		Seed: 3, FrontEndCount: 1, MaxFunctions: 16384, LoadOrdersAllowed: true, ReportsColdStart: true, ReportsQueueDepth: true, ReplicaIdleTimeout: 10 * time.Second,
		LoadOrderTimeout: 10 * time.Second, LoadRateBurst: 4, LoadRatePerRequest: 0.1, HealthChecksAllowed: true, CancelAllowed: true, MaxAttempts: 5,
		MaxRetryAfter: time.Second, ConnectTimeout: 250 * ms, DrainGrace: 500 * ms, SlowStartFraction: 0.2, SlowStartDuration: 15 * time.Second,
		OverloadFactor: 3, OverloadWindow: 2 * time.Second, Resolution: ms, LoadReportFields: loadReportFields,
		Classes: []scheduler.Class{{
			LatencyObjective: 500 * ms, Timeout: 2 * time.Second, PriorityWeight: 1, LateWeight: 0.3, Idempotency: scheduler.NonIdempotent,
			KeyScope: scheduler.ScopeCell, KeyRetention: 5 * time.Second,
		}},
	}
	if !reflect.DeepEqual(got.Scheduler, want) || got.Shadow != nil {
		t.Errorf("the scheduler's settings are\n%+v\nwant\n%+v", got.Scheduler, want)
	}
}

func TestFrontEndSettings_ShadowBlock_ReachesScheduler(t *testing.T) {
	settings, err := gatewayconfig.Parse("f", "directory file /nowhere\nprobes off\nretry-after off\nweights nominal\nclass a\nend\nwatch w\n  probes on\n  weights live\nend\n")
	if err != nil {
		t.Fatal(err)
	}
	got := SettingsFromConfig(settings, 0, time.Time{}, 3)
	if got.Scheduler.HealthChecksAllowed || !got.Scheduler.ScaleIsCapacity || got.Scheduler.MaxRetryAfter != 0 || got.Shadow == nil || got.Shadow.Scheduler.ScaleIsCapacity ||
		!got.Shadow.Scheduler.HealthChecksAllowed ||
		got.Shadow.Scheduler.MaxRetryAfter != 0 || got.Shadow.SampleInterval != 1 {
		t.Errorf("scheduler %+v, shadow %+v", got.Scheduler, got.Shadow)
	}
}
