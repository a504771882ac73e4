package execution

// Violation identifies an execution rule that an action would break or has broken.
type Violation int

// The violations. All except LateWrite are prevented when they are detected.
const (
	NoViolation                  Violation = iota
	SendAfterFinalResponse                 // attempt of a request that has its final response or whose client disconnected
	SecondAttemptInFlight                  // attempt while another attempt of the request is in flight
	RetryOfNonIdempotent                   // retry of a non-idempotent request that may have executed
	RetryAfterKeyExpired                   // retry of a request that may have executed, after its key retention ended
	RetryOutsideKeyScope                   // retry of a request that may have executed, at a worker outside its key scope
	SecondFinalResponse                    // second final response to a request
	RejectionWithAttemptInFlight           // rejection while an attempt that may execute is in flight
	RejectionAfterExecution                // rejection of a request that may have executed
	StartAtDrainingWorker                  // attempt or load order sent to a worker that is draining or was removed
	LateWrite                              // frame whose write was completed after its permit had expired
	violationSentinel                      // one more than the last violation
)

// NumViolations is one more than the highest Violation, for use as an array length.
const NumViolations = int(violationSentinel)

var violationNames = [NumViolations]string{
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

// String returns the violation's name, as used in logs and totals.
func (v Violation) String() string {
	if v < 0 || v >= violationSentinel {
		return "unknown"
	}
	return violationNames[v]
}
