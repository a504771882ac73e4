package baseline

import (
	"math"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"havencart/scheduler"
)

// picker chooses a worker for a request. candidates are the ready workers that the request may be sent to; there is at
// least one. A picker returns nil to keep the request queued.
type picker func(p *policy, r *request, candidates []*worker) *worker

func random(p *policy, _ *request, candidates []*worker) *worker {
	return candidates[p.rng.IntN(len(candidates))]
}

func roundRobin(p *policy, _ *request, candidates []*worker) *worker {
	p.rotation++
	return candidates[p.rotation%len(candidates)]
}

// leastInFlight picks the worker with the fewest requests of this front end in flight. Ties are broken by rotation.
func leastInFlight(p *policy, _ *request, candidates []*worker) *worker {
	p.rotation++
	var best *worker
	for i := range candidates {
		w := candidates[(i+p.rotation)%len(candidates)]
		if best == nil || w.inFlight < best.inFlight {
			best = w
		}
	}
	return best
}

// twoChoices picks the worker with fewer requests in flight out of two that are drawn at random. This is the power of
// two choices (M. Mitzenmacher, 1996).
func twoChoices(p *policy, _ *request, candidates []*worker) *worker {
	a, b := candidates[p.rng.IntN(len(candidates))], candidates[p.rng.IntN(len(candidates))]
	if b.inFlight < a.inFlight {
		return b
	}
	return a
}

// loadBound is the largest load that rendezvous gives to a worker, as a multiple of the mean load.
const loadBound = 1.25

// rendezvous picks the first worker in the function's rendezvous order whose load, including the request, does not
// exceed loadBound times the mean, rounded up. This is highest-random-weight hashing (D. Thaler, C. Ravishankar, 1998)
// with bounded loads (V. Mirrokni et al., 2018).
func rendezvous(_ *policy, r *request, candidates []*worker) *worker {
	total := 1
	for _, w := range candidates {
		total += w.inFlight
	}
	bound := math.Ceil(loadBound * float64(total) / float64(len(candidates)))
	order := slices.Clone(candidates)
	sort.Slice(order, func(i, j int) bool {
		return rendezvousWeight(r.Function, order[i].info.ID) > rendezvousWeight(r.Function, order[j].info.ID)
	})
	for _, w := range order {
		if float64(w.inFlight+1) <= bound {
			return w
		}
	}
	return order[0]
}

func rendezvousWeight(function scheduler.FunctionID, w scheduler.WorkerID) uint64 {
	var b [16]byte
	for i := range 8 {
		b[i], b[8+i] = byte(uint64(function)>>(8*i)), byte(uint64(w)>>(8*i))
	}
	return xxhash.Sum64(b[:])
}
