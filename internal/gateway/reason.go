package gateway

import "havencart/internal/decide/tenancy"

// Reason is the reason why the front end, rather than a worker, ended a request or one of its attempts.
type Reason int

// The reasons. The zero value means that there is none.
const (
	noReason Reason = iota

	// Reasons to reject a request before it is admitted.
	ShuttingDown          // the front end no longer admits requests
	LoopOverloaded        // shed because requests wait too long for the event loop
	LoopStopped           // the event loop has ended
	QueueFull             // the event loop's queue is full
	TooManyInFlight       // Settings.MaxInFlight requests are in flight
	DeadlineExceeded      // no time was left when the request was received
	FunctionNameCollision // the hash of the function's name collides with that of another function
	OverTenantQuota       // the tenant's quota is used up
	OverTenantShare       // the tenant exceeds its share while other tenants get less than theirs
	OverMemoryShare       // the client may not reserve memory for another request now

	// Reasons to end an admitted request.
	MayHaveExecuted // the client sent the request again, and it may have executed before
	NoWorkerInTime  // the scheduler rejected the request
	NoResponse      // the deadline passed without a decision by the scheduler
	Aborted         // the front end is stopping

	// Reasons to end an attempt.
	attemptDisconnected      // the client disconnected
	attemptTimedOut          // the worker did not respond within the response timeout
	attemptCancelled         // the scheduler cancelled the attempt
	attemptDrained           // the worker started to drain before the attempt was sent
	attemptUnwanted          // the request already has its final response
	attemptNotSentInTime     // the attempt was still unsent when its permit or deadline ended
	attemptNotReceivedInTime // the worker was not known to have received the attempt when its permit ended
	attemptUnconfirmed       // the worker did not confirm that it accepts new work

	reasonCount int = iota
)

// reasonTexts are the texts that clients receive. They are part of the protocol and must not be changed.
var reasonTexts = [reasonCount]string{
	noReason:                 "",
	ShuttingDown:             "this front end is closing",
	LoopOverloaded:           "this front end is behind",
	LoopStopped:              "this front end has stopped",
	QueueFull:                "the front end's queue is full",
	TooManyInFlight:          "too many calls in hand",
	DeadlineExceeded:         "no time is left",
	FunctionNameCollision:    "this function's name cannot be told from another's",
	OverTenantQuota:          tenancy.OverQuota.String(),
	OverTenantShare:          tenancy.OverShare.String(),
	OverMemoryShare:          "too much in hand",
	MayHaveExecuted:          "it may have run before",
	NoWorkerInTime:           "no worker could answer in time",
	NoResponse:               "no answer in time",
	Aborted:                  "this front end stops",
	attemptDisconnected:      "the client left",
	attemptTimedOut:          "nothing heard in time",
	attemptCancelled:         "called back",
	attemptDrained:           "the worker drains",
	attemptUnwanted:          "nobody waits",
	attemptNotSentInTime:     "not sent in time",
	attemptNotReceivedInTime: "not known to have arrived in time",
	attemptUnconfirmed:       "the worker did not confirm that it accepts work",
}

// String returns the text that clients receive.
func (r Reason) String() string { return reasonTexts[r] }

// tenantRejection returns the reason for a tenancy verdict other than tenancy.Admit.
func tenantRejection(verdict tenancy.Verdict) Reason {
	if verdict == tenancy.OverQuota {
		return OverTenantQuota
	}
	return OverTenantShare
}
