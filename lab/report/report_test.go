package report

import (
	"bytes"
	"context"
	"fmt"
	"html"
	"math"
	"path/filepath"
	"strings"
	"testing"

	"havencart/lab/experiment"
	"havencart/lab/invariant"
)

func testReport(t *testing.T) Report {
	t.Helper()
	spec, err := experiment.Parse("spec", "title \"a <test>\"\nseeds 2\nvariant module\nend\nvariant random\npolicy random\nend\n"+
		"day crash\nlasts 4s\nrate 60\nat 1s crash 30% for 1s\nend\n")
	if err != nil {
		t.Fatal(err)
	}
	cells, err := spec.Run(context.Background(), filepath.Join(t.TempDir(), "results"), 2, func(string) {})
	if err != nil {
		t.Fatal(err)
	}
	return Report{spec, cells}
}

// TestReport_Totals_AreTheCheckersOwn checks that the text and the page show the tallies of the invariant checker,
// which the test sums up independently.
func TestReport_Totals_AreTheCheckersOwn(t *testing.T) {
	r := testReport(t)
	var text, page bytes.Buffer
	r.Text(&text)
	if err := r.HTML(&page); err != nil {
		t.Fatal(err)
	}
	for _, variant := range []string{"module", "random"} {
		var sum invariant.Tally
		for _, c := range r.Cells {
			if c.Variant == variant {
				x := c.Result.Tally
				sum.Sent, sum.Served, sum.Rejected = sum.Sent+x.Sent, sum.Served+x.Served, sum.Rejected+x.Rejected
				sum.Failed, sum.Disconnected, sum.AtKilledFrontEnds = sum.Failed+x.Failed, sum.Disconnected+x.Disconnected, sum.AtKilledFrontEnds+x.AtKilledFrontEnds
				sum.Attempts, sum.Executions, sum.LoadOrders = sum.Attempts+x.Attempts, sum.Executions+x.Executions, sum.LoadOrders+x.LoadOrders
			}
		}
		want := fmt.Sprint(sum)
		if sum.Sent == 0 || !strings.Contains(text.String(), want) || !strings.Contains(html.UnescapeString(page.String()), want) {
			t.Errorf("%s: total %q is missing", variant, want)
		}
	}
}

func TestHTML_Page_NeedsNoOtherFiles(t *testing.T) {
	var page bytes.Buffer
	if err := testReport(t).HTML(&page); err != nil {
		t.Fatal(err)
	}
	text := page.String()
	for _, bad := range []string{"src=", "href=", "<script", "a <test>"} {
		if strings.Contains(text, bad) {
			t.Errorf("the page contains %q", bad)
		}
	}
	if n := strings.Count(text, "<svg"); n != 3+len(series) {
		t.Errorf("wrong number of plots on the page: %d", n)
	}
}

// TestScore_Parts_AddUpToTheWhole checks that the service levels by class and by tenant add up to the whole, and
// those by second to that of the class or tenant.
func TestScore_Parts_AddUpToTheWhole(t *testing.T) {
	for _, c := range testReport(t).Cells {
		s := c.Result.Score
		for _, table := range []map[string]*invariant.Timeline{s.ByClass, s.ByTenant} {
			var all invariant.Timeline
			for _, part := range table {
				var seconds invariant.ServiceLevel
				for _, x := range part.Seconds {
					seconds.Offered, seconds.Earned = seconds.Offered+x.Offered, seconds.Earned+x.Earned
				}
				if math.Abs(seconds.Offered-part.Offered)+math.Abs(seconds.Earned-part.Earned) > 1e-6 {
					t.Errorf("%s: sum over the seconds %v, total %v", c.Variant, seconds, part.ServiceLevel)
				}
				all.Offered, all.Earned = all.Offered+part.Offered, all.Earned+part.Earned
			}
			if math.Abs(all.Offered-s.Offered)+math.Abs(all.Earned-s.Earned) > 1e-6 || s.Offered == 0 {
				t.Errorf("%s: sum over the parts %v, total %v", c.Variant, all.ServiceLevel, s.ServiceLevel)
			}
		}
	}
}

func TestText_Violations_ComeFirst(t *testing.T) {
	r := testReport(t)
	r.Cells[0].Result.Violations = []invariant.Violation{{Rule: "twice", Detail: "an effect"}}
	var text bytes.Buffer
	r.Text(&text)
	violation, table := strings.Index(text.String(), "broke rule twice"), strings.Index(text.String(), "all days")
	if violation < 0 || violation > table {
		t.Errorf("violation at offset %d, first table at offset %d", violation, table)
	}
}

// TestText_RunThatLostRequests_IsReported checks that a run whose tally does not account for every request counts as
// service 0 and is reported.
func TestText_RunThatLostRequests_IsReported(t *testing.T) {
	r := testReport(t)
	r.Cells[0].Result.Tally.Sent++
	var text bytes.Buffer
	r.Text(&text)
	if r.Cells[0].Service() != 0 || !strings.Contains(text.String(), "does not account for all calls") {
		t.Errorf("service %v and the report:\n%s", r.Cells[0].Service(), text.String())
	}
}
