package fleet

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// TestRunScenario_FaultScenarios_KeepInvariants runs scenarios on 12 workers, 3 front ends and 3 classes, and checks
// the invariants on what passed through the sockets.
func TestRunScenario_FaultScenarios_KeepInvariants(t *testing.T) {
	for name, duration := range map[string]time.Duration{"bad": 22 * time.Second, "ways": 17 * time.Second} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runScenarioFile(t, name, duration)
		})
	}
}

func runScenarioFile(t *testing.T, name string, duration time.Duration) {
	text, err := os.ReadFile("../scenarios/" + name + ".day")
	if err != nil {
		t.Fatal(err)
	}
	demo := Demo{
		Workers: 12, FrontEnds: 3, Mix: DemoMix(120), Duration: duration, Scenario: string(text), Seed: 7,
		Log: zerolog.Nop(), ReportProgress: func(s string) { t.Log(s) },
	}
	result, err := demo.Run(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	tally := result.Tally
	t.Log(tally, result.Outcomes)
	for _, violation := range result.Violations {
		t.Errorf("rule %s violated: %s", violation.Rule, violation.Detail)
	}
	if !tally.Balanced() {
		t.Error("not every request is accounted for")
	}
	if tally.Served < tally.Sent/2 || tally.Disconnected+tally.Rejected == 0 {
		t.Errorf("%v: fewer than half of the requests were served, or no fault had an effect, so the scenario tests too little", tally)
	}
}
