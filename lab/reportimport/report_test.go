package reportimport

import (
	"errors"
	"math"
	"strings"
	"testing"
	"time"

	"havencart/lab/loadgen"
	"havencart/lab/scenario"
)

// onCallNotes is a made-up report in the form of notes from on-call.
const onCallNotes = `x1    recorded day    2x10  0.500  0.50  -  0.1  -  0.9  notes

Notes from on-call

2 balancers, 10 servers, 3000 requests in 0:20. Times are minutes and seconds from the start. Service fell at 0:06.

Seen from outside
- quotes: 80% of its worth served in time

By 5 seconds (worth: share served; requests count when they came)
 from   worth  requests  in time   late refused failed gave up     p50     p99  tries/req attempts/req  busiest/mean  servers  bad attempts
 0:00     90%       500      90%     5%      5%   0.1%       0%   50 ms   1.2 s       1.05         1.00           1.5       10  4 timeout, 4 full
 0:05     60%      1000      60%    10%     30%     0%       2%   1.0 s   2.2 s       2.40         0.80           1.6        8  9 timeout
 0:10     80%       750      80%    10%     10%     0%       0%   90 ms   1.9 s       1.10         1.00           1.6       10  1 error
 0:15     80%       750      80%    10%     10%     0%       0%   90 ms   1.9 s       1.10         1.00           1.6       10

What on-call also saw
- 0:04 a release of the servers begins
- 0:05 server list of boxes changed: 0 ready, 2 draining, 0 gone
- 0:07 server list of boxes changed: 0 ready, 0 draining, 2 gone
- 0:09 server list of boxes changed: 1 ready, 1 draining, 0 gone
- 0:10 server list of boxes changed: 1 ready, 0 draining, 2 gone
- 0:11 1 balancer(s) stopped
- 0:12 the moon was full

From the balancers' logs (first of each kind)
    0:04 (x2)  worker a suspect
`

func parse(t *testing.T, text string) *RunReport {
	t.Helper()
	d, err := Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func TestParse_OnCallNotes_BecomeScenario(t *testing.T) {
	d := parse(t, onCallNotes)
	if d.FrontEnds != 2 || d.Workers != 10 || d.Duration != 20*time.Second || d.Requests != 3000 || d.MaxAttempts != 2.4 {
		t.Errorf("%+v", d)
	}
	want := `# Transcribed from a report: 2 front ends, 10 workers, 3000 requests in 20s, at most 2.40 tries a request.
at 0s surge factor 0.67 for 5s
at 5s surge factor 1.33 for 5s
at 5s take-out 10% drain 2s for 4s
at 5s take-out 10% drain 2s for 5s
at 9s take-out 10% drain 1s for 11s
at 10s crash 10% for 10s
at 11s kill 1 for 3s  # which ones and how long assumed
# not transcribed: 12s the moon was full
`
	if got := d.Script(); got != want {
		t.Errorf("got:\n%s\nwant:\n%s", got, want)
	}
	again, err := scenario.Parse("again", d.Script())
	if err != nil || len(again) != len(d.Faults) {
		t.Errorf("the script parses to %d of %d faults: %v", len(again), len(d.Faults), err)
	}
}

// runReport is a made-up report in the form of the report of one run.
const runReport = `site x  family warm  requests 1000
  from offered in-time%  late% refused%  fail%  t/o%    p50     p99 tries/r  att/r  err full  t/o conn reset spread used worth%
     0     500     94.4    2.5      3.1    0.0   0.0   81.1  1163.0    1.00   0.98    1    0    0    0     0   3.35   20   90.3
     5     500     90.1    2.6      7.2    0.0   0.1   79.7  1238.6    1.00   0.95    2    0    1    0     0   3.06   20   86.3
   2.00 s  crash begins (5 struck)
   2.50 s  server list of boxes changed: 0 ready, 0 draining, 5 gone
   3.25 s  fast_errors begins (2 struck)
   4.50 s  crash ends (5 struck)
   5.00 s  flush begins
   5.00 s  flush ends
   6.00 s  origin_slow begins
   7.340 s  [1] worker a suspect
`

func TestParse_RunReport_BecomesScenario(t *testing.T) {
	want := `# Transcribed from a report: 3 front ends, 20 workers, 1000 requests in 10s, at most 1.00 tries a request.
at 2s crash 25% for 2.5s
at 3.25s fail 10% rate 0.6 for 6.75s  # rate assumed
at 5s re-release 60%  # share assumed
at 6s store-slow factor 4 for 4s  # factor assumed
`
	if got := parse(t, runReport).Script(); got != want {
		t.Errorf("got:\n%s\nwant:\n%s", got, want)
	}
}

func TestMix_AssumedUtilization_FillsCores(t *testing.T) {
	m := parse(t, onCallNotes).Mix(loadgen.Mix{Functions: 7}, 0.5)
	if used := m.Rate * m.Work.Seconds() / (10 * workerCores); math.Abs(used-0.5) > 0.01 || m.Rate != 150 || m.Functions != 7 {
		t.Errorf("the load uses %.3f of the cores: %+v", used, m)
	}
	if m.RetryPolicy != loadgen.RetryWithBackoff || m.Retries != 2 {
		t.Errorf("retry policy %v, %d retries", m.RetryPolicy, m.Retries)
	}
}

func TestParse_OtherText_ReturnsError(t *testing.T) {
	for _, text := range []string{"", "hello\nworld\n", "2 balancers, 3 servers, 4 requests in 0:10."} {
		if _, err := Parse(text); !errors.Is(err, ErrReport) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// FuzzParse checks that the script of every report that Parse accepts is a valid scenario.
func FuzzParse(f *testing.F) {
	f.Add(onCallNotes)
	f.Add(runReport)
	f.Add(strings.ReplaceAll(onCallNotes, "2 draining", "999999999 draining"))
	f.Fuzz(func(t *testing.T, text string) {
		d, err := Parse(text)
		if err != nil {
			return
		}
		if _, err := scenario.Parse("again", d.Script()); err != nil {
			t.Fatal(err)
		}
	})
}
