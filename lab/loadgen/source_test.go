package loadgen

import (
	"errors"
	"math"
	"strings"
	"testing"
	"time"
)

// drawAll draws all requests of a run with two classes and two tenants.
func drawAll(m Mix, duration time.Duration) (times []time.Duration, requests []Request) {
	s := NewSource(m, duration, []string{"a", "b"}, []string{"t", "u"}, []float64{0.8, 0.2}, 1)
	for at, c, more := s.Next(); more; at, c, more = s.Next() {
		times, requests = append(times, at), append(requests, c)
	}
	return times, requests
}

func TestSource_Shape_HasItsRate(t *testing.T) {
	for _, shape := range []Shape{Steady, Bursty, Ramp, Daily} {
		times, _ := drawAll(Mix{Rate: 200, Shape: shape, Functions: 10, Timeout: time.Second}, 100*time.Second)
		if n := len(times); math.Abs(float64(n)-20000) > 1000 {
			t.Errorf("%s: %d requests in 100 s at 200 per second", shape, n)
		}
		first := 0
		for _, at := range times {
			if at < 20*time.Second {
				first++
			}
		}
		if want := map[Shape]int{Steady: 4000, Bursty: 4000, Ramp: 2400, Daily: 2000}[shape]; math.Abs(float64(first-want)) > 400 {
			t.Errorf("%s: %d requests in the first 20 s, want about %d", shape, first, want)
		}
	}
}

func TestSource_SameSeed_DrawsTheSame(t *testing.T) {
	m := Mix{Rate: 100, Functions: 10, Timeout: time.Second, Work: 10 * time.Millisecond, WorkSigma: 0.5, RequestedOnceShare: 0.1}
	a, b := drawAll(m, 10*time.Second)
	c, d := drawAll(m, 10*time.Second)
	for i := range a {
		if a[i] != c[i] || b[i] != d[i] {
			t.Fatalf("request %d differs between two sources with the same seed", i)
		}
	}
}

// drawWithDemandChange draws the requests of 30 s at 100 per second. begin changes the demand at 10 s and end at 20 s.
func drawWithDemandChange(t *testing.T, begin, end func(*Demand)) (times []time.Duration, requests []Request) {
	t.Helper()
	s := NewSource(Mix{Rate: 100, Functions: 10, Timeout: time.Second}, 30*time.Second, []string{"a", "b"},
		[]string{"t", "u"}, []float64{0.8, 0.2}, 1)
	changes := []func(*Demand){begin, end}
	for at, c, more := s.Next(); more; at, c, more = s.Next() {
		times, requests = append(times, at), append(requests, c)
		if len(changes) > 0 && at >= time.Duration(3-len(changes))*10*time.Second {
			if err := s.Change(changes[0]); err != nil {
				t.Fatal(err)
			}
			changes = changes[1:]
		}
	}
	return times, requests
}

// countMatching counts the matching requests from 10 s to 20 s, and those after 20 s.
func countMatching(times []time.Duration, requests []Request, match func(Request) bool) (during, after int) {
	for i, at := range times {
		switch {
		case !match(requests[i]):
		case at >= 10*time.Second && at < 20*time.Second:
			during++
		case at >= 20*time.Second:
			after++
		}
	}
	return during, after
}

func TestChange_FloodOfOneTenant_RaisesItsRateOnly(t *testing.T) {
	times, requests := drawWithDemandChange(t, func(d *Demand) { d.ChangeTenant("u", func(o *TenantDemand) { o.RateFactor = 10 }) },
		func(d *Demand) { d.ChangeTenant("u", func(o *TenantDemand) { o.RateFactor = 0 }) })
	flooded, after := countMatching(times, requests, func(c Request) bool { return c.Tenant == "u" })
	others, _ := countMatching(times, requests, func(c Request) bool { return c.Tenant == "t" })
	if math.Abs(float64(flooded)-2000) > 200 || math.Abs(float64(others)-800) > 120 || math.Abs(float64(after)-200) > 60 {
		t.Errorf("%d requests of the flooding tenant and %d of the other, %d after the flood; want about 2000, 800, 200",
			flooded, others, after)
	}
}

func TestChange_UnknownTenant_ReturnsError(t *testing.T) {
	s := NewSource(Mix{Rate: 1}, time.Second, []string{"a"}, []string{"t"}, []float64{1}, 1)
	if err := s.Change(func(d *Demand) { d.ChangeTenant("x", func(o *TenantDemand) { o.RateFactor = 2 }) }); err == nil {
		t.Error("Change accepted the demand of an unknown tenant")
	}
	if _, flood := s.floodShares(); flood != 0 {
		t.Errorf("the rejected change adds %v of the mean rate, want 0", flood)
	}
}

func TestChange_HotAndScan_UseNewFunctions(t *testing.T) {
	times, requests := drawWithDemandChange(t, func(d *Demand) { d.HotShare, d.HotFunctions, d.HotPeriod, d.ScanShare = 0.3, 2, 1, 0.2 },
		func(d *Demand) { d.HotShare, d.ScanShare = 0, 0 })
	names := map[string]int{}
	hot, after := countMatching(times, requests, func(c Request) bool {
		names[c.Function]++
		return strings.Contains(c.Function, "-hot-1-")
	})
	once, _ := countMatching(times, requests, func(c Request) bool { return strings.Contains(c.Function, "-once-") && names[c.Function] == 1 })
	if math.Abs(float64(hot)-300) > 60 || math.Abs(float64(once)-200) > 50 || after > 1 {
		t.Errorf("%d requests for hot functions, %d for functions requested once, %d for hot functions afterwards; "+
			"want about 300, 200, 0", hot, once, after)
	}
	if names["a-hot-1-0"] == 0 || names["b-hot-1-1"] == 0 || names["a-hot-1-2"] > 0 {
		t.Errorf("requests by function: %v; want hot functions 0 and 1 of each class only", names)
	}
}

