package workerconn

import (
	"testing"
	"time"

	"havencart/internal/decide/execution"
	"havencart/internal/decide/looplag"
)

func TestNextBatch_WriteDeadline_AttemptIsSentOnlyBefore(t *testing.T) {
	cases := map[string]struct {
		deadline, notAfter time.Duration
		isSent             bool
	}{
		"no deadline":             {0, 0, true},
		"before its deadline":     {testNow + 1, 0, true},
		"at its deadline":         {testNow, 0, false},
		"before its permit ends":  {time.Hour, testNow + 1, true},
		"when its permit ends":    {time.Hour, testNow, false},
		"after its permit ended":  {time.Hour, testNow - 1, false},
		"permit without deadline": {0, testNow - 1, false},
	}
	for name, c := range cases {
		queue, batch := NewSendQueue[testFrame](), WriteBatch[testFrame]{}
		attempt := &Attempt{Deadline: c.deadline, NotAfter: c.notAfter}
		queue.PushAttempt(1, attempt)
		queue.NextBatch(nil, testNow, &batch, encodeByNumber)
		if isSent := len(batch.Bytes) > 0; isSent != c.isSent {
			t.Errorf("%s: sent %t, want %t", name, isSent, c.isSent)
		}
		if isExpired := len(batch.Expired) > 0; isExpired == c.isSent {
			t.Errorf("%s: expired %t", name, isExpired)
		}
		if _, mayHaveBeenSent := queue.Abandon(attempt); mayHaveBeenSent != c.isSent {
			t.Errorf("%s: may have been sent %t", name, mayHaveBeenSent)
		}
	}
}

// The timeout of a write ends with the shortest permit of its attempts, and never exceeds the longest allowed timeout.
func TestWriteBatch_Timeout_EndsWithShortestPermit(t *testing.T) {
	queue, batch := NewSendQueue[testFrame](), WriteBatch[testFrame]{}
	if timeout := batch.Timeout(testNow, time.Second); timeout != time.Second {
		t.Errorf("timeout %v without attempts, want 1 s", timeout)
	}
	queue.PushAttempt(1, &Attempt{Deadline: testNow + time.Hour})
	queue.PushAttempt(2, &Attempt{Deadline: testNow + time.Hour, NotAfter: testNow + 100*time.Millisecond})
	queue.PushAttempt(3, &Attempt{Deadline: testNow + time.Millisecond, NotAfter: testNow + time.Millisecond}) // NotAfter is not before Deadline
	queue.NextBatch(nil, testNow, &batch, encodeByNumber)
	if timeout := batch.Timeout(testNow, time.Second); timeout != 100*time.Millisecond {
		t.Errorf("timeout %v, want 100 ms, the rest of the shortest permit", timeout)
	}
	if timeout := batch.Timeout(testNow+99*time.Millisecond, time.Second); timeout != minWriteTimeout {
		t.Errorf("timeout %v shortly before the permit ends, want %v", timeout, minWriteTimeout)
	}
	if timeout := batch.Timeout(testNow, time.Millisecond); timeout != time.Millisecond {
		t.Errorf("timeout %v, want 1 ms, the longest allowed timeout", timeout)
	}
}

func TestNextBatch_LeaseNotRenewed_DefersNewWorkOnly(t *testing.T) {
	var guard WriteGuard
	queue, batch := NewSendQueue[testFrame](), WriteBatch[testFrame]{}
	attempt, order, query := &Attempt{}, newLoadOrder(1), newLoadOrder(0)
	queue.PushAttempt(1, attempt)
	queue.Push("control")
	queue.PushLoad(2, order)
	queue.PushLoad(3, query)
	guard.RenewSendLease(testNow - looplag.SendLease() - 1)
	queue.NextBatch(&guard, testNow, &batch, encodeByNumber)
	if !batch.DeferredNewWork || len(batch.Bytes) != 20 || queue.Queued() != 2 {
		t.Errorf("deferred %t, %d bytes, %d queued; want the control frame and the residency query sent", batch.DeferredNewWork, len(batch.Bytes), queue.Queued())
	}
	queue.BatchWritten(&guard, testNow, &batch, 20)
	if !queue.CancelUnsent(attempt) {
		t.Error("the deferred attempt cannot be cancelled")
	}
	guard.RenewSendLease(testNow)
	queue.NextBatch(&guard, testNow+looplag.SendLease(), &batch, encodeByNumber)
	if batch.DeferredNewWork || len(batch.Bytes) != 10 || queue.Queued() != 0 {
		t.Errorf("deferred %t, %d bytes, %d queued; want the load order sent", batch.DeferredNewWork, len(batch.Bytes), queue.Queued())
	}
}

func TestBatchWritten_AfterPermitEnded_CountsLateWrite(t *testing.T) {
	const permitEnds = testNow + time.Second
	for name, c := range map[string]struct {
		endedAt time.Duration
		written int
		want    uint64
	}{
		"in time":           {permitEnds, 10, 0},
		"within tolerance":  {permitEnds + lateWriteTolerance, 10, 0},
		"late":              {permitEnds + lateWriteTolerance + 1, 10, 1},
		"late and partial":  {permitEnds + time.Minute, 9, 0},
		"late and no bytes": {permitEnds + time.Minute, 0, 0},
	} {
		var guard WriteGuard
		guard.RenewSendLease(testNow)
		queue, batch := NewSendQueue[testFrame](), WriteBatch[testFrame]{}
		queue.PushAttempt(1, &Attempt{Deadline: time.Hour, NotAfter: permitEnds})
		queue.NextBatch(&guard, testNow, &batch, encodeByNumber)
		queue.BatchWritten(&guard, c.endedAt, &batch, c.written)
		if got := guard.Violations()[execution.LateWrite]; got != c.want {
			t.Errorf("%s: %d late writes, want %d", name, got, c.want)
		}
	}
}

func TestNextBatch_EndpointLeaseExpired_SendsOnlyConfirmedNewWork(t *testing.T) {
	guard := &WriteGuard{}
	guard.RenewSendLease(testNow)
	guard.SetEndpointLease(testNow - 1)
	attempt, confirmed := &Attempt{}, &Attempt{ConfirmedUntil: testNow}
	order, query := newLoadOrder(1), newLoadOrder(0)
	queue, batch := NewSendQueue[testFrame](), WriteBatch[testFrame]{}
	queue.PushAttempt(1, attempt)
	queue.PushAttempt(2, confirmed)
	queue.PushLoad(3, order)
	queue.PushLoad(4, query)
	queue.Push("control")
	queue.NextBatch(guard, testNow, &batch, encodeByNumber)
	if len(batch.Expired) != 2 || batch.Expired[0].Attempt != attempt || batch.Expired[1].Load != order {
		t.Errorf("expired: %+v, want the unconfirmed attempt and the unconfirmed load order", batch.Expired)
	}
	if len(batch.Bytes) != 30 || attempt.MayHaveBeenSent() || queue.Queued() != 0 {
		t.Errorf("%d bytes, %d queued; want three frames sent", len(batch.Bytes), queue.Queued())
	}
	guard.SetEndpointLease(testNow)
	queue.PushAttempt(5, &Attempt{})
	queue.NextBatch(guard, testNow, &batch, encodeByNumber)
	if len(batch.Bytes) != 10 || len(batch.Expired) != 0 {
		t.Error("the attempt was not sent although the endpoint lease is valid")
	}
}
