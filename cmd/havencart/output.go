package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// output prints a command's results or progress. An error of the writer is passed over: a reader that closed its end,
// such as head, does not stop the command.
type output struct{ writer io.Writer }

// results returns the output for what a command was run for, on standard output.
func results(cmd *cobra.Command) output { return output{cmd.OutOrStdout()} }

// progress returns the output for messages while a command runs, on standard error.
func progress(cmd *cobra.Command) output { return output{cmd.ErrOrStderr()} }

func (o output) print(values ...any)                 { _, _ = fmt.Fprint(o.writer, values...) }
func (o output) println(values ...any)               { _, _ = fmt.Fprintln(o.writer, values...) }
func (o output) printf(format string, values ...any) { _, _ = fmt.Fprintf(o.writer, format, values...) }
