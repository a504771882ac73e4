package discovery

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"testing"
	"time"

	"go.uber.org/goleak"

	"havencart/internal/platform/endpointstream"
	"havencart/lab/platformdiscovery"
	"havencart/scheduler"
)

// listSink is a Sink that passes the complete list to the test after each report. It ignores failures, whose number
// varies.
type listSink struct {
	lists   chan []Worker
	current map[string]Worker
}

func newListSink() listSink { return listSink{make(chan []Worker, 64), map[string]Worker{}} }

func (l listSink) EndpointsListed(list []Worker) {
	clear(l.current)
	for _, worker := range list {
		l.current[worker.Name] = worker
	}
	l.lists <- list
}

func (l listSink) EndpointsUpdated(changed []Worker) {
	for _, worker := range changed {
		l.current[worker.Name] = worker
		if worker.State == scheduler.Removed {
			delete(l.current, worker.Name)
		}
	}
	list := make([]Worker, 0, len(l.current))
	for _, name := range slices.Sorted(maps.Keys(l.current)) {
		list = append(list, l.current[name])
	}
	l.lists <- list
}

func (listSink) WatchFailed(error) {}

func (listSink) ListRequested(time.Time) {}

func (listSink) ListConfirmed(time.Time) {}

func entry(id uint32, port uint16, state endpointstream.State) endpointstream.Entry {
	return endpointstream.Entry{ID: id, Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port), State: state, Weight: 1.5}
}

func event(number uint64, kind endpointstream.EventKind, entries ...endpointstream.Entry) endpointstream.Event {
	return endpointstream.Event{Number: number, Kind: kind, Entries: entries}
}

const initialEvents = `{"no":3,"items":[{"no":3,"roster":{"seq":1,"whole":true,"hosts":[
	{"host":"s-00000001","dial":"127.0.0.1:9001","site":"room","class":"std","block":4,"health":"up","share":2,"born_ms":0}]}}]}`

func startServer(t *testing.T) *platformdiscovery.Server {
	t.Helper()
	server, err := platformdiscovery.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return server
}

func follow(t *testing.T, address string) (*EndpointStream, listSink) {
	t.Helper()
	stream, err := NewEndpointStream(address, []byte(initialEvents), []string{"room"}, []string{"std"}, 1)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	received, done := newListSink(), make(chan struct{})
	go func() { defer close(done); stream.Run(ctx, received) }()
	t.Cleanup(func() { cancel(); <-done })
	return stream, received
}

// summary gives the last digit of each worker's name, followed by d if the worker is draining.
func summary(list []Worker) (text string) {
	for _, worker := range list {
		text += worker.Name[9:]
		if worker.State == scheduler.Draining {
			text += "d"
		}
		text += " "
	}
	return text
}

func expectList(t *testing.T, received listSink, text string) {
	t.Helper()
	if got := summary(<-received.lists); got != text {
		t.Errorf("listed %q, want %q", got, text)
	}
}

func TestEndpointStream_InitialEvents_FollowsFromLastNumber(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	server := startServer(t)
	_, received := follow(t, server.Address())
	first := <-received.lists
	if len(first) != 1 || first[0].Name != "s-00000001" || first[0].Address != "127.0.0.1:9001" || first[0].Scale != 2 ||
		first[0].Zone != "room" || first[0].Kind != "std" || first[0].Cell != "4" || !first[0].Started.IsZero() {
		t.Errorf("initial list is %+v", first)
	}
	if last := <-server.Resumed(); last != 3 {
		t.Errorf("resumed after event %d, want 3", last)
	}
	server.Publish(event(4, endpointstream.Delta, entry(2, 9002, endpointstream.Ready)))
	expectList(t, received, "1 2 ")
	server.Publish(event(5, endpointstream.Delta, entry(1, 9001, endpointstream.Draining)))
	expectList(t, received, "1d 2 ")
	server.Publish(event(6, endpointstream.Delta, entry(1, 9001, endpointstream.Removed), entry(3, 9001, endpointstream.Ready)))
	expectList(t, received, "2 3 ")                                                                                        // a new worker at the address of a removed worker
	server.WriteRaw(endpointstream.AppendEvent(nil, event(6, endpointstream.Delta, entry(1, 9001, endpointstream.Ready)))) // a repeated event number
	server.Publish(event(7, endpointstream.Snapshot, entry(9, 9009, endpointstream.Ready)))
	expectList(t, received, "9 ")
}

