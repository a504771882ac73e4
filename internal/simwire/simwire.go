// Package simwire reads and writes the frames of the simulator's wire protocol. A batch carries events to the instances
// of one process; a reply carries the actions of the instances back to the simulator. Integers are little-endian,
// except for the IPv4 addresses of workers; times are IEEE 754 numbers of milliseconds.
//
// The package maps the names of the protocol, such as CALL_OUT and TURN_AWAY, to the terms of the scheduler. Reading is
// strict: a frame that violates the protocol results in an error that wraps ErrMalformed.
package simwire

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// Sizes of the parts of a frame, in bytes.
const (
	batchHeaderSize = 20
	replyHeaderSize = 12
	countSize       = 4 // size of the record count, which is part of the header but is included in the length
	eventSize       = 56
	actionSize      = 24
	endpointSize    = 24
	// maxFrame is the maximum length that a header may specify.
	maxFrame = 1 << 30
	// readChunk is the maximum number of bytes that are allocated before they are received.
	readChunk = 1 << 20
)

const (
	// nanosPerMilli is the number of nanoseconds in one millisecond, the unit of the protocol's times.
	nanosPerMilli = 1e6
	// maxMillis is the exclusive upper bound of the absolute value of times and other numbers. Larger times would
	// overflow a time.Duration.
	maxMillis = 9e12
)

// ErrMalformed is wrapped by every error about the contents of a frame.
var ErrMalformed = errors.New("malformed frame")

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}

// millis converts a time in milliseconds to a time.Duration, rounded to nanoseconds.
func millis(ms float64) time.Duration { return time.Duration(math.Round(ms * nanosPerMilli)) }

// toMillis converts a time.Duration to a time in milliseconds.
func toMillis(d time.Duration) float64 { return float64(d) / nanosPerMilli }

// validMillis reports whether the absolute value of ms is below maxMillis. It returns false for NaN.
func validMillis(ms float64) bool { return ms > -maxMillis && ms < maxMillis }
