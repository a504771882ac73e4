package scenario

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"
)

func TestParse_LinesInAnyOrder_SortsByTime(t *testing.T) {
	list, err := Parse("day", "# a day\nat 6s deploy 75% over 4s drain 400ms\nat 2s crash 25% for 3s # a quarter\n")
	if err != nil {
		t.Fatal(err)
	}
	want := []Fault{
		{At: 2 * time.Second, Kind: "crash", Share: 0.25, Duration: 3 * time.Second, Line: 3},
		{At: 6 * time.Second, Kind: "deploy", Share: 0.75, Spread: 4 * time.Second, DrainTime: 400 * time.Millisecond, Line: 2},
	}
	if len(list) != 2 || list[0] != want[0] || list[1] != want[1] {
		t.Errorf("%+v", list)
	}
}

func TestParse_ManyErrors_ReportsAllWithPlaces(t *testing.T) {
	_, err := Parse("day", "at 2s crash 25% for 3s\nat noon crash 25% for 3s\nat 1s explode\nat 1s crash 250% for 3s\n"+
		"at 1s fail 20% rate 2 for 1s\nat 1s crash 25% during 3s\nat 1s end now\ncrash\nat 1s kill 0 for 1s\n"+
		"at 1s net-delay 1 2 by -1s for 1s\nat 1s clock-jump 10% by -1s for 1s\n")
	if !errors.Is(err, ErrScenario) {
		t.Fatal(err)
	}
	for _, want := range []string{
		"day:2:4: ", "day:3:7: found \"explode\"", "day:4:13: ", "day:5:21: ", "day:6:17: found \"during\"",
		"day:7:11: ", "day:8:1: ", "day:9:12: ", "day:10:24: ",
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("no %q in:\n%v", want, err)
		}
	}
	if strings.Contains(err.Error(), "day:11:") {
		t.Errorf("a negative clock skew is rejected: %v", err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add("at 2s crash 25% for 3s\nat 9s fail 20% rate 0.5 for 2s\n")
	f.Fuzz(func(t *testing.T, text string) {
		list, err := Parse("day", text)
		for _, x := range list {
			if err == nil && (kindOf(x.Kind) == nil || x.At < 0 || x.Share < 0 || x.Share > 1) {
				t.Fatalf("accepted %+v", x)
			}
		}
	})
}

func TestReference_MatchesDocumentation(t *testing.T) {
	page, err := os.ReadFile("../../docs/troubles.md")
	if err != nil {
		t.Fatal(err)
	}
	if string(page) != Reference() {
		t.Error("docs/troubles.md is not what `havencart reference --script` prints")
	}
}

// TestFormat_ExampleOfEachFault_IsParsedAgain parses the example of each fault on the reference page and checks that
// Format returns the same text.
func TestFormat_ExampleOfEachFault_IsParsedAgain(t *testing.T) {
	examples := 0
	for _, line := range strings.Split(Reference(), "\n") {
		example, found := strings.CutPrefix(line, "| `")
		if !found {
			continue
		}
		example, _, _ = strings.Cut(example, "`")
		examples++
		x, _, err := ParseLine("at 1.5s " + example)
		if err != nil {
			t.Errorf("%s: %v", example, err)
		}
		if got := Format(x); got != "at 1.5s "+example {
			t.Errorf("%q was formatted as %q", example, got)
		}
	}
	if examples != len(kinds) {
		t.Errorf("%d examples of %d faults", examples, len(kinds))
	}
}
