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
	ids.release("a", idExecuted)
	if admit("a") {
		t.Error("an identifier of a completed request was admitted again")
	}
	for i := range 3 * idsPerGeneration {
		id := fmt.Sprint(i)
		if !admit(id) {
			t.Fatalf("new identifier %s was not admitted", id)
		}
		ids.release(id, []idOutcome{idExecuted, idAbandoned}[i%2])
	}
	if kept := len(ids.executed.current) + len(ids.executed.previous); kept > 2*idsPerGeneration || len(ids.inFlight) != 0 {
		t.Errorf("%d identifiers are kept, %d are in flight; want at most 2*idsPerGeneration and none in flight", kept, len(ids.inFlight))
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
		ids.release("a", idAbandoned)
		if resent, ok := ids.admit("a"); !resent || !ok {
			t.Fatalf("identifier of an abandoned request: resent %v, admitted %v; want both", resent, ok)
		}
		if _, ok := ids.admit("a"); ok {
			t.Fatal("an identifier in flight was admitted again")
		}
	}
	ids.release("a", idExecuted)
	if _, ok := ids.admit("a"); ok {
		t.Error("an identifier of a request with a final response was admitted again")
	}
}

// TestRecentIDs_FloodOfRejectedRequests_KeepsThoseThatMayHaveExecuted guards against a request that executes twice
// because clients which send ever new requests made the front end forget its identifier.
func TestRecentIDs_FloodOfRejectedRequests_KeepsThoseThatMayHaveExecuted(t *testing.T) {
	for name, outcome := range map[string]idOutcome{"final response": idExecuted, "connection ended": idAbandoned} {
		t.Run(name, func(t *testing.T) {
			var ids recentIDs
			if _, ok := ids.admit("a"); !ok {
				t.Fatal("new identifier not admitted")
			}
			ids.release("a", outcome)
			for i := range 3 * idsPerGeneration {
				id := fmt.Sprint(i)
				if _, ok := ids.admit(id); !ok {
					t.Fatalf("new identifier %s not admitted", id)
				}
				ids.release(id, idRejected)
			}
			resent, ok := ids.admit("a")
			if wantResent := outcome == idAbandoned; resent != wantResent || ok != wantResent {
				t.Errorf("resent %v, admitted %v; the identifier was forgotten", resent, ok)
			}
		})
	}
}

// TestRecentIDs_RejectedIDs_AreBounded checks that the identifiers of rejected requests are remembered for a while, and
// not without end.
func TestRecentIDs_RejectedIDs_AreBounded(t *testing.T) {
	var ids recentIDs
	for i := range 3 * rejectedIDsPerGeneration {
		id := fmt.Sprint(i)
		if _, ok := ids.admit(id); !ok {
			t.Fatalf("new identifier %s not admitted", id)
		}
		ids.release(id, idRejected)
		if _, ok := ids.admit(id); ok {
			t.Fatalf("identifier %s admitted again after it was rejected", id)
		}
	}
	if kept := len(ids.rejected.current) + len(ids.rejected.previous); kept > 2*rejectedIDsPerGeneration {
		t.Errorf("%d identifiers are kept", kept)
	}
}

// TestRecentIDs_ResentAndRejected_StaysExecuted checks that a request which may have executed is not forgotten with the
// rejected ones because its client sent it again.
func TestRecentIDs_ResentAndRejected_StaysExecuted(t *testing.T) {
	var ids recentIDs
	ids.admit("a")
	ids.release("a", idAbandoned)
	if resent, ok := ids.admit("a"); !resent || !ok {
		t.Fatal("not admitted as sent again")
	}
	ids.release("a", idRejected)
	if outcome, known := ids.find(0xa); !known || outcome != idExecuted {
		t.Errorf("outcome %v, known %v; want idExecuted", outcome, known)
	}
}
