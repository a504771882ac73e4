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

// rendezvousCache holds the first workers of a function's rendezvous order.
type rendezvousCache struct {
	version int // of the endpoint table that it was made from
	workers []*workerRecord
}

// rankedPlace is a worker's place in a rendezvous order that is being made.
type rankedPlace struct {
	rank  float64
	index int // in endpointTable.list, which decides between equal ranks
}

// compareRanks orders places by rank, and equal ranks as the list has them.
func compareRanks(a, b rankedPlace) int {
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
	table, cache := &s.endpoints, &function.rendezvous
	if cache.version != table.version {
		cache.version, cache.workers = table.version, nil
	}
	if len(cache.workers) < min(count, len(table.list)) {
		places := s.firstPlaces(function, rendezvousLength(count, len(table.list)))
		cache.workers = make([]*workerRecord, len(places))
		for i, place := range places {
			cache.workers[i] = table.list[place.index]
		}
	}
	return cache.workers
}

// firstPlaces returns the workers that come first in the rendezvous order of a function, in that order: count at least,
// all where there are fewer.
//
// Of n workers of capacity 1 in the mean, about n * limit have a rank below a small limit. Only those are ranked and
// sorted, with a limit that lets enough through most times, and is doubled where it did not.
func (s *Scheduler) firstPlaces(function *functionRecord, count int) []rankedPlace {
	ranking := s.endpoints.ranking
	if count >= len(ranking) {
		return s.placesBelow(function, math.Inf(1))
	}
	for limit := float64(count) / float64(len(ranking)); ; limit *= 2 {
		if places := s.placesBelow(function, limit); len(places) >= count {
			return places
		}
	}
}

// placesBelow returns the workers whose rank for a function is below a limit, in their order.
func (s *Scheduler) placesBelow(function *functionRecord, limit float64) (places []rankedPlace) {
	for i, worker := range s.endpoints.ranking {
		draw := rendezvousDraw(function.id, worker.id)
		if leastRank(draw, worker.capacity) >= limit {
			continue
		}
		if rank := rendezvousRank(draw, worker.capacity); rank < limit {
			places = append(places, rankedPlace{rank, i})
		}
	}
	slices.SortFunc(places, compareRanks)
	return places
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
func rendezvousRank(draw, capacity float64) float64 { return -math.Log1p(-draw) / capacity }

// leastRank is not above rendezvousRank, and costs no logarithm: -ln(1-x) >= x.
func leastRank(draw, capacity float64) float64 { return draw / capacity }

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
	places := make([]rankedPlace, len(workers))
	for i, worker := range workers {
		places[i] = rankedPlace{rendezvousRank(rendezvousDraw(function.id, worker.ID), s.relativeCapacity(worker)), i}
	}
	slices.SortFunc(places, compareRanks)
	ordered := make([]*workerRecord, len(places))
	for i, place := range places {
		ordered[i] = workers[place.index]
	}
	return ordered
}
