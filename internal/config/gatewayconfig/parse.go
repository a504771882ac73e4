package gatewayconfig

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strings"

	"havencart/internal/directive"
)

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
	s, p := &Settings{}, &directive.Parser{}
	directive.Defaults(s, top)
	p.Top = func(at directive.Place, words []directive.Word) { s.line(p, at, words) }
	p.Parse(name, text)
	s.whole(p, directive.Place{File: name})
	if err := p.Err(); err != nil {
		return nil, fmt.Errorf("%w:\n%w", ErrSettings, err)
	}
	return s, nil
}

// line takes a line outside blocks.
func (s *Settings) line(p *directive.Parser, at directive.Place, words []directive.Word) {
	switch words[0].Text {
	case "class":
		directive.Block(p, at, words, classTable, func(c *Class) *string { return &c.Name }, &s.Classes, nil)
	case "tenant":
		directive.Block(p, at, words, tenantTable, func(t *Tenant) *string { return &t.Name }, &s.Tenants, nil)
	case "function":
		directive.Block(p, at, words, functionTable, func(f *Function) *string { return &f.Name }, &s.Functions, nil)
	case "watch":
		directive.Block(p, at, words, watchTable, func(w *Watch) *string { return &w.Name }, &s.Watch, nil)
	default:
		directive.Apply(p, at, words, s, top, "class, tenant, function, watch, include")
	}
}

// whole checks what no single line shows.
func (s *Settings) whole(p *directive.Parser, at directive.Place) {
	if len(s.Classes) == 0 {
		p.Fail(at, 0, "no class is given; at least one is needed")
	}
	if s.Directory.Kind == "" {
		p.Fail(at, 0, "directory is not given")
	}
	if _, _, err := net.SplitHostPort(s.Listen); err != nil {
		p.Fail(at, 0, "listen: %v", err)
	}
	s.counted(p, at, "")
	if len(s.Watch) > 1 {
		p.Fail(at, 0, "%d watch blocks; one is allowed", len(s.Watch))
	} else if other, _ := s.Watched(); other != nil {
		other.counted(p, at, fmt.Sprintf("watch %q: ", other.Name))
	}
	for _, c := range s.Classes {
		if c.Aim > c.GiveUp {
			p.Fail(at, 0, "class %q: aim %v is past give-up %v", c.Name, c.Aim, c.GiveUp)
		}
	}
	for _, f := range s.Functions {
		if f.Class != "" && s.Class(f.Class) < 0 {
			p.Fail(at, 0, "function %q: no class %q", f.Name, f.Class)
		}
	}
}

// counted checks that the front ends of this process are among those of the installation.
func (s *Settings) counted(p *directive.Parser, at directive.Place, where string) {
	if s.First+s.Loops > s.FrontEnds {
		p.Fail(at, 0, "%sfront ends %d to %d of this process, but front-ends says there are %d", where, s.First,
			s.First+s.Loops-1, s.FrontEnds)
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
	directive.Section(&out, "Outside blocks", top)
	directive.Section(&out, "`class NAME` ... `end`", classTable)
	directive.Section(&out, "`tenant NAME` ... `end`", tenantTable)
	directive.Section(&out, "`function NAME` ... `end`", functionTable)
	directive.Section(&out, "`watch NAME` ... `end`: settings by which nothing is decided; what is not given is as outside", watchTable)
	return out.String()
}
