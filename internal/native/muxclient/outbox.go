package muxclient

import "havencart/scheduler"

// Outbox is what waits to be written to one connection of a worker, and what has left on it and has no answer
// yet. It knows of each attempt and order whether its frame left. Every link keeps its books here, whatever its
// protocol; whoever owns an Outbox holds its own lock at each call. Its owner bounds what it pushes.
type Outbox struct {
	queue    []Item
	attempts map[uint64]*Attempt // that may have left, by number
	orders   map[uint64]*Order
	work     bool // the write under way holds attempts or orders to load
}

// Item is one frame that waits to be written: an attempt's, an order's, or another of the protocol's.
type Item struct {
	Attempt *Attempt
	Order   *Order
	Frame   any
}

// span says where in a batch an item's frame ends.
type span struct {
	Item
	end int
}

// Batch is what one write hands to the system.
type Batch struct {
	Bytes  []byte
	Faulty []Item // that cannot be encoded: they never left
	spans  []span
}

// NewOutbox returns one with nothing in it.
func NewOutbox() Outbox {
	return Outbox{attempts: map[uint64]*Attempt{}, orders: map[uint64]*Order{}}
}

// Push adds an item that is neither an attempt nor an order.
func (o *Outbox) Push(frame any) { o.queue = append(o.queue, Item{Frame: frame}) }

// PushAttempt adds an attempt under a number that no other on this connection has.
func (o *Outbox) PushAttempt(number uint64, a *Attempt) {
	a.number, a.state = number, queued
	o.queue = append(o.queue, Item{Attempt: a})
}

// PushOrder adds an order, as PushAttempt does an attempt.
func (o *Outbox) PushOrder(number uint64, x *Order) {
	x.number, x.state = number, queued
	o.queue = append(o.queue, Item{Order: x})
}

// Waiting is how many items wait to be written.
func (o *Outbox) Waiting() int { return len(o.queue) }

// Open is how many attempts and orders wait or have left and have no answer.
func (o *Outbox) Open() int {
	n := len(o.attempts) + len(o.orders)
	for _, i := range o.queue {
		if i.state() != nil {
			n++
		}
	}
	return n
}

// Has says whether a number is in use.
func (o *Outbox) Has(number uint64) bool {
	if o.attempts[number] != nil || o.orders[number] != nil {
		return true
	}
	for _, i := range o.queue {
		if i.Attempt != nil && i.Attempt.number == number || i.Order != nil && i.Order.number == number {
			return true
		}
	}
	return false
}

// Attempt is the attempt of a number that may have left.
func (o *Outbox) Attempt(number uint64) *Attempt { return o.attempts[number] }

// Answered ends the attempt of a number that may have left, nil if there is none.
func (o *Outbox) Answered(number uint64) *Attempt {
	a := o.attempts[number]
	if a != nil {
		delete(o.attempts, number)
		a.state = ended
	}
	return a
}

// OrderAnswered ends the order of a number, nil if there is none.
func (o *Outbox) OrderAnswered(number uint64) *Order {
	x := o.orders[number]
	if x != nil {
		delete(o.orders, number)
		x.state = ended
	}
	return x
}

// Withdraw takes back an attempt that has not begun to leave, and says whether it did.
func (o *Outbox) Withdraw(a *Attempt) bool {
	return a.state == queued && len(o.Unqueue(func(i Item) bool { return i.Attempt == a })) > 0
}

// Leaving says whether the write under way holds an attempt.
func (o *Outbox) Leaving(a *Attempt) bool { return a.state == leaving }

// Abandon gives an attempt up. It returns whether it was under way, and whether the worker may have seen it.
//
// An end that was told may still wait for who is to hear it, behind other events, when the attempt is abandoned.
// That the link has nothing of it any longer does not mean that it never left.
func (o *Outbox) Abandon(a *Attempt) (underWay, mayHaveLeft bool) {
	switch a.state {
	case queued:
		o.Withdraw(a)
	case leaving, left:
		a.state, underWay = ended, true
		delete(o.attempts, a.number)
	}
	return underWay, a.MayHaveLeft()
}

