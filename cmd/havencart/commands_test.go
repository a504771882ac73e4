package main

import (
	"bytes"
	"testing"
)

// Deploy files and users still use the old names of renamed commands.
func TestRootCommand_OldName_ResolvesToRenamedCommand(t *testing.T) {
	for old, want := range map[string]string{
		"relay":      "serve-platform",
		"hunt":       "fault-search",
		"transcribe": "import-report",
	} {
		for _, name := range []string{old, want} {
			if cmd, _, err := rootCommand().Find([]string{name}); err != nil || cmd.Name() != want {
				t.Errorf("%s resolves to %q, %v; want %s", name, cmd.Name(), err, want)
			}
		}
	}
}

func TestExitCode_InvalidCommandLine_IsSettingsError(t *testing.T) {
	for _, args := range [][]string{{"check", "/does/not/exist"}, {"load", "--shape", "square"}, {"run", "--colour"}, {"--log", "loud", "run", "x"}} {
		cmd := rootCommand()
		cmd.SetArgs(args)
		cmd.SetOut(new(bytes.Buffer))
		if code := exitCode(cmd.Execute()); code != exitSettings {
			t.Errorf("%v: exit code %d", args, code)
		}
	}
}
