package soak

import "time"

// ClassName is the name of a request class.
type ClassName string

// The request classes that clients use.
const (
	Quote  ClassName = "quote"  // safe to execute any number of times
	Status ClassName = "status" // carries an idempotency key, by which the workers of a cell deduplicate executions
	Charge ClassName = "charge" // must not be executed twice
)

// retryRule says whether and where a request that may have been executed can be sent again.
type retryRule int

const (
	retryAnywhere retryRule = iota // may be sent again to any worker at any time
	retryWithKey                   // may be sent again to the cell of the first attempt, within keyRetention of it
	retryNever                     // must not be sent again
)

// class holds the rules of one request class.
type class struct {
	retryRule    retryRule
	platformRule string        // the retryRule as the platform's settings write it
	deadline     time.Duration // longest timeout that a client of the class uses
}

var classes = map[ClassName]class{
	Quote:  {retryAnywhere, "retryable", 3 * time.Second},
	Status: {retryWithKey, "dedup", 3 * time.Second},
	Charge: {retryNever, "fragile", 2 * time.Second},
}

// classNames lists the classes in the order in which the settings define them.
var classNames = []ClassName{Quote, Status, Charge}

// Limits in the front ends' configuration, some of which CheckHistory enforces. keyRetention is only as long as two or
// three attempts take, so that keys often expire between attempts.
const (
	keyRetention   = 700 * time.Millisecond
	drainGrace     = 500 * time.Millisecond
	connectTimeout = 400 * time.Millisecond
	maxAttempts    = 5
)
