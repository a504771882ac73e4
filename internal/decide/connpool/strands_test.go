package connpool

import (
	"testing"
	"time"
)

func TestPlace(t *testing.T) {
	for name, test := range map[string]struct {
		all   []Strand
		spare bool
		want  Choice
	}{
		"none yet":                  {nil, true, New},
		"no room at all":            {nil, false, None},
		"the idle one used last":    {[]Strand{{Used: 1}, {Used: 5}, {Open: 1, Used: 9}}, true, 1},
		"a new one before sharing":  {[]Strand{{Open: 1}}, true, New},
		"the least where none is":   {[]Strand{{Open: 3}, {Open: 2}}, false, 1},
		"none beyond what it bears": {[]Strand{{Open: 4}}, false, None},
		"none that is retired":      {[]Strand{{Retired: true}, {Open: 3}}, false, 1},
	} {
		if got := Place(test.all, 4, test.spare); got != test.want {
			t.Errorf("%s: %d, wanted %d", name, got, test.want)
		}
	}
}

func TestCrowdAtOneWorkerLeavesConnectionsForOthers(t *testing.T) {
	own := 0
	for ; Spare(own, own, 80); own++ {
	}
	if own != 70 || !Spare(0, own, 80) || Spare(0, 80, 80) {
		t.Errorf("one worker may have %d of 80 connections, another then one: %v", own, Spare(0, own, 80))
	}
}

func TestIdleConnectionIsClosedBeforeTheWorkerDoes(t *testing.T) {
	for _, limit := range []time.Duration{time.Second, 30 * time.Second} {
		if only, more := Idle(true, limit), Idle(false, limit); only >= limit || more > only || more <= 0 {
			t.Errorf("of %v the only one is kept %v, another %v", limit, only, more)
		}
	}
}
