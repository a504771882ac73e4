package endpointstream

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
)

// initialEvents mirrors the JSON object that holds the events known at start-up; keys that it lacks are ignored.
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

// ParseInitialEvents reads the events known at start-up from a front end's configuration. zones and kinds are the
// platform's names of its zones and worker kinds, in the order in which frames number them. It returns the events and
// the number from which the stream is to be followed. Every error wraps ErrMalformed.
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

// id returns the number in the worker's name, false if the name has another form.
func (w initialEntry) id() (id uint32, ok bool) {
	digits, hasPrefix := strings.CutPrefix(w.Name, namePrefix)
	number, err := strconv.ParseUint(digits, 16, 32)
	return uint32(number), hasPrefix && err == nil
}

// address returns the worker's address, false if it is no IPv4 address with a port.
func (w initialEntry) address() (address netip.AddrPort, ok bool) {
	address, err := netip.ParseAddrPort(w.Address)
	return address, err == nil && address.Addr().Is4()
}

func (w initialEntry) outOfRange() bool { return w.Cell < 0 || !(w.StartedMillis >= 0) }

// indexOrLen returns the index of name in names, or len(names), which Entry.validate refuses, if it is not there.
func indexOrLen(names []string, name string) int {
	if index := slices.Index(names, name); index >= 0 {
		return index
	}
	return len(names)
}
