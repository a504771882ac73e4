// Package endpointstream is the codec of the platform's endpoint list: the numbered events by which the platform
// announces its workers. An event travels as a binary frame on a TCP connection, and the events known at start-up stand
// as JSON in a front end's configuration; both forms decode to the same Event.
//
// The platform's own words end here: its executor is a worker, its bulletin the endpoint stream, its host, block and
// share are a worker's name, cell and weight.
//
// Decoding is strict and bounded: the length of a frame is checked before anything is read for it. The package does no
// I/O but through the reader that it is given, and keeps no state; its functions are safe for concurrent use.
package endpointstream

import (
	"errors"
	"fmt"
	"net/netip"
)

// ErrMalformed is wrapped by every error about the content of an endpoint stream. Errors of the underlying reader do
// not wrap it.
var ErrMalformed = errors.New("malformed endpoint stream")

// State is the state of a worker as announced by the platform. Its values are those on the wire.
type State byte

// The states of a worker.
const (
	Ready    State = iota // accepts requests
	Draining              // finishes what it has; nothing new may be sent
	Removed               // no longer part of the list
)

// EventKind is the kind of an event. Its values are those on the wire.
type EventKind byte

// The kinds of event.
const (
	NoChange EventKind = iota // a sign of life without entries
	Snapshot                  // the whole list
	Delta                     // only the workers that changed
)

// Entry describes one worker in an event.
type Entry struct {
	ID               uint32
	Address          netip.AddrPort // IPv4
	State            State
	Zone             int     // index into the platform's list of zones
	WorkerKind       int     // index into the platform's list of worker kinds
	Cell             int     // number of the worker's cell
	Weight           float64 // relative capacity; above 0 unless the worker is Removed
	StartedUnixMilli int64   // time of the worker's start in Unix milliseconds, 0 if it is not announced
}

// Name returns the worker's name in the form that configuration and logs use, such as s-00c41f7a.
func (e Entry) Name() string { return fmt.Sprintf("%s%08x", namePrefix, e.ID) }

// namePrefix precedes the hexadecimal identifier in a worker's name.
const namePrefix = "s-"

// Event is one change of the endpoint list. Numbers grow from event to event; a NoChange event repeats the number of
// the one before it.
type Event struct {
	Number  uint64
	Kind    EventKind
	Entries []Entry
}

// validate returns an error that wraps ErrMalformed unless the entry can be used with that many zones and worker kinds.
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

// lacksWeight reports whether a worker that remains in the list has no positive weight. A weight that is not a number
// counts as none.
func (e Entry) lacksWeight() bool { return e.State != Removed && !(e.Weight > 0) }
