package tenancy

import (
	"slices"
	"time"
)

const ms = time.Millisecond

// offeredLoad is the load of one tenant: from start on, it sends rate requests per second at equal intervals, each with
// the given work.
type offeredLoad struct {
	tenant int
	rate   float64
	work   time.Duration
	start  time.Duration
}

// tenantResult counts a tenant's requests in the measured part of a simulation.
type tenantResult struct{ sent, admitted, inTime int }

func (r tenantResult) goodput() float64 { return float64(r.inTime) / float64(max(1, r.sent)) }

// simulate offers loads for 30 s to a single worker that does one second of work per second in order of arrival. A
// request that waits longer than 200 ms misses its objective, and a request that would wait longer than a second is
// given up.
func simulate(limiter *Limiter, loads ...offeredLoad) (results []tenantResult, utilization float64) {
	const duration, measured = 30 * time.Second, 15 * time.Second
	type request struct {
		at   time.Duration
		load offeredLoad
	}
	var requests []request
	for i, load := range loads {
		for at := load.start + time.Duration(i)*ms; at < duration; at += time.Duration(float64(time.Second) / load.rate) {
			requests = append(requests, request{at, load})
		}
	}
	slices.SortStableFunc(requests, func(a, b request) int { return int(a.at - b.at) })
	results = make([]tenantResult, len(limiter.tenants))
	type end struct {
		at     time.Duration
		tenant int
		end    RequestEnd
	}
	var ends []end
	workerFree, workDone := time.Duration(0), time.Duration(0)
	for _, next := range requests {
		for len(ends) > 0 && ends[0].at <= next.at {
			limiter.RequestEnded(ends[0].at, ends[0].tenant, ends[0].end)
			ends = ends[1:]
		}
		result := &results[next.load.tenant]
		inMeasurement := next.at > duration-measured
		if inMeasurement {
			result.sent++
		}
		if limiter.RequestReceived(next.at, next.load.tenant) != Admit {
			continue
		}
		if inMeasurement {
			result.admitted++
		}
		begin := max(next.at, workerFree)
		if begin-next.at > time.Second {
			ends = append(ends, end{begin, next.load.tenant, RequestEnd{Work: next.load.work, MissedObjective: true}})
			continue
		}
		workerFree = begin + next.load.work
		late := begin-next.at > 200*ms
		ends = append(ends, end{workerFree, next.load.tenant, RequestEnd{Work: next.load.work, Served: true, MissedObjective: late}})
		if inMeasurement {
			workDone += next.load.work
			if !late {
				result.inTime++
			}
		}
	}
	return results, min(1, workDone.Seconds()/measured.Seconds())
}

func newEvenlyShared() *Limiter { return New(Settings{Shares: []float64{0.5, 0.5}}) }
