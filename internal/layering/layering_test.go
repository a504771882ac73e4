// Package layering has the test that holds the floors of docs/architecture.md.
package layering

import (
	"go/ast"
	"go/build"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// floors are the packages from the bottom up; an import must not go up, and on one floor only where siblings says.
var floors = [][]string{
	{"internal/estimate"},
	{"scheduler"},
	{"internal/decide/", "internal/shadow"},
	{"internal/directive"},
	{"internal/config/gatewayconfig", "internal/config/platformconfig"},
	{"internal/native/muxframe", "internal/simwire", "internal/platform/rpcframe", "internal/platform/workerframe", "internal/platform/endpointstream"},
	{"internal/native/httpserver", "internal/platform/rpcserver", "internal/native/muxclient", "internal/discovery"},
	{"internal/platform/workerclient"},
	{"internal/gateway", "internal/simhost"},
	{"lab/"},
	{"cmd/"},
}

func floorOf(path string) int {
	for i, f := range floors {
		for _, p := range f {
			if path == p || strings.HasSuffix(p, "/") && strings.HasPrefix(path, p) {
				return i
			}
		}
	}
	return -1
}

// siblings may import one another within their floor.
func siblings(from, to string) bool {
	return strings.HasPrefix(from, "lab/") && strings.HasPrefix(to, "lab/")
}

// packages walks the repository's packages and their imports without tests.
func packages(t *testing.T, visit func(path string, p *build.Package)) {
	t.Helper()
	root := filepath.Join("..", "..")
	err := filepath.WalkDir(root, func(dir string, d os.DirEntry, err error) error {
		if err != nil || !d.IsDir() {
			return err
		}
		if name := d.Name(); name != ".." && strings.HasPrefix(name, ".") || name == "journal" || name == "bin" {
			return filepath.SkipDir
		}
		p, err := build.ImportDir(dir, 0)
		if err != nil {
			return nil // no Go files here
		}
		path, err := filepath.Rel(root, dir)
		if err != nil {
			return err
		}
		visit(filepath.ToSlash(path), p)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

func TestImportsGoDown(t *testing.T) {
	seen := 0
	packages(t, func(path string, p *build.Package) {
		if path == "internal/layering" {
			return
		}
		seen++
		from := floorOf(path)
		if from < 0 {
			t.Errorf("%s has no floor", path)
		}
		for _, imported := range p.Imports {
			to, own := strings.CutPrefix(imported, "havencart/")
			if !own || siblings(path, to) {
				continue
			}
			if floorOf(to) >= from {
				t.Errorf("%s imports %s: that is not down", path, to)
			}
		}
	})
	if seen < 10 {
		t.Errorf("only %d packages were looked at", seen)
	}
}

// TestDecisionsArePure holds that a decision package does no I/O, starts no goroutine and asks no wall clock.
func TestDecisionsArePure(t *testing.T) {
	barred := map[string]bool{"net": true, "os": true, "io": true, "sync": true, "context": true, "syscall": true}
	calls := map[string]bool{"Now": true, "Since": true, "Until": true, "Sleep": true, "After": true, "AfterFunc": true,
		"NewTimer": true, "NewTicker": true, "Tick": true}
	seen := 0
	packages(t, func(path string, p *build.Package) {
		if floorOf(path) > 2 || floorOf(path) < 0 {
			return
		}
		seen++
		for _, imported := range p.Imports {
			if barred[strings.Split(imported, "/")[0]] {
				t.Errorf("%s imports %s", path, imported)
			}
		}
		for _, name := range p.GoFiles {
			file, err := parser.ParseFile(token.NewFileSet(), filepath.Join(p.Dir, name), nil, 0)
			if err != nil {
				t.Fatal(err)
			}
			ast.Inspect(file, func(n ast.Node) bool {
				switch n := n.(type) {
				case *ast.GoStmt:
					t.Errorf("%s/%s starts a goroutine", path, name)
				case *ast.SelectorExpr:
					if x, is := n.X.(*ast.Ident); is && x.Name == "time" && calls[n.Sel.Name] {
						t.Errorf("%s/%s calls time.%s", path, name, n.Sel.Name)
					}
				}
				return true
			})
		}
	})
	if seen < 3 {
		t.Errorf("only %d decision packages were looked at", seen)
	}
}
