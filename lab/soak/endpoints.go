package soak

import (
	"fmt"
	"net/netip"
	"sync"
	"time"

	"havencart/internal/platform/endpointstream"
	"havencart/lab/platformdiscovery"
)

// notifiedAfterOutage is how long after the start of an outage of the endpoint stream front ends are taken to know the
// events that were published meanwhile. The platform's rules set it.
const notifiedAfterOutage = 4 * time.Second

// stateNames holds the states as a front end's configuration writes them.
var stateNames = map[endpointstream.State]string{
	endpointstream.Ready:    "up",
	endpointstream.Draining: "draining",
	endpointstream.Removed:  "removed",
}

// endpoints publishes the endpoint list to front ends, over a discovery server.
type endpoints struct {
	history *History
	server  *platformdiscovery.Server

	mu              sync.Mutex
	eventNumber     uint64
	entries         map[uint32]endpointstream.Entry // all workers except removed ones, by Entry.ID
	inOutage        bool
	lastOutageStart time.Duration // includes outages that only closed the connections; 0 before the first outage
}

func startEndpoints(history *History) (*endpoints, error) {
	server, err := platformdiscovery.Start()
	if err != nil {
		return nil, err
	}
	return &endpoints{history: history, server: server, entries: map[uint32]endpointstream.Entry{}}, nil
}

// publish sends a worker's new state to front ends, and records from when on they count as notified of a drain or
// removal.
func (e *endpoints) publish(entry endpointstream.Entry) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.eventNumber++
	if entry.State == endpointstream.Removed {
		delete(e.entries, entry.ID)
	} else {
		e.entries[entry.ID] = entry
	}
	if entry.State == endpointstream.Ready {
		e.history.Listed(entry.Name(), e.notifiedAt())
	} else {
		e.history.DrainAnnounced(entry.Name(), e.notifiedAt())
	}
	e.server.Publish(endpointstream.Event{Number: e.eventNumber, Kind: endpointstream.Delta, Entries: []endpointstream.Entry{entry}})
}

// notifiedAt returns when front ends count as notified of an event that is published now. The caller holds e.mu.
func (e *endpoints) notifiedAt() time.Duration {
	if e.lastOutageStart == 0 {
		return e.history.Now()
	}
	return max(e.history.Now(), e.lastOutageStart+notifiedAfterOutage)
}

// closeConnections closes all connections of the endpoint stream. Front ends can reconnect at once.
func (e *endpoints) closeConnections() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.inOutage {
		e.lastOutageStart = e.history.Now()
	}
	e.server.CloseConnections()
}

// beginOutage makes discovery unreachable. It returns false, without an effect, if an outage is in progress.
func (e *endpoints) beginOutage(reach platformdiscovery.Reachability) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.inOutage {
		return false
	}
	e.inOutage = true
	e.lastOutageStart = e.history.Now()
	e.server.SetReachability(reach)
	return true
}

// endOutage makes discovery reachable again.
func (e *endpoints) endOutage() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inOutage = false
	e.server.SetReachability(platformdiscovery.Reachable)
}

// snapshot returns the current endpoint list in the form in which a front end's configuration has it.
func (e *endpoints) snapshot() knownEndpoints {
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
	return knownEndpoints{LastNumber: e.eventNumber, Events: []knownEvent{{Number: e.eventNumber, List: list}}}
}

// parseAddress parses the address (host:port) of a listener.
func parseAddress(address string) (netip.AddrPort, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return parsed, fmt.Errorf("soak: %w", err)
	}
	return parsed, nil
}
