package workerconn

import "havencart/scheduler"

// batchBytes bounds what one write hands to the system: calls behind it can still be taken back.
const batchBytes = 64 << 10

// Outbox is what waits to be written to one connection of a worker, and what has left on it and has no answer
// yet. It knows of each attempt and order whether its frame left. Every link keeps its books here, whatever its
// protocol; whoever owns an Outbox holds its own lock at each call. Its owner bounds what it pushes.
type SendQueue struct {
	queue    []QueueItem
	attempts map[uint64]*Attempt // that may have left, by number
	orders   map[uint64]*LoadOrder
	work     bool // the write under way holds attempts or orders to load
}

// Item is one frame that waits to be written: an attempt's, an order's, or another of the protocol's.
type QueueItem struct {
	Attempt *Attempt
	Load    *LoadOrder
	Frame   any
}

// span says where in a batch an item's frame ends.
type span struct {
	QueueItem
	end int
}

// Batch is what one write hands to the system.
type WriteBatch struct {
	Bytes       []byte
	Unencodable []QueueItem // that cannot be encoded: they never left
	spans       []span
}

// NewOutbox returns one with nothing in it.
func NewSendQueue() SendQueue {
	return SendQueue{attempts: map[uint64]*Attempt{}, orders: map[uint64]*LoadOrder{}}
}

// Push adds an item that is neither an attempt nor an order.
func (o *SendQueue) Push(frame any) { o.queue = append(o.queue, QueueItem{Frame: frame}) }

// PushAttempt adds an attempt under a number that no other on this connection has.
func (o *SendQueue) PushAttempt(number uint64, a *Attempt) {
	a.number, a.state = number, queued
	o.queue = append(o.queue, QueueItem{Attempt: a})
}

// PushOrder adds an order, as PushAttempt does an attempt.
func (o *SendQueue) PushLoad(number uint64, x *LoadOrder) {
	x.number, x.state = number, queued
	o.queue = append(o.queue, QueueItem{Load: x})
}

// Waiting is how many items wait to be written.
func (o *SendQueue) Waiting() int { return len(o.queue) }

// Open is how many attempts and orders wait or have left and have no answer.
func (o *SendQueue) Open() int {
	n := len(o.attempts) + len(o.orders)
	for _, i := range o.queue {
		if i.state() != nil {
			n++
		}
	}
	return n
}

// Has says whether a number is in use.
func (o *SendQueue) Has(number uint64) bool {
	if o.attempts[number] != nil || o.orders[number] != nil {
		return true
	}
	for _, i := range o.queue {
		if i.Attempt != nil && i.Attempt.number == number || i.Load != nil && i.Load.number == number {
			return true
		}
	}
	return false
}

// Attempt is the attempt of a number that may have left.
func (o *SendQueue) Attempt(number uint64) *Attempt { return o.attempts[number] }

// Answered ends the attempt of a number that may have left, nil if there is none.
func (o *SendQueue) Answered(number uint64) *Attempt {
	a := o.attempts[number]
	if a != nil {
		delete(o.attempts, number)
		a.state = ended
	}
	return a
}

// OrderAnswered ends the order of a number, nil if there is none.
func (o *SendQueue) LoadAnswered(number uint64) *LoadOrder {
	x := o.orders[number]
	if x != nil {
		delete(o.orders, number)
		x.state = ended
	}
	return x
}

// Withdraw takes back an attempt that has not begun to leave, and says whether it did.
func (o *SendQueue) CancelUnsent(a *Attempt) bool {
	return a.state == queued && len(o.Unqueue(func(i QueueItem) bool { return i.Attempt == a })) > 0
}

// Leaving says whether the write under way holds an attempt.
func (o *SendQueue) Leaving(a *Attempt) bool { return a.state == leaving }

// Abandon gives an attempt up. It returns whether it was under way, and whether the worker may have seen it.
//
// An end that was told may still wait for who is to hear it, behind other events, when the attempt is abandoned.
// That the link has nothing of it any longer does not mean that it never left.
func (o *SendQueue) Abandon(a *Attempt) (underWay, mayHaveLeft bool) {
	switch a.state {
	case queued:
		o.CancelUnsent(a)
	case leaving, left:
		a.state, underWay = ended, true
		delete(o.attempts, a.number)
	}
	return underWay, a.MayHaveBeenSent()
}

// MayHaveLeft says of an attempt that has ended whether the worker may have seen it.
func (a *Attempt) MayHaveBeenSent() bool { return a.state == ended }

// AbandonOrder gives an order up.
func (o *SendQueue) AbandonLoad(x *LoadOrder) {
	if x.state == queued {
		o.Unqueue(func(i QueueItem) bool { return i.Load == x })
	}
	x.state = ended
	delete(o.orders, x.number)
}

