package connadmission

import (
	"testing"
	"time"
)

func TestClientsNeverTakeTheWorkersPart(t *testing.T) {
	for _, descriptors := range []int{1, 64, 256, 1024} {
		clients, workers := Parts(descriptors)
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
		c    Conn
		over bool
	}{
		"asks":             {Conn{Open: 1, Asked: true, Since: long}, false},
		"silent":           {Conn{Since: long}, true},
		"just came":        {Conn{}, false},
		"half a message":   {Conn{Asked: true, Half: true, Since: 2 * time.Second}, true},
		"kept":             {Conn{Asked: true, Since: long}, true},
		"asked lately":     {Conn{Asked: true, Since: 4 * time.Second}, false},
		"half, asks still": {Conn{Open: 1, Half: true, Since: long}, false},
	} {
		if got := Over(test.c); got != test.over {
			t.Errorf("%s: %v", name, got)
		}
	}
}

func TestEvict(t *testing.T) {
	asks := Conn{Open: 1, Asked: true, Since: time.Hour}
	idle, fresh := Conn{Asked: true, Since: 5 * time.Second}, Conn{Asked: true, Since: time.Second}
	silent, coming := Conn{Since: time.Millisecond}, Conn{Half: true, Since: time.Millisecond}
	for name, test := range map[string]struct {
		all  []Conn
		want int
	}{
		"silent first":         {[]Conn{asks, idle, silent}, 2},
		"then the longest":     {[]Conn{fresh, idle, asks}, 1},
		"none that asks":       {[]Conn{asks}, -1},
		"none that just comes": {[]Conn{coming}, -1},
	} {
		if got := Evict(test.all); got != test.want {
			t.Errorf("%s: %d", name, got)
		}
	}
}