// MayHaveLeft says of an attempt that has ended whether the worker may have seen it.
func (a *Attempt) MayHaveLeft() bool { return a.state == ended }

// AbandonOrder gives an order up.
func (o *Outbox) AbandonOrder(x *Order) {
	if x.state == queued {
		o.Unqueue(func(i Item) bool { return i.Order == x })
	}
	x.state = ended
	delete(o.orders, x.number)
}

// Unqueue takes the items that match out of the queue: they never left.
func (o *Outbox) Unqueue(match func(Item) bool) (taken []Item) {
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
func (o *Outbox) TakeBack() (attempts []*Attempt, orders []*Order) {
	for _, i := range o.Unqueue(func(i Item) bool { return i.Attempt != nil || i.Order != nil && i.Order.Load.Copies > 0 }) {
		if i.Attempt != nil {
			attempts = append(attempts, i.Attempt)
		} else {
			orders = append(orders, i.Order)
		}
	}
	return attempts, orders
}

// Writing says whether the write under way holds new work for the worker.
func (o *Outbox) Writing() bool { return o.work }

// Claim encodes the next batch into b. What it takes is leaving from now: it can no longer be taken back.
func (o *Outbox) Claim(b *Batch, encode func([]byte, Item) ([]byte, error)) {
	b.Bytes, b.spans, b.Faulty = b.Bytes[:0], b.spans[:0], nil
	taken := 0
	for _, i := range o.queue {
		if len(b.Bytes) >= batchBytes {
			break
		}
		taken++
		next, err := encode(b.Bytes, i)
		if err != nil { // too long, say: it never left
			i.end(unsent)
			b.Faulty = append(b.Faulty, i)
			continue
		}
		b.Bytes = next
		b.spans = append(b.spans, span{i, len(next)})
		o.leave(i)
	}
	o.queue = append(o.queue[:0], o.queue[taken:]...)
}

func (o *Outbox) leave(i Item) {
	switch {
	case i.Attempt != nil:
		i.Attempt.state, o.work = leaving, true
		o.attempts[i.Attempt.number] = i.Attempt
	case i.Order != nil:
		i.Order.state = leaving
		o.work = o.work || i.Order.Load.Copies > 0
		o.orders[i.Order.number] = i.Order
	}
}

// Written takes the result of the write of b, of which n bytes were taken: whole frames have left. It returns the
// others, which never ran, as the connection is closed on them.
func (o *Outbox) Written(b *Batch, n int) (never []Item) {
	o.work = false
	for _, s := range b.spans {
		switch at := s.state(); {
		case at == nil || *at != leaving:
		case s.end <= n:
			*at = left
		default:
			*at = unsent
			o.forget(s.Item)
			never = append(never, s.Item)
		}
	}
	return never
}

// forget drops an item that is under way.
func (o *Outbox) forget(i Item) {
	switch {
	case i.Attempt != nil:
		delete(o.attempts, i.Attempt.number)
	case i.Order != nil:
		delete(o.orders, i.Order.number)
	}
}

// Lost ends what has left on a connection that broke, and returns it.
func (o *Outbox) Lost() (out []Item) {
	for _, a := range o.attempts {
		out = append(out, Item{Attempt: a})
	}
	for _, x := range o.orders {
		out = append(out, Item{Order: x})
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
func (i Item) state() *state {
	switch {
	case i.Attempt != nil:
		return &i.Attempt.state
	case i.Order != nil:
		return &i.Order.state
	}
	return nil
}

func (i Item) end(as state) {
	if s := i.state(); s != nil {
		*s = as
	}
}

// Tell tells the ends of items; no lock is held.
func Tell(events Events, items []Item, call, order scheduler.Status, why string) {
	for _, i := range items {
		switch {
		case i.Attempt != nil:
			events.Ended(i.Attempt, Result{Status: call, Why: why, Crowd: -1})
		case i.Order != nil:
			events.OrderEnded(i.Order, order, 0)
		}
	}
}

// Number is the one that the item was pushed under.
func (i Item) Number() uint64 {
	switch {
	case i.Attempt != nil:
		return i.Attempt.number
	case i.Order != nil:
		return i.Order.number
	}
	return 0
}
