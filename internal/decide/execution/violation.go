package execution

// Violation is a rule that was about to be broken, or was.
type Violation int

// The violations. All but LateWrite are prevented where they are found.
const (
	NoViolation                  Violation = iota
	SendAfterFinalResponse                 // an attempt of a request that has its final response, or whose client left
	SecondAttemptInFlight                  // an attempt while another one of the request is in flight
	RetryOfNonIdempotent                   // a retry of what may have executed and must not execute twice
	RetryAfterKeyExpired                   // a retry of what may have executed, whose key may be forgotten
	RetryOutsideKeyScope                   // a retry of what may have executed, at a worker that does not know its key
	SecondFinalResponse                    // a final response after the first one
	RejectionWithAttemptInFlight           // a promise while an attempt is in flight that may execute
	RejectionAfterExecution                // a promise although the request may have executed
	StartAtDrainingWorker                  // an attempt or an order to load at a worker that drains or was removed
	LateWrite                              // a frame was written whole after its permit had ended
	violationSentinel                      // one more than the last violation
)

// Violations is one more than the highest Violation, for tables.
const Violations = int(violationSentinel)

var violationNames = [Violations]string{
	NoViolation:                  "none",
	SendAfterFinalResponse:       "send-after-final-response",
	SecondAttemptInFlight:        "second-attempt-in-flight",
	RetryOfNonIdempotent:         "retry-of-non-idempotent",
	RetryAfterKeyExpired:         "retry-after-key-expired",
	RetryOutsideKeyScope:         "retry-outside-key-scope",
	SecondFinalResponse:          "second-final-response",
	RejectionWithAttemptInFlight: "rejection-with-attempt-in-flight",
	RejectionAfterExecution:      "rejection-after-execution",
	StartAtDrainingWorker:        "start-at-draining-worker",
	LateWrite:                    "late-write",
}

// String returns the violation's name in logs and totals.
func (v Violation) String() string {
	if v < 0 || v >= violationSentinel {
		return "unknown"
	}
	return violationNames[v]
}
