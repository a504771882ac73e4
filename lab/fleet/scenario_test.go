package fleet

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// TestRunScenario_FaultScenarios_KeepInvariants runs scenarios on 12 workers, 3 front ends and 3 classes, and checks what
// was seen on the sockets.
func TestRunScenario_FaultScenarios_KeepInvariants(t *testing.T) {
	for name, lasts := range map[string]time.Duration{"bad": 22 * time.Second, "ways": 17 * time.Second} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runScenarioFile(t, name, lasts)
		})
	}
}

func runScenarioFile(t *testing.T, name string, lasts time.Duration) {
	text, err := os.ReadFile("../scenarios/" + name + ".day")
	if err != nil {
		t.Fatal(err)
	}
	demo := Demo{
		Workers: 12, FrontEnds: 3, Mix: DemoMix(120), Duration: lasts, Scenario: string(text), Seed: 7,
		Log: zerolog.Nop(), Report: func(s string) { t.Log(s) },
	}
	report, err := demo.Run(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	tally := report.Tally
	t.Log(tally, report.Outcomes)
	for _, violation := range report.Violations {
		t.Errorf("rule %s broken: %s", violation.Rule, violation.Detail)
	}
	if !tally.Balanced() {
		t.Error("not every request is accounted for")
	}
	if tally.Served < tally.Sent/2 || tally.Disconnected+tally.Rejected == 0 {
		t.Errorf("%v: a scenario in which next to nothing was served, or no fault showed, proves nothing", tally)
	}
}
