package directive

import (
	"errors"
	"strings"
)

// Word is one word of a line.
type Word struct {
	Text   string // without its quotes
	Column int    // where it begins, in characters from 1
}

// errUnclosedQuote is the error of a line that ends within quotes.
var errUnclosedQuote = errors.New("a quote is not closed")

// tokenize splits a line into words. Quotes hold a word with spaces together; within double quotes \" and \\ stand for
// the character itself. A comment runs from # to the end of the line. An error comes with the column of its word. (The
// usual library, shlex, gives no columns.)
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

// endsWord reports whether a character that is not quoted ends a word.
func endsWord(r rune) bool { return isSpace(r) || r == '#' }

// scanWord reads the word that begins at start and returns the index behind it.
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

// isEscape reports whether the character at i is a backslash that escapes the next one.
func isEscape(runes []rune, i int, quote rune) bool {
	inDoubleQuotes := quote == '"'
	hasNext := i+1 < len(runes)
	return inDoubleQuotes && runes[i] == '\\' && hasNext
}
