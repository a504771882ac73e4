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

// jitterStream separates the random delays of an EndpointStream from other generators that use the same seed.
const jitterStream = 0x6c697374

// EndpointStream is a Source that follows the platform's endpoint list as numbered events over TCP. The first events
// come with the configuration. A connection that breaks, or receives nothing for too long, is replaced after a random
// delay, and the platform then continues after the last event received. Meanwhile the list stays unchanged and usable
// for as long as its lease lasts (see Sink.ListConfirmed). Repeated events change nothing.
//
// The fields above mu belong to the goroutine that calls Run; mu guards the fields below it.
type EndpointStream struct {
	zones, kinds []string
	lastEvent    uint64                          // number of the last event applied
	workers      map[uint32]endpointstream.Entry // listed workers by ID, as many as the platform lists

	rng  *rand.Rand
	dial func(ctx context.Context, address string) (net.Conn, error)

	mu             sync.Mutex
	address        string
	addressChanged chan struct{} // closed and replaced when the address changes
}

// NewEndpointStream returns a source that follows the endpoint stream at address (host:port). initialEvents are the
// events of the configuration as JSON and may be empty. zones and kinds are the platform's names of its zones and
// worker kinds, to which events refer by index. seed determines the random delays before reconnects. The error wraps
// endpointstream.ErrMalformed.
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
		return nil, fmt.Errorf("known: %w", err) // known is the configuration key of the initial events
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

// SetAddress makes the source follow the stream at another address (host:port), starting after the last event received.
// The connection to the previous address is closed. SetAddress may be called from any goroutine, including before Run.
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

// currentAddress returns the address and a channel that is closed when the address changes.
func (s *EndpointStream) currentAddress() (address string, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address, s.addressChanged
}

// Refresh implements Source. It does nothing, because an EndpointStream reconnects without it.
func (s *EndpointStream) Refresh() {}

// Run implements Source. It reports the list of the initial events immediately, whether or not the platform can be
// reached.
func (s *EndpointStream) Run(ctx context.Context, sink Sink) {
	sink.EndpointsListed(s.list())
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

// waitToReconnect waits before the next connection is made. If the address has changed, or changes during the wait, the
// wait starts again with the delay of a first attempt.
func (s *EndpointStream) waitToReconnect(ctx context.Context, changed <-chan struct{}, failures int) {
	for {
		delay := reconnect.WatchRetryDelay(failures, s.rng.Float64())
		select {
		case <-ctx.Done():
			return
		case <-changed:
			failures = 0
			changed = nil // a nil channel is never ready, so the change is handled once
		case <-time.After(delay):
			return
		}
	}
}

// follow receives events on one connection until the connection breaks or receives nothing for too long, the address
// changes, or ctx ends. It reports whether it received any event. The error is never nil.
func (s *EndpointStream) follow(ctx context.Context, address string, changed <-chan struct{}, sink Sink) (received bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go cancelWhenClosed(ctx, cancel, changed) // returns when ctx is cancelled, and so when follow returns
	conn, err := s.dial(ctx, address)
	if err != nil {
		return false, fmt.Errorf("%w: connect to the endpoint stream: %w", ErrUnreachable, err)
	}
	closeConn := func() { _ = conn.Close() } // the result does not depend on a close error
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

// cancelWhenClosed waits until signal is closed and then calls cancel. It also returns when ctx ends.
func cancelWhenClosed(ctx context.Context, cancel context.CancelFunc, signal <-chan struct{}) {
	select {
	case <-signal:
		cancel()
	case <-ctx.Done():
	}
}

// receive applies the events of a connection until reading fails. The error is never nil.
//
// The platform first sends the events that were missed, and then an event without changes, which marks their end. That
// event and each later one confirm the list, but only as of the time at which the connection was last seen without
// unread data: after a stall of this process, an event may have waited to be read while the service has long been
// unreachable.
func (s *EndpointStream) receive(conn net.Conn, requestedAt time.Time, sink Sink) (received bool, err error) {
	source := &socket.ArrivalConn{Conn: conn}
	reader := bufio.NewReader(source)
	isCaughtUp := false
	silenceTimeout := reconnect.WatchSilenceTimeout(s.rng.Float64())
	for {
		_ = conn.SetReadDeadline(time.Now().Add(silenceTimeout)) // fails only on a closed connection
		event, err := endpointstream.ReadEvent(reader, len(s.zones), len(s.kinds))
		if err != nil {
			return received, fmt.Errorf("read the endpoint stream: %w", err)
		}
		received = true
		if s.isNew(event) {
			sink.EndpointsUpdated(s.apply(event))
		}
		isCaughtUp = isCaughtUp || event.Kind == endpointstream.NoChange
		if isCaughtUp {
			sink.ListConfirmed(later(requestedAt, source.ArrivedAfter()))
		}
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// isNew reports whether an event changes the list. The platform repeats events up to the last one applied after a
// reconnect, and occasionally within a connection; repeated events change nothing.
func (s *EndpointStream) isNew(event endpointstream.Event) bool {
	return event.Kind != endpointstream.NoChange && event.Number > s.lastEvent
}

// apply applies a new event to the list and returns the workers that the event changed. A snapshot is compared with the
// current list, so that unchanged workers cost the sink nothing.
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

// missingFrom returns an entry in state Removed for each listed worker that is missing from a snapshot.
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

// list returns the listed workers in the order of their IDs.
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
