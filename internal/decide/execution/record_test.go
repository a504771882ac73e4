package execution

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"havencart/scheduler"
)

const ms = time.Millisecond

var (
	here      = Location{Zone: "z1", Cell: "c1"}
	sameZone  = Location{Zone: "z1", Cell: "c2"}
	elsewhere = Location{Zone: "z2", Cell: "c3"}
)

func keyed(scope scheduler.KeyScope) scheduler.Class {
	return scheduler.Class{Idempotency: scheduler.IdempotentByKey, KeyScope: scope, KeyRetention: time.Second}
}

// executedAt returns a record whose first attempt, sent at sentAt to the location here, may have executed.
func executedAt(t *testing.T, class *scheduler.Class, sentAt time.Duration) Record {
	t.Helper()
	record := NewRecord(class)
	if _, violation := record.Start(sentAt, time.Hour, here); violation != NoViolation {
		t.Fatalf("first attempt: %v", violation)
	}
	record.End(scheduler.Timeout)
	return record
}

func TestStart_RetryOfPossibleExecution_IsBoundToClassScopeAndKey(t *testing.T) {
	const sentAt, deadline = 100 * ms, 5 * time.Second
	cases := map[string]struct {
		class    scheduler.Class
		now      time.Duration
		worker   Location
		want     Violation
		notAfter time.Duration
	}{
		"idempotent, any worker and time": {scheduler.Class{}, 4 * time.Second, elsewhere, NoViolation, deadline},
		"non-idempotent":                  {scheduler.Class{Idempotency: scheduler.NonIdempotent}, 200 * ms, here, RetryOfNonIdempotent, 0},
		"all workers know the key":        {keyed(scheduler.ScopeAll), 200 * ms, elsewhere, NoViolation, sentAt + time.Second},
		"the zone knows the key":          {keyed(scheduler.ScopeZone), 200 * ms, sameZone, NoViolation, sentAt + time.Second},
		"another zone":                    {keyed(scheduler.ScopeZone), 200 * ms, elsewhere, RetryOutsideKeyScope, 0},
		"the cell knows the key":          {keyed(scheduler.ScopeCell), 200 * ms, here, NoViolation, sentAt + time.Second},
		"another cell":                    {keyed(scheduler.ScopeCell), 200 * ms, sameZone, RetryOutsideKeyScope, 0},
		"last moment of the key":          {keyed(scheduler.ScopeCell), sentAt + time.Second - 1, here, NoViolation, sentAt + time.Second},
		"key expired":                     {keyed(scheduler.ScopeCell), sentAt + time.Second, here, RetryAfterKeyExpired, 0},
	}
	for name, c := range cases {
		record := executedAt(t, &c.class, sentAt)
		permit, violation := record.Start(c.now, deadline, c.worker)
		if violation != c.want || permit.NotAfter != c.notAfter {
			t.Errorf("%s: violation %v, permit until %v; want %v until %v", name, violation, permit.NotAfter, c.want, c.notAfter)
		}
	}
}

// The key retention is counted from the first attempt that may have executed, regardless of earlier and later attempts.
func TestStart_SeveralRetries_KeyCountsFromFirstPossibleExecution(t *testing.T) {
	class := keyed(scheduler.ScopeCell)
	record := NewRecord(&class)
	for _, step := range []struct {
		now    time.Duration
		status scheduler.Status
		want   time.Duration
	}{
		{0, scheduler.ConnectFailed, time.Hour},
		{300 * ms, scheduler.NotLoaded, time.Hour},
		{500 * ms, scheduler.Error, time.Hour},
		{700 * ms, scheduler.ConnectFailed, 1500 * ms},
		{900 * ms, scheduler.Reset, 1500 * ms},
	} {
		permit, violation := record.Start(step.now, time.Hour, here)
		if violation != NoViolation || permit.NotAfter != step.want {
			t.Errorf("at %v: violation %v, permit until %v; want none until %v", step.now, violation, permit.NotAfter, step.want)
		}
		record.End(step.status)
	}
	if _, violation := record.Start(1500*ms, time.Hour, here); violation != RetryAfterKeyExpired {
		t.Errorf("after the retention: violation %v, want %v", violation, RetryAfterKeyExpired)
	}
	if age := record.ExecutionAge(1500 * ms); age != time.Second {
		t.Errorf("age of the first possible execution is %v, want %v", age, time.Second)
	}
}

