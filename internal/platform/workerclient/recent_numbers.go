package workerclient

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"slices"
)

// recentCapacity is the capacity of recentNumbers.
const recentCapacity = 32

// recentNumbers is a ring buffer with the numbers of the requests that were most recently rejected or failed on a
// connection. These numbers are not used on the connection again, because a worker may respond twice: the second
// response would be matched to the next attempt with the same number, so a request that is being executed would count
// as rejected.
//
// The cost is that the next attempt of such a request needs another connection. This matters if a worker rejects many
// requests and few connections are available.
type recentNumbers struct {
	ring [recentCapacity]uint64
	next int // index of the oldest number, which is overwritten next
}

// add replaces the oldest number.
func (n *recentNumbers) add(number uint64) {
	n.ring[n.next] = number
	n.next = (n.next + 1) % recentCapacity
}

// has reports whether the ring contains the number. Zero marks an unused element and is never contained.
func (n *recentNumbers) has(number uint64) bool {
	return number != 0 && slices.Contains(n.ring[:], number)
}

// parseNumber converts a request ID or a function name, which has 16 hexadecimal digits, to the ID of a frame.
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
