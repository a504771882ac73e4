package loadgen

import (
	"errors"
	"math"
	"strings"
	"testing"
	"time"
)

func drawAll(m Mix, lasts time.Duration) (times []time.Duration, calls []Request) {
	s := NewSource(m, lasts, []string{"a", "b"}, []string{"t", "u"}, []float64{0.8, 0.2}, 1)
	for at, c, more := s.Next(); more; at, c, more = s.Next() {
		times, calls = append(times, at), append(calls, c)
	}
	return times, calls
}

func TestSource_Shape_HasItsRate(t *testing.T) {
	for _, shape := range []Shape{Steady, Bursty, Ramp, Daily} {
		times, _ := drawAll(Mix{Rate: 200, Shape: shape, Functions: 10, Timeout: time.Second}, 100*time.Second)
		if n := len(times); math.Abs(float64(n)-20000) > 1000 {
			t.Errorf("%s: %d calls in 100 s at 200 a second", shape, n)
		}
		first := 0
		for _, at := range times {
			if at < 20*time.Second {
				first++
			}
		}
		if want := map[Shape]int{Steady: 4000, Bursty: 4000, Ramp: 2400, Daily: 2000}[shape]; math.Abs(float64(first-want)) > 400 {
			t.Errorf("%s: %d calls in the first 20 s, want about %d", shape, first, want)
		}
	}
}

func TestSource_SameSeed_DrawsTheSame(t *testing.T) {
	m := Mix{Rate: 100, Functions: 10, Timeout: time.Second, Work: 10 * time.Millisecond, WorkSigma: 0.5, RequestedOnceShare: 0.1}
	a, b := drawAll(m, 10*time.Second)
	c, d := drawAll(m, 10*time.Second)
	for i := range a {
		if a[i] != c[i] || b[i] != d[i] {
			t.Fatalf("call %d differs", i)
		}
	}
}

// drawWithDemandChange draws 30 s at 100 requests a second, with a change of the demand from 10 s to 20 s.
func drawWithDemandChange(t *testing.T, begin, end func(*Demand)) (times []time.Duration, calls []Request) {
	t.Helper()
	s := NewSource(Mix{Rate: 100, Functions: 10, Timeout: time.Second}, 30*time.Second, []string{"a", "b"},
		[]string{"t", "u"}, []float64{0.8, 0.2}, 1)
	changes := []func(*Demand){begin, end}
	for at, c, more := s.Next(); more; at, c, more = s.Next() {
		times, calls = append(times, at), append(calls, c)
		if len(changes) > 0 && at >= time.Duration(3-len(changes))*10*time.Second {
			if err := s.Change(changes[0]); err != nil {
				t.Fatal(err)
			}
			changes = changes[1:]
		}
	}
	return times, calls
}

// countMatching counts the requests from 10 s to 20 s, and after, that match.
func countMatching(times []time.Duration, calls []Request, match func(Request) bool) (during, after int) {
	for i, at := range times {
		switch {
		case !match(calls[i]):
		case at >= 10*time.Second && at < 20*time.Second:
			during++
		case at >= 20*time.Second:
			after++
		}
	}
	return during, after
}

func TestChange_FloodOfOneTenant_RaisesItsRateOnly(t *testing.T) {
	times, calls := drawWithDemandChange(t, func(d *Demand) { d.ChangeTenant("u", func(o *TenantDemand) { o.RateFactor = 10 }) },
		func(d *Demand) { d.ChangeTenant("u", func(o *TenantDemand) { o.RateFactor = 0 }) })
	flooded, after := countMatching(times, calls, func(c Request) bool { return c.Tenant == "u" })
	others, _ := countMatching(times, calls, func(c Request) bool { return c.Tenant == "t" })
	if math.Abs(float64(flooded)-2000) > 200 || math.Abs(float64(others)-800) > 120 || math.Abs(float64(after)-200) > 60 {
		t.Errorf("%d of the tenant that floods, %d of the other, %d after the flood", flooded, others, after)
	}
}

func TestChange_UnknownTenant_ReturnsError(t *testing.T) {
	s := NewSource(Mix{Rate: 1}, time.Second, []string{"a"}, []string{"t"}, []float64{1}, 1)
	if err := s.Change(func(d *Demand) { d.ChangeTenant("x", func(o *TenantDemand) { o.RateFactor = 2 }) }); err == nil {
		t.Error("taken")
	}
	if _, all := s.floodShares(); all != 0 {
		t.Errorf("adds %v", all)
	}
}

