package directive

import (
	"errors"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"
)

// settings holds the values that the test's directives set.
type settings struct {
	size    int
	timeout time.Duration
	words   []string
	blocks  []block
}

type block struct {
	name    string
	enabled bool
}

var settingsTable = []Directive[settings]{
	Size("size", 1, 1<<20, "4k", "", func(s *settings) *int { return &s.size }),
	Duration("timeout", time.Millisecond, time.Hour, "1s", "", func(s *settings) *time.Duration { return &s.timeout }),
	{Name: "words", AllowedValues: "words", ValueCount: AnyValueCount, Repeatable: true, Set: func(s *settings, values []string) error {
		s.words = append(s.words, values...)
		return nil
	}},
}

var blockTable = []Directive[block]{
	OnOff("enabled", "off", "", func(b *block) *bool { return &b.enabled }),
}

func parse(text string) (settings, error) {
	var parsed settings
	Defaults(&parsed, settingsTable)
	parser := &Parser{}
	parser.TopLevel = func(position Position, words []Word) {
		if words[0].Text == "block" {
			Block(parser, position, words, blockTable, func(b *block) *string { return &b.name }, &parsed.blocks, nil)
			return
		}
		Apply(parser, position, words, &parsed, settingsTable, "block")
	}
	parser.Parse("f", text)
	return parsed, parser.Err()
}

func TestTokenize_Line_SplitsIntoWordsWithColumns(t *testing.T) {
	for name, test := range map[string]struct {
		line string
		want []Word
	}{
		"empty":             {"", nil},
		"comment only":      {"  # text", nil},
		"spaces and tabs":   {" a\t b\r", []Word{{"a", 2}, {"b", 5}}},
		"comment at word":   {"a#b c", []Word{{"a", 1}}},
		"double quotes":     {`a "b c"`, []Word{{"a", 1}, {"b c", 3}}},
		"single quotes":     {`'a "b'`, []Word{{`a "b`, 1}}},
		"quoted comment":    {`"a # b"`, []Word{{"a # b", 1}}},
		"escapes":           {`"a\"b\\c"`, []Word{{`a"b\c`, 1}}},
		"no escape outside": {`a\b`, []Word{{`a\b`, 1}}},
		"quotes in a word":  {`a"b c"d`, []Word{{"ab cd", 1}}},
		"empty word":        {`a ""`, []Word{{"a", 1}, {"", 3}}},
		"wide characters":   {"é ü", []Word{{"é", 1}, {"ü", 3}}},
	} {
		if got, _, err := tokenize(test.line); err != nil || !reflect.DeepEqual(got, test.want) {
			t.Errorf("%s: %+v, %v; want %+v", name, got, err, test.want)
		}
	}
}

func TestTokenize_UnclosedQuote_ReturnsColumnOfWord(t *testing.T) {
	for line, want := range map[string]int{`a "b`: 3, `a b'c`: 3, `"a\"`: 1} {
		if _, column, err := tokenize(line); !errors.Is(err, errUnclosedQuote) || column != want {
			t.Errorf("%s: error %v at column %d, want column %d", line, err, column, want)
		}
	}
}

func TestSize_Value_IsParsedWithinBounds(t *testing.T) {
	for text, want := range map[string]int{"1": 1, "2k": 2 << 10, "2K": 2 << 10, "1m": 1 << 20} {
		if got, err := parse("size " + text); err != nil || got.size != want {
			t.Errorf("size %s: %d, %v; want %d", text, got.size, err, want)
		}
	}
	for _, text := range []string{"0", "2m", "1g", "-1", "k", "1.5k", "9223372036854775807k", ""} {
		got, err := parse("size " + text)
		if err == nil || got.size != 4<<10 {
			t.Errorf("size %q: %d, error %v; want an error and the default", text, got.size, err)
		}
	}
}

func TestParser_BlockAndRepeatableDirective_AreSet(t *testing.T) {
	got, err := parse("words a b\nwords c # comment\nblock x\n enabled on\nend\nblock y\nend\n")
	want := settings{
		size: 4 << 10, timeout: time.Second, words: []string{"a", "b", "c"},
		blocks: []block{{name: "x", enabled: true}, {name: "y"}},
	}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%+v, %v; want %+v", got, err, want)
	}
}

func TestParser_InvalidLines_AllReportedWithPosition(t *testing.T) {
	_, err := parse(strings.Join([]string{
		"size 1 2",         // 1
		"size 1",           // 2
		"end",              // 3
		"block",            // 4
		" enabled maybe",   // 5
		" timeout 1s",      // 6
		"end",              // 7
		"include nowhere",  // 8
		"include one more", // 9
		"block open",       // 10
	}, "\n"))
	want := []string{
		`f:1:6: size: found "1 2"; allowed: bytes, with k, m or g for 1024 and its powers, 1 to 1048576`,
		`f:2:1: size is given twice`,
		`f:3:1: found "end"; allowed: size, timeout, words, block`,
		`f:4:1: found 1 words; allowed: block NAME`,
		`f:5:10: enabled: found "maybe"; allowed: on or off`,
		`f:6:2: found "timeout"; allowed: enabled, end`,
		`f:8:9: open nowhere: no such file or directory`,
		`f:9:1: include takes exactly one file and may be nested at most 8 levels deep`,
		`f:10:1: block "block" has no end`,
	}
	if err == nil || err.Error() != strings.Join(want, "\n") {
		t.Errorf("got:\n%v\nwant:\n%s", err, strings.Join(want, "\n"))
	}
	var first *Error
	if !errors.As(err, &first) || first.File != "f" || first.Line != 1 || first.Column != 6 {
		t.Errorf("first error is %+v", first)
	}
	if !errors.Is(err, os.ErrNotExist) {
		t.Errorf("%v does not wrap the error of the included file", err)
	}
}

func TestDefaults_DefaultThatIsNotAllowed_Panics(t *testing.T) {
	defer func() {
		if recover() == nil {
			t.Error("no panic")
		}
	}()
	Defaults(&block{}, []Directive[block]{OnOff("enabled", "maybe", "", func(b *block) *bool { return &b.enabled })})
}
