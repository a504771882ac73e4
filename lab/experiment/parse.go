package experiment

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"havencart/internal/directive"
	"havencart/lab/scenario"
	"havencart/lab/simulation"
)

// Load reads an experiment from a file. Its errors wrap ErrSpec.
func Load(path string) (*Spec, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSpec, err)
	}
	return Parse(path, string(raw))
}

// Parse reads an experiment from text. path names the text in errors, and the files that the text names are relative to
// its directory. Parse reports all errors of the text at once. The error wraps ErrSpec.
func Parse(path, text string) (*Spec, error) {
	s, p := &Spec{Path: path}, &directive.Parser{}
	directive.Defaults(s, specTable)
	p.TopLevel = func(at directive.Position, words []directive.Word) { s.parseDirective(p, at, words) }
	p.Parse(path, text)
	s.check(p)
	if err := p.Err(); err != nil {
		return nil, fmt.Errorf("%w:\n%w", ErrSpec, err)
	}
	return s, nil
}

// parseDirective reads a top-level directive or the first line of a block.
func (s *Spec) parseDirective(p *directive.Parser, at directive.Position, words []directive.Word) {
	switch words[0].Text {
	case "day":
		name := func(sc *Scenario) *string { return &sc.Name }
		parseOther := func(sc *Scenario, at directive.Position, w []directive.Word) bool { return sc.parseFault(p, at, w) }
		directive.Block(p, at, words, scenarioTable, name, &s.Scenarios, parseOther)
	case "variant":
		name := func(v *Variant) *string { return &v.Name }
		directive.Block(p, at, words, variantTable, name, &s.Variants, nil)
	default:
		directive.Apply(p, at, words, s, specTable, "day, variant, include")
	}
}

// check reports an experiment without scenarios or variants, and each pair of a variant and a scenario whose
// configuration the simulation does not accept.
func (s *Spec) check(p *directive.Parser) {
	file := directive.Position{File: s.Path}
	if len(s.Scenarios) == 0 || len(s.Variants) == 0 {
		p.Fail(file, 0, "%d days and %d variants; at least one of each is needed", len(s.Scenarios), len(s.Variants))
	}
	for _, v := range s.Variants {
		for _, sc := range s.Scenarios {
			if _, err := simulation.Check(s.config(v, sc, 1)); err != nil {
				p.Fail(file, 0, "variant %q on day %q: %v", v.Name, sc.Name, err)
			}
		}
	}
}

// parseFault reads a line of a "day" block that describes faults: a fault as in a scenario file ("at"), or the path
// of a scenario file ("script"). It reports whether the line is one of these.
func (sc *Scenario) parseFault(p *directive.Parser, at directive.Position, words []directive.Word) bool {
	switch words[0].Text {
	case "at":
		sc.parseFaultLine(p, at)
	case "script":
		sc.parseFaultFile(p, at, words)
	default:
		return false
	}
	return true
}

func (sc *Scenario) parseFaultLine(p *directive.Parser, at directive.Position) {
	line, _, _ := strings.Cut(at.Text, "#")
	f, column, err := scenario.ParseLine(line)
	if err != nil {
		p.Fail(at, column, "%v", err)
		return
	}
	f.Line = at.Line
	sc.Faults = append(sc.Faults, f)
}

func (sc *Scenario) parseFaultFile(p *directive.Parser, at directive.Position, words []directive.Word) {
	if len(words) != 2 {
		p.Fail(at, words[0].Column, "script takes one file")
		return
	}
	path := filepath.Join(filepath.Dir(at.File), words[1].Text)
	faults, err := scenario.Load(path)
	if err != nil {
		p.Fail(at, words[1].Column, "%v", err)
	}
	sc.Faults = append(sc.Faults, faults...)
}