func TestChange_TenantRetries_RetriesAlways(t *testing.T) {
	times, requests := drawWithDemandChange(t, func(d *Demand) {
		d.ChangeTenant("u", func(o *TenantDemand) { o.Retries = 3 })
		d.TimeoutFactor, d.WorkFactor = 0.5, 2
	},
		func(d *Demand) {
			d.ChangeTenant("u", func(o *TenantDemand) { o.Retries = 0 })
			d.TimeoutFactor, d.WorkFactor = 1, 1
		})
	retriesAlways := func(c Request) bool { return c.RetryPolicy == RetryAlways && c.Retries == 3 }
	during, after := countMatching(times, requests, retriesAlways)
	if math.Abs(float64(during)-200) > 60 || after > 1 { // the first request after it has the old demand
		t.Errorf("%d requests with three immediate retries during the change, %d after it", during, after)
	}
	long := func(c Request) bool { return c.Timeout > 500*time.Millisecond }
	if during, after := countMatching(times, requests, long); during > 1 || after < 900 {
		t.Errorf("%d timeouts above 500 ms during the change, %d after it", during, after)
	}
}

func TestChange_RateFactor_MultipliesRate(t *testing.T) {
	times, requests := drawWithDemandChange(t, func(d *Demand) { d.RateFactor = 3 }, func(d *Demand) { d.RateFactor = 1 })
	during, after := countMatching(times, requests, func(Request) bool { return true })
	if math.Abs(float64(during)-3000) > 250 || math.Abs(float64(after)-1000) > 150 {
		t.Errorf("%d requests during the change, %d after it; want about 3000 and 1000", during, after)
	}
}

func TestRetry_PolicyAndOutcome_Decide(t *testing.T) {
	for _, x := range []struct {
		policy  RetryPolicy
		outcome string
		wait    time.Duration
		again   bool
	}{
		{RetryNever, "refused", 0, false},
		{RetryAtOnce, "refused", 0, true},
		{RetryAtOnce, "failed", 0, false},
		{RetryAsAdvised, "refused", 7, true},
		{RetryWithBackoff, "refused", 50 * time.Millisecond, true},
		{RetryAlways, "failed", 0, true},
		{RetryAlways, "served", 0, false},
		{RetryAsAdvised, "unreachable", 7, true},
	} {
		c := Request{RetryPolicy: x.policy, Retries: 1}
		if wait, again := c.Retry(0, x.outcome, 7); wait != x.wait || again != x.again {
			t.Errorf("%+v: %v, %t", x, wait, again)
		}
		if _, again := c.Retry(1, x.outcome, 7); again {
			t.Errorf("%+v: retried more often than Retries allows", x)
		}
	}
}

func TestParseArrivals_RecordedFile_IsReplayed(t *testing.T) {
	next, n, err := ParseArrivals("f", "# recorded\n0 a f1 t 20\n12.5 b f2 - 5\n", Mix{Timeout: time.Second})
	if err != nil || n != 2 {
		t.Fatal(n, err)
	}
	next()
	at, c, more := next()
	if at != 12500*time.Microsecond || c.Class != "b" || c.Function != "f2" || c.Tenant != "" || c.Work != 5*time.Millisecond || !more {
		t.Errorf("%v %+v", at, c)
	}
	if _, _, more := next(); more {
		t.Error("next yields a third arrival, want two")
	}
	_, _, err = ParseArrivals("f", "1 a f t 2\n0 a f t 2\nx a f t 2\n1 a f\n", Mix{})
	for _, want := range []string{"f:2: ", "f:3: ", "f:4: "} {
		if !errors.Is(err, ErrArrivals) || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want ErrArrivals with %q", err, want)
		}
	}
}

func TestChange_TenantDemand_AffectsThatTenantOnly(t *testing.T) {
	s := NewSource(Mix{Rate: 1000, Functions: 5, Work: 10 * time.Millisecond, OwnFunctions: true}, 10*time.Second, []string{"a"},
		[]string{"t", "u", "v"}, []float64{1, 1, 1}, 1)
	err := s.Change(func(d *Demand) {
		d.ChangeTenant("t", func(o *TenantDemand) { o.Silent = true })
		d.ChangeTenant("u", func(o *TenantDemand) { o.WorkFactor, o.ScanShare = 20, 1 })
	})
	if err != nil {
		t.Fatal(err)
	}
	requests, once, work := map[string]int{}, 0, map[string]time.Duration{}
	for _, c, more := s.Next(); more; _, c, more = s.Next() {
		requests[c.Tenant]++
		work[c.Tenant] += c.Work
		if strings.HasPrefix(c.Function, "u-a-once-") {
			once++
		}
		if !strings.HasPrefix(c.Function, c.Tenant+"-") {
			t.Fatalf("tenant %s requests function %s, want one of its own", c.Tenant, c.Function)
		}
	}
	if requests["t"] != 0 || requests["u"] < 3000 || requests["v"] < 3000 || once != requests["u"] {
		t.Errorf("%v requests by tenant, %d of u for functions requested once", requests, once)
	}
	if each := work["u"] / time.Duration(requests["u"]); each != 200*time.Millisecond {
		t.Errorf("work of u's requests is %v, want 20 times 10 ms", each)
	}
}
