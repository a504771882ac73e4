package workerconn

import (
	"errors"
	"testing"
	"time"

	"havencart/internal/native/muxframe"
	"havencart/scheduler"
)

// testNow is the time of the writes in these tests.
const testNow = time.Minute

// testFrame is the type of control frames in these tests.
type testFrame string

// encodeByNumber encodes an item as ten bytes and fails for number 99.
func encodeByNumber(buffer []byte, item QueueItem[testFrame]) ([]byte, error) {
	if item.Number() == 99 {
		return nil, errors.New("cannot be encoded")
	}
	return append(buffer, "0123456789"...), nil
}

// newLoadOrder returns a load order of the given number of replicas.
func newLoadOrder(replicas int) *LoadOrder {
	return &LoadOrder{Load: muxframe.LoadOrder{Replicas: replicas}}
}

// abandonCases bring an attempt into each of its states, and give the results that Abandon must return in that state.
var abandonCases = map[string]struct {
	prepare         func(queue *SendQueue[testFrame], batch *WriteBatch[testFrame], attempt *Attempt)
	wasInFlight     bool
	mayHaveBeenSent bool
}{
	"queued": {
		prepare: func(*SendQueue[testFrame], *WriteBatch[testFrame], *Attempt) {},
	},
	"being written": {
		prepare: func(queue *SendQueue[testFrame], batch *WriteBatch[testFrame], _ *Attempt) {
			queue.NextBatch(nil, testNow, batch, encodeByNumber)
		},
		wasInFlight: true, mayHaveBeenSent: true,
	},
	"written completely": {
		prepare: func(queue *SendQueue[testFrame], batch *WriteBatch[testFrame], _ *Attempt) {
			queue.NextBatch(nil, testNow, batch, encodeByNumber)
			queue.BatchWritten(nil, testNow, batch, 10)
		},
		wasInFlight: true, mayHaveBeenSent: true,
	},
	"written partially": {
		prepare: func(queue *SendQueue[testFrame], batch *WriteBatch[testFrame], _ *Attempt) {
			queue.NextBatch(nil, testNow, batch, encodeByNumber)
			queue.BatchWritten(nil, testNow, batch, 9)
		},
	},
	"finished": {
		prepare: func(queue *SendQueue[testFrame], batch *WriteBatch[testFrame], _ *Attempt) {
			queue.NextBatch(nil, testNow, batch, encodeByNumber)
			queue.BatchWritten(nil, testNow, batch, 10)
			queue.FinishAttempt(1)
		},
		mayHaveBeenSent: true,
	},
	"lost with its connection": {
		prepare: func(queue *SendQueue[testFrame], batch *WriteBatch[testFrame], _ *Attempt) {
			queue.NextBatch(nil, testNow, batch, encodeByNumber)
			queue.BatchWritten(nil, testNow, batch, 10)
			queue.RemoveInFlight()
		},
		mayHaveBeenSent: true,
	},
	"cancelled": {
		prepare: func(queue *SendQueue[testFrame], _ *WriteBatch[testFrame], attempt *Attempt) {
			queue.CancelUnsent(attempt)
		},
	},
	"rejected": {
		prepare: func(_ *SendQueue[testFrame], _ *WriteBatch[testFrame], attempt *Attempt) { attempt.MarkRejected() },
	},
}

func TestAbandon_InEachState_ReportsWhetherItMayHaveBeenSent(t *testing.T) {
	for name, test := range abandonCases {
		t.Run(name, func(t *testing.T) {
			queue := NewSendQueue[testFrame]()
			attempt := &Attempt{}
			queue.PushAttempt(1, attempt)
			test.prepare(&queue, &WriteBatch[testFrame]{}, attempt)
			wasInFlight, mayHaveBeenSent := queue.Abandon(attempt)
			if wasInFlight != test.wasInFlight || mayHaveBeenSent != test.mayHaveBeenSent {
				t.Errorf("in flight %v, may have been sent %v", wasInFlight, mayHaveBeenSent)
			}
			if queue.InFlightAttempt(1) != nil || queue.FinishAttempt(1) != nil {
				t.Error("the abandoned attempt is still in flight")
			}
		})
	}
}

func TestBatchWritten_PartOfBatch_ReturnsUnsentItems(t *testing.T) {
	queue := NewSendQueue[testFrame]()
	first, second, order := &Attempt{}, &Attempt{}, newLoadOrder(1)
	queue.PushAttempt(1, first)
	queue.Push("control")
	queue.PushAttempt(2, second)
	queue.PushLoad(3, order)
	var batch WriteBatch[testFrame]
	queue.NextBatch(nil, testNow, &batch, encodeByNumber)
	if len(batch.Bytes) != 40 || queue.Queued() != 0 || queue.Unfinished() != 3 || !queue.IsWritingNewWork() || !queue.IsSending(second) {
		t.Fatalf("%d bytes, %d queued, %d unfinished", len(batch.Bytes), queue.Queued(), queue.Unfinished())
	}
	unsent := queue.BatchWritten(nil, testNow, &batch, 29) // one byte of the second attempt is missing
	if len(unsent) != 2 || unsent[0].Attempt != second || unsent[1].Load != order {
		t.Errorf("unsent: %+v", unsent)
	}
	if queue.IsWritingNewWork() || queue.HasNumber(2) || queue.HasNumber(3) || queue.InFlightAttempt(1) != first {
		t.Error("only the first attempt must be in flight")
	}
}

