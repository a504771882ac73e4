package gateway

import "testing"

// TestReason_String_TextOnTheWire checks the texts that clients receive, which must not change.
func TestReason_String_TextOnTheWire(t *testing.T) {
	for reason, want := range map[Reason]string{
		noReason:                 "",
		ShuttingDown:             "this front end is closing",
		LoopOverloaded:           "this front end is behind",
		LoopStopped:              "this front end has stopped",
		QueueFull:                "the front end's queue is full",
		TooManyInFlight:          "too many calls in hand",
		DeadlineExceeded:         "no time is left",
		FunctionNameCollision:    "this function's name cannot be told from another's",
		OverTenantQuota:          "its tenant's quota is used up",
		OverTenantShare:          "its tenant is beyond its share while others lack theirs",
		OverMemoryShare:          "too much in hand",
		MayHaveExecuted:          "it may have run before",
		NoWorkerInTime:           "no worker could answer in time",
		NoResponse:               "no answer in time",
		Aborted:                  "this front end stops",
		attemptDisconnected:      "the client left",
		attemptTimedOut:          "nothing heard in time",
		attemptCancelled:         "called back",
		attemptDrained:           "the worker drains",
		attemptUnwanted:          "nobody waits",
		attemptNotSentInTime:     "not sent in time",
		attemptNotReceivedInTime: "not known to have arrived in time",
		attemptUnconfirmed:       "the worker did not confirm that it accepts work",
	} {
		if got := reason.String(); got != want {
			t.Errorf("reason %d: %q, want %q", int(reason), got, want)
		}
	}
}

// TestCatalogErrors_Error_TextOnTheWire checks the error texts of invalid requests, which must not change.
func TestCatalogErrors_Error_TextOnTheWire(t *testing.T) {
	for want, err := range map[string]error{
		`no function "f"`:                    &UnknownNameError{Kind: "function", Name: "f"},
		`no class "a"`:                       &UnknownNameError{Kind: "class", Name: "a"},
		`no tenant "t"`:                      &UnknownNameError{Kind: "tenant", Name: "t"},
		`function "f" is not of class "a"`:   &ClassMismatchError{Function: "f", Class: "a"},
		`function "f\n" is not of class "ä"`: &ClassMismatchError{Function: "f\n", Class: "ä"},
	} {
		if got := err.Error(); got != want {
			t.Errorf("error text %q, want %q", got, want)
		}
	}
}
