package scheduler

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// policyFiles are the files that hold the decision logic, as the deployment names them.
func policyFiles(t *testing.T) []string {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("..", "deploy", "balancer.toml"))
	if err != nil {
		t.Fatal(err)
	}
	list := regexp.MustCompile(`(?m)^policy = \[(.*)\]`).FindSubmatch(raw)
	if list == nil {
		t.Fatal("deploy/balancer.toml names no policy files")
	}
	var files []string
	for _, name := range regexp.MustCompile(`"([^"]+)"`).FindAllSubmatch(list[1], -1) {
		files = append(files, filepath.Join("..", string(name[1])))
	}
	return files
}

// TestPolicyFiles_Size_IsLimited holds the limits that let the module be ported by hand.
func TestPolicyFiles_Size_IsLimited(t *testing.T) {
	const mostLines, mostWidth = 860, 110
	files, lines := policyFiles(t), 0
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for i, line := range strings.Split(string(raw), "\n") {
			if strings.TrimSpace(line) != "" {
				lines++
			}
			if width := len([]rune(strings.ReplaceAll(line, "\t", "    "))); width > mostWidth {
				t.Errorf("%s:%d is %d characters wide, %d at most", file, i+1, width, mostWidth)
			}
		}
	}
	if len(files) == 0 || lines > mostLines {
		t.Errorf("%d lines that are not blank in %d files, 1 to %d allowed", lines, len(files), mostLines)
	}
}
