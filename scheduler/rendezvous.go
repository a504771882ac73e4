package scheduler

import (
	"math"
	"slices"

	"havencart/internal/estimate"
)

// This file computes the order in which all front ends rank the workers for a function. It contains no scheduling
// decisions.

// rankedWorker holds the inputs of a worker's rank. They are stored contiguously, apart from the worker records,
// because ranks are computed for many workers at a time.
type rankedWorker struct {
	id       WorkerID
	capacity float64 // relative to the mean; see relativeCapacity
}

// workerOrder caches the first workers of an order computed for a function.
type workerOrder struct {
	version int // endpointTable.version for which the order was computed
	workers []*workerRecord
}

// rankEntry is a worker's rank in a rendezvous order under construction.
type rankEntry struct {
	rank  float64
	index int // position in endpointTable.list, which breaks ties
}

// compareRanks orders entries by rank and breaks ties by position in the list.
func compareRanks(a, b rankEntry) int {
	switch {
	case a.rank < b.rank:
		return -1
	case a.rank > b.rank:
		return 1
	}
	return a.index - b.index
}

// rendezvousOrder returns at least the first count workers, or all if there are fewer, in an order that every front
// end computes alike for a function. The result is valid until the next change of the endpoint list.
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

// topRanked returns at least the first count workers, or all if there are fewer, in the rendezvous order of a
// function.
//
// Of n workers with a mean capacity of 1, about n * limit have a rank below a small limit. Only these are ranked and
// sorted. The first limit usually admits enough workers; it is doubled when it does not.
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

// rankedBelow returns the workers whose rank for a function is below a limit, in rank order.
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

// rendezvousDraw returns a hash of both identifiers in the open interval (0, 1).
func rendezvousDraw(function FunctionID, worker WorkerID) float64 {
	return estimate.UnitInterval(estimate.HashPair(uint64(function), uint64(worker))) + 0.5/(1<<53)
}

// rendezvousRank returns a worker's rank in weighted rendezvous hashing: -ln(1-draw) / capacity. Lower ranks come
// first. The fraction of functions for which a worker comes first equals its fraction of the total capacity.
//
// Thaler, Ravishankar: "Using name-based mappings to increase hit rates", IEEE/ACM Transactions on Networking, 1998;
// with weights: Schindelhauer, Schomaker: "Weighted distributed hash tables", SPAA 2005.
//
// The rank is always finite, so that each worker is below some limit even if its capacity is close to zero.
func rendezvousRank(draw, capacity float64) float64 {
	return min(-math.Log1p(-draw)/capacity, math.MaxFloat64)
}

// rankLowerBound returns a lower bound of rendezvousRank without computing a logarithm: -ln(1-x) >= x.
func rankLowerBound(draw, capacity float64) float64 { return min(draw/capacity, math.MaxFloat64) }

// rankWorkers updates the inputs of the ranks after a change of the workers or their capacities.
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

// cellMembers returns the workers of a cell, sorted by identifier.
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

// inRendezvousOrder returns the given workers in the rendezvous order of a function.
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
