// Command simhost runs the scheduler on the simulator. It speaks the simulator's wire protocol on standard input and
// output, and plays all instances that it is given. It exits with status 1 on input that is not as the protocol
// requires.
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
