// Package endpointstream is the codec of the platform's endpoint list: the numbered events by which the platform
// announces its workers. Events are sent as binary frames over a TCP connection. The events that are known at start-up
// are part of a front end's configuration, in JSON. Both encodings are decoded to the same Event type.
//
// The package translates the platform's terms to those used in the rest of this code base: an executor is a worker, the
// bulletin is the endpoint stream, and a host, block and share are a worker's name, cell and weight.
//
// Decoding is strict and bounded: the length of a frame is checked before its entries are read. The package does no I/O
// except on the readers that are passed to it. It has no state, so its functions are safe for concurrent use.
package endpointstream

import (
	"errors"
	"fmt"
	"net/netip"
)

// ErrMalformed is wrapped by every error about the content of an endpoint stream. Errors of the underlying reader do
// not wrap it.
var ErrMalformed = errors.New("malformed endpoint stream")

// State is the state of a worker as announced by the platform. The values are used on the wire.
type State byte

// The states of a worker.
const (
	Ready    State = iota // accepts requests
	Draining              // finishes the work it has; no new work may be sent to it
	Removed               // no longer part of the endpoint list
)

// EventKind is the kind of an event. The values are used on the wire.
type EventKind byte

// The kinds of events.
const (
	NoChange EventKind = iota // keepalive without entries
	Snapshot                  // contains all workers of the endpoint list
	Delta                     // contains only the workers that changed
)

// Entry describes one worker in an event. Its field names appear in an error text.
type Entry struct {
	ID               uint32
	Address          netip.AddrPort // IPv4 address and port
	State            State
	Zone             int     // index in the platform's list of zones
	WorkerKind       int     // index in the platform's list of worker kinds
	Cell             int     // number of the worker's cell
	Weight           float64 // relative capacity; above 0 unless the worker is Removed
	StartedUnixMilli int64   // start time of the worker in Unix milliseconds, 0 if unknown
}

// Name returns the worker's name as used in configuration and logs, such as s-00c41f7a.
func (e Entry) Name() string { return fmt.Sprintf("%s%08x", namePrefix, e.ID) }

// namePrefix is the part of a worker's name that precedes the hexadecimal ID.
const namePrefix = "s-"

// Event is an update of the endpoint list. Numbers increase from event to event, except that a NoChange event repeats
// the number of the previous event.
type Event struct {
	Number  uint64
	Kind    EventKind
	Entries []Entry
}

// validate returns an error that wraps ErrMalformed if a field of the entry is out of range. The arguments are the
// number of zones and the number of worker kinds of the platform.
func (e Entry) validate(zones, kinds int) error {
	switch {
	case e.State > Removed,
		e.Zone >= zones,
		e.WorkerKind >= kinds,
		e.Address.Port() == 0,
		e.StartedUnixMilli < 0,
		e.lacksWeight():
		return fmt.Errorf("%w: worker %+v", ErrMalformed, e)
	}
	return nil
}

// lacksWeight reports whether the worker remains in the endpoint list but has no positive weight. NaN is not a positive
// weight.
func (e Entry) lacksWeight() bool { return e.State != Removed && !(e.Weight > 0) }
