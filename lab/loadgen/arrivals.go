package loadgen

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// ErrArrivals is wrapped by every error about a file of arrivals.
var ErrArrivals = errors.New("arrivals")

// arrivalWords is the number of words of a recorded arrival.
const arrivalWords = 5

// arrival is a request and its time.
type arrival struct {
	at      time.Duration
	request Request
}

// ParseArrivals reads recorded arrivals, one a line: milliseconds since the start, class, function, tenant (- for
// none) and milliseconds of work. A comment runs from #. Everything else of the requests is as in m. It returns a
// function that returns them one after another, as Source.Next does, and their number. Errors name the line; all are
// reported at once. They wrap ErrArrivals.
func ParseArrivals(name, text string, mix Mix) (next func() (time.Duration, Request, bool), count int, err error) {
	var list []arrival
	var errs []error
	for i, line := range strings.Split(text, "\n") {
		line, _, _ = strings.Cut(line, "#")
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		a, err := parseArrival(words)
		if err == nil && len(list) > 0 && a.at < list[len(list)-1].at {
			err = fmt.Errorf("%v is before the line above", a.at)
		}
		if err != nil {
			errs = append(errs, fmt.Errorf("%s:%d: %w", name, i+1, err))
			continue
		}
		a.request.complete(len(list)+1, mix)
		list = append(list, a)
	}
	if len(errs) > 0 {
		return nil, 0, fmt.Errorf("%w:\n%w", ErrArrivals, errors.Join(errs...))
	}
	return replay(list), len(list), nil
}

// replay returns arrivals one after another.
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

// complete sets what a recorded arrival does not have.
func (c *Request) complete(number int, m Mix) {
	c.ID = fmt.Sprintf("c%d", number)
	c.IdempotencyKey = fmt.Sprintf("k%d", number)
	c.Timeout = m.Timeout
	c.MemoryMB = m.MemoryMB
	c.Concurrency = replicaConcurrency
	c.LoadTime = m.LoadTime
	c.RetryPolicy = m.RetryPolicy
	c.Retries = m.Retries
}

func parseArrival(words []string) (arrival, error) {
	if len(words) != arrivalWords {
		return arrival{}, fmt.Errorf("found %d words; allowed: MILLISECONDS CLASS FUNCTION TENANT WORK-MILLISECONDS", len(words))
	}
	at, err := parseMillis(words[0])
	if err != nil {
		return arrival{}, err
	}
	work, err := parseMillis(words[4])
	if err != nil {
		return arrival{}, err
	}
	tenant := words[3]
	if tenant == "-" {
		tenant = ""
	}
	return arrival{at, Request{Class: words[1], Function: words[2], Tenant: tenant, Work: work}}, nil
}

func parseMillis(text string) (time.Duration, error) {
	x, err := strconv.ParseFloat(text, 64)
	if err != nil || !(x >= 0 && x < 1e9) { // also not a number
		return 0, fmt.Errorf("found %q; allowed: milliseconds, 0 or more", text)
	}
	return time.Duration(x * float64(time.Millisecond)), nil
}
