package execution

import (
	"testing"
	"time"

	"havencart/scheduler"
)

func TestDecideResend(t *testing.T) {
	for name, test := range map[string]struct {
		attempts                         func(*Record) // nil if the history is not known
		idempotent, keyed, nonIdempotent Resend
	}{
		"unknown history": {nil, ResendAdmit, ResendFail, ResendFail},
		"no attempt":      {func(*Record) {}, ResendAdmit, ResendAdmit, ResendAdmit},
		"attempt in flight": {func(r *Record) {
			r.Start(0, time.Second, Location{})
		}, ResendWait, ResendWait, ResendWait},
		"attempt not sent": {func(r *Record) {
			r.Start(0, time.Second, Location{})
			r.End(scheduler.NotSent)
		}, ResendAdmit, ResendAdmit, ResendAdmit},
		"attempt cancelled": {func(r *Record) {
			r.Start(0, time.Second, Location{})
			r.End(scheduler.Cancelled)
		}, ResendAdmit, ResendFail, ResendFail},
		"attempt reset, retry in flight": {func(r *Record) {
			r.Start(0, time.Second, Location{})
			r.End(scheduler.NotSent)
			r.Start(0, time.Second, Location{})
		}, ResendWait, ResendWait, ResendWait},
	} {
		for idempotency, want := range map[scheduler.Idempotency]Resend{
			scheduler.Idempotent: test.idempotent, scheduler.IdempotentByKey: test.keyed, scheduler.NonIdempotent: test.nonIdempotent,
		} {
			class := &scheduler.Class{Idempotency: idempotency, KeyRetention: time.Minute}
			var history *Record
			if test.attempts != nil {
				record := NewRecord(class)
				history = &record
				test.attempts(history)
				history.Close()
			}
			if got := DecideResend(class, history); got != want {
				t.Errorf("%s, class %v: DecideResend = %v, want %v", name, idempotency, got, want)
			}
		}
	}
}
