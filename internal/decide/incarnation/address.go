package incarnation

import (
	"time"

	"havencart/scheduler"
)

// AddressClaim is an entry of the endpoint list that names an address which the list already names for another worker.
// An address belongs to one process, so one of the two workers has gone.
type AddressClaim struct {
	ClaimantStart, HolderStart time.Duration // listed start times; scheduler.UnknownStart if not known
	IsNew                      bool          // whether the list has not named the address for the claimant before
}

// Succeeds reports whether the claimant now has the address: if its process started later or, where that is not known, if
// its entry is the later one.
func (c AddressClaim) Succeeds() bool {
	startsKnown := c.ClaimantStart != scheduler.UnknownStart && c.HolderStart != scheduler.UnknownStart
	if startsKnown && c.ClaimantStart != c.HolderStart {
		return c.ClaimantStart > c.HolderStart
	}
	return c.IsNew
}
