package endpointstream

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
)

// initialEvents is the JSON object with the events known at start-up. Keys of the object that have no field here are
// ignored.
type initialEvents struct {
	LastNumber uint64         `json:"no"`
	Events     []initialEvent `json:"items"`
}

type initialEvent struct {
	Number uint64 `json:"no"`
	List   struct {
		IsSnapshot bool           `json:"whole"`
		Workers    []initialEntry `json:"hosts"`
	} `json:"roster"`
}

type initialEntry struct {
	Name          string  `json:"host"`
	Address       string  `json:"dial"`
	Zone          string  `json:"site"`
	Kind          string  `json:"class"`
	Cell          int     `json:"block"`
	State         string  `json:"health"`
	Weight        float64 `json:"share"`
	StartedMillis float64 `json:"born_ms"`
}

var stateNames = map[string]State{
	"up":       Ready,
	"draining": Draining,
	"removed":  Removed,
}

// ParseInitialEvents parses the events known at start-up from a front end's configuration. The zones and kinds
// arguments are the names of the platform's zones and worker kinds, in the order of their indexes in frames. It returns
// the events and the event number to send in the hello message. Every error wraps ErrMalformed.
func ParseInitialEvents(text []byte, zones, kinds []string) (last uint64, events []Event, err error) {
	var in initialEvents
	if err := json.Unmarshal(text, &in); err != nil {
		return 0, nil, fmt.Errorf("%w: known: %w", ErrMalformed, err)
	}
	for _, item := range in.Events {
		event, err := item.event(zones, kinds)
		if err != nil {
			return 0, nil, err
		}
		events = append(events, event)
	}
	return in.LastNumber, events, nil
}

func (i initialEvent) event(zones, kinds []string) (Event, error) {
	event := Event{Number: i.Number, Kind: Delta}
	if i.List.IsSnapshot {
		event.Kind = Snapshot
	}
	for _, worker := range i.List.Workers {
		entry, err := worker.entry(zones, kinds)
		if err != nil {
			return Event{}, err
		}
		event.Entries = append(event.Entries, entry)
	}
	return event, nil
}

func (w initialEntry) entry(zones, kinds []string) (Entry, error) {
	id, hasID := w.id()
	address, hasAddress := w.address()
	state, hasState := stateNames[w.State]
	switch {
	case !hasID, !hasAddress, !hasState, w.outOfRange():
		return Entry{}, fmt.Errorf("%w: worker %+v", ErrMalformed, w)
	}
	entry := Entry{
		ID:               id,
		Address:          address,
		State:            state,
		Zone:             indexOrLen(zones, w.Zone),
		WorkerKind:       indexOrLen(kinds, w.Kind),
		Cell:             w.Cell,
		Weight:           w.Weight,
		StartedUnixMilli: int64(w.StartedMillis),
	}
	return entry, entry.validate(len(zones), len(kinds))
}

// id returns the ID that is part of the worker's name. It returns false if the name is malformed.
func (w initialEntry) id() (id uint32, ok bool) {
	digits, hasPrefix := strings.CutPrefix(w.Name, namePrefix)
	number, err := strconv.ParseUint(digits, 16, 32)
	return uint32(number), hasPrefix && err == nil
}

// address returns the worker's address. It returns false if the address is not an IPv4 address with a port.
func (w initialEntry) address() (address netip.AddrPort, ok bool) {
	address, err := netip.ParseAddrPort(w.Address)
	return address, err == nil && address.Addr().Is4()
}

func (w initialEntry) outOfRange() bool { return w.Cell < 0 || !(w.StartedMillis >= 0) }

// indexOrLen returns the index of name in names. If name is unknown it returns len(names), which Entry.validate
// rejects.
func indexOrLen(names []string, name string) int {
	if index := slices.Index(names, name); index >= 0 {
		return index
	}
	return len(names)
}
