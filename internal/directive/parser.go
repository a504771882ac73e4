package directive

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// maxIncludeDepth is the maximum nesting depth of included files. It ends the recursion of files that include each
// other.
const maxIncludeDepth = 8

// Keywords that every settings file supports, whatever its tables.
const (
	includeWord = "include"
	endWord     = "end"
)

// Position identifies one line of a settings file.
type Position struct {
	File string
	Line int    // line number, starting at 1; 0 means the whole file
	Text string // unprocessed text of the line
}

// Error is one error in a settings file, with its position.
type Error struct {
	File   string
	Line   int // line number, starting at 1; 0 means the whole file
	Column int // column in characters, starting at 1; 0 means the whole line
	Err    error
}

// Error implements error. It uses the format of compilers, which editors understand: file:line:column: text.
func (e *Error) Error() string { return fmt.Sprintf("%s:%d:%d: %v", e.File, e.Line, e.Column, e.Err) }

// Unwrap returns the error without its position.
func (e *Error) Unwrap() error { return e.Err }

// Parser parses one settings file, together with the files that it includes, and collects the errors.
type Parser struct {
	// TopLevel handles each line outside blocks, usually by a call to Block or Apply. It must be set before Parse is
	// called.
	TopLevel func(position Position, words []Word)

	errs  []error
	given map[string]bool // names of the directives given outside blocks
	block *openBlock      // block being parsed; nil outside blocks
}

// openBlock is a block whose "end" line has not been parsed yet.
type openBlock struct {
	name       string          // keyword that opened the block
	start      Position        // line that opened the block
	column     int             // column of the keyword
	given      map[string]bool // names of the directives given in the block
	handleLine func(position Position, words []Word)
	close      func()
}

// Fail records an error at a position; columns start at 1, and column 0 means the whole line.
func (p *Parser) Fail(position Position, column int, format string, args ...any) {
	p.errs = append(p.errs, &Error{File: position.File, Line: position.Line, Column: column, Err: fmt.Errorf(format, args...)})
}

// Parse parses text. name is the file name that errors report; relative paths of included files are resolved against
// its directory. Afterwards, Err returns the errors found.
func (p *Parser) Parse(name, text string) {
	p.given = map[string]bool{}
	p.parseFile(name, text, 0)
	if p.block != nil {
		p.Fail(p.block.start, p.block.column, "block %q has no end", p.block.name)
	}
}

// Err returns all recorded errors joined, each of type *Error, or nil if there are none.
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
		p.block.close()
		p.block = nil
	default:
		p.block.handleLine(position, words)
	}
}

func (p *Parser) include(position Position, words []Word, depth int) {
	if len(words) != 2 || depth >= maxIncludeDepth {
		p.Fail(position, words[0].Column, "include takes exactly one file and may be nested at most %d levels deep", maxIncludeDepth)
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

// Block opens a block whose name is the line's second word. When the block ends, its settings are appended to list.
// name returns a pointer to the field that holds the block's name. If intercept is not nil, it is called first for each
// line of the block; if it returns true, the line is not looked up in the table. Blocks do not nest.
func Block[T any](parser *Parser, position Position, words []Word, table []Directive[T], name func(*T) *string, list *[]T,
	intercept func(t *T, position Position, words []Word) bool,
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
	handleLine := func(position Position, words []Word) {
		if intercept != nil && intercept(settings, position, words) {
			return
		}
		Apply(parser, position, words, settings, table, endWord)
	}
	parser.block = &openBlock{
		name:       keyword.Text,
		start:      position,
		column:     keyword.Column,
		given:      map[string]bool{},
		handleLine: handleLine,
		close:      func() { *list = append(*list, *settings) },
	}
}

// failOnRepeatedName records an error for each block in list that has the same name as the block that words opens.
func failOnRepeatedName[T any](parser *Parser, position Position, words []Word, name func(*T) *string, list []T) {
	for i := range list {
		if *name(&list[i]) == words[1].Text {
			parser.Fail(position, words[1].Column, "%s %q is given twice", words[0].Text, words[1].Text)
		}
	}
}

// Apply applies the directive on one line to t. If the table has no such directive, it records an error that lists the
// table's directives and alternatives, which names the other keywords allowed at this point.
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

// checkRepeated marks a directive as given in the current block, or outside blocks if there is none. It records an
// error if the directive was already given there and is not repeatable.
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
