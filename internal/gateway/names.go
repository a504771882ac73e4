package gateway

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"havencart/scheduler"
)

// WorkerID returns the scheduler's identifier of the worker with a name. It is a hash, the same on all front ends.
func WorkerID(name string) scheduler.WorkerID { return scheduler.WorkerID(xxhash.Sum64String(name)) }

// FunctionID returns the scheduler's identifier of the function with a name. It is a hash, the same on all front ends.
func FunctionID(name string) scheduler.FunctionID {
	return scheduler.FunctionID(xxhash.Sum64String(name))
}

// intern returns the number of a name in table. Names are numbered from 0, in the order in which they are first seen.
func intern(table map[string]int, name string) int {
	number, known := table[name]
	if !known {
		number = len(table)
		table[name] = number
	}
	return number
}

// sortedKeys returns the keys of a map in ascending order. It is used to process entries in a deterministic order.
func sortedKeys[K cmp.Ordered, V any](table map[K]V) []K { return slices.Sorted(maps.Keys(table)) }
