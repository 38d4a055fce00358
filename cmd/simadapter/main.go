// Simadapter runs router instances for the bench, with which it exchanges events and decisions over standard input and output.
package main

import (
	"fmt"
	"os"

	"wayloft/internal/simadapter"
)

func main() {
	if err := simadapter.Run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}
