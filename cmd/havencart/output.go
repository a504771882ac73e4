package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// output prints the results or the progress of a command. Write errors are ignored, so that a reader that closes its
// end of a pipe, such as head, does not stop the command.
type output struct{ writer io.Writer }

// results returns the output for the results of a command, which is standard output by default.
func results(cmd *cobra.Command) output { return output{cmd.OutOrStdout()} }

// progress returns the output for progress messages of a command, which is standard error by default.
func progress(cmd *cobra.Command) output { return output{cmd.ErrOrStderr()} }

func (o output) print(values ...any)                 { _, _ = fmt.Fprint(o.writer, values...) }
func (o output) println(values ...any)               { _, _ = fmt.Fprintln(o.writer, values...) }
func (o output) printf(format string, values ...any) { _, _ = fmt.Fprintf(o.writer, format, values...) }
