// Drill runs router instances on the bench's wire.
package main

import (
	"fmt"
	"os"

	"wayloft/internal/drill"
)

func main() {
	if err := drill.Run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}
