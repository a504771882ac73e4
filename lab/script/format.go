package script

import (
	"fmt"
	"strings"
)

// Format writes a trouble as the line that ParseLine reads.
func Format(t Trouble) string {
	var out strings.Builder
	fmt.Fprintf(&out, "at %v %s", t.At, t.Verb)
	for _, w := range verbs[t.Verb] {
		if key := keywords[w]; key != "" {
			out.WriteString(" " + key)
		}
		switch w {
		case share:
			fmt.Fprintf(&out, " %g%%", 100*t.Share)
		case number:
			fmt.Fprintf(&out, " %d", t.Number)
		case rate, factor:
			fmt.Fprintf(&out, " %g", t.Factor)
		case lasts:
			fmt.Fprintf(&out, " %v", t.For)
		case over:
			fmt.Fprintf(&out, " %v", t.Over)
		case drain:
			fmt.Fprintf(&out, " %v", t.Drain)
		case by:
			fmt.Fprintf(&out, " %v", t.By)
		}
	}
	return out.String()
}

// Takes says whether a verb takes a share, a factor that is a share, a factor of slowness, a time that it lasts,
// and so on, by the words of the language.
func Takes(verb string) (words map[string]bool) {
	words = map[string]bool{}
	for _, w := range verbs[verb] {
		words[map[word]string{share: "share", number: "number", rate: "rate", factor: "factor", lasts: "for", over: "over",
			drain: "drain", by: "by"}[w]] = true
	}
	return words
}
