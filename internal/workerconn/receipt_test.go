package workerconn

import (
	"testing"
	"time"
)

// writeAll writes everything that the queue holds.
func writeAll(queue *SendQueue[testFrame]) {
	var batch WriteBatch[testFrame]
	queue.NextBatch(nil, testNow, &batch, encodeByNumber)
	queue.BatchWritten(nil, testNow, &batch, len(batch.Bytes))
}

// TestReceipt_ResponseToLaterFrame_ConfirmsEarlierOnes checks that a response confirms the frames that were written
// before its own, and no later ones.
func TestReceipt_ResponseToLaterFrame_ConfirmsEarlierOnes(t *testing.T) {
	queue := NewSendQueue[testFrame]()
	first, second, third := &Attempt{}, &Attempt{}, &Attempt{}
	queue.PushAttempt(1, first)
	if queue.IsReceived(first) {
		t.Error("a queued attempt counts as received")
	}
	writeAll(&queue)
	queue.PushAttempt(2, second)
	queue.PushAttempt(3, third)
	writeAll(&queue)
	if queue.IsReceived(first) {
		t.Error("a written attempt counts as received without a response")
	}
	queue.FinishAttempt(2)
	if !queue.IsReceived(first) || queue.IsReceived(third) {
		t.Errorf("after a response to the second attempt the first is received: %v, the third: %v; want true and false",
			queue.IsReceived(first), queue.IsReceived(third))
	}
}

// TestReceipt_LoadOrderAnswered_ConfirmsEarlierAttempt checks that responses to load orders count too.
func TestReceipt_LoadOrderAnswered_ConfirmsEarlierAttempt(t *testing.T) {
	queue := NewSendQueue[testFrame]()
	attempt, order := &Attempt{}, newLoadOrder(1)
	queue.PushAttempt(1, attempt)
	queue.PushLoad(2, order)
	writeAll(&queue)
	queue.FinishLoad(2)
	if !queue.IsReceived(attempt) {
		t.Error("an attempt before an answered load order does not count as received")
	}
}

// TestReceipt_FrameQueuedWhileNewWorkIsDeferred_DoesNotConfirmIt guards against taking an attempt for received because
// of a response to a frame that was queued behind it and overtook it.
func TestReceipt_FrameQueuedWhileNewWorkIsDeferred_DoesNotConfirmIt(t *testing.T) {
	queue := NewSendQueue[testFrame]()
	attempt := &Attempt{}
	queue.PushAttempt(1, attempt)
	asked := queue.LastWritten()
	queue.Push("health check")
	guard := &WriteGuard{} // without a send lease
	var batch WriteBatch[testFrame]
	queue.NextBatch(guard, testNow, &batch, encodeByNumber)
	queue.BatchWritten(guard, testNow, &batch, len(batch.Bytes))
	if !batch.DeferredNewWork || queue.Queued() != 1 {
		t.Fatalf("deferred: %v, %d queued; want the attempt deferred", batch.DeferredNewWork, queue.Queued())
	}
	writeAll(&queue)
	queue.ConfirmReceipt(asked)
	if queue.IsReceived(attempt) {
		t.Error("an attempt counts as received that was written after the health check")
	}
}

// TestReceiptDue_SeveralAwaited_IsEarliestUnconfirmed checks which receipt is due, and that none is due any more on the
// next connection.
func TestReceiptDue_SeveralAwaited_IsEarliestUnconfirmed(t *testing.T) {
	queue := NewSendQueue[testFrame]()
	first, second := &Attempt{}, &Attempt{}
	queue.PushAttempt(1, first)
	queue.PushAttempt(2, second)
	writeAll(&queue)
	queue.AwaitReceipt(first, time.Second)
	queue.AwaitReceipt(second, 2*time.Second)
	if due, awaited := queue.ReceiptDue(); !awaited || due != time.Second {
		t.Errorf("due at %v, awaited %v; want 1s", due, awaited)
	}
	queue.ConfirmReceipt(1)
	if due, awaited := queue.ReceiptDue(); !awaited || due != 2*time.Second {
		t.Errorf("after the first receipt, due at %v, awaited %v; want 2s", due, awaited)
	}
	queue.RemoveInFlight()
	if _, awaited := queue.ReceiptDue(); awaited {
		t.Error("a receipt is awaited on a connection that has broken")
	}
}
