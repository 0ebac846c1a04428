// Command simhost runs any number of simulated fronts, which speak the simulator's line protocol on standard input and
// output.
package main

import (
	"fmt"
	"os"

	"micatrack/internal/simwire"
)

func main() {
	if err := simwire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}
