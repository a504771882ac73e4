// Package simwire reads and writes the frames of the simulator's wire protocol. A batch carries events to the
// instances of one process; a reply carries their actions back. All integers are little-endian, except for the
// addresses of workers; times are IEEE 754 numbers of milliseconds.
//
// The names of the protocol (CALL_OUT, TURN_AWAY and others) are mapped here to the scheduler's terms. Reading is
// strict: a frame that the protocol does not allow is an error that wraps ErrMalformed.
package simwire

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// Sizes of the protocol's parts, in bytes.
const (
	batchHeaderSize = 20
	replyHeaderSize = 12
	countSize       = 4 // of the record count, which belongs to the header but is part of the length
	eventSize       = 56
	actionSize      = 24
	endpointSize    = 24
	// maxFrame bounds the length that a header may claim.
	maxFrame = 1 << 30
	// readChunk is how much memory is reserved ahead of the bytes received.
	readChunk = 1 << 20
)

const (
	// nanosPerMilli converts the protocol's times.
	nanosPerMilli = 1e6
	// maxMillis bounds times and other numbers: beyond it, a time.Duration would overflow.
	maxMillis = 9e12
)

// ErrMalformed is wrapped by every error about the content of a frame.
var ErrMalformed = errors.New("malformed frame")

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}

// millis converts a time of the protocol, rounded to nanoseconds.
func millis(ms float64) time.Duration { return time.Duration(math.Round(ms * nanosPerMilli)) }

// toMillis converts a time to the protocol's.
func toMillis(d time.Duration) float64 { return float64(d) / nanosPerMilli }

// validMillis reports whether ms is within bounds; NaN is not.
func validMillis(ms float64) bool { return ms > -maxMillis && ms < maxMillis }
