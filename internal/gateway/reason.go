package gateway

import "havencart/internal/decide/tenancy"

// Reason is why the front end itself, and not a worker, ended a request or one of its attempts.
type Reason int

// The reasons. The zero value stands for none.
const (
	noReason Reason = iota

	// Rejected before it was admitted.
	ShuttingDown          // the front end admits nothing any longer
	LoopOverloaded        // shed: requests wait too long for the event loop
	LoopStopped           // the event loop has ended
	QueueFull             // the event loop's queue is full
	TooManyInFlight       // Settings.MaxInFlight requests are in flight
	DeadlineExceeded      // no time was left when the request was received
	FunctionNameCollision // another function's name has the same identifier
	OverTenantQuota       // its tenant's quota is used up
	OverTenantShare       // its tenant is beyond its share while others lack theirs
	TooManyBodyBytes      // the bodies of the requests in flight fill their part of the memory

	// Ended after it was admitted.
	NoWorkerInTime // the scheduler rejected it
	NoResponse     // past its deadline without a decision of the scheduler's
	Aborted        // the front end stops

	// Why an attempt ended.
	attemptDisconnected  // the client disconnected
	attemptTimedOut      // no response within the response timeout
	attemptCancelled     // the scheduler cancelled it
	attemptDrained       // its worker drains, and it was not sent yet
	attemptUnwanted      // its request has its final response already
	attemptNotSentInTime // still unsent when its time was over
	attemptUnconfirmed   // its worker did not confirm that it accepts new work
)

// reasonTexts are the texts that clients receive: they are part of the protocol and stay as they are.
var reasonTexts = [...]string{
	noReason:              "",
	ShuttingDown:          "this front end is closing",
	LoopOverloaded:        "this front end is behind",
	LoopStopped:           "this front end has stopped",
	QueueFull:             "the front end's queue is full",
	TooManyInFlight:       "too many calls in hand",
	DeadlineExceeded:      "no time is left",
	FunctionNameCollision: "this function's name cannot be told from another's",
	OverTenantQuota:       tenancy.OverQuota.String(),
	OverTenantShare:       tenancy.OverShare.String(),
	TooManyBodyBytes:      "too much in hand",
	NoWorkerInTime:        "no worker could answer in time",
	NoResponse:            "no answer in time",
	Aborted:               "this front end stops",
	attemptDisconnected:   "the client left",
	attemptTimedOut:       "nothing heard in time",
	attemptCancelled:      "called back",
	attemptDrained:        "the worker drains",
	attemptUnwanted:       "nobody waits",
	attemptNotSentInTime:  "not sent in time",
	attemptUnconfirmed:    "the worker did not confirm that it accepts work",
}

// String returns the text that clients receive.
func (r Reason) String() string { return reasonTexts[r] }

// tenantRejection is the reason for a verdict of the tenancy other than tenancy.Admit.
func tenantRejection(verdict tenancy.Verdict) Reason {
	if verdict == tenancy.OverQuota {
		return OverTenantQuota
	}
	return OverTenantShare
}
