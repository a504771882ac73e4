package execution

import "havencart/scheduler"

// Resend is the decision about a request that a client sends again because its connection ended before the response.
type Resend int

const (
	// ResendAdmit admits the request like a new one: nothing has executed, or executing it again does no harm.
	ResendAdmit Resend = iota + 1
	// ResendWait holds the request until the attempt in flight for it has ended, because no second attempt may start.
	ResendWait
	// ResendFail fails the request: it may have executed and must not execute again.
	ResendFail
)

// DecideResend decides about a request of the given class. history is the record of what was done for it before its
// connection ended, or nil if that is no longer known.
func DecideResend(class *scheduler.Class, history *Record) Resend {
	repeatable := class.Idempotency == scheduler.Idempotent
	switch {
	case history == nil && !repeatable:
		return ResendFail
	case history == nil:
		return ResendAdmit
	case history.inFlight:
		return ResendWait
	case history.mayHaveExecuted && !repeatable:
		return ResendFail
	}
	return ResendAdmit
}
