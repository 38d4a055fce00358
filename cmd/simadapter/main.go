// Simadapter runs router instances on the bench's wire.
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
