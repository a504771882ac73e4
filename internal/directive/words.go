package directive

import (
	"fmt"
	"strings"
)

// Word is one word of a line, with the column where it begins, from 1.
type Word struct {
	Text   string
	Column int
}

// split takes a line apart into words. Quotes hold a word with spaces together; within double quotes \" and \\
// stand for themselves. A comment runs from # to the end. (The usual library for this tells no columns.)
func split(line string) ([]Word, error) {
	var words []Word
	runes := []rune(line)
	for i := 0; i < len(runes); {
		switch r := runes[i]; {
		case r == ' ' || r == '\t' || r == '\r':
			i++
		case r == '#':
			return words, nil
		default:
			text, next, err := oneWord(runes, i)
			if err != nil {
				return nil, err
			}
			words = append(words, Word{text, i + 1})
			i = next
		}
	}
	return words, nil
}

// oneWord reads the word that begins at i and returns where it ends.
func oneWord(runes []rune, i int) (string, int, error) {
	var text strings.Builder
	quote, from := rune(0), i
	for ; i < len(runes); i++ {
		r := runes[i]
		switch {
		case quote == 0 && (r == ' ' || r == '\t' || r == '\r' || r == '#'):
			return text.String(), i, nil
		case quote == 0 && (r == '"' || r == '\''):
			quote = r
		case r == quote:
			quote = 0
		case quote == '"' && r == '\\' && i+1 < len(runes):
			i++
			text.WriteRune(runes[i])
		default:
			text.WriteRune(r)
		}
	}
	if quote != 0 {
		return "", i, fmt.Errorf("%d: a quote is not closed", from+1)
	}
	return text.String(), i, nil
}
