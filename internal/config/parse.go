package config

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
)

// includeDepth bounds files that include each other.
const includeDepth = 8

// ErrSettings is wrapped by every error about the text of a settings file.
var ErrSettings = errors.New("settings")

// Load reads the settings file at path. The error joins all that is wrong with it.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSettings, err)
	}
	return Parse(path, string(raw))
}

// Parse reads settings from text; name is what errors call it.
func Parse(name, text string) (*Settings, error) {
	p := &parser{settings: &Settings{}, seen: map[string]bool{}}
	defaults(p.settings, top)
	p.file(name, text, 0)
	if p.end != nil {
		p.fail(p.opened, p.openedAt, "block %q has no end", p.block)
	}
	p.whole(name)
	if len(p.errs) > 0 {
		return nil, fmt.Errorf("%w:\n%w", ErrSettings, errors.Join(p.errs...))
	}
	return p.settings, nil
}

// parser goes through the lines. Within a block, line takes them and end closes it.
type parser struct {
	settings *Settings
	errs     []error
	seen     map[string]bool // directives given in the present block

	block    string
	opened   place
	openedAt int
	line     func(at place, words []word)
	end      func()
	outer    map[string]bool
}

type place struct {
	file string
	line int
}

func (p *parser) fail(at place, column int, format string, args ...any) {
	p.errs = append(p.errs, fmt.Errorf("%s:%d:%d: %s", at.file, at.line, column, fmt.Sprintf(format, args...)))
}

func (p *parser) file(name, text string, depth int) {
	for i, line := range strings.Split(text, "\n") {
		at := place{name, i + 1}
		words, err := split(line)
		if err != nil {
			p.errs = append(p.errs, fmt.Errorf("%s:%d:%w", name, i+1, err))
			continue
		}
		if len(words) == 0 {
			continue
		}
		switch first := words[0].text; {
		case first == "include":
			p.include(at, words, depth)
		case p.end != nil && first == "end":
			p.end()
			p.end, p.seen = nil, p.outer
		case p.end != nil:
			p.line(at, words)
		case !p.open(at, words):
			apply(p, at, words, p.settings, top, "class, tenant, function, include")
		}
	}
}

func (p *parser) include(at place, words []word, depth int) {
	if len(words) != 2 || depth >= includeDepth {
		p.fail(at, words[0].column, "include takes one file, %d deep at most", includeDepth)
		return
	}
	path := words[1].text
	if !filepath.IsAbs(path) {
		path = filepath.Join(filepath.Dir(at.file), path)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		p.fail(at, words[1].column, "%v", err)
		return
	}
	p.file(path, string(raw), depth+1)
}

// open opens a block if the line does so.
func (p *parser) open(at place, words []word) bool {
	switch words[0].text {
	case "class":
		block(p, at, words, classTable, func(c *Class) *string { return &c.Name }, &p.settings.Classes)
	case "tenant":
		block(p, at, words, tenantTable, func(t *Tenant) *string { return &t.Name }, &p.settings.Tenants)
	case "function":
		block(p, at, words, functionTable, func(f *Function) *string { return &f.Name }, &p.settings.Functions)
	default:
		return false
	}
	return true
}

// block begins a block named by the line's second word; its end adds it to list.
func block[T any](p *parser, at place, words []word, table []Directive[T], name func(*T) *string, list *[]T) {
	t := new(T)
	defaults(t, table)
	if len(words) != 2 {
		p.fail(at, words[0].column, "found %d words; allowed: %s NAME", len(words), words[0].text)
	} else {
		*name(t) = words[1].text
		for i := range *list {
			if *name(&(*list)[i]) == words[1].text {
				p.fail(at, words[1].column, "%s %q is given twice", words[0].text, words[1].text)
			}
		}
	}
	p.block, p.opened, p.openedAt = words[0].text, at, words[0].column
	p.outer, p.seen = p.seen, map[string]bool{}
	p.line = func(at place, words []word) { apply(p, at, words, t, table, "end") }
	p.end = func() { *list = append(*list, *t) }
}

func defaults[T any](t *T, table []Directive[T]) {
	for _, d := range table {
		if d.Default != "" {
			if err := d.set(t, []string{d.Default}); err != nil {
				panic(fmt.Sprintf("default of %s: %v", d.Name, err)) // a fault of the table; a test reads all of it
			}
		}
	}
}

// apply sets what one line says.
func apply[T any](p *parser, at place, words []word, t *T, table []Directive[T], also string) {
	name := words[0].text
	for _, d := range table {
		if d.Name != name {
			continue
		}
		if p.seen[name] && !d.Many {
			p.fail(at, words[0].column, "%s is given twice", name)
		}
		p.seen[name] = true
		values := make([]string, 0, len(words))
		for _, w := range words[1:] {
			values = append(values, w.text)
		}
		column := words[0].column
		if len(words) > 1 {
			column = words[1].column
		}
		if d.Words >= 0 && len(values) != max(1, d.Words) || d.set(t, values) != nil {
			p.fail(at, column, "%s: found %q; allowed: %s", name, strings.Join(values, " "), d.Takes)
		}
		return
	}
	names := make([]string, 0, len(table))
	for _, d := range table {
		names = append(names, d.Name)
	}
	p.fail(at, words[0].column, "found %q; allowed: %s, %s", name, strings.Join(names, ", "), also)
}

// whole checks what no single line shows.
func (p *parser) whole(name string) {
	s, at := p.settings, place{name, 0}
	if len(s.Classes) == 0 {
		p.fail(at, 0, "no class is given; at least one is needed")
	}
	if s.Directory.Kind == "" {
		p.fail(at, 0, "directory is not given")
	}
	if _, _, err := net.SplitHostPort(s.Listen); err != nil {
		p.fail(at, 0, "listen: %v", err)
	}
	if s.First+s.Loops > s.FrontEnds {
		p.fail(at, 0, "front ends %d to %d of this process, but front-ends says there are %d", s.First,
			s.First+s.Loops-1, s.FrontEnds)
	}
	for _, c := range s.Classes {
		if c.Aim > c.GiveUp {
			p.fail(at, 0, "class %q: aim %v is past give-up %v", c.Name, c.Aim, c.GiveUp)
		}
	}
	for _, f := range s.Functions {
		if f.Class != "" && s.Class(f.Class) < 0 {
			p.fail(at, 0, "function %q: no class %q", f.Name, f.Class)
		}
	}
}

// Class is the place of a class by name, -1 if there is none.
func (s *Settings) Class(name string) int {
	for i, c := range s.Classes {
		if c.Name == name {
			return i
		}
	}
	return -1
}

// Reference is the page of all directives, as docs/settings.md has it.
func Reference() string {
	var out strings.Builder
	out.WriteString("# Settings\n\nMade from the program's own table (`havencart reference`). One directive a line; a comment runs\n" +
		"from `#`; `include FILE` reads another file there; blocks end with `end`.\n")
	section(&out, "Outside blocks", top)
	section(&out, "`class NAME` ... `end`", classTable)
	section(&out, "`tenant NAME` ... `end`", tenantTable)
	section(&out, "`function NAME` ... `end`", functionTable)
	return out.String()
}

func section[T any](out *strings.Builder, title string, table []Directive[T]) {
	fmt.Fprintf(out, "\n## %s\n\n| directive | takes | default | meaning |\n| --- | --- | --- | --- |\n", title)
	for _, d := range table {
		def := d.Default
		if def == "" {
			def = "-"
		}
		fmt.Fprintf(out, "| `%s` | %s | %s | %s |\n", d.Name, d.Takes, def, d.Help)
	}
}
