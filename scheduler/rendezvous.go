package scheduler

import (
	"math"
	"slices"

	"havencart/internal/estimate"
)

// This file keeps the order in which all front ends rank the workers for a function; it decides nothing.

// rankedWorker is what a worker's rank depends on, apart from its record: ranks are made for many workers at a time.
type rankedWorker struct {
	id       WorkerID
	capacity float64 // relative, see relativeCapacity
}

// workerOrder holds the first workers of an order that was made for a function.
type workerOrder struct {
	version int // of the endpoint table that it was made from
	workers []*workerRecord
}

// rankEntry is a worker's rank in a rendezvous order that is being made.
type rankEntry struct {
	rank  float64
	index int // in endpointTable.list, which decides between equal ranks
}

// compareRanks orders workers by rank, and equal ranks as the list has them.
func compareRanks(a, b rankEntry) int {
	switch {
	case a.rank < b.rank:
		return -1
	case a.rank > b.rank:
		return 1
	}
	return a.index - b.index
}

// rendezvousOrder lists the workers in the order that every front end computes alike for a function: the first count of
// them at least, all where there are fewer. The list stands until the next change of the endpoint list.
func (s *Scheduler) rendezvousOrder(function *functionRecord, count int) []*workerRecord {
	table, order := &s.endpoints, &function.rendezvous
	if order.version != table.version {
		order.version, order.workers = table.version, nil
	}
	if len(order.workers) < min(count, len(table.list)) {
		entries := s.topRanked(function, rendezvousLength(count, len(table.list)))
		order.workers = make([]*workerRecord, len(entries))
		for i, entry := range entries {
			order.workers[i] = table.list[entry.index]
		}
	}
	return order.workers
}

// topRanked returns the workers that come first in the rendezvous order of a function, in that order: count at least,
// all where there are fewer.
//
// Of n workers of capacity 1 in the mean, about n * limit have a rank below a small limit. Only those are ranked and
// sorted, with a limit that lets enough through most times, and is doubled where it did not.
func (s *Scheduler) topRanked(function *functionRecord, count int) []rankEntry {
	ranking := s.endpoints.ranking
	if count >= len(ranking) {
		return s.rankedBelow(function, math.Inf(1))
	}
	for limit := float64(count) / float64(len(ranking)); ; limit *= 2 {
		if entries := s.rankedBelow(function, limit); len(entries) >= count {
			return entries
		}
	}
}

// rankedBelow returns the workers whose rank for a function is below a limit, in their order.
func (s *Scheduler) rankedBelow(function *functionRecord, limit float64) (entries []rankEntry) {
	for i, worker := range s.endpoints.ranking {
		draw := rendezvousDraw(function.id, worker.id)
		if rankLowerBound(draw, worker.capacity) >= limit {
			continue
		}
		if rank := rendezvousRank(draw, worker.capacity); rank < limit {
			entries = append(entries, rankEntry{rank, i})
		}
	}
	slices.SortFunc(entries, compareRanks)
	return entries
}

// rendezvousDraw is a hash of both identifiers in (0, 1).
func rendezvousDraw(function FunctionID, worker WorkerID) float64 {
	return estimate.UnitInterval(estimate.Mix(uint64(function), uint64(worker))) + 0.5/(1<<53)
}

// rendezvousRank is lower for workers that come sooner in the rendezvous order, by weighted rendezvous hashing:
// -ln(1-draw) / capacity. A worker comes first for as large a part of the functions as it has of the capacity.
//
// Thaler, Ravishankar: "Using name-based mappings to increase hit rates", IEEE/ACM Transactions on Networking, 1998;
// with weights: Schindelhauer, Schomaker: "Weighted distributed hash tables", SPAA 2005.
//
// It is finite, so that each worker has a rank below some limit, also one whose capacity is next to nothing.
func rendezvousRank(draw, capacity float64) float64 {
	return min(-math.Log1p(-draw)/capacity, math.MaxFloat64)
}

// rankLowerBound is not above rendezvousRank, and costs no logarithm: -ln(1-x) >= x.
func rankLowerBound(draw, capacity float64) float64 { return min(draw/capacity, math.MaxFloat64) }

// rankWorkers takes a change of the workers or their capacities.
func (s *Scheduler) rankWorkers() {
	table := &s.endpoints
	table.meanScale = 0
	for _, worker := range table.list {
		table.meanScale += worker.Scale / float64(len(table.list))
	}
	table.ranking = table.ranking[:0]
	for _, worker := range table.list {
		table.ranking = append(table.ranking, rankedWorker{worker.ID, s.relativeCapacity(worker)})
	}
}

// cellMembers lists the workers of a cell, by identifier.
func (s *Scheduler) cellMembers(cell int) []*workerRecord {
	table := &s.endpoints
	if table.cellsVersion != table.version {
		table.cellsVersion = table.version
		clear(table.cells)
		for _, worker := range table.list {
			table.cells[worker.Cell] = append(table.cells[worker.Cell], worker)
		}
	}
	return table.cells[cell]
}

// inRendezvousOrder returns some workers in the rendezvous order of a function.
func (s *Scheduler) inRendezvousOrder(function *functionRecord, workers []*workerRecord) []*workerRecord {
	entries := make([]rankEntry, len(workers))
	for i, worker := range workers {
		entries[i] = rankEntry{rendezvousRank(rendezvousDraw(function.id, worker.ID), s.relativeCapacity(worker)), i}
	}
	slices.SortFunc(entries, compareRanks)
	ordered := make([]*workerRecord, len(entries))
	for i, entry := range entries {
		ordered[i] = workers[entry.index]
	}
	return ordered
}
