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

// ParseArrivals reads recorded arrivals, one a line: milliseconds since the beginning, class, function, tenant
// (- for none) and milliseconds of work. A comment runs from #. m tells all else of the calls. Errors name the
// line; all are told at once.
func ParseArrivals(name, text string, m Mix) (func() (time.Duration, Call, bool), int, error) {
	type arrival struct {
		at   time.Duration
		call Call
	}
	var list []arrival
	var errs []error
	for i, line := range strings.Split(text, "\n") {
		line, _, _ = strings.Cut(line, "#")
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		at, c, err := parseArrival(words)
		if err == nil && len(list) > 0 && at < list[len(list)-1].at {
			err = fmt.Errorf("%v is before the line above", at)
		}
		if err != nil {
			errs = append(errs, fmt.Errorf("%s:%d: %w", name, i+1, err))
			continue
		}
		n := len(list) + 1
		c.ID, c.IdempotencyKey = fmt.Sprintf("c%d", n), fmt.Sprintf("k%d", n)
		c.Timeout, c.MemoryMB, c.Concurrency, c.LoadTime = m.Patience, m.MemoryMB, 2, m.Load
		c.RetryPolicy, c.Retries = m.Habit, m.Retries
		list = append(list, arrival{at, c})
	}
	if len(errs) > 0 {
		return nil, 0, fmt.Errorf("%w:\n%w", ErrArrivals, errors.Join(errs...))
	}
	n := 0
	return func() (time.Duration, Call, bool) {
		if n >= len(list) {
			return 0, Call{}, false
		}
		n++
		return list[n-1].at, list[n-1].call, true
	}, len(list), nil
}

func parseArrival(words []string) (time.Duration, Call, error) {
	if len(words) != 5 {
		return 0, Call{}, fmt.Errorf("found %d words; allowed: MILLISECONDS CLASS FUNCTION TENANT WORK-MILLISECONDS", len(words))
	}
	at, err := millis(words[0])
	if err != nil {
		return 0, Call{}, err
	}
	work, err := millis(words[4])
	if err != nil {
		return 0, Call{}, err
	}
	c := Call{Class: words[1], Function: words[2], Tenant: words[3], Work: work}
	if c.Tenant == "-" {
		c.Tenant = ""
	}
	return at, c, nil
}

func millis(text string) (time.Duration, error) {
	x, err := strconv.ParseFloat(text, 64)
	if err != nil || !(x >= 0 && x < 1e9) {
		return 0, fmt.Errorf("found %q; allowed: milliseconds, 0 or more", text)
	}
	return time.Duration(x * float64(time.Millisecond)), nil
}
