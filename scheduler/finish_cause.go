package scheduler

// FinishCause says why a Scheduler itself gave a request its final response. It is used in logs and totals; the
// response to the client depends on whether the request may have executed.
type FinishCause int

// The causes.
const (
	ShedOnArrival       FinishCause = iota + 1 // rejected by randomized admission during an overload of all workers
	DeadlineTooClose                           // no run would end before the client gives up
	NoHeadroomInTime                           // late or over quota, and no headroom is expected in time
	KeyExpired                                 // may have executed, and workers no longer drop a repeat
	MayNotExecuteTwice                         // may have executed, and its class forbids another attempt
	AttemptsExhausted                          // Settings.MaxAttempts attempts were made
	finishCauseSentinel                        // one more than the last cause
)

// numFinishCauses is one more than the highest cause, the length of a table indexed by cause.
const numFinishCauses = int(finishCauseSentinel)

var finishCauseNames = [numFinishCauses]string{
	ShedOnArrival:      "shed on arrival",
	DeadlineTooClose:   "deadline too close",
	NoHeadroomInTime:   "no headroom in time",
	KeyExpired:         "idempotency key expired",
	MayNotExecuteTwice: "may have executed, must not execute twice",
	AttemptsExhausted:  "attempts exhausted",
}

// String returns the cause in words.
func (c FinishCause) String() string {
	if c <= 0 || c >= finishCauseSentinel {
		return "unknown"
	}
	return finishCauseNames[c]
}

var statusNames = [...]string{
	OK:            "ok",
	Error:         "error",
	Overloaded:    "overloaded",
	Timeout:       "timeout",
	ConnectFailed: "connect failed",
	Reset:         "reset",
	Cancelled:     "cancelled",
	NotSent:       "not sent",
	NotLoaded:     "not loaded",
}

// String returns the status in words.
func (s Status) String() string {
	if s <= 0 || int(s) >= len(statusNames) {
		return "unknown"
	}
	return statusNames[s]
}

// MayHaveExecuted reports whether an attempt that ended with this status may have executed, in the absence of a
// response that says otherwise.
func (s Status) MayHaveExecuted() bool {
	return s == Error || s == Timeout || s == Reset || s == Cancelled
}

var idempotencyNames = [...]string{
	Idempotent:      "idempotent",
	IdempotentByKey: "idempotent by key",
	NonIdempotent:   "non-idempotent",
}

// String returns the kind of idempotency in words.
func (i Idempotency) String() string { return idempotencyNames[i] }

var keyScopeNames = [...]string{
	ScopeAll:  "all",
	ScopeZone: "zone",
	ScopeCell: "cell",
}

// String returns the scope in words.
func (s KeyScope) String() string { return keyScopeNames[s] }
