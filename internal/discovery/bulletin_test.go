package discovery

import (
	"context"
	"net/netip"
	"testing"

	"go.uber.org/goleak"

	"havencart/internal/platform/endpointstream"
	"havencart/lab/platformdiscovery"
	"havencart/scheduler"
)

// lists is a Sink that hands lists to the test and drops failures, which may come as often as they like.
type lists chan []Worker

func (l lists) EndpointsChanged(list []Worker) { l <- list }
func (lists) WatchFailed(error)                {}

func entry(id uint32, port uint16, s endpointstream.State) endpointstream.Entry {
	return endpointstream.Entry{ID: id, Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port), State: s, Weight: 1.5}
}

func event(number uint64, kind endpointstream.Kind, entries ...endpointstream.Entry) endpointstream.Event {
	return endpointstream.Event{Number: number, Kind: kind, Entries: entries}
}

const known = `{"no":3,"items":[{"no":3,"roster":{"seq":1,"whole":true,"hosts":[
	{"host":"s-00000001","dial":"127.0.0.1:9001","site":"room","class":"std","block":4,"health":"up","share":2,"born_ms":0}]}}]}`

func start(t *testing.T) *platformdiscovery.Server {
	t.Helper()
	s, err := platformdiscovery.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

func follow(t *testing.T, address string) (*EndpointStream, lists) {
	t.Helper()
	b, err := NewEndpointStream(address, []byte(known), []string{"room"}, []string{"std"}, 1)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	told, done := make(lists, 16), make(chan struct{})
	go func() { defer close(done); b.Run(ctx, told) }()
	t.Cleanup(func() { cancel(); <-done })
	return b, told
}

func names(list []Worker) (s string) {
	for _, w := range list {
		s += w.Name[9:]
		if w.State == scheduler.Draining {
			s += "d"
		}
		s += " "
	}
	return s
}

func want(t *testing.T, told lists, text string) {
	t.Helper()
	if got := names(<-told); got != text {
		t.Errorf("listed %q, wanted %q", got, text)
	}
}

func TestBulletinIsFollowedFromWhatIsKnown(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	s := start(t)
	_, told := follow(t, s.Address())
	first := <-told
	if len(first) != 1 || first[0].Name != "s-00000001" || first[0].Address != "127.0.0.1:9001" || first[0].Scale != 2 ||
		first[0].Zone != "room" || first[0].Kind != "std" || first[0].Cell != "4" || !first[0].Started.IsZero() {
		t.Errorf("known are %+v", first)
	}
	if last := <-s.Asked(); last != 3 {
		t.Errorf("asked from %d", last)
	}
	s.Tell(event(4, endpointstream.Delta, entry(2, 9002, endpointstream.Ready)))
	want(t, told, "1 2 ")
	s.Tell(event(5, endpointstream.Delta, entry(1, 9001, endpointstream.Draining)))
	want(t, told, "1d 2 ")
	s.Tell(event(6, endpointstream.Delta, entry(1, 9001, endpointstream.Removed), entry(3, 9001, endpointstream.Ready)))
	want(t, told, "2 3 ")                                                                                   // another worker at the address of one that has gone
	s.Raw(endpointstream.Append(nil, event(6, endpointstream.Delta, entry(1, 9001, endpointstream.Ready)))) // told twice
	s.Tell(event(7, endpointstream.Snapshot, entry(9, 9009, endpointstream.Ready)))
	want(t, told, "9 ")
}

func TestBulletinGoesOnAfterABreak(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	s := start(t)
	_, told := follow(t, s.Address())
	<-told
	<-s.Asked()
	s.Raw(endpointstream.Append(nil, event(4, endpointstream.Delta, entry(2, 9002, endpointstream.Ready)))[:20]) // half of it
	s.Break()
	if last := <-s.Asked(); last != 3 {
		t.Errorf("after half an event asked from %d", last)
	}
	s.Tell(event(4, endpointstream.Delta, entry(2, 9002, endpointstream.Ready)))
	want(t, told, "1 2 ")
	s.Raw([]byte("noise that is no event"))
	if last := <-s.Asked(); last != 4 {
		t.Errorf("after noise asked from %d", last)
	}
}

func TestBulletinMovesAndTheNumbersGoOn(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	old, other := start(t), start(t)
	b, told := follow(t, old.Address())
	<-told
	<-old.Asked()
	old.Tell(event(4, endpointstream.Delta, entry(2, 9002, endpointstream.Ready)))
	want(t, told, "1 2 ")
	b.SetAddress(other.Address())
	if last := <-other.Asked(); last != 4 {
		t.Errorf("at the other address asked from %d", last)
	}
	other.Tell(event(5, endpointstream.Delta, entry(3, 9003, endpointstream.Ready)))
	want(t, told, "1 2 3 ")
}
