package soak

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"havencart/internal/periodic"
	"havencart/internal/platform/endpointstream"
	"havencart/lab/platformdiscovery"
)

// heartbeatInterval is the time between two signs of life of the endpoint stream.
const heartbeatInterval = time.Second

// notifiedAfterOutage is by when front ends count as notified during an outage of the stream, by the platform's rules.
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
	silent   bool
	outageAt time.Duration // when the stream last had an outage; 0: never
}

func startEndpoints(history *History) (*endpoints, error) {
	server, err := platformdiscovery.Start()
	if err != nil {
		return nil, err
	}
	return &endpoints{history: history, server: server, entries: map[uint32]endpointstream.Entry{}}, nil
}

// runHeartbeats sends signs of life until ctx ends.
func (e *endpoints) runHeartbeats(ctx context.Context) {
	periodic.Run(ctx, heartbeatInterval, e.heartbeat)
}

func (e *endpoints) heartbeat() {
	e.mu.Lock()
	silent, number := e.silent, e.number
	e.mu.Unlock()
	if !silent {
		e.server.WriteRaw(endpointstream.AppendEvent(nil, endpointstream.Event{Number: number, Kind: endpointstream.NoChange}))
	}
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
	within := time.Duration(0)
	if e.outageAt > 0 && e.history.Now()-e.outageAt < notifiedAfterOutage {
		within = notifiedAfterOutage
	}
	if entry.State != endpointstream.Ready {
		e.history.Notified(entry.Name(), within)
	}
	e.server.Publish(endpointstream.Event{Number: e.number, Kind: endpointstream.Delta, Entries: []endpointstream.Entry{entry}})
}

// breakOff closes all connections of the stream. What was told shortly before counts as told later.
func (e *endpoints) breakOff() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.outageAt = e.history.Now()
	e.server.CloseConnections()
}

// setSilent has the stream send no signs of life, or again.
func (e *endpoints) setSilent(silent bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silent = silent
	e.outageAt = e.history.Now()
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
