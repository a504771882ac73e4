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
	"havencart/scheduler"
)

// Bulletin follows the list of the users' platform: numbered events over TCP, of which the first are known at the
// start. A connection that breaks or falls silent is made anew at once; the list stays in force meanwhile, and the
// events of before are told anew harmlessly.
type EndpointStream struct {
	zones, kinds []string
	last         uint64
	workers      map[uint32]endpointstream.Entry // not gone; bounded by what one whole list may hold

	rng  *rand.Rand // Run's alone
	dial func(ctx context.Context, address string) (net.Conn, error)

	mu      sync.Mutex
	address string
	moved   chan struct{} // closed when the address changes
}

// NewBulletin returns a source that follows the bulletin at an address from the events known on, if any, with waits
// drawn by seed.
func NewEndpointStream(address string, known []byte, zones, kinds []string, seed uint64) (*EndpointStream, error) {
	b := &EndpointStream{zones: zones, kinds: kinds, workers: map[uint32]endpointstream.Entry{}, address: address,
		moved: make(chan struct{}), rng: rand.New(rand.NewPCG(seed, 0x6c697374)),
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{Timeout: reconnect.WatchDialTimeout()}).DialContext(ctx, "tcp", address)
		}}
	if len(known) == 0 {
		return b, nil // nothing is known yet
	}
	last, events, err := endpointstream.ParseInitialEvents(known, zones, kinds)
	if err != nil {
		return nil, fmt.Errorf("known: %w", err)
	}
	for _, e := range events {
		b.apply(e)
	}
	b.last = max(b.last, last)
	return b, nil
}

// Move makes it follow the bulletin at another address; the numbers go on.
func (b *EndpointStream) SetAddress(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if address != b.address {
		b.address = address
		close(b.moved)
		b.moved = make(chan struct{})
	}
}

func (b *EndpointStream) where() (string, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.address, b.moved
}

// Follow does nothing: the bulletin is followed all the time.
func (b *EndpointStream) Refresh() {}

// Run follows until ctx ends.
func (b *EndpointStream) Run(ctx context.Context, sink Sink) {
	sink.EndpointsChanged(b.list())
	for failures := 0; ctx.Err() == nil; {
		address, moved := b.where()
		told, err := b.follow(ctx, address, moved, sink)
		if failures++; told {
			failures = 0
		}
		if err != nil && ctx.Err() == nil {
			sink.WatchFailed(err)
		}
		b.pause(ctx, moved, failures)
	}
}

// pause waits before the bulletin is asked again. Where it moves meanwhile, or has, the wait is that for a new address.
func (b *EndpointStream) pause(ctx context.Context, moved <-chan struct{}, failures int) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-moved:
			failures, moved = 0, nil
		case <-time.After(reconnect.WatchRetryDelay(failures, b.rng.Float64())):
			return
		}
	}
}

// follow takes events on one connection until it breaks, and says whether it told anything.
func (b *EndpointStream) follow(ctx context.Context, address string, moved <-chan struct{}, sink Sink) (told bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-moved:
			cancel()
		case <-ctx.Done():
		}
	}()
	conn, err := b.dial(ctx, address)
	if err != nil {
		return false, fmt.Errorf("connect to the bulletin: %w", err)
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	if _, err := conn.Write(endpointstream.AppendHello(nil, b.last)); err != nil {
		return false, fmt.Errorf("write to the bulletin: %w", err)
	}
	r := bufio.NewReader(conn)
	silence := reconnect.WatchSilenceTimeout(b.rng.Float64())
	for {
		_ = conn.SetReadDeadline(time.Now().Add(silence)) // fails on a closed connection only
		e, err := endpointstream.Read(r, len(b.zones), len(b.kinds))
		if err != nil {
			return told, fmt.Errorf("read the bulletin: %w", err)
		}
		told = true
		if b.apply(e) {
			sink.EndpointsChanged(b.list())
		}
	}
}

// apply takes an event, once, and says whether it changed the list. Events of before are told again after a
// connection was made anew, and some twice.
func (b *EndpointStream) apply(e endpointstream.Event) bool {
	if e.Kind == endpointstream.NoChange || e.Number <= b.last {
		return false
	}
	b.last = e.Number
	if e.Kind == endpointstream.Snapshot {
		clear(b.workers)
	}
	for _, x := range e.Entries {
		if x.State == endpointstream.Removed {
			delete(b.workers, x.ID)
		} else {
			b.workers[x.ID] = x
		}
	}
	return true
}

var bulletinStates = map[endpointstream.State]scheduler.WorkerState{endpointstream.Ready: scheduler.Ready,
	endpointstream.Draining: scheduler.Draining}

func (b *EndpointStream) list() []Worker {
	list := make([]Worker, 0, len(b.workers))
	for _, id := range slices.Sorted(maps.Keys(b.workers)) {
		e := b.workers[id]
		w := Worker{Name: e.Name(), Address: e.Address.String(), Zone: b.zones[e.Zone], Cell: strconv.Itoa(e.Cell),
			Kind: b.kinds[e.Kind], Scale: e.Weight, State: bulletinStates[e.State]}
		if e.Started > 0 {
			w.Started = time.UnixMilli(e.Started)
		}
		list = append(list, w)
	}
	return list
}