func TestChange_HotAndScan_UseNewFunctions(t *testing.T) {
	times, calls := drawWithDemandChange(t, func(d *Demand) { d.HotShare, d.HotFunctions, d.HotSpell, d.ScanShare = 0.3, 2, 1, 0.2 },
		func(d *Demand) { d.HotShare, d.ScanShare = 0, 0 })
	names := map[string]int{}
	hot, after := countMatching(times, calls, func(c Request) bool {
		names[c.Function]++
		return strings.Contains(c.Function, "-hot-1-")
	})
	once, _ := countMatching(times, calls, func(c Request) bool { return strings.Contains(c.Function, "-once-") && names[c.Function] == 1 })
	if math.Abs(float64(hot)-300) > 60 || math.Abs(float64(once)-200) > 50 || after > 1 {
		t.Errorf("%d hot, %d wanted once, %d hot ones after it", hot, once, after)
	}
	if names["a-hot-1-0"] == 0 || names["b-hot-1-1"] == 0 || names["a-hot-1-2"] > 0 {
		t.Errorf("names %v", names)
	}
}

func TestChange_TenantRepeats_RetriesAlways(t *testing.T) {
	times, calls := drawWithDemandChange(t, func(d *Demand) {
		d.ChangeTenant("u", func(o *TenantDemand) { o.Repeats = 3 })
		d.TimeoutFactor, d.WorkFactor = 0.5, 2
	},
		func(d *Demand) {
			d.ChangeTenant("u", func(o *TenantDemand) { o.Repeats = 0 })
			d.TimeoutFactor, d.WorkFactor = 1, 1
		})
	abuse := func(c Request) bool { return c.RetryPolicy == RetryAlways && c.Retries == 3 }
	during, after := countMatching(times, calls, abuse)
	if math.Abs(float64(during)-200) > 60 || after > 1 { // the first call after the time still has the old demand
		t.Errorf("%d calls during, %d after", during, after)
	}
	long := func(c Request) bool { return c.Timeout > 500*time.Millisecond }
	if during, after := countMatching(times, calls, long); during > 1 || after < 900 {
		t.Errorf("%d patient clients during, %d after", during, after)
	}
}

func TestChange_RateFactor_MultipliesRate(t *testing.T) {
	times, calls := drawWithDemandChange(t, func(d *Demand) { d.RateFactor = 3 }, func(d *Demand) { d.RateFactor = 1 })
	during, after := countMatching(times, calls, func(Request) bool { return true })
	if math.Abs(float64(during)-3000) > 250 || math.Abs(float64(after)-1000) > 150 {
		t.Errorf("%d during, %d after", during, after)
	}
}

func TestRetry_PolicyAndOutcome_Decide(t *testing.T) {
	for _, x := range []struct {
		habit   RetryPolicy
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
		c := Request{RetryPolicy: x.habit, Retries: 1}
		if wait, again := c.Retry(0, x.outcome, 7); wait != x.wait || again != x.again {
			t.Errorf("%+v: %v, %t", x, wait, again)
		}
		if _, again := c.Retry(1, x.outcome, 7); again {
			t.Errorf("%+v: more than it may", x)
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
		t.Error("a third arrival")
	}
	_, _, err = ParseArrivals("f", "1 a f t 2\n0 a f t 2\nx a f t 2\n1 a f\n", Mix{})
	for _, want := range []string{"f:2: ", "f:3: ", "f:4: "} {
		if !errors.Is(err, ErrArrivals) || !strings.Contains(err.Error(), want) {
			t.Errorf("no %q in %v", want, err)
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
	calls, once, work := map[string]int{}, 0, map[string]time.Duration{}
	for _, c, more := s.Next(); more; _, c, more = s.Next() {
		calls[c.Tenant]++
		work[c.Tenant] += c.Work
		if strings.HasPrefix(c.Function, "u-a-once-") {
			once++
		}
		if !strings.HasPrefix(c.Function, c.Tenant+"-") {
			t.Fatalf("%s calls %s", c.Tenant, c.Function)
		}
	}
	if calls["t"] != 0 || calls["u"] < 3000 || calls["v"] < 3000 || once != calls["u"] {
		t.Errorf("%v calls, %d of u for functions wanted once", calls, once)
	}
	if each := work["u"] / time.Duration(calls["u"]); each != 200*time.Millisecond {
		t.Errorf("u's calls take %v, want 20 times 10 ms", each)
	}
}
