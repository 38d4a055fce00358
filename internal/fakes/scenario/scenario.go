// Package scenario runs text files against a decision module: one step per line, with # starting a comment. The caller interprets the steps.
package scenario

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Run plays each file testdata/*.txt as a subtest. It calls begin once per file for a new step function, which is called with each step.
// An error from a step fails the subtest and is reported with the file and line.
func Run(t *testing.T, begin func() (step func(line string) error)) {
	t.Helper()
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scenario files in testdata: %v", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			step := begin()
			for n, line := range strings.Split(string(text), "\n") {
				line, _, _ = strings.Cut(line, "#")
				if line = strings.TrimSpace(line); line != "" {
					if err := step(line); err != nil {
						t.Fatalf("%s:%d: %s: %v", file, n+1, line, err)
					}
				}
			}
		})
	}
}
