package soak

import (
	"testing"

	"havencart/internal/platform/workerframe"
)

// The tap recognizes frames that arrive in two writes, whatever byte they are split at.
func TestFrameTap_AnySplit_RecordsEachRequestOnce(t *testing.T) {
	var raw []byte
	for _, frame := range []workerframe.Frame{
		{Code: workerframe.Request, ID: 7, Fields: "lane=quote,ttl=1500", Body: []byte("body")},
		{Code: workerframe.Cancel, ID: 7},
		{Code: workerframe.Load, ID: 8, Fields: "name=a,replicas=1"},
		{Code: workerframe.Request, ID: 9, Fields: "lane=quote,ttl=20"},
	} {
		var err error
		if raw, err = workerframe.Append(raw, workerframe.MagicFrontEnd, frame); err != nil {
			t.Fatal(err)
		}
	}
	for split := range raw {
		history := NewHistory()
		tap := (&worker{history: history}).tap()
		for _, part := range [][]byte{raw[:split], raw[split:]} {
			if n, err := tap.Write(part); n != len(part) || err != nil {
				t.Fatalf("wrote %d bytes, %v", n, err)
			}
		}
		if len(history.arrivals) != 2 || history.arrivals[0].RequestID != requestID(7) || history.arrivals[1].TTL != 20*ms {
			t.Fatalf("split at %d: %d arrivals", split, len(history.arrivals))
		}
		if len(history.loadOrders) != 1 {
			t.Fatalf("split at %d: %d load orders", split, len(history.loadOrders))
		}
	}
}
