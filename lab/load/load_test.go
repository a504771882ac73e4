package load

import (
	"errors"
	"math"
	"strings"
	"testing"
	"time"
)

func draw(m Mix, lasts time.Duration) (times []time.Duration, calls []Call) {
	s := NewSource(m, lasts, []string{"a", "b"}, []string{"t", "u"}, []float64{0.8, 0.2}, 1)
	for at, c, more := s.Next(); more; at, c, more = s.Next() {
		times, calls = append(times, at), append(calls, c)
	}
	return times, calls
}

func TestEachShapeHasItsRate(t *testing.T) {
	for _, shape := range []Shape{Steady, Bursty, Ramp, Daily} {
		times, _ := draw(Mix{Rate: 200, Shape: shape, Functions: 10, Patience: time.Second}, 100*time.Second)
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

func TestTheSameSeedAsksTheSame(t *testing.T) {
	m := Mix{Rate: 100, Functions: 10, Patience: time.Second, Work: 10 * time.Millisecond, WorkSigma: 0.5, Once: 0.1}
	a, b := draw(m, 10*time.Second)
	c, d := draw(m, 10*time.Second)
	for i := range a {
		if a[i] != c[i] || b[i] != d[i] {
			t.Fatalf("call %d differs", i)
		}
	}
}

func TestAFloodIsOneTenants(t *testing.T) {
	times, calls := draw(Mix{Rate: 100, Functions: 10, Patience: time.Second, Flood: 9, HotAt: 10 * time.Second, HotFor: 10 * time.Second}, 30*time.Second)
	flooded, others := 0, 0
	for i, at := range times {
		switch {
		case at < 10*time.Second || at >= 20*time.Second:
		case calls[i].Tenant == "t":
			flooded++
		default:
			others++
		}
	}
	if math.Abs(float64(flooded)-9800) > 500 || math.Abs(float64(others)-200) > 60 {
		t.Errorf("%d of the tenant that floods, %d of the other", flooded, others)
	}
}

func TestHabits(t *testing.T) {
	for _, x := range []struct {
		habit   Habit
		outcome string
		wait    time.Duration
		again   bool
	}{{Never, "refused", 0, false}, {AtOnce, "refused", 0, true}, {AtOnce, "failed", 0, false}, {Advised, "refused", 7, true},
		{Wait, "refused", 50 * time.Millisecond, true}, {Impolite, "failed", 0, true}, {Impolite, "served", 0, false},
		{Advised, "unreachable", 7, true}} {
		m := Mix{Habit: x.habit, Retries: 1}
		if wait, again := m.Again(0, x.outcome, 7); wait != x.wait || again != x.again {
			t.Errorf("%+v: %v, %t", x, wait, again)
		}
		if _, again := m.Again(1, x.outcome, 7); again {
			t.Errorf("%+v: more than it may", x)
		}
	}
}

func TestArrivalsAreReplayed(t *testing.T) {
	next, n, err := ParseArrivals("f", "# recorded\n0 a f1 t 20\n12.5 b f2 - 5\n", Mix{Patience: time.Second})
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