func TestMayReject_OnlyIfSafeToResend(t *testing.T) {
	nonIdempotent := scheduler.Class{Idempotency: scheduler.NonIdempotent}
	cases := map[string]struct {
		class scheduler.Class
		now   time.Duration
		want  Violation
	}{
		"idempotent":                 {scheduler.Class{}, 0, NoViolation},
		"non-idempotent":             {nonIdempotent, 0, RejectionAfterExecution},
		"key known everywhere":       {keyed(scheduler.ScopeAll), 999 * ms, NoViolation},
		"key forgotten everywhere":   {keyed(scheduler.ScopeAll), time.Second, RejectionAfterExecution},
		"key known in one cell only": {keyed(scheduler.ScopeCell), 0, RejectionAfterExecution},
	}
	for name, c := range cases {
		record := executedAt(t, &c.class, 0)
		if violation := record.MayReject(c.now); violation != c.want {
			t.Errorf("%s: MayReject = %v, want %v", name, violation, c.want)
		}
	}
	record := NewRecord(&nonIdempotent)
	record.Start(0, time.Hour, here)
	if violation := record.MayReject(0); violation != RejectionWithAttemptInFlight {
		t.Errorf("with an attempt in flight: MayReject = %v, want %v", violation, RejectionWithAttemptInFlight)
	}
	record.End(scheduler.NotSent)
	if violation := record.MayReject(0); violation != NoViolation {
		t.Errorf("attempt not sent: MayReject = %v, want %v", violation, NoViolation)
	}
}

// For random sequences of operations, the permitted ones execute no request twice and give no second final response.
func TestRecord_RandomHistory_KeepsRules(t *testing.T) {
	statuses := []scheduler.Status{
		scheduler.Error, scheduler.Overloaded, scheduler.Timeout, scheduler.ConnectFailed, scheduler.Reset,
		scheduler.Cancelled, scheduler.NotSent, scheduler.NotLoaded,
	}
	workers := []Location{here, sameZone, elsewhere}
	rapid.Check(t, func(t *rapid.T) {
		class := scheduler.Class{
			Idempotency:  rapid.SampledFrom([]scheduler.Idempotency{scheduler.Idempotent, scheduler.IdempotentByKey, scheduler.NonIdempotent}).Draw(t, "idempotency"),
			KeyScope:     rapid.SampledFrom([]scheduler.KeyScope{scheduler.ScopeAll, scheduler.ScopeZone, scheduler.ScopeCell}).Draw(t, "scope"),
			KeyRetention: time.Duration(rapid.IntRange(0, 3000).Draw(t, "retention")) * ms,
		}
		record, now := NewRecord(&class), time.Duration(0)
		var executions []attempt
		inFlight, responses := false, 0
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 800).Draw(t, "wait")) * ms
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				worker := rapid.SampledFrom(workers).Draw(t, "worker")
				permit, violation := record.Start(now, time.Hour, worker)
				if violation != NoViolation {
					continue
				}
				switch {
				case inFlight || responses > 0:
					t.Fatalf("attempt permitted with another attempt in flight: %t, final responses: %d", inFlight, responses)
				case len(executions) > 0 && class.Idempotency == scheduler.NonIdempotent:
					t.Fatal("permitted a retry of a non-idempotent request that may have executed")
				case len(executions) > 0 && class.Idempotency == scheduler.IdempotentByKey:
					first := executions[0]
					if permit.NotAfter > first.sentAt+class.KeyRetention || now >= permit.NotAfter {
						t.Fatalf("permitted at %v until %v, after the key retention: first sent at %v, retention %v",
							now, permit.NotAfter, first.sentAt, class.KeyRetention)
					}
					outside := class.KeyScope == scheduler.ScopeZone && worker.Zone != first.worker.Zone ||
						class.KeyScope == scheduler.ScopeCell && worker.Cell != first.worker.Cell
					if outside {
						t.Fatal("permitted a retry outside the scope of the idempotency key")
					}
				}
				inFlight = true
			case 1:
				status := rapid.SampledFrom(statuses).Draw(t, "status")
				if inFlight && status.MayHaveExecuted() {
					executions = append(executions, record.attempt)
				}
				record.End(status)
				inFlight = false
			case 2:
				if record.MayReject(now) != NoViolation {
					continue
				}
				record.Close()
				if class.Idempotency == scheduler.NonIdempotent && (inFlight || len(executions) > 0) {
					t.Fatal("permitted the rejection of a non-idempotent request that may have executed or may still execute")
				}
				responses++
			case 3:
				record.Close()
				responses++
				if violation := record.MayReject(now); violation != SecondFinalResponse {
					t.Fatalf("rejection after the final response: violation %v, want %v", violation, SecondFinalResponse)
				}
			}
		}
	})
}

func TestViolation_EachHasAName(t *testing.T) {
	seen := map[string]bool{}
	for violation := NoViolation; violation < violationSentinel; violation++ {
		name := violation.String()
		if name == "" || seen[name] {
			t.Errorf("violation %d has the empty or duplicate name %q", violation, name)
		}
		seen[name] = true
	}
}
