package connadmission

import (
	"testing"
	"time"
)

func TestClientsNeverTakeTheWorkersPart(t *testing.T) {
	for _, descriptors := range []int{1, 64, 256, 1024} {
		clients, workers := SplitDescriptors(descriptors)
		if clients < 1 || workers < 1 || descriptors > 2*apart && clients+workers+apart > descriptors {
			t.Errorf("of %d descriptors %d are for clients, %d for workers", descriptors, clients, workers)
		}
		if descriptors >= 256 && clients < descriptors/3 {
			t.Errorf("of %d descriptors %d are for clients, who may hold a third", descriptors, clients)
		}
	}
}

func TestOver(t *testing.T) {
	long := time.Minute
	for name, test := range map[string]struct {
		c    Connection
		over bool
	}{
		"asks":             {Connection{InFlight: 1, HasSentRequest: true, StateAge: long}, false},
		"silent":           {Connection{StateAge: long}, true},
		"just came":        {Connection{}, false},
		"half a message":   {Connection{HasSentRequest: true, PartialMessage: true, StateAge: 2 * time.Second}, true},
		"kept":             {Connection{HasSentRequest: true, StateAge: long}, true},
		"asked lately":     {Connection{HasSentRequest: true, StateAge: 4 * time.Second}, false},
		"half, asks still": {Connection{InFlight: 1, PartialMessage: true, StateAge: long}, false},
	} {
		if got := ShouldClose(test.c); got != test.over {
			t.Errorf("%s: %v", name, got)
		}
	}
}

func TestEvict(t *testing.T) {
	asks := Connection{InFlight: 1, HasSentRequest: true, StateAge: time.Hour}
	idle, fresh := Connection{HasSentRequest: true, StateAge: 5 * time.Second}, Connection{HasSentRequest: true, StateAge: time.Second}
	silent, coming := Connection{StateAge: time.Millisecond}, Connection{PartialMessage: true, StateAge: time.Millisecond}
	for name, test := range map[string]struct {
		all  []Connection
		want int
	}{
		"silent first":         {[]Connection{asks, idle, silent}, 2},
		"then the longest":     {[]Connection{fresh, idle, asks}, 1},
		"none that asks":       {[]Connection{asks}, -1},
		"none that just comes": {[]Connection{coming}, -1},
	} {
		if got := SelectEviction(test.all); got != test.want {
			t.Errorf("%s: %d", name, got)
		}
	}
}
