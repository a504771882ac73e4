package workerconn

import (
	"context"
	"errors"
	"testing"
	"time"
)

const (
	longTimeout  = 20 * time.Second
	shortTimeout = time.Millisecond
)

func TestStream_PartsUpToWindow_AreAcceptedAndCredited(t *testing.T) {
	credited := 0
	stream := NewStream(10, func(bytes int) { credited += bytes })
	if !stream.Append([]byte("abcd")) || !stream.Append([]byte("efghij")) || stream.Append([]byte("k")) {
		t.Fatal("the window must accept ten bytes and reject the eleventh")
	}
	for _, want := range []struct {
		part     string
		credited int
	}{{"abcd", 0}, {"efghij", 10}} {
		part, err := stream.Next(context.Background(), longTimeout)
		if err != nil || string(part) != want.part || credited != want.credited {
			t.Errorf("part %q, error %v, %d bytes credited", part, err, credited)
		}
	}
	if !stream.Append([]byte("0123456789")) {
		t.Error("bytes within the granted credit were rejected")
	}
}

func TestStream_End_FollowsTheParts(t *testing.T) {
	incomplete := errors.New("incomplete")
	for name, end := range map[string]error{"complete": nil, "incomplete": incomplete} {
		stream := NewStream(10, nil)
		stream.Append([]byte("a"))
		stream.End(end)
		stream.End(errors.New("second call of End"))
		if part, err := stream.Next(context.Background(), longTimeout); string(part) != "a" || err != nil {
			t.Errorf("%s: part %q, error %v; want the buffered part", name, part, err)
		}
		if part, err := stream.Next(context.Background(), longTimeout); part != nil || !errors.Is(err, end) {
			t.Errorf("%s: part %q, error %v at the end; want the error of the first call of End", name, part, err)
		}
	}
}

func TestStream_NothingArrives_StallsOrIsCancelled(t *testing.T) {
	stream := NewStream(10, nil)
	if _, err := stream.Next(context.Background(), shortTimeout); !errors.Is(err, ErrStalled) {
		t.Errorf("error %v, want ErrStalled", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := stream.Next(ctx, longTimeout); !errors.Is(err, context.Canceled) {
		t.Errorf("error %v, want context.Canceled", err)
	}
}
