//go:build review

// Package review has the cases of the review as tests: go test -tags review ./review, after the build line of the deploy
// file and review/build.sh.
package review

import (
	"os/exec"
	"path/filepath"
	"testing"
)

func TestReviewCase1KeyedRequestRunsAgain(t *testing.T) { play(t, "1") }

func TestReviewCase2MemoryOverLimit(t *testing.T) { play(t, "2") }

func TestReviewCase3AttemptBeginsAfterClientIsGone(t *testing.T) { play(t, "3") }

// play runs the script of a case, which exits with 0 if the rule held.
func play(t *testing.T, folder string) {
	t.Helper()
	output, err := exec.Command(filepath.Join(folder, "run.sh")).CombinedOutput()
	t.Logf("%s", output)
	if err != nil {
		t.Fatalf("run.sh = %v, want exit code 0", err)
	}
}
