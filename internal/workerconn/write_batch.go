package workerconn

import (
	"time"

	"havencart/internal/decide/execution"
	"havencart/scheduler"
)

// minWriteTimeout is the least time for a write, so that one is not failed for having been scheduled late. It is within
// the 50 ms by which the platform's rules extend every time.
const minWriteTimeout = 20 * time.Millisecond

// lateWriteTolerance is by how much a write may end after it had to: the time is read once it has returned.
const lateWriteTolerance = 50 * time.Millisecond

// maxBatchBytes bounds what one write hands to the operating system, so that what is queued behind it can still be
// cancelled.
const maxBatchBytes = 64 << 10

// WriteBatch is the frames of one write. Its owner uses the same one for all writes to a connection.
type WriteBatch[Frame any] struct {
	Bytes           []byte             // the encoded frames
	Unencodable     []QueueItem[Frame] // items whose frame cannot be encoded: they were never sent
	Expired         []QueueItem[Frame] // new work that may not be written any longer: it was never sent
	DeferredNewWork bool               // new work stayed in the queue, as the event loop's lease does not hold
	NotAfter        time.Duration      // the write may not go on after this; 0: no permit limits it

	frames []batchFrame[Frame]
}

// batchFrame is one frame of a batch.
type batchFrame[Frame any] struct {
	item QueueItem[Frame]
	end  int // index in WriteBatch.Bytes behind its last byte
}

// reset empties the batch, keeping its memory.
func (b *WriteBatch[Frame]) reset() {
	b.Bytes = b.Bytes[:0]
	b.Unencodable = nil
	b.Expired = nil
	b.DeferredNewWork = false
	b.NotAfter = 0
	b.frames = b.frames[:0]
}

// Unsent reports the attempts and load orders that NextBatch took out of the queue without sending them.
func (b *WriteBatch[Frame]) Unsent(events Events) {
	NotifyEnded(events, b.Unencodable, scheduler.NotSent, scheduler.Error, "its frame cannot be encoded")
	NotifyEnded(events, b.Expired, scheduler.NotSent, scheduler.NotSent, "not written in time")
}

// limit shortens NotAfter to a deadline, 0 for none.
func (b *WriteBatch[Frame]) limit(deadline time.Duration) {
	if deadline > 0 && (b.NotAfter == 0 || deadline < b.NotAfter) {
		b.NotAfter = deadline
	}
}

// Timeout is how long the write of the batch may take at now, at most longest. A permit that is about to end leaves
// minWriteTimeout: a write that fails ends its connection, with all that other requests have on it.
func (b *WriteBatch[Frame]) Timeout(now, longest time.Duration) time.Duration {
	if b.NotAfter == 0 {
		return longest
	}
	return min(longest, max(minWriteTimeout, b.NotAfter-now))
}

// NextBatch moves items from the front of the queue into batch at now, replacing what that held. The function encode appends
// an item's frame to a buffer. From now on the items can no longer be cancelled; BatchWritten follows once the bytes
// were written. This is the one place where a frame goes from the queue to a connection: new work does only while the
// guard's leases hold, and an attempt only until it may not be written any longer.
func (q *SendQueue[Frame]) NextBatch(
	guard *Guard, now time.Duration, batch *WriteBatch[Frame],
	encode func(buffer []byte, item QueueItem[Frame]) ([]byte, error),
) {
	batch.reset()
	mayWriteNewWork := guard.mayWriteNewWork(now)
	var kept []QueueItem[Frame]
	for i, item := range q.queue {
		if len(batch.Bytes) >= maxBatchBytes {
			kept = append(kept, q.queue[i:]...)
			break
		}
		switch {
		case item.isExpired(now), item.isNewWork() && !guard.isConfirmed(now, item.confirmedUntil()):
			item.delivery().cancel()
			batch.Expired = append(batch.Expired, item)
		case item.isNewWork() && !mayWriteNewWork:
			batch.DeferredNewWork = true
			kept = append(kept, item)
		default:
			q.moveToBatch(now, batch, item, encode)
		}
	}
	clear(q.queue[copy(q.queue, kept):])
	q.queue = q.queue[:len(kept)]
}

// moveToBatch adds the frame of an item to a batch, and notes that it is being sent.
func (q *SendQueue[Frame]) moveToBatch(
	now time.Duration, batch *WriteBatch[Frame], item QueueItem[Frame],
	encode func(buffer []byte, item QueueItem[Frame]) ([]byte, error),
) {
	encoded, err := encode(batch.Bytes, item)
	if err != nil { // for example too long
		if delivery := item.delivery(); delivery != nil {
			delivery.cancel()
		}
		batch.Unencodable = append(batch.Unencodable, item)
		return
	}
	batch.Bytes = encoded
	batch.frames = append(batch.frames, batchFrame[Frame]{item: item, end: len(encoded)})
	batch.limit(item.permitEnd())
	q.startSending(now, item)
}

// startSending moves an item from queued to in flight.
func (q *SendQueue[Frame]) startSending(now time.Duration, item QueueItem[Frame]) {
	if delivery := item.delivery(); delivery != nil {
		delivery.startSending(now)
	}
	switch {
	case item.Attempt != nil:
		q.inFlightAttempts[item.Number()] = item.Attempt
	case item.Load != nil:
		q.inFlightLoads[item.Number()] = item.Load
	}
	q.writingNewWork = q.writingNewWork || item.isNewWork()
}

// IsWritingNewWork tells whether the write under way would make the worker execute or load something.
func (q *SendQueue[Frame]) IsWritingNewWork() bool { return q.writingNewWork }

// BatchWritten records that the first written bytes of batch were handed to the operating system by now. It removes and
// returns the items whose frames were not written whole. They were never executed, provided that the owner now
// closes the connection. A frame that was written whole too late is counted as a violation.
func (q *SendQueue[Frame]) BatchWritten(
	guard *Guard, now time.Duration, batch *WriteBatch[Frame], written int,
) (unsent []QueueItem[Frame]) {
	q.writingNewWork = false
	for _, frame := range batch.frames {
		delivery := frame.item.delivery()
		switch {
		case delivery == nil || delivery.state != sending: // another frame, or finished or abandoned during the write
		case frame.end <= written:
			delivery.finishSending()
			if frame.item.isOverdue(now) {
				guard.Count(execution.LateWrite)
			}
		default:
			delivery.cancel()
			q.removeFromInFlight(frame.item)
			unsent = append(unsent, frame.item)
		}
	}
	return unsent
}

// removeFromInFlight removes an item that is in flight.
func (q *SendQueue[Frame]) removeFromInFlight(item QueueItem[Frame]) {
	switch {
	case item.Attempt != nil:
		delete(q.inFlightAttempts, item.Number())
	case item.Load != nil:
		delete(q.inFlightLoads, item.Number())
	}
}
