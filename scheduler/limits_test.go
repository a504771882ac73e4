package scheduler

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// policyFiles returns the files that contain the scheduling decisions, as listed in deploy/balancer.toml.
func policyFiles(t *testing.T) []string {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("..", "deploy", "balancer.toml"))
	if err != nil {
		t.Fatal(err)
	}
	list := regexp.MustCompile(`(?m)^policy = \[(.*)\]`).FindSubmatch(raw)
	if list == nil {
		t.Fatal("deploy/balancer.toml lists no policy files")
	}
	var files []string
	for _, name := range regexp.MustCompile(`"([^"]+)"`).FindAllSubmatch(list[1], -1) {
		files = append(files, filepath.Join("..", string(name[1])))
	}
	return files
}

// TestPolicyFiles_Size_IsLimited verifies that each policy file is one concern that is easy to survey: it has few
// lines and no wide ones. The number of policy files is not limited.
func TestPolicyFiles_Size_IsLimited(t *testing.T) {
	const maxLines, maxWidth = 120, 110
	files := policyFiles(t)
	if len(files) == 0 {
		t.Error("deploy/balancer.toml lists no policy files")
	}
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		lines := 0
		for i, line := range strings.Split(string(raw), "\n") {
			if strings.TrimSpace(line) != "" {
				lines++
			}
			if width := len([]rune(strings.ReplaceAll(line, "\t", "    "))); width > maxWidth {
				t.Errorf("%s:%d is %d characters wide, want at most %d", file, i+1, width, maxWidth)
			}
		}
		if lines == 0 || lines > maxLines {
			t.Errorf("%s has %d non-blank lines, want 1 to %d", file, lines, maxLines)
		}
	}
}

// literalsAllowed are the declarations in non-policy files that may contain numbers other than 0, 1 and 2: sentinels
// and the arithmetic of hashes.
var literalsAllowed = map[string]bool{"infiniteDuration": true, "UnknownStart": true, "rendezvousDraw": true}

// TestOtherFiles_HoldNoTunedValue verifies that each file of the package that is not listed as policy contains only
// types and bookkeeping: no numbers except 0, 1 and 2, and no units of time.
func TestOtherFiles_HoldNoTunedValue(t *testing.T) {
	listed := map[string]bool{}
	for _, file := range policyFiles(t) {
		listed[filepath.Base(file)] = true
	}
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	others := 0
	for _, name := range files {
		if listed[name] || strings.HasSuffix(name, "_test.go") {
			continue
		}
		others++
		checkNoTunedValue(t, name)
	}
	if others == 0 || len(listed) == 0 {
		t.Errorf("%d policy files and %d other files found, want some of each", len(listed), others)
	}
}

// checkNoTunedValue reports numbers and units of time in a file's declarations, except in those of literalsAllowed.
func checkNoTunedValue(t *testing.T, name string) {
	t.Helper()
	fileSet := token.NewFileSet()
	file, err := parser.ParseFile(fileSet, name, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	small := map[string]bool{"0": true, "1": true, "2": true, "1.0": true}
	units := map[string]bool{
		"Nanosecond": true, "Microsecond": true, "Millisecond": true, "Second": true, "Minute": true, "Hour": true,
	}
	inspect := func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.FuncDecl:
			return !literalsAllowed[n.Name.Name]
		case *ast.ValueSpec:
			return !literalsAllowed[n.Names[0].Name]
		case *ast.BasicLit:
			isNumber := n.Kind == token.INT || n.Kind == token.FLOAT
			if isNumber && !small[n.Value] {
				t.Errorf("%s has the number %s: tuned values belong in policy files", fileSet.Position(n.Pos()), n.Value)
			}
		case *ast.SelectorExpr:
			if x, isIdent := n.X.(*ast.Ident); isIdent && x.Name == "time" && units[n.Sel.Name] {
				t.Errorf("%s uses time.%s: tuned values belong in policy files", fileSet.Position(n.Pos()), n.Sel.Name)
			}
		}
		return true
	}
	ast.Inspect(file, inspect)
}
