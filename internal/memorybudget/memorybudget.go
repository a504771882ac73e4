// Package memorybudget limits the memory that the peers of a process make it use. Memory is reserved before it is
// allocated and released when it is no longer referenced. Package memoryshare decides how much a peer may reserve.
package memorybudget

import (
	"sync"
	"time"

	"havencart/internal/decide/memoryshare"
)

// Budget limits the memory that all peers of one kind reserve together. Its methods, and those of its accounts and their
// reservations, are safe for concurrent use.
type Budget struct {
	limit      int64 // bytes
	thresholds memoryshare.Thresholds
	start      time.Time

	mu      sync.Mutex
	total   int64         // bytes that are reserved
	highest int64         // largest total so far
	refused uint64        // calls of Account.Reserve that returned nil
	waited  uint64        // calls of Account.Await that had to wait
	changed chan struct{} // closed at the next release; nil if no call of Await waits
}

// New returns a Budget of limit bytes, of which the peers may reserve parts within the thresholds.
func New(limit int64, thresholds memoryshare.Thresholds) *Budget {
	return &Budget{limit: limit, thresholds: thresholds, start: time.Now()}
}

// now returns the time since the budget was created.
func (b *Budget) now() time.Duration { return time.Since(b.start) }

// Counts are the state of a Budget and its totals since its start. The field names appear in the log and in
// docs/oncall.md.
type Counts struct {
	Limit   int64  // bytes
	Total   int64  // bytes that are reserved
	Highest int64  // largest Total so far
	Refused uint64 // reservations that were refused
	Waited  uint64 // reservations that had to wait
}

// Counts returns the state of the budget and its totals.
func (b *Budget) Counts() Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Counts{Limit: b.limit, Total: b.total, Highest: b.highest, Refused: b.refused, Waited: b.waited}
}

// NewAccount returns the account of a peer that has reserved nothing. A nil Budget has accounts without a limit.
func (b *Budget) NewAccount() *Account { return &Account{budget: b} }

// Account is what one peer has reserved of a Budget. It needs no cleanup besides the release of its reservations.
type Account struct {
	budget *Budget // nil: nothing is counted

	// Guarded by budget.mu.
	reserved int64 // bytes
	history  memoryshare.History
}

// Reserve reserves memory. It returns nil if the peer may not reserve that much now.
func (a *Account) Reserve(bytes int64) *Reservation {
	if a.budget == nil {
		return &Reservation{}
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if reservation := a.reserveLocked(bytes); reservation != nil {
		return reservation
	}
	a.history.RecordRefused(a.budget.now())
	a.budget.refused++
	return nil
}

// Await reserves memory once the peer may reserve that much. It returns nil if done is closed first.
func (a *Account) Await(done <-chan struct{}, bytes int64) *Reservation {
	if a.budget == nil {
		return &Reservation{}
	}
	reservation, changed := a.reserveOrWatch(bytes)
	if reservation != nil {
		return reservation
	}
	a.budget.countWait()
	for reservation == nil {
		select {
		case <-changed:
		case <-done:
			return nil
		}
		reservation, changed = a.reserveOrWatch(bytes)
	}
	return reservation
}

// reserveOrWatch reserves memory, or returns a channel that is closed at the next release.
func (a *Account) reserveOrWatch(bytes int64) (reservation *Reservation, changed <-chan struct{}) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if reservation := a.reserveLocked(bytes); reservation != nil {
		return reservation, nil
	}
	if a.budget.changed == nil {
		a.budget.changed = make(chan struct{})
	}
	return nil, a.budget.changed
}

// reserveLocked reserves memory, or returns nil if the peer may not reserve that much now. It requires that the budget's
// lock is held.
func (a *Account) reserveLocked(bytes int64) *Reservation {
	budget := a.budget
	trusted := a.history.IsTrusted(budget.now())
	usage := memoryshare.Usage{Limit: budget.limit, Total: budget.total, Peer: a.reserved}
	if !budget.thresholds.MayReserve(usage, bytes, trusted) {
		return nil
	}
	a.reserved += bytes
	budget.total += bytes
	budget.highest = max(budget.highest, budget.total)
	return &Reservation{account: a, bytes: bytes, trusted: trusted}
}

func (b *Budget) countWait() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waited++
}

// Reservation is memory that a peer has reserved. A nil Reservation is of no memory.
type Reservation struct {
	account  *Account // nil: nothing is counted
	bytes    int64
	trusted  bool
	released bool // guarded by the budget's lock
}

// Trusted reports whether the peer was trusted when it reserved the memory.
func (r *Reservation) Trusted() bool { return r != nil && r.trusted }

// Release returns the memory to the budget. It has no effect on memory that was returned before.
func (r *Reservation) Release() {
	r.release(func(account *Account) { account.history.RecordReturned() })
}

// ReleaseRejected is like Release for the memory of a request that was rejected. It counts as a refusal.
func (r *Reservation) ReleaseRejected() {
	r.release(func(account *Account) { account.history.RecordRefused(account.budget.now()) })
}

func (r *Reservation) release(record func(*Account)) {
	if r == nil || r.account == nil {
		return
	}
	budget := r.account.budget
	budget.mu.Lock()
	defer budget.mu.Unlock()
	if r.released {
		return
	}
	r.released = true
	r.account.reserved -= r.bytes
	record(r.account)
	budget.total -= r.bytes
	if budget.changed != nil {
		close(budget.changed)
		budget.changed = nil
	}
}
