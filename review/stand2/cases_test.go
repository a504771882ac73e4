//go:build review

package main

import (
	"os/exec"
	"testing"
)

// These tests play the cases of the second review: go test -tags review ./review/stand2, after the build line of the deploy
// file and review/build-2.sh.

func TestReviewTwoRequestsLost(t *testing.T) { playCases(t, "6", "7", "9") }

func TestReviewTwoFrontEndOverItsMemory(t *testing.T) { playCases(t, "8") }

func TestReviewTwoDrainingExecutorGetsWork(t *testing.T) { playCases(t, "10") }

// playCases runs the scripts of cases. A script exits with 0 if the rule held.
func playCases(t *testing.T, cases ...string) {
	t.Helper()
	for _, number := range cases {
		t.Run(number, func(t *testing.T) {
			output, err := exec.Command("../" + number + "/run.sh").CombinedOutput()
			t.Logf("%s", output)
			if err != nil {
				t.Errorf("run.sh = %v, want exit code 0", err)
			}
		})
	}
}