func TestNextBatch_ItemThatCannotBeEncoded_IsUnsent(t *testing.T) {
	queue := NewSendQueue[testFrame]()
	attempt := &Attempt{}
	queue.PushAttempt(99, attempt)
	queue.PushAttempt(1, &Attempt{})
	var batch WriteBatch[testFrame]
	queue.NextBatch(nil, testNow, &batch, encodeByNumber)
	if len(batch.Unencodable) != 1 || batch.Unencodable[0].Attempt != attempt || attempt.MayHaveBeenSent() || len(batch.Bytes) != 10 {
		t.Errorf("unencodable %+v, %d bytes", batch.Unencodable, len(batch.Bytes))
	}
	if queue.HasNumber(99) {
		t.Error("the attempt is still in the queue")
	}
}

func TestNextBatch_MoreThanMaxBatchBytes_LeavesTheRestQueued(t *testing.T) {
	queue := NewSendQueue[testFrame]()
	last := &Attempt{}
	queue.PushAttempt(1, &Attempt{})
	queue.PushAttempt(2, last)
	var batch WriteBatch[testFrame]
	queue.NextBatch(nil, testNow, &batch, func(buffer []byte, _ QueueItem[testFrame]) ([]byte, error) {
		return append(buffer, make([]byte, maxBatchBytes)...), nil
	})
	if len(batch.Bytes) != maxBatchBytes || queue.Queued() != 1 || !queue.CancelUnsent(last) {
		t.Errorf("%d bytes, %d queued", len(batch.Bytes), queue.Queued())
	}
}

func TestRemoveNewWork_LeavesResidencyQueriesAndControlFrames(t *testing.T) {
	queue := NewSendQueue[testFrame]()
	attempt, order, query := &Attempt{}, newLoadOrder(2), newLoadOrder(0)
	queue.PushAttempt(1, attempt)
	queue.PushLoad(2, order)
	queue.PushLoad(3, query)
	queue.Push("control")
	attempts, orders := queue.RemoveNewWork()
	if len(attempts) != 1 || attempts[0] != attempt || len(orders) != 1 || orders[0] != order {
		t.Errorf("removed %d attempts, %d load orders", len(attempts), len(orders))
	}
	if queue.Queued() != 2 || queue.Unfinished() != 1 || !queue.HasNumber(3) || queue.HasNumber(1) || queue.HasNumber(2) {
		t.Errorf("%d queued, %d unfinished", queue.Queued(), queue.Unfinished())
	}
}

func TestAbandonLoad_QueuedOrSent_IgnoresResponse(t *testing.T) {
	queue := NewSendQueue[testFrame]()
	queuedOrder, sentOrder := newLoadOrder(1), newLoadOrder(1)
	queue.PushLoad(1, sentOrder)
	var batch WriteBatch[testFrame]
	queue.NextBatch(nil, testNow, &batch, encodeByNumber)
	queue.BatchWritten(nil, testNow, &batch, len(batch.Bytes))
	queue.PushLoad(2, queuedOrder)
	queue.AbandonLoad(sentOrder)
	queue.AbandonLoad(queuedOrder)
	if queue.FinishLoad(1) != nil || queue.FinishLoad(2) != nil || queue.Unfinished() != 0 {
		t.Errorf("%d unfinished", queue.Unfinished())
	}
}

// endRecorder records the ends of attempts and load orders.
type endRecorder struct {
	Events
	results  []Result
	statuses []scheduler.Status
}

func (e *endRecorder) AttemptEnded(_ *Attempt, result Result) { e.results = append(e.results, result) }

func (e *endRecorder) LoadEnded(_ *LoadOrder, status scheduler.Status, _ int) {
	e.statuses = append(e.statuses, status)
}

func TestNotifyEnded_ReportsAttemptsAndLoadOrdersOnly(t *testing.T) {
	recorder := &endRecorder{}
	items := []QueueItem[testFrame]{{Attempt: &Attempt{}}, {Frame: "control"}, {Load: newLoadOrder(1)}}
	NotifyEnded(recorder, items, scheduler.NotSent, scheduler.Error, "why")
	if len(recorder.results) != 1 || recorder.results[0].Status != scheduler.NotSent || recorder.results[0].Reason != "why" ||
		recorder.results[0].QueueDepth != -1 {
		t.Errorf("attempts: %+v", recorder.results)
	}
	if len(recorder.statuses) != 1 || recorder.statuses[0] != scheduler.Error {
		t.Errorf("load orders: %v", recorder.statuses)
	}
}
