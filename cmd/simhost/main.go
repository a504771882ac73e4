// Command simhost runs the scheduler for the simulator. It speaks the simulator's wire protocol on standard input and
// output and runs all instances that the simulator opens. It exits with status 1 if reading, processing or writing
// fails, for example on input that violates the protocol.
package main

import (
	"fmt"
	"os"

	"havencart/internal/simhost"
)

func main() {
	if err := simhost.New().Run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}
