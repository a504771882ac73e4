package gateway

import (
	"fmt"
	"testing"
)

func TestRecentIDs_SameID_AdmittedOnceUntilForgotten(t *testing.T) {
	var ids recentIDs
	if !ids.admit("a") || ids.admit("a") {
		t.Fatal("an identifier in flight must be admitted once")
	}
	ids.release("a")
	if ids.admit("a") {
		t.Error("an identifier of a completed request was admitted again")
	}
	for i := range 3 * idsPerGeneration {
		id := fmt.Sprint(i)
		if !ids.admit(id) {
			t.Fatalf("new identifier %s was not admitted", id)
		}
		ids.release(id)
	}
	if len(ids.current)+len(ids.previous) > 2*idsPerGeneration || len(ids.inFlight) != 0 {
		t.Errorf("%d current and %d previous identifiers are kept, %d are in flight; want at most 2*idsPerGeneration and none in flight", len(ids.current), len(ids.previous), len(ids.inFlight))
	}
	if !ids.admit("a") {
		t.Error("an old identifier was not forgotten")
	}
}
