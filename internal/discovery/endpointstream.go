package discovery

import (
	"bufio"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"havencart/internal/decide/reconnect"
	"havencart/internal/platform/endpointstream"
	"havencart/internal/socket"
	"havencart/scheduler"
)

// jitterStream separates a stream's random waits from other generators that are made from the same seed.
const jitterStream = 0x6c697374

// EndpointStream is a Source that follows the platform's endpoint list: numbered events over TCP, the first of which
// come with the configuration. A connection that breaks or falls silent is replaced at once, and the platform continues
// after the last event received. The list stays as it is meanwhile, for as long as its lease lasts (see ListConfirmed); events
// that are repeated change nothing.
//
// Its fields belong to the goroutine of Run, but for those below mu.
type EndpointStream struct {
	zones, kinds []string
	lastEvent    uint64                          // number of the last event applied
	workers      map[uint32]endpointstream.Entry // by ID, without removed ones; as many as the platform lists

	rng  *rand.Rand
	dial func(ctx context.Context, address string) (net.Conn, error)

	mu             sync.Mutex
	address        string
	addressChanged chan struct{} // closed and replaced when the address changes
}

// NewEndpointStream returns a source that follows the endpoint stream at address (host:port). initialEvents are the
// events of the configuration as JSON, and may be empty; zones and kinds are the platform's names of its zones and
// worker kinds; waits before reconnects are drawn from seed. The error wraps endpointstream.ErrMalformed.
func NewEndpointStream(address string, initialEvents []byte, zones, kinds []string, seed uint64) (*EndpointStream, error) {
	stream := &EndpointStream{
		zones:          zones,
		kinds:          kinds,
		workers:        map[uint32]endpointstream.Entry{},
		rng:            rand.New(rand.NewPCG(seed, jitterStream)),
		dial:           dialStream,
		address:        address,
		addressChanged: make(chan struct{}),
	}
	if len(initialEvents) == 0 {
		return stream, nil
	}
	last, events, err := endpointstream.ParseInitialEvents(initialEvents, zones, kinds)
	if err != nil {
		return nil, fmt.Errorf("known: %w", err) // the configuration's key
	}
	for _, event := range events {
		if stream.isNew(event) {
			stream.apply(event)
		}
	}
	stream.lastEvent = max(stream.lastEvent, last)
	return stream, nil
}

func dialStream(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: reconnect.WatchDialTimeout()}
	return dialer.DialContext(ctx, "tcp", address)
}

// SetAddress makes the source follow the stream at another address (host:port), from the event after the last one
// received. The connection to the address before is closed. It may be called from any goroutine, also before Run.
func (s *EndpointStream) SetAddress(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if address == s.address {
		return
	}
	s.address = address
	close(s.addressChanged)
	s.addressChanged = make(chan struct{})
}

// currentAddress returns the address and a channel that is closed once it is no longer the current one.
func (s *EndpointStream) currentAddress() (address string, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address, s.addressChanged
}

// Refresh implements Source. It does nothing, as a stream reconnects by itself.
func (s *EndpointStream) Refresh() {}

// Run implements Source. The list of the initial events is reported at once, whether the platform can be reached or
// not.
func (s *EndpointStream) Run(ctx context.Context, sink Sink) {
	sink.EndpointsChanged(s.list())
	failures := 0
	for ctx.Err() == nil {
		address, changed := s.currentAddress()
		received, err := s.follow(ctx, address, changed, sink)
		failures++
		if received {
			failures = 0
		}
		if err != nil && ctx.Err() == nil {
			sink.WatchFailed(err)
		}
		s.waitToReconnect(ctx, changed, failures)
	}
}

// waitToReconnect waits before the next connection is made. If the address changes meanwhile, or has changed, the wait
// is that of a first attempt.
func (s *EndpointStream) waitToReconnect(ctx context.Context, changed <-chan struct{}, failures int) {
	for {
		delay := reconnect.WatchRetryDelay(failures, s.rng.Float64())
		select {
		case <-ctx.Done():
			return
		case <-changed:
			failures = 0
			changed = nil // never ready again
		case <-time.After(delay):
			return
		}
	}
}

// follow receives events on one connection until it breaks, falls silent, the address changes or ctx ends. It reports
// whether it received any event; the error is never nil.
func (s *EndpointStream) follow(ctx context.Context, address string, changed <-chan struct{}, sink Sink) (received bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go cancelWhenClosed(ctx, cancel, changed) // ends with ctx, and so with this function
	conn, err := s.dial(ctx, address)
	if err != nil {
		return false, fmt.Errorf("connect to the endpoint stream: %w", err)
	}
	closeConn := func() { _ = conn.Close() } // an error would change nothing
	defer closeConn()
	stop := context.AfterFunc(ctx, closeConn) // interrupts a read or write in progress
	defer stop()
	requestedAt := time.Now()
	sink.ListRequested(requestedAt)
	if _, err := conn.Write(endpointstream.AppendHello(nil, s.lastEvent)); err != nil {
		return false, fmt.Errorf("write to the endpoint stream: %w", err)
	}
	return s.receive(conn, requestedAt, sink)
}

