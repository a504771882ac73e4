package simulation

import (
	"testing"
	"time"

	"havencart/lab/loadgen"
	"havencart/lab/model"
)

// largeInstallation returns the configuration of an installation with 240 front ends and 70 workers.
func largeInstallation(duration time.Duration) Config {
	cfg := Config{Workers: 70, Cells: 14, FrontEnds: 240, Duration: duration, Seed: 1, Jitter: 0.3}
	base := smallInstallation(&testing.T{}, "", duration)
	cfg.Worker, cfg.Settings, cfg.LogLevel = base.Worker, base.Settings, base.LogLevel
	cfg.Store = model.StoreConfig{Concurrency: 40, Limit: 200, OutageMultiple: 3, OutageAfter: 3 * time.Second, OutageDuration: 2 * time.Second}
	cfg.Mix = loadgen.Mix{
		Rate: 3000, Functions: 60, Work: 40 * time.Millisecond, WorkSigma: 0.8, LoadTime: 600 * time.Millisecond,
		MemoryMB: 300, Timeout: 2 * time.Second, RetryPolicy: loadgen.RetryAsAdvised, Retries: 1,
	}
	return cfg
}

// BenchmarkLargeMinute simulates one minute of an installation with 240 front ends and 70 workers.
func BenchmarkLargeMinute(b *testing.B) {
	for b.Loop() {
		r, err := Run(largeInstallation(time.Minute))
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(r.Score.Service(), "service")
		b.ReportMetric(float64(r.Tally.Sent), "calls")
		b.ReportMetric(float64(len(r.Violations)), "broken")
	}
}
