package workerclient

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"slices"
)

// recentCapacity is how many numbers recentNumbers holds.
const recentCapacity = 32

// recentNumbers is a ring of the numbers of the requests that were last rejected or failed on a connection. None of them
// is used on the connection again: a worker may respond twice, and the second response would be taken for that to the
// next attempt under the same number, so that a request that is being executed would count as rejected.
//
// The cost is that the next attempt needs another connection, which matters if a worker rejects much and connections are
// few.
type recentNumbers struct {
	ring [recentCapacity]uint64
	next int // index of the oldest, which is overwritten next
}

// add adds a number in place of the oldest one.
func (n *recentNumbers) add(number uint64) {
	n.ring[n.next] = number
	n.next = (n.next + 1) % recentCapacity
}

// has tells whether a number is in the ring. Zero stands for an empty place and never is.
func (n *recentNumbers) has(number uint64) bool {
	return number != 0 && slices.Contains(n.ring[:], number)
}

// parseNumber returns the number that a frame has for a request ID or function name of 16 hexadecimal digits.
func parseNumber(name string) (uint64, error) {
	var number [8]byte
	if len(name) != hex.EncodedLen(len(number)) {
		return 0, fmt.Errorf("name %q is not 16 hex digits", name)
	}
	if _, err := hex.Decode(number[:], []byte(name)); err != nil {
		return 0, fmt.Errorf("name %q: %w", name, err)
	}
	return binary.BigEndian.Uint64(number[:]), nil
}
