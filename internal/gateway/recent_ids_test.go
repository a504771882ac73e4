package gateway

import (
	"fmt"
	"testing"
)

func TestRecentIDs_SameID_AdmittedOnceUntilForgotten(t *testing.T) {
	var ids recentIDs
	admit := func(id string) bool {
		_, ok := ids.admit(id)
		return ok
	}
	if !admit("a") || admit("a") {
		t.Fatal("an identifier in flight must be admitted once")
	}
	ids.release("a", false)
	if admit("a") {
		t.Error("an identifier of a completed request was admitted again")
	}
	for i := range 3 * idsPerGeneration {
		id := fmt.Sprint(i)
		if !admit(id) {
			t.Fatalf("new identifier %s was not admitted", id)
		}
		ids.release(id, i%2 == 0)
	}
	if len(ids.current)+len(ids.previous) > 2*idsPerGeneration || len(ids.inFlight) != 0 {
		t.Errorf("%d current and %d previous identifiers are kept, %d are in flight; want at most 2*idsPerGeneration and none in flight", len(ids.current), len(ids.previous), len(ids.inFlight))
	}
	if !admit("a") {
		t.Error("an old identifier was not forgotten")
	}
}

func TestRecentIDs_AbandonedID_AdmittedOnceAsResent(t *testing.T) {
	var ids recentIDs
	if resent, ok := ids.admit("a"); resent || !ok {
		t.Fatalf("new identifier: resent %v, admitted %v", resent, ok)
	}
	for range 2 {
		ids.release("a", true)
		if resent, ok := ids.admit("a"); !resent || !ok {
			t.Fatalf("identifier of an abandoned request: resent %v, admitted %v; want both", resent, ok)
		}
		if _, ok := ids.admit("a"); ok {
			t.Fatal("an identifier in flight was admitted again")
		}
	}
	ids.release("a", false)
	if _, ok := ids.admit("a"); ok {
		t.Error("an identifier of a request with a final response was admitted again")
	}
}
