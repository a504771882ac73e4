package loadgen

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// ErrArrivals is wrapped by every error about recorded arrivals.
var ErrArrivals = errors.New("arrivals")

// arrivalFieldCount is the number of fields on the line of a recorded arrival.
const arrivalFieldCount = 5

// arrival is a request and the time at which its client sends it.
type arrival struct {
	at      time.Duration
	request Request
}

// ParseArrivals parses recorded arrivals in ascending order of time. Each line names the milliseconds since the start,
// the class, the function, the tenant (- for none) and the milliseconds of work; # begins a comment. The other fields
// of the requests are taken from mix. ParseArrivals returns a function that yields the arrivals one after another, as
// Source.Next does, and their number. The error wraps ErrArrivals and reports every faulty line with its number.
func ParseArrivals(name, text string, mix Mix) (next func() (time.Duration, Request, bool), count int, err error) {
	var list []arrival
	var errs []error
	for i, line := range strings.Split(text, "\n") {
		line, _, _ = strings.Cut(line, "#")
		fields := strings.Fields(line)
		if len(fields) == 0 {
			continue
		}
		a, err := parseArrival(fields)
		if err == nil && len(list) > 0 && a.at < list[len(list)-1].at {
			err = fmt.Errorf("%v is earlier than the previous arrival", a.at)
		}
		if err != nil {
			errs = append(errs, fmt.Errorf("%s:%d: %w", name, i+1, err))
			continue
		}
		a.request.fillFromMix(len(list)+1, mix)
		list = append(list, a)
	}
	if len(errs) > 0 {
		return nil, 0, fmt.Errorf("%w:\n%w", ErrArrivals, errors.Join(errs...))
	}
	return replay(list), len(list), nil
}

// replay returns a function that yields the arrivals one after another.
func replay(list []arrival) func() (time.Duration, Request, bool) {
	return func() (time.Duration, Request, bool) {
		if len(list) == 0 {
			return 0, Request{}, false
		}
		first := list[0]
		list = list[1:]
		return first.at, first.request, true
	}
}

// fillFromMix sets the fields that the line of a recorded arrival does not name.
func (r *Request) fillFromMix(number int, m Mix) {
	r.ID = fmt.Sprintf("c%d", number)
	r.IdempotencyKey = fmt.Sprintf("k%d", number)
	r.Timeout = m.Timeout
	r.MemoryMB = m.MemoryMB
	r.Concurrency = replicaConcurrency
	r.LoadTime = m.LoadTime
	r.RetryPolicy = m.RetryPolicy
	r.Retries = m.Retries
}

func parseArrival(fields []string) (arrival, error) {
	if len(fields) != arrivalFieldCount {
		return arrival{}, fmt.Errorf("found %d fields; allowed: MILLISECONDS CLASS FUNCTION TENANT WORK-MILLISECONDS", len(fields))
	}
	at, err := parseMillis(fields[0])
	if err != nil {
		return arrival{}, err
	}
	work, err := parseMillis(fields[4])
	if err != nil {
		return arrival{}, err
	}
	tenant := fields[3]
	if tenant == "-" {
		tenant = ""
	}
	return arrival{at, Request{Class: fields[1], Function: fields[2], Tenant: tenant, Work: work}}, nil
}

func parseMillis(text string) (time.Duration, error) {
	x, err := strconv.ParseFloat(text, 64)
	if err != nil || !(x >= 0 && x < 1e9) { // the negated form also rejects NaN
		return 0, fmt.Errorf("found %q; allowed: milliseconds, 0 or more", text)
	}
	return time.Duration(x * float64(time.Millisecond)), nil
}
