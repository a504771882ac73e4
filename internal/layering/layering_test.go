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

const (
	modulePrefix = "havencart/"
	thisPackage  = "internal/layering"
	// minPackages and minDecisionPackages are the minimum numbers of packages that a test must check. A test that finds
	// fewer packages proves nothing and fails.
	minPackages         = 10
	minDecisionPackages = 3
)

// impureImports are the first elements of import paths that decision packages must not import.
var impureImports = map[string]bool{
	"context": true,
	"io":      true,
	"net":     true,
	"os":      true,
	"sync":    true,
	"syscall": true,
}

// clockFunctions are the functions of package time that read the wall clock or start a timer.
var clockFunctions = map[string]bool{
	"After":     true,
	"AfterFunc": true,
	"NewTicker": true,
	"NewTimer":  true,
	"Now":       true,
	"Since":     true,
	"Sleep":     true,
	"Tick":      true,
	"Until":     true,
}

func TestImports_EveryPackage_PointToLowerLevels(t *testing.T) {
	seen := 0
	visitPackages(t, func(path string, p *build.Package) {
		if path == thisPackage {
			return
		}
		seen++
		if levelOf(path) == unlisted {
			t.Errorf("%s does not belong to any layer", path)
		}
		for _, imported := range p.Imports {
			to, ours := strings.CutPrefix(imported, modulePrefix)
			if ours && !mayImport(path, to) {
				t.Errorf("%s imports %s, which is not at a lower level", path, to)
			}
		}
	})
	if seen < minPackages {
		t.Errorf("only %d packages were checked", seen)
	}
}

// TestDecisions_EveryPackage_IsPure checks that decision packages do no I/O, start no goroutines and do not use the
// wall clock.
func TestDecisions_EveryPackage_IsPure(t *testing.T) {
	seen := 0
	visitPackages(t, func(path string, p *build.Package) {
		if layerOf(path) != decisions {
			return
		}
		seen++
		for _, imported := range p.Imports {
			if impureImports[strings.Split(imported, "/")[0]] {
				t.Errorf("%s imports %s", path, imported)
			}
		}
		for _, name := range p.GoFiles {
			checkFileIsPure(t, path+"/"+name, filepath.Join(p.Dir, name))
		}
	})
	if seen < minDecisionPackages {
		t.Errorf("only %d decision packages were checked", seen)
	}
}

// checkFileIsPure reports each go statement and each use of the wall clock in one file.
func checkFileIsPure(t *testing.T, name, path string) {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.GoStmt:
			t.Errorf("%s starts a goroutine", name)
		case *ast.SelectorExpr:
			if x, is := n.X.(*ast.Ident); is && x.Name == "time" && clockFunctions[n.Sel.Name] {
				t.Errorf("%s uses time.%s", name, n.Sel.Name)
			}
		}
		return true
	})
}

// visitPackages calls visit for each package of the repository, with its path relative to the module root. p.Imports
// does not include the imports of test files.
func visitPackages(t *testing.T, visit func(path string, p *build.Package)) {
	t.Helper()
	root := filepath.Join("..", "..")
	err := filepath.WalkDir(root, func(dir string, entry os.DirEntry, err error) error {
		if err != nil || !entry.IsDir() {
			return err
		}
		if skippedDirectory(entry.Name()) {
			return filepath.SkipDir
		}
		p, err := build.ImportDir(dir, 0)
		if err != nil {
			return nil // the directory has no Go files
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

// skippedDirectory reports whether a directory contains no packages of the module. The name ".." is the repository
// root.
func skippedDirectory(name string) bool {
	hidden := name != ".." && strings.HasPrefix(name, ".")
	return hidden || name == "journal" || name == "bin"
}
