package main

import (
	"os"
	"os/exec"
	"testing"
)

// scriptsVariable has the tests start the scripts of the cases. They take up to two minutes each, and need review/build-2.sh.
const scriptsVariable = "REVIEW_SECOND"

func runScript(t *testing.T, path string, arguments ...string) {
	t.Helper()
	if os.Getenv(scriptsVariable) == "" {
		t.Skipf("starts a script of the review only where %s is set", scriptsVariable)
	}
	if out, err := exec.Command(path, arguments...).CombinedOutput(); err != nil {
		t.Fatalf("%s: %v\n%s", path, err, out)
	}
}

func TestCase6(t *testing.T)  { runScript(t, "../6/run.sh") }
func TestCase7(t *testing.T)  { runScript(t, "../7/run.sh") }
func TestCase8(t *testing.T)  { runScript(t, "../8/run.sh") }
func TestCase9(t *testing.T)  { runScript(t, "../9/run.sh") }
func TestCase10(t *testing.T) { runScript(t, "../10/run.sh") }

// TestAlso plays what was found and is not among the five cases.
func TestAlso(t *testing.T) {
	for _, name := range []string{"batch", "twice", "told", "role", "parameter", "lastval", "sticky", "memory"} {
		t.Run(name, func(t *testing.T) { runScript(t, "./also.sh", name) })
	}
}
