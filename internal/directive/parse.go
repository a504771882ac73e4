package directive

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// includeDepth bounds files that include each other.
const includeDepth = 8

// Place is a line of a file.
type Place struct {
	File string
	Line int
	Text string // the line as it stands
}

// Parser goes through the lines of a file. Top takes each line that is in no block.
type Parser struct {
	Top func(at Place, words []Word)

	errs   []error
	seen   map[string]bool // directives given in the present block
	block  string
	opened Place
	column int
	line   func(at Place, words []Word)
	end    func()
	outer  map[string]bool
}

// Fail notes an error at a place.
func (p *Parser) Fail(at Place, column int, format string, args ...any) {
	p.errs = append(p.errs, fmt.Errorf("%s:%d:%d: %s", at.File, at.Line, column, fmt.Sprintf(format, args...)))
}

// Parse goes through text; name is what errors call it. Err then tells what was wrong.
func (p *Parser) Parse(name, text string) {
	p.seen = map[string]bool{}
	p.file(name, text, 0)
	if p.end != nil {
		p.Fail(p.opened, p.column, "block %q has no end", p.block)
	}
}

// Err joins all errors, nil if there are none.
func (p *Parser) Err() error { return errors.Join(p.errs...) }

func (p *Parser) file(name, text string, depth int) {
	for i, line := range strings.Split(text, "\n") {
		at := Place{name, i + 1, line}
		words, err := split(line)
		if err != nil {
			p.errs = append(p.errs, fmt.Errorf("%s:%d:%w", name, i+1, err))
			continue
		}
		if len(words) == 0 {
			continue
		}
		switch first := words[0].Text; {
		case first == "include":
			p.include(at, words, depth)
		case p.end != nil && first == "end":
			p.end()
			p.end, p.seen = nil, p.outer
		case p.end != nil:
			p.line(at, words)
		default:
			p.Top(at, words)
		}
	}
}

func (p *Parser) include(at Place, words []Word, depth int) {
	if len(words) != 2 || depth >= includeDepth {
		p.Fail(at, words[0].Column, "include takes one file, %d deep at most", includeDepth)
		return
	}
	path := words[1].Text
	if !filepath.IsAbs(path) {
		path = filepath.Join(filepath.Dir(at.File), path)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		p.Fail(at, words[1].Column, "%v", err)
		return
	}
	p.file(path, string(raw), depth+1)
}

// Block begins a block named by the line's second word; its end adds it to list. Lines whose first word other
// takes are not looked for in the table; other may be nil.
func Block[T any](p *Parser, at Place, words []Word, table []Directive[T], name func(*T) *string, list *[]T,
	other func(t *T, at Place, words []Word) bool) {
	t := new(T)
	Defaults(t, table)
	if len(words) != 2 {
		p.Fail(at, words[0].Column, "found %d words; allowed: %s NAME", len(words), words[0].Text)
	} else {
		*name(t) = words[1].Text
		for i := range *list {
			if *name(&(*list)[i]) == words[1].Text {
				p.Fail(at, words[1].Column, "%s %q is given twice", words[0].Text, words[1].Text)
			}
		}
	}
	p.block, p.opened, p.column = words[0].Text, at, words[0].Column
	p.outer, p.seen = p.seen, map[string]bool{}
	p.line = func(at Place, words []Word) {
		if other == nil || !other(t, at, words) {
			Apply(p, at, words, t, table, "end")
		}
	}
	p.end = func() { *list = append(*list, *t) }
}

// Defaults sets what the table says that t has where nothing is given.
func Defaults[T any](t *T, table []Directive[T]) {
	for _, d := range table {
		if d.Default != "" {
			if err := d.Set(t, []string{d.Default}); err != nil {
				panic(fmt.Sprintf("default of %s: %v", d.Name, err)) // a fault of the table; a test reads all of it
			}
		}
	}
}

// Apply sets what one line says. also names what else may stand there.
func Apply[T any](p *Parser, at Place, words []Word, t *T, table []Directive[T], also string) {
	name := words[0].Text
	for _, d := range table {
		if d.Name != name {
			continue
		}
		if p.seen[name] && !d.Many {
			p.Fail(at, words[0].Column, "%s is given twice", name)
		}
		p.seen[name] = true
		values := make([]string, 0, len(words))
		for _, w := range words[1:] {
			values = append(values, w.Text)
		}
		column := words[0].Column
		if len(words) > 1 {
			column = words[1].Column
		}
		if d.Words >= 0 && len(values) != max(1, d.Words) || d.Set(t, values) != nil {
			p.Fail(at, column, "%s: found %q; allowed: %s", name, strings.Join(values, " "), d.Takes)
		}
		return
	}
	names := make([]string, 0, len(table))
	for _, d := range table {
		names = append(names, d.Name)
	}
	p.Fail(at, words[0].Column, "found %q; allowed: %s, %s", name, strings.Join(names, ", "), also)
}

// Section writes a table as a section of a page.
func Section[T any](out *strings.Builder, title string, table []Directive[T]) {
	fmt.Fprintf(out, "\n## %s\n\n| directive | takes | default | meaning |\n| --- | --- | --- | --- |\n", title)
	for _, d := range table {
		def := d.Default
		if def == "" {
			def = "-"
		}
		fmt.Fprintf(out, "| `%s` | %s | %s | %s |\n", d.Name, d.Takes, def, d.Help)
	}
}
