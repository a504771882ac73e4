package gateway

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"havencart/scheduler"
)

// WorkerID returns the scheduler's identifier of the worker of a name, the same at all front ends.
func WorkerID(name string) scheduler.WorkerID { return scheduler.WorkerID(xxhash.Sum64String(name)) }

// FunctionID returns the scheduler's identifier of the function of a name, the same at all front ends.
func FunctionID(name string) scheduler.FunctionID {
	return scheduler.FunctionID(xxhash.Sum64String(name))
}

// intern numbers names in the order in which they are first seen.
func intern(table map[string]int, name string) int {
	number, known := table[name]
	if !known {
		number = len(table)
		table[name] = number
	}
	return number
}

// sortedKeys returns the keys in order: nothing that is done for each entry may depend on the order of a map.
func sortedKeys[K cmp.Ordered, V any](table map[K]V) []K { return slices.Sorted(maps.Keys(table)) }