func TestEndpointStream_ConnectionBreaks_ResumesAfterLastEvent(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	server := startServer(t)
	_, received := follow(t, server.Address())
	<-received.lists
	<-server.Resumed()
	server.WriteRaw(endpointstream.AppendEvent(nil, event(4, endpointstream.Delta, entry(2, 9002, endpointstream.Ready)))[:20]) // an incomplete event
	server.CloseConnections()
	if last := <-server.Resumed(); last != 3 {
		t.Errorf("after an incomplete event: resumed after event %d, want 3", last)
	}
	server.Publish(event(4, endpointstream.Delta, entry(2, 9002, endpointstream.Ready)))
	expectList(t, received, "1 2 ")
	server.WriteRaw([]byte("noise that is no event"))
	if last := <-server.Resumed(); last != 4 {
		t.Errorf("after malformed bytes: resumed after event %d, want 4", last)
	}
}

func TestEndpointStream_AddressChanges_ResumesAtNewAddress(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	old, other := startServer(t), startServer(t)
	stream, received := follow(t, old.Address())
	<-received.lists
	<-old.Resumed()
	old.Publish(event(4, endpointstream.Delta, entry(2, 9002, endpointstream.Ready)))
	expectList(t, received, "1 2 ")
	stream.SetAddress(other.Address())
	if last := <-other.Resumed(); last != 4 {
		t.Errorf("at the new address: resumed after event %d, want 4", last)
	}
	other.Publish(event(5, endpointstream.Delta, entry(3, 9003, endpointstream.Ready)))
	expectList(t, received, "1 2 3 ")
}

// updateSink is a Sink that passes lists and updates to the test unchanged.
type updateSink struct{ lists, updates chan []Worker }

func (u updateSink) EndpointsListed(list []Worker)     { u.lists <- list }
func (u updateSink) EndpointsUpdated(changed []Worker) { u.updates <- changed }
func (updateSink) WatchFailed(error)                   {}
func (updateSink) ListRequested(time.Time)             {}
func (updateSink) ListConfirmed(time.Time)             {}

// TestEndpointStream_Snapshot_ReportsChangesOnly checks that workers that a snapshot leaves unchanged are not reported,
// and neither are workers that an event does not mention.
func TestEndpointStream_Snapshot_ReportsChangesOnly(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	server := startServer(t)
	stream, err := NewEndpointStream(server.Address(), []byte(initialEvents), []string{"room"}, []string{"std"}, 1)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	sink, done := updateSink{make(chan []Worker, 4), make(chan []Worker, 4)}, make(chan struct{})
	go func() { defer close(done); stream.Run(ctx, sink) }()
	t.Cleanup(func() { cancel(); <-done })
	if list := summary(<-sink.lists); list != "1 " {
		t.Errorf("initial list %q, want only worker 1", list)
	}
	<-server.Resumed()
	expectUpdate := func(number uint64, kind endpointstream.EventKind, want string, entries ...endpointstream.Entry) {
		t.Helper()
		server.Publish(event(number, kind, entries...))
		update := <-sink.updates
		removed := ""
		for _, worker := range update {
			if worker.State == scheduler.Removed {
				removed += worker.Name[9:] + "gone "
			}
		}
		if got := summary(update) + removed; got != want {
			t.Errorf("event %d reported %q, want %q", number, got, want)
		}
	}
	expectUpdate(4, endpointstream.Delta, "2 3 ", entry(2, 9002, endpointstream.Ready), entry(3, 9003, endpointstream.Ready))
	expectUpdate(5, endpointstream.Snapshot, "1 3 4 1gone ",
		entry(2, 9002, endpointstream.Ready), entry(3, 9033, endpointstream.Ready), entry(4, 9004, endpointstream.Ready))
	expectUpdate(6, endpointstream.Snapshot, "", entry(2, 9002, endpointstream.Ready), entry(3, 9033, endpointstream.Ready), entry(4, 9004, endpointstream.Ready))
	expectUpdate(7, endpointstream.Delta, "", entry(9, 9009, endpointstream.Removed))
}
