package platformconfig

import (
	"errors"
	"testing"
	"time"

	"havencart/scheduler"
)

func TestParseSettings_Valid_ReturnsAllParts(t *testing.T) {
	text := `{"balancers": 3, "ordinal": 1, "unheardOf": [1, {"a": 2}], "registryMode": "ask",
		"azs": ["a", "b"], "skus": ["std"], "classes": [{"name": "log", "deadline": 3000.0, "keyScope": "cell", "memorySpan": 6000.0, "onTime": 1500.0, "repeat": "dedup", "worth": 2.0}],
		"customers": [{"name": "p", "portion": 0.82, "quotaPerS": 131.0}],
		"familyInfo": {"keep": 8600.0, "whenAbsent": "miss", "mayLoad": true},
		"limits": {"streamsPerConn": 32, "connIdle": 30000.0, "openCap": 20000, "maxAttempts": 5, "maxRetryAfter": 500.0, "retryAfter": true, "mayCancel": true},
		"rules": {"cold": 17000.0, "coldFrom": 0.2, "fall": 2000.0, "stopSendingWithin": 500.0, "tipMultiple": 2.0}}`
	settings, err := ParseSettings([]byte(text), 9)
	if err != nil {
		t.Fatal(err)
	}
	s := settings.Scheduler
	c := s.Classes[0]
	if s.Seed != 9 || s.FrontEndCount != 3 || !s.WatchOnStart || !s.ReportsNotLoaded || s.ReplicaIdleTimeout != 8600*time.Millisecond ||
		s.MaxRetryAfter != 500*time.Millisecond || s.OverloadWindow != 2*time.Second || s.HedgingAllowed ||
		c.Idempotency != scheduler.IdempotentByKey || c.KeyScope != scheduler.ScopeCell || c.KeyRetention != 6*time.Second || s.Tenants[0].Share != 0.82 {
		t.Errorf("scheduler settings %+v", s)
	}
	if settings.StreamsPerConnection != 32 || settings.WorkerIdleTimeout != 30*time.Second || settings.MaxInFlight != 20000 || len(settings.ZoneNames) != 2 ||
		settings.WorkerKindNames[0] != "std" || settings.ClassNames[0] != "log" || settings.TenantNames[0] != "p" {
		t.Errorf("settings %+v", settings)
	}
}

func TestParseSettings_Malformed_WrapsErrMalformed(t *testing.T) {
	for _, bad := range []string{"", "{", "[]", `{"classes": [{"repeat": "sometimes"}]}`, `{"balancers": "three"}`} {
		if _, err := ParseSettings([]byte(bad), 0); !errors.Is(err, ErrMalformed) {
			t.Errorf("%q: error %v, want ErrMalformed", bad, err)
		}
	}
}

func FuzzParseSettings(f *testing.F) {
	f.Add([]byte(`{"classes": [{"repeat": "dedup", "keyScope": "zone"}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		if _, err := ParseSettings(text, 1); err != nil && !errors.Is(err, ErrMalformed) {
			t.Fatal(err)
		}
	})
}
