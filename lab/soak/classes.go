package soak

import "time"

// ClassName is the name of a class of requests.
type ClassName string

// The classes.
const (
	Quote  ClassName = "quote"  // may run any number of times
	Status ClassName = "status" // has a key, whose repeats the workers of one cell drop
	Charge ClassName = "charge" // must not run twice
)

// repeat is what another attempt of a class may do.
type repeat int

const (
	repeatAnywhere repeat = iota
	repeatByKey
	repeatNever
)

// class is what the rules say of a class.
type class struct {
	repeat   repeat
	platform string // the platform's word for it
	deadline time.Duration
}

var classes = map[ClassName]class{
	Quote:  {repeatAnywhere, "retryable", 3 * time.Second},
	Status: {repeatByKey, "dedup", 3 * time.Second},
	Charge: {repeatNever, "fragile", 2 * time.Second},
}

// classNames are the classes in the order of the settings.
var classNames = []ClassName{Quote, Status, Charge}

// The rules in figures. The key is remembered for as long as two or three attempts take, so that it expires often.
const (
	keyRetention   = 700 * time.Millisecond
	drainGrace     = 500 * time.Millisecond
	connectTimeout = 400 * time.Millisecond
	maxAttempts    = 5
)
