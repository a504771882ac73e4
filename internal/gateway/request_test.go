package gateway

import "testing"

func TestRequestState_Transitions(t *testing.T) {
	states := []requestState{requestSubmitted, requestInFlight, requestCompleted, requestDisconnected}
	allowed := map[requestState]map[requestState]bool{
		requestSubmitted: {requestInFlight: true, requestCompleted: true, requestDisconnected: true},
		requestInFlight:  {requestCompleted: true, requestDisconnected: true},
	}
	for _, from := range states {
		for _, to := range states {
			request := &Request{state: from}
			want := allowed[from][to]
			if got := request.enter(to); got != want {
				t.Errorf("from %d to %d: %t, want %t", from, to, got, want)
			}
			if !want && request.state != from {
				t.Errorf("from %d to %d: state is %d", from, to, request.state)
			}
		}
	}
}

func TestComplete_AfterFinalState_DeliversNothing(t *testing.T) {
	for _, state := range []requestState{requestCompleted, requestDisconnected} {
		request := NewRequestWithCallback(func(response FinalResponse) { t.Errorf("state %d: delivered %+v", state, response) })
		request.state = state
		if request.complete(FinalResponse{Kind: Served}) {
			t.Errorf("state %d: completed again", state)
		}
	}
}

func TestAttemptState_Transitions(t *testing.T) {
	states := []attemptState{attemptPending, attemptStreaming, attemptEnded}
	for _, from := range states {
		for _, to := range states {
			attempt := &requestAttempt{state: from}
			want := to > from
			if got := attempt.enter(to); got != want {
				t.Errorf("from %d to %d: %t, want %t", from, to, got, want)
			}
		}
	}
}
