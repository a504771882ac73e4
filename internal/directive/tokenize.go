package directive

import (
	"errors"
	"strings"
)

// Word is one word of a line.
type Word struct {
	Text   string // text of the word without quotes and escapes
	Column int    // column of the first character, in characters starting at 1
}

// errUnclosedQuote is returned for a line that ends inside a quoted string.
var errUnclosedQuote = errors.New("a quote is not closed")

// tokenize splits a line into words. Single or double quotes enclose text that may contain spaces; within double
// quotes, \" and \\ stand for the escaped character. A comment extends from an unquoted # to the end of the line. On an
// error, errorColumn is the column of the word that caused it. The widely used shlex package is not an alternative, as
// it does not report columns.
func tokenize(line string) (words []Word, errorColumn int, err error) {
	runes := []rune(line)
	for i := 0; i < len(runes); {
		switch {
		case isSpace(runes[i]):
			i++
		case runes[i] == '#':
			return words, 0, nil
		default:
			text, next, err := scanWord(runes, i)
			if err != nil {
				return nil, i + 1, err
			}
			words = append(words, Word{Text: text, Column: i + 1})
			i = next
		}
	}
	return words, 0, nil
}

func isSpace(r rune) bool { return r == ' ' || r == '\t' || r == '\r' }

func isQuote(r rune) bool { return r == '"' || r == '\'' }

// endsWord reports whether an unquoted character ends a word.
func endsWord(r rune) bool { return isSpace(r) || r == '#' }

// scanWord reads the word that begins at start. next is the index of the first character after the word.
func scanWord(runes []rune, start int) (text string, next int, err error) {
	const unquoted = rune(0)
	var word strings.Builder
	quote := unquoted
	for i := start; i < len(runes); i++ {
		r := runes[i]
		switch {
		case quote == unquoted && endsWord(r):
			return word.String(), i, nil
		case quote == unquoted && isQuote(r):
			quote = r
		case r == quote:
			quote = unquoted
		case isEscape(runes, i, quote):
			i++
			word.WriteRune(runes[i])
		default:
			word.WriteRune(r)
		}
	}
	if quote != unquoted {
		return "", len(runes), errUnclosedQuote
	}
	return word.String(), len(runes), nil
}

// isEscape reports whether the character at i is a backslash that escapes the next character.
func isEscape(runes []rune, i int, quote rune) bool {
	inDoubleQuotes := quote == '"'
	hasNext := i+1 < len(runes)
	return inDoubleQuotes && runes[i] == '\\' && hasNext
}