// Unqueue takes the items that match out of the queue: they never left.
func (o *SendQueue) Unqueue(match func(QueueItem) bool) (taken []QueueItem) {
	keep := o.queue[:0]
	for _, i := range o.queue {
		if !match(i) {
			keep = append(keep, i)
			continue
		}
		i.end(unsent)
		taken = append(taken, i)
	}
	clear(o.queue[len(keep):])
	o.queue = keep
	return taken
}

// TakeBack takes out of the queue what is new work for a worker that drains.
func (o *SendQueue) TakeBack() (attempts []*Attempt, orders []*LoadOrder) {
	for _, i := range o.Unqueue(func(i QueueItem) bool { return i.Attempt != nil || i.Load != nil && i.Load.Load.Replicas > 0 }) {
		if i.Attempt != nil {
			attempts = append(attempts, i.Attempt)
		} else {
			orders = append(orders, i.Load)
		}
	}
	return attempts, orders
}

// Writing says whether the write under way holds new work for the worker.
func (o *SendQueue) Writing() bool { return o.work }

// Claim encodes the next batch into b. What it takes is leaving from now: it can no longer be taken back.
func (o *SendQueue) Claim(b *WriteBatch, encode func([]byte, QueueItem) ([]byte, error)) {
	b.Bytes, b.spans, b.Unencodable = b.Bytes[:0], b.spans[:0], nil
	taken := 0
	for _, i := range o.queue {
		if len(b.Bytes) >= batchBytes {
			break
		}
		taken++
		next, err := encode(b.Bytes, i)
		if err != nil { // too long, say: it never left
			i.end(unsent)
			b.Unencodable = append(b.Unencodable, i)
			continue
		}
		b.Bytes = next
		b.spans = append(b.spans, span{i, len(next)})
		o.leave(i)
	}
	o.queue = append(o.queue[:0], o.queue[taken:]...)
}

func (o *SendQueue) leave(i QueueItem) {
	switch {
	case i.Attempt != nil:
		i.Attempt.state, o.work = leaving, true
		o.attempts[i.Attempt.number] = i.Attempt
	case i.Load != nil:
		i.Load.state = leaving
		o.work = o.work || i.Load.Load.Replicas > 0
		o.orders[i.Load.number] = i.Load
	}
}

// Written takes the result of the write of b, of which n bytes were taken: whole frames have left. It returns the
// others, which never ran, as the connection is closed on them.
func (o *SendQueue) Written(b *WriteBatch, n int) (never []QueueItem) {
	o.work = false
	for _, s := range b.spans {
		switch at := s.state(); {
		case at == nil || *at != leaving:
		case s.end <= n:
			*at = left
		default:
			*at = unsent
			o.forget(s.QueueItem)
			never = append(never, s.QueueItem)
		}
	}
	return never
}

// forget drops an item that is under way.
func (o *SendQueue) forget(i QueueItem) {
	switch {
	case i.Attempt != nil:
		delete(o.attempts, i.Attempt.number)
	case i.Load != nil:
		delete(o.orders, i.Load.number)
	}
}

// Lost ends what has left on a connection that broke, and returns it.
func (o *SendQueue) Lost() (out []QueueItem) {
	for _, a := range o.attempts {
		out = append(out, QueueItem{Attempt: a})
	}
	for _, x := range o.orders {
		out = append(out, QueueItem{Load: x})
	}
	for _, i := range out {
		i.end(ended)
	}
	clear(o.attempts)
	clear(o.orders)
	o.work = false
	return out
}

// state is where the item's attempt or order stands, nil for what has none.
func (i QueueItem) state() *state {
	switch {
	case i.Attempt != nil:
		return &i.Attempt.state
	case i.Load != nil:
		return &i.Load.state
	}
	return nil
}

func (i QueueItem) end(as state) {
	if s := i.state(); s != nil {
		*s = as
	}
}

// Tell tells the ends of items; no lock is held.
func NotifyEnded(events Events, items []QueueItem, call, order scheduler.Status, why string) {
	for _, i := range items {
		switch {
		case i.Attempt != nil:
			events.AttemptEnded(i.Attempt, Result{Status: call, Reason: why, QueueDepth: -1})
		case i.Load != nil:
			events.LoadEnded(i.Load, order, 0)
		}
	}
}

// Number is the one that the item was pushed under.
func (i QueueItem) Number() uint64 {
	switch {
	case i.Attempt != nil:
		return i.Attempt.number
	case i.Load != nil:
		return i.Load.number
	}
	return 0
}
