package gateway

import (
	"slices"

	"havencart/internal/decide/incarnation"
	"havencart/internal/discovery"
	"havencart/scheduler"
)

// This file keeps track of which worker has which address. If the endpoint list names the address of a listed worker for
// another one, the former has gone, although its removal may be listed later or never. Until then, its work would reach
// the other worker's process.

// resolveAddresses returns the entries with the workers removed that have lost their address to another worker of the
// list, including entries for workers that are not in it.
func (f *FrontEnd) resolveAddresses(entries []discovery.Worker) []discovery.Worker {
	resolved := listedEntries{slices.Clone(entries), make(map[scheduler.WorkerID]int, len(entries))}
	for i, entry := range entries {
		id := WorkerID(entry.Name)
		resolved.indexes[id] = i
		if entry.State == scheduler.Removed || entry.Address == "" {
			continue
		}
		holder, isHeld := f.addressHolder(entry.Address, resolved)
		switch {
		case !isHeld || holder.Name == entry.Name:
		case !f.addressClaim(id, entry, holder).Succeeds():
			f.logAddressLost(entry, holder)
			resolved.entries[i].State = scheduler.Removed
			continue
		default:
			f.logAddressLost(holder, entry)
			resolved.remove(holder)
		}
		f.addresses[entry.Address] = id
	}
	return resolved.entries
}

// listedEntries are entries of the endpoint list, and the index of each worker's entry.
type listedEntries struct {
	entries []discovery.Worker
	indexes map[scheduler.WorkerID]int
}

// remove changes the state of a worker to Removed, in its entry or in an additional one.
func (l *listedEntries) remove(worker discovery.Worker) {
	worker.State = scheduler.Removed
	if i, isListed := l.indexes[WorkerID(worker.Name)]; isListed {
		l.entries[i] = worker
		return
	}
	l.entries = append(l.entries, worker)
}

// addressHolder returns the listed entry of the worker that has an address, and whether there is one. listed are the
// entries that were not applied yet.
func (f *FrontEnd) addressHolder(address string, listed listedEntries) (holder discovery.Worker, isHeld bool) {
	id, isHeld := f.addresses[address]
	if !isHeld {
		return discovery.Worker{}, false
	}
	if i, isListed := listed.indexes[id]; isListed {
		holder = listed.entries[i]
	} else if w := f.workers[id]; w != nil && w.state != scheduler.Removed {
		holder = w.Worker
	}
	return holder, holder.Address == address && holder.State != scheduler.Removed
}

// addressClaim describes the claim of a worker to the address of another one.
func (f *FrontEnd) addressClaim(id scheduler.WorkerID, entry, holder discovery.Worker) incarnation.AddressClaim {
	known := f.workers[id]
	return incarnation.AddressClaim{
		ClaimantStart: f.startTime(entry.Started),
		HolderStart:   f.startTime(holder.Started),
		IsNew:         known == nil || known.Address != entry.Address,
	}
}

// logAddressLost logs that a worker counts as removed because another one has its address.
func (f *FrontEnd) logAddressLost(lost, holder discovery.Worker) {
	f.log.Warn().Str("worker", lost.Name).Str("address", lost.Address).Str("successor", holder.Name).
		Msg("worker removed, as another one is listed at its address")
}

// releaseAddress records that a worker no longer has an address.
func (f *FrontEnd) releaseAddress(id scheduler.WorkerID, address string) {
	if f.addresses[address] == id {
		delete(f.addresses, address)
	}
}
