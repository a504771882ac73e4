package rpcserver

import (
	"slices"

	"havencart/internal/memorybudget"
	"havencart/internal/platform/rpcframe"
)

// maxBatchBytes is the number of encoded bytes above which no further message is added to a batch. A connection whose
// client does not read holds one batch in addition to its queue.
const maxBatchBytes = 32 << 10

// maxRetainedBytes is the maximum capacity of a buffer that is kept for the next batch.
const maxRetainedBytes = 4 << 10

// maxEnvelopeBytes is the maximum number of bytes by which an encoded response is longer than its body.
const maxEnvelopeBytes = 64

// outgoingKind is the kind of a message to a client.
type outgoingKind int

const (
	outgoingResponse  outgoingKind = iota + 1 // the final response to a request
	outgoingMalformed                         // the error response to a request that violated the protocol
	outgoingHeartbeat                         // the response to a heartbeat
)

// outgoing is a message that waits to be encoded and written to a client.
type outgoing struct {
	kind      outgoingKind
	messageID uint32
	response  Response                  // set for outgoingResponse
	ready     bool                      // whether the server accepts requests; set for outgoingHeartbeat
	unwanted  bool                      // whether the client has cancelled the request since
	memory    *memorybudget.Reservation // for the body of the response
}

// appendTo appends the encoded message to buffer.
func (o outgoing) appendTo(buffer []byte) []byte {
	switch o.kind {
	case outgoingHeartbeat:
		return rpcframe.AppendHeartbeat(buffer, o.messageID, o.ready)
	case outgoingMalformed:
		return rpcframe.AppendMalformed(buffer, o.messageID)
	}
	switch o.response.Kind {
	case Served:
		return rpcframe.AppendServed(buffer, o.messageID, o.response.Body)
	case Rejected:
		return rpcframe.AppendRejected(buffer, o.messageID, o.response.RetryAfter)
	}
	return rpcframe.AppendFailed(buffer, o.messageID)
}

// outputBatch holds the encoded messages of one write, and their memory until the write has ended.
type outputBatch struct {
	bytes  []byte
	memory []*memorybudget.Reservation
}

func (b *outputBatch) add(message outgoing) {
	b.bytes = message.appendTo(b.bytes)
	b.memory = append(b.memory, message.memory)
}

// release empties the batch. A large buffer is not kept, because a connection may never need it again.
func (b *outputBatch) release() {
	for i, memory := range b.memory {
		memory.Release()
		b.memory[i] = nil
	}
	b.memory = b.memory[:0]
	b.bytes = b.bytes[:0]
	if cap(b.bytes) > maxRetainedBytes {
		b.bytes = nil
	}
}

// outputQueue holds the messages of a connection of which no part was passed to the operating system. The client has
// certainly not received them, so that it counts their requests as open. The zero value is an empty queue.
type outputQueue struct {
	messages   []outgoing // bounded by conn.addInFlight and conn.handleHeartbeat
	heartbeats int        // number of messages of kind outgoingHeartbeat
	bodyBytes  int64      // total size of the bodies
}

// responses returns the number of messages that respond to a request.
func (q *outputQueue) responses() int { return len(q.messages) - q.heartbeats }

// push adds a message at the end.
func (q *outputQueue) push(message outgoing) {
	q.messages = append(q.messages, message)
	q.count(message, 1)
}

// markUnwanted records that the client no longer wants the response to a request, if it is queued.
func (q *outputQueue) markUnwanted(messageID uint32) {
	for i := range q.messages {
		if q.messages[i].kind != outgoingHeartbeat && q.messages[i].messageID == messageID {
			q.messages[i].unwanted = true
		}
	}
}

// dropUnwanted removes the responses that the client no longer wants.
func (q *outputQueue) dropUnwanted() {
	q.messages = slices.DeleteFunc(q.messages, func(message outgoing) bool {
		if message.unwanted {
			q.count(message, -1)
			message.memory.Release()
		}
		return message.unwanted
	})
}

// takeBatch moves messages from the front, at least one if there is any, to batch, which must be empty.
func (q *outputQueue) takeBatch(batch *outputBatch) {
	taken, size := 0, 0
	for taken < len(q.messages) && size < maxBatchBytes {
		size += maxEnvelopeBytes + len(q.messages[taken].response.Body)
		taken++
	}
	batch.bytes = slices.Grow(batch.bytes, size)
	for _, message := range q.messages[:taken] {
		batch.add(message)
		q.count(message, -1)
	}
	q.messages = slices.Delete(q.messages, 0, taken)
}

// clear removes all messages and releases their memory.
func (q *outputQueue) clear() {
	for _, message := range q.messages {
		message.memory.Release()
	}
	*q = outputQueue{}
}

// count adds a message to the totals, or removes it if sign is -1.
func (q *outputQueue) count(message outgoing, sign int) {
	if message.kind == outgoingHeartbeat {
		q.heartbeats += sign
	}
	q.bodyBytes += int64(sign * len(message.response.Body))
}
