package connadmission

import (
	"testing"
	"time"
)

func TestSplitDescriptors_AnyLimit_LeavesDescriptorsForWorkers(t *testing.T) {
	for _, descriptors := range []int{1, 64, 256, 1024} {
		clients, workers := SplitDescriptors(descriptors)
		if clients < 1 || workers < 1 || descriptors > 2*reservedDescriptors && clients+workers+reservedDescriptors > descriptors {
			t.Errorf("SplitDescriptors(%d) = %d for clients, %d for workers; want at least 1 each and a sum within the limit",
				descriptors, clients, workers)
		}
		if descriptors >= 256 && clients < descriptors/3 {
			t.Errorf("SplitDescriptors(%d) = %d for clients, want at least a third", descriptors, clients)
		}
	}
}

func TestShouldClose(t *testing.T) {
	long := time.Minute
	for name, test := range map[string]struct {
		c    Connection
		want bool
	}{
		"request in flight":                  {Connection{InFlight: 1, HasSentRequest: true, StateAge: long}, false},
		"nothing sent":                       {Connection{StateAge: long}, true},
		"just connected":                     {Connection{}, false},
		"partial message":                    {Connection{HasSentRequest: true, PartialMessage: true, StateAge: 2 * time.Second}, true},
		"idle":                               {Connection{HasSentRequest: true, StateAge: long}, true},
		"idle briefly":                       {Connection{HasSentRequest: true, StateAge: 4 * time.Second}, false},
		"partial message, request in flight": {Connection{InFlight: 1, PartialMessage: true, StateAge: long}, false},
	} {
		if got := ShouldClose(test.c); got != test.want {
			t.Errorf("%s: ShouldClose = %v, want %v", name, got, test.want)
		}
	}
}

func TestSelectEviction(t *testing.T) {
	busy := Connection{InFlight: 1, HasSentRequest: true, StateAge: time.Hour}
	idle, fresh := Connection{HasSentRequest: true, StateAge: 5 * time.Second}, Connection{HasSentRequest: true, StateAge: time.Second}
	unused, arriving := Connection{StateAge: time.Millisecond}, Connection{PartialMessage: true, StateAge: time.Millisecond}
	for name, test := range map[string]struct {
		all  []Connection
		want int
	}{
		"never sent a request": {[]Connection{busy, idle, unused}, 2},
		"longest idle":         {[]Connection{fresh, idle, busy}, 1},
		"request in flight":    {[]Connection{busy}, -1},
		"message arriving":     {[]Connection{arriving}, -1},
	} {
		if got := SelectEviction(test.all); got != test.want {
			t.Errorf("%s: SelectEviction = %d, want %d", name, got, test.want)
		}
	}
}