// cancelWhenClosed calls cancel once signal is closed. It returns then, or when ctx ends.
func cancelWhenClosed(ctx context.Context, cancel context.CancelFunc, signal <-chan struct{}) {
	select {
	case <-signal:
		cancel()
	case <-ctx.Done():
	}
}

// receive applies the events of a connection until it fails; the error is never nil.
//
// What was missed comes first, and the first event without changes says that it was all. It and each later one confirm the list
// as of when the connection was last seen empty: after a stall of this process an event may have waited to be read while the
// service has long been out of reach.
func (s *EndpointStream) receive(conn net.Conn, requestedAt time.Time, sink Sink) (received bool, err error) {
	source := &socket.ArrivalConn{Conn: conn}
	reader := bufio.NewReader(source)
	isWhole := false
	silenceTimeout := reconnect.WatchSilenceTimeout(s.rng.Float64())
	for {
		_ = conn.SetReadDeadline(time.Now().Add(silenceTimeout)) // fails on a closed connection only
		event, err := endpointstream.ReadEvent(reader, len(s.zones), len(s.kinds))
		if err != nil {
			return received, fmt.Errorf("read the endpoint stream: %w", err)
		}
		received = true
		if s.isNew(event) {
			sink.EndpointsUpdated(s.apply(event))
		}
		isWhole = isWhole || event.Kind == endpointstream.NoChange
		if isWhole {
			sink.ListConfirmed(later(requestedAt, source.ArrivedAfter()))
		}
	}
}

// later returns the later one of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// isNew reports whether an event changes the list. Events up to the last one applied are repeated after a reconnect, and
// now and then on one connection; they change nothing.
func (s *EndpointStream) isNew(event endpointstream.Event) bool {
	return event.Kind != endpointstream.NoChange && event.Number > s.lastEvent
}

// apply takes a new event over into the list, and returns the workers that it changed. A whole list is compared with the
// one before: what is as it was costs its reader nothing.
func (s *EndpointStream) apply(event endpointstream.Event) (changed []Worker) {
	s.lastEvent = event.Number
	entries := event.Entries
	if event.Kind == endpointstream.Snapshot {
		entries = append(s.missingFrom(entries), entries...)
	}
	for _, entry := range entries {
		known, wasKnown := s.workers[entry.ID]
		switch {
		case entry.State != endpointstream.Removed:
			if wasKnown && known == entry {
				continue
			}
			s.workers[entry.ID] = entry
			changed = append(changed, s.worker(entry))
		case wasKnown:
			delete(s.workers, entry.ID)
			known.State = endpointstream.Removed
			changed = append(changed, s.worker(known))
		}
	}
	return changed
}

// missingFrom returns the workers of the list that a whole list lacks, as removed.
func (s *EndpointStream) missingFrom(entries []endpointstream.Entry) (missing []endpointstream.Entry) {
	listed := make(map[uint32]bool, len(entries))
	for _, entry := range entries {
		listed[entry.ID] = true
	}
	for _, id := range slices.Sorted(maps.Keys(s.workers)) {
		if !listed[id] {
			missing = append(missing, endpointstream.Entry{ID: id, State: endpointstream.Removed})
		}
	}
	return missing
}

var schedulerStates = map[endpointstream.State]scheduler.WorkerState{
	endpointstream.Ready:    scheduler.Ready,
	endpointstream.Draining: scheduler.Draining,
	endpointstream.Removed:  scheduler.Removed,
}

// list returns the workers in the order of their IDs.
func (s *EndpointStream) list() []Worker {
	list := make([]Worker, 0, len(s.workers))
	for _, id := range slices.Sorted(maps.Keys(s.workers)) {
		list = append(list, s.worker(s.workers[id]))
	}
	return list
}

func (s *EndpointStream) worker(entry endpointstream.Entry) Worker {
	worker := Worker{
		Name:    entry.Name(),
		Address: entry.Address.String(),
		Zone:    s.zones[entry.Zone],
		Cell:    strconv.Itoa(entry.Cell),
		Kind:    s.kinds[entry.WorkerKind],
		Scale:   entry.Weight,
		State:   schedulerStates[entry.State],
	}
	if entry.StartedUnixMilli > 0 {
		worker.Started = time.UnixMilli(entry.StartedUnixMilli)
	}
	return worker
}
