// Package ci has the tests of what CI passes over, and nothing else.
package ci

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

const (
	calm = "package calm\n\nimport \"testing\"\n\nfunc TestSame(t *testing.T) {}\n"
	sore = "package sore\n\nimport \"testing\"\n\nfunc TestSame(t *testing.T) { t.Error(\"sore\") }\n\nfunc TestFine(t *testing.T) { t.Log(\"ran\") }\n"
	line = "./sore TestSame: its cause; issue 7\n"
)

// tests runs CI's part on a small module, of which a test may be replaced.
func tests(t *testing.T, red string, replaced ...string) (out string, passed bool) {
	t.Helper()
	script, err := filepath.Abs("../../../.ci/tests")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	files := map[string]string{"go.mod": "module small\n\ngo 1.24\n", "calm/calm_test.go": calm, "sore/sore_test.go": sore}
	for n := 0; n+1 < len(replaced); n += 2 {
		files[replaced[n]] = replaced[n+1]
	}
	if red != "-" {
		files["KNOWN-RED.txt"] = red
	}
	for name, text := range files {
		if err := os.MkdirAll(filepath.Dir(filepath.Join(dir, name)), 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	c := exec.Command("bash", script)
	c.Dir = dir
	b, err := c.CombinedOutput()
	return string(b), err == nil
}

// CI passes over just the tests that are named, runs them and says so, and nothing else gets by: not a test of the same
// name elsewhere, nor another of the same package.
func TestKnownRed(t *testing.T) {
	broken := strings.Replace(calm, "{}", "{ t.Error(\"calm\") }", 1)
	for _, c := range []struct {
		name, red, want string
		passed          bool
		replaced        []string
	}{
		{"no file", "-", "FAIL", false, nil},
		{"an empty file", "", "FAIL", false, nil},
		{"named", line, "known red, and fails: passed over", true, nil},
		{"named, no line end", strings.TrimSpace(line), "known red: ./sore TestSame: its cause; issue 7", true, nil},
		{"passes by now", line, "take its line out", true, []string{"sore/sore_test.go", strings.Replace(sore, "t.Error", "t.Log", 1)}},
		{"same name elsewhere", line, "FAIL\tsmall/calm", false, []string{"calm/calm_test.go", broken}},
		{"another of the package", line, "FAIL\tsmall/sore", false, []string{"sore/sore_test.go", strings.Replace(sore, "t.Log", "t.Error", 1)}},
		{"four lines", strings.Repeat(line, 4), "more than three lines", false, nil},
		{"no cause", "./sore TestSame: ; issue 7\n", "line 1: must read", false, nil},
		{"no issue", "./sore TestSame: its cause\n", "line 1: must read", false, nil},
		{"an empty line", line + "\n", "line 2: must read", false, nil},
		{"a pattern", "./sore Test.*: its cause; issue 7\n", "line 1: must read", false, nil},
		{"no such test", "./sore TestSam: its cause; issue 7\n", "no test TestSam in ./sore", false, nil},
		{"no such package", "./sour TestSame: its cause; issue 7\n", "line 1", false, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			out, passed := tests(t, c.red, c.replaced...)
			if passed != c.passed || !strings.Contains(out, c.want) {
				t.Errorf("passed: %v, want %v and %q:\n%s", passed, c.passed, c.want, out)
			}
		})
	}
}
