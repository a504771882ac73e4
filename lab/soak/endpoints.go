package soak

import (
	"fmt"
	"net/netip"
	"sync"
	"time"

	"havencart/internal/platform/endpointstream"
	"havencart/lab/platformdiscovery"
)

// notifiedAfterOutage is how long after an outage of the stream began front ends count as notified of what it would have
// told since, by the platform's rules.
const notifiedAfterOutage = 4 * time.Second

var stateNames = map[endpointstream.State]string{
	endpointstream.Ready:    "up",
	endpointstream.Draining: "draining",
	endpointstream.Removed:  "removed",
}

// endpoints publishes the list of workers.
type endpoints struct {
	history *History
	server  *platformdiscovery.Server

	mu       sync.Mutex
	number   uint64
	entries  map[uint32]endpointstream.Entry // but removed ones
	inOutage bool
	outageAt time.Duration // when the last outage began, however short; 0: there was none
}

func startEndpoints(history *History) (*endpoints, error) {
	server, err := platformdiscovery.Start()
	if err != nil {
		return nil, err
	}
	return &endpoints{history: history, server: server, entries: map[uint32]endpointstream.Entry{}}, nil
}

// publish tells of a worker.
func (e *endpoints) publish(entry endpointstream.Entry) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.number++
	if entry.State == endpointstream.Removed {
		delete(e.entries, entry.ID)
	} else {
		e.entries[entry.ID] = entry
	}
	if entry.State != endpointstream.Ready {
		e.history.Notified(entry.Name(), e.notifiedAt())
	}
	e.server.Publish(endpointstream.Event{Number: e.number, Kind: endpointstream.Delta, Entries: []endpointstream.Entry{entry}})
}

// notifiedAt is when front ends count as notified of what is published now. The lock is held.
func (e *endpoints) notifiedAt() time.Duration {
	if e.outageAt == 0 {
		return e.history.Now()
	}
	return max(e.history.Now(), e.outageAt+notifiedAfterOutage)
}

// breakOff closes all connections of the stream.
func (e *endpoints) breakOff() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.inOutage {
		e.outageAt = e.history.Now()
	}
	e.server.CloseConnections()
}

// beginOutage puts the service out of reach, and reports whether it was within reach before.
func (e *endpoints) beginOutage(reach platformdiscovery.Reachability) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.inOutage {
		return false
	}
	e.inOutage = true
	e.outageAt = e.history.Now()
	e.server.SetReachability(reach)
	return true
}

// endOutage has the service within reach again.
func (e *endpoints) endOutage() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inOutage = false
	e.server.SetReachability(platformdiscovery.Reachable)
}

// known is the list as a front end is told at its start.
func (e *endpoints) known() knownEndpoints {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := knownList{Sequence: 1, Whole: true, Hosts: []knownHost{}}
	for _, entry := range e.entries {
		list.Hosts = append(list.Hosts, knownHost{
			Name:    entry.Name(),
			Address: entry.Address.String(),
			Zone:    zoneName,
			Kind:    kindName,
			Cell:    entry.Cell,
			State:   stateNames[entry.State],
			Weight:  entry.Weight,
			Started: entry.StartedUnixMilli,
		})
	}
	return knownEndpoints{LastNumber: e.number, Events: []knownEvent{{Number: e.number, List: list}}}
}

// parseAddress returns the address of a listener of this process.
func parseAddress(address string) (netip.AddrPort, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return parsed, fmt.Errorf("soak: %w", err)
	}
	return parsed, nil
}
