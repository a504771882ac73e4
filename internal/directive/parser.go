package directive

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// maxIncludeDepth bounds files that include each other.
const maxIncludeDepth = 8

// The words that every settings file has.
const (
	includeWord = "include"
	endWord     = "end"
)

// Position is a line of a file.
type Position struct {
	File string
	Line int    // from 1; 0 stands for the file as a whole
	Text string // the line as it is written
}

// Error is one error of a settings file.
type Error struct {
	File   string
	Line   int // from 1; 0 stands for the file as a whole
	Column int // in characters from 1; 0 stands for the line as a whole
	Err    error
}

// Error implements error, in the form that editors and compilers use: file:line:column: text.
func (e *Error) Error() string { return fmt.Sprintf("%s:%d:%d: %v", e.File, e.Line, e.Column, e.Err) }

// Unwrap returns the error without its place.
func (e *Error) Unwrap() error { return e.Err }

// Parser reads a settings file and collects its errors. It is for one file; included files are read with it.
type Parser struct {
	// TopLevel handles each line that is in no block, mostly by Block or Apply. It is set before Parse.
	TopLevel func(at Position, words []Word)

	errs  []error
	given map[string]bool // directives given outside blocks
	block *openBlock      // nil outside blocks
}

// openBlock is a block whose end has not been read.
type openBlock struct {
	name   string
	start  Position
	column int
	given  map[string]bool // directives given in the block
	line   func(at Position, words []Word)
	end    func()
}

// Fail records an error at a place; column counts from 1.
func (p *Parser) Fail(position Position, column int, format string, args ...any) {
	p.errs = append(p.errs, &Error{File: position.File, Line: position.Line, Column: column, Err: fmt.Errorf(format, args...)})
}

// Parse reads text; name is the file's name in errors, and files that it includes are found from its directory. Err
// then tells what was wrong.
func (p *Parser) Parse(name, text string) {
	p.given = map[string]bool{}
	p.parseFile(name, text, 0)
	if p.block != nil {
		p.Fail(p.block.start, p.block.column, "block %q has no end", p.block.name)
	}
}

// Err returns all errors joined, each an *Error, or nil if there are none.
func (p *Parser) Err() error { return errors.Join(p.errs...) }

func (p *Parser) parseFile(name, text string, depth int) {
	for i, line := range strings.Split(text, "\n") {
		position := Position{File: name, Line: i + 1, Text: line}
		words, errorColumn, err := tokenize(line)
		if err != nil {
			p.Fail(position, errorColumn, "%w", err)
			continue
		}
		if len(words) > 0 {
			p.parseLine(position, words, depth)
		}
	}
}

func (p *Parser) parseLine(position Position, words []Word, depth int) {
	first := words[0].Text
	switch {
	case first == includeWord:
		p.include(position, words, depth)
	case p.block == nil:
		p.TopLevel(position, words)
	case first == endWord:
		p.block.end()
		p.block = nil
	default:
		p.block.line(position, words)
	}
}

func (p *Parser) include(position Position, words []Word, depth int) {
	if len(words) != 2 || depth >= maxIncludeDepth {
		p.Fail(position, words[0].Column, "include takes one file, %d deep at most", maxIncludeDepth)
		return
	}
	path := words[1].Text
	if !filepath.IsAbs(path) {
		path = filepath.Join(filepath.Dir(position.File), path)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		p.Fail(position, words[1].Column, "%w", err)
		return
	}
	p.parseFile(path, string(raw), depth+1)
}

// Block opens a block that is named by the line's second word; its end appends the block's settings to list. name
// returns where the settings hold the block's name. other, unless nil, is given each line of the block first; where it
// returns true the line is not looked up in the table. Blocks do not nest.
func Block[T any](parser *Parser, position Position, words []Word, table []Directive[T], name func(*T) *string, list *[]T,
	other func(t *T, position Position, words []Word) bool,
) {
	settings := new(T)
	Defaults(settings, table)
	keyword := words[0]
	if len(words) != 2 {
		parser.Fail(position, keyword.Column, "found %d words; allowed: %s NAME", len(words), keyword.Text)
	} else {
		*name(settings) = words[1].Text
		failOnRepeatedName(parser, position, words, name, *list)
	}
	line := func(position Position, words []Word) {
		if other != nil && other(settings, position, words) {
			return
		}
		Apply(parser, position, words, settings, table, endWord)
	}
	parser.block = &openBlock{
		name:   keyword.Text,
		start:  position,
		column: keyword.Column,
		given:  map[string]bool{},
		line:   line,
		end:    func() { *list = append(*list, *settings) },
	}
}

// failOnRepeatedName records an error for each block of the list that has the name of the block opened by words.
func failOnRepeatedName[T any](parser *Parser, position Position, words []Word, name func(*T) *string, list []T) {
	for i := range list {
		if *name(&list[i]) == words[1].Text {
			parser.Fail(position, words[1].Column, "%s %q is given twice", words[0].Text, words[1].Text)
		}
	}
}

// Apply sets in t what one line says. alternatives names what else may stand there, for the error about a directive
// that the table does not have.
func Apply[T any](parser *Parser, position Position, words []Word, t *T, table []Directive[T], alternatives string) {
	keyword := words[0]
	for i := range table {
		if table[i].Name == keyword.Text {
			parser.checkRepeated(position, keyword, table[i].Repeatable)
			applyValues(parser, position, words, t, &table[i])
			return
		}
	}
	names := make([]string, 0, len(table))
	for _, directive := range table {
		names = append(names, directive.Name)
	}
	parser.Fail(position, keyword.Column, "found %q; allowed: %s, %s", keyword.Text, strings.Join(names, ", "), alternatives)
}

// checkRepeated notes that a directive is given in the present block, and records an error if it may not be given
// again.
func (p *Parser) checkRepeated(position Position, keyword Word, repeatable bool) {
	given := p.given
	if p.block != nil {
		given = p.block.given
	}
	if given[keyword.Text] && !repeatable {
		p.Fail(position, keyword.Column, "%s is given twice", keyword.Text)
	}
	given[keyword.Text] = true
}

func applyValues[T any](parser *Parser, position Position, words []Word, t *T, directive *Directive[T]) {
	values := make([]string, 0, len(words))
	for _, word := range words[1:] {
		values = append(values, word.Text)
	}
	column := words[0].Column
	if len(words) > 1 {
		column = words[1].Column
	}
	if directive.apply(t, values) != nil {
		parser.Fail(position, column, "%s: found %q; allowed: %s", directive.Name, strings.Join(values, " "), directive.AllowedValues)
	}
}
