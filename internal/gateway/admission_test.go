package gateway

import (
	"testing"
	"time"

	"havencart/internal/decide/tenancy"
	"havencart/internal/native/muxframe"
	"havencart/scheduler"
)

func TestAdmission_TooManyInFlight_Rejected(t *testing.T) {
	harness := newHarness(t, 0, func(s *Settings) { s.MaxInFlight = 3 })
	for range 3 {
		harness.submit(idempotentClass)
	}
	harness.wantResponse(harness.submit(idempotentClass), Rejected)
	if n := harness.Counts().Shed; n != 1 || harness.InFlight() != 3 {
		t.Errorf("%d requests shed, want 1; %d in flight, want 3", n, harness.InFlight())
	}
}

func TestAdmission_DeadlineExceeded_Rejected(t *testing.T) {
	harness := newHarness(t, 1, nil)
	request := NewRequest()
	request.StartedAt = harness.clock - 2*time.Second
	request.Timeout = 2 * time.Second
	request.Replica = muxframe.ReplicaSpec{Function: "f"}
	harness.RequestReceived(harness.clock, request)
	harness.wantResponse(request, Rejected)
}

// TestAdmission_FunctionNameCollision_Rejected guards against mistaking the replicas of one function for those of
// another.
func TestAdmission_FunctionNameCollision_Rejected(t *testing.T) {
	harness := newHarness(t, 1, nil)
	request := harness.submit(idempotentClass)
	harness.functions.find(FunctionID("f")).replica.Function = "another"
	harness.wantResponse(harness.submit(idempotentClass), Rejected)
	harness.endWith(request, scheduler.OK)
}

// TestAdmission_QueueDelayTooLong_Shed checks that requests are shed without the scheduler while the queue delay
// stays too long, so that the queue empties.
func TestAdmission_QueueDelayTooLong_Shed(t *testing.T) {
	harness := newHarness(t, 1, nil)
	submitQueued := func() *Request {
		request := NewRequest()
		request.StartedAt = harness.clock - 50*ms
		request.queuedAt = harness.clock - 50*ms
		request.Timeout = 2 * time.Second
		request.Replica = muxframe.ReplicaSpec{Function: "f"}
		harness.RequestReceived(harness.clock, request)
		return request
	}
	harness.wantResponse(submitQueued(), 0) // a short burst is tolerated
	harness.advance(200 * ms)
	admitted := harness.Counts().Admitted
	harness.wantResponse(submitQueued(), Rejected)
	if harness.Counts().Admitted != admitted {
		t.Error("the second request was admitted despite its queue delay")
	}
	harness.wantResponse(harness.submit(idempotentClass), 0) // this request was not queued
}

// TestAdmission_OverTenantQuota_Rejected checks that the request is rejected without the scheduler and with a retry
// delay.
func TestAdmission_OverTenantQuota_Rejected(t *testing.T) {
	harness := newHarness(t, 1, func(s *Settings) { s.Tenancy = tenancy.Settings{Shares: []float64{1}, Quotas: []float64{1}} })
	harness.submit(idempotentClass)
	second := harness.submit(idempotentClass)
	select {
	case f := <-second.Response():
		if f.Kind != Rejected || f.RetryAfter != 500*ms || f.Reason != tenancy.OverQuota.String() {
			t.Errorf("response %+v, want a rejection over quota with a retry delay of 500 ms", f)
		}
	default:
		t.Error("the second request in a second has no final response")
	}
	if c := harness.Counts(); c.Admitted != 1 || c.Shed != 1 {
		t.Errorf("counts %+v, want one request admitted and one shed", c)
	}
}
