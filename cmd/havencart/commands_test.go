package main

import (
	"bytes"
	"testing"
)

// Deploy files and habits have the old words of commands that were renamed.
func TestRootCommand_OldWord_ResolvesToRenamedCommand(t *testing.T) {
	for old, want := range map[string]string{
		"relay":      "serve-platform",
		"hunt":       "fault-search",
		"transcribe": "import-report",
	} {
		for _, word := range []string{old, want} {
			if cmd, _, err := rootCommand().Find([]string{word}); err != nil || cmd.Name() != want {
				t.Errorf("%s resolves to %q, %v; want %s", word, cmd.Name(), err, want)
			}
		}
	}
}

func TestExitCode_WrongCommandLine_IsSettingsError(t *testing.T) {
	for _, args := range [][]string{{"check", "/does/not/exist"}, {"load", "--shape", "square"}, {"run", "--colour"}, {"--log", "loud", "run", "x"}} {
		cmd := rootCommand()
		cmd.SetArgs(args)
		cmd.SetOut(new(bytes.Buffer))
		if code := exitCode(cmd.Execute()); code != exitSettings {
			t.Errorf("%v: exit code %d", args, code)
		}
	}
}
