package control

import (
	"os"
	"strings"
	"testing"
)

// TestModuleStaysSmall holds the limits that let the module be ported by hand.
func TestModuleStaysSmall(t *testing.T) {
	const mostLines, mostWidth = 680, 110
	raw, err := os.ReadFile("control.go")
	if err != nil {
		t.Fatal(err)
	}
	lines := 0
	for i, line := range strings.Split(string(raw), "\n") {
		if strings.TrimSpace(line) != "" {
			lines++
		}
		if width := len([]rune(strings.ReplaceAll(line, "\t", "    "))); width > mostWidth {
			t.Errorf("line %d is %d characters wide, %d at most", i+1, width, mostWidth)
		}
	}
	if lines > mostLines {
		t.Errorf("%d lines that are not blank, %d at most", lines, mostLines)
	}
}
