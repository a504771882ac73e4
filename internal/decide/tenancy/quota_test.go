package tenancy

import (
	"testing"
	"time"
)

func TestQuota_Burst_IsOneSecondsRequests(t *testing.T) {
	limiter := New(Settings{Shares: []float64{1}, Quotas: []float64{10}})
	admitted := 0
	for i := range 200 {
		if limiter.RequestReceived(time.Second+time.Duration(i), 0) == Admit {
			admitted++
		}
	}
	if admitted != 10 {
		t.Errorf("%d of 200 simultaneous requests admitted, want 10, the quota of one second", admitted)
	}
	for i := range 1000 {
		if limiter.RequestReceived(2*time.Second+time.Duration(i)*10*ms, 0) == Admit {
			admitted++
		}
	}
	if admitted < 105 || admitted > 121 {
		t.Errorf("%d requests admitted within 11 s at 10 per second and a burst of 10, want 105 to 121", admitted)
	}
}
