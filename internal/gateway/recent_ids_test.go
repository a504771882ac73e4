package gateway

import (
	"fmt"
	"testing"
)

func TestIDIsTakenOnceAndForgottenInTime(t *testing.T) {
	var x recentIDs
	if !x.admit("a") || x.admit("a") {
		t.Fatal("an id in hand must be taken once")
	}
	x.release("a")
	if x.admit("a") {
		t.Error("an id that was answered is taken again")
	}
	for i := range 3 * idsPerGeneration {
		id := fmt.Sprint(i)
		if !x.admit(id) {
			t.Fatalf("id %s is new", id)
		}
		x.release(id)
	}
	if len(x.current)+len(x.previous) > 2*idsPerGeneration || len(x.inFlight) != 0 {
		t.Errorf("%d and %d ids are kept, %d open", len(x.current), len(x.previous), len(x.inFlight))
	}
	if !x.admit("a") {
		t.Error("an id is remembered for ever")
	}
}
