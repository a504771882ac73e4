// Command benchlink speaks the bench's wire on standard input and output and
// plays every instance that it is given.
package main

import (
	"fmt"
	"os"

	"havencart/internal/simhost"
)

func main() {
	if err := simhost.New().Run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}
