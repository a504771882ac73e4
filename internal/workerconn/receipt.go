package workerconn

import (
	"errors"
	"slices"
	"time"
)

// This file tracks which of the frames written to a connection the worker is known to have read. A frame that was
// written may still be held by the operating system, and reach the worker much later, when an interrupted network path
// works again. Because frames arrive in order, a response to a frame confirms that frame and all frames before it.

// ErrNotReceived ends a connection that may still hold a cancelled attempt.
var ErrNotReceived = errors.New("a cancelled attempt may not have been received")

// receipts is the part of a SendQueue that tracks what the worker is known to have read. Frames are numbered in the
// order in which they are written.
type receipts struct {
	written   uint64 // number of the last frame whose write has started
	confirmed uint64 // number of the last frame that the worker is known to have read
	awaited   []awaitedReceipt
}

// awaitedReceipt is a frame with the time at which the connection must be closed unless the worker is known to have read
// the frame.
type awaitedReceipt struct {
	frame uint64
	until time.Duration
}

// LastWritten returns the number of the last frame whose write has started. A response to any frame that is queued
// after the call confirms that frame: see ConfirmReceipt.
func (q *SendQueue[Frame]) LastWritten() uint64 { return q.receipts.written }

// ConfirmReceipt records that the worker has read the frame with the given number, and all frames before it.
func (q *SendQueue[Frame]) ConfirmReceipt(frame uint64) {
	confirmed := max(q.receipts.confirmed, frame)
	q.receipts.confirmed = confirmed
	q.receipts.awaited = slices.DeleteFunc(q.receipts.awaited, func(r awaitedReceipt) bool { return r.frame <= confirmed })
}

// IsReceived reports whether the worker is known to have read an attempt whose write has started.
func (q *SendQueue[Frame]) IsReceived(attempt *Attempt) bool {
	return attempt.delivery.frame > 0 && attempt.delivery.frame <= q.receipts.confirmed
}

// AwaitReceipt records that the connection must be closed at the time until, unless the worker is known by then to have
// read the attempt. The owner closes it at the time that ReceiptDue returns.
func (q *SendQueue[Frame]) AwaitReceipt(attempt *Attempt, until time.Duration) {
	q.receipts.awaited = append(q.receipts.awaited, awaitedReceipt{frame: attempt.delivery.frame, until: until})
}

// ReceiptDue returns the earliest time at which a receipt is due. awaited is false if none is awaited.
func (q *SendQueue[Frame]) ReceiptDue() (due time.Duration, awaited bool) {
	for i, receipt := range q.receipts.awaited {
		if i == 0 || receipt.until < due {
			due = receipt.until
		}
	}
	return due, len(q.receipts.awaited) > 0
}
