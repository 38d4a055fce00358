// Package ci tests how the CI script handles the tests listed in KNOWN-RED.txt.
package ci

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

const (
	passingPackage = "package passing\n\nimport \"testing\"\n\nfunc TestSame(t *testing.T) {}\n"
	failingPackage = "package failing\n\nimport \"testing\"\n\nfunc TestSame(t *testing.T) { t.Error(\"failing\") }\n\nfunc TestFine(t *testing.T) { t.Log(\"ran\") }\n"
	knownRedEntry  = "./failing TestSame | go test ./failing | seed 4 | it says failing | issue 7\n"
)

// runScript runs .ci/tests on a small module. knownRed is the text of its KNOWN-RED.txt; "-" means no file. replaced lists pairs of a file name
// and its replacement text.
func runScript(t *testing.T, knownRed string, replaced ...string) (out string, passed bool) {
	t.Helper()
	script, err := filepath.Abs("../../../.ci/tests")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	files := map[string]string{"go.mod": "module small\n\ngo 1.24\n", "passing/passing_test.go": passingPackage, "failing/failing_test.go": failingPackage}
	for n := 0; n+1 < len(replaced); n += 2 {
		files[replaced[n]] = replaced[n+1]
	}
	if knownRed != "-" {
		files["KNOWN-RED.txt"] = knownRed
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

// The CI script tolerates failures of exactly the listed tests, which it still runs and reports. A failing test with the same
// name in another package, or another failing test of the same package, still fails CI. Invalid entries fail CI.
func TestKnownRed(t *testing.T) {
	brokenPassingPackage := strings.Replace(passingPackage, "{}", "{ t.Error(\"passing\") }", 1)
	for _, c := range []struct {
		name, knownRed, want string
		passed               bool
		replaced             []string
	}{
		{"no file", "-", "FAIL", false, nil},
		{"empty file", "", "FAIL", false, nil},
		{"listed", knownRedEntry, "known red, and fails: passed over", true, nil},
		{"listed, no final newline", strings.TrimSpace(knownRedEntry), "known red: ./failing TestSame | go test ./failing | seed 4 | it says failing | issue 7", true, nil},
		{"listed test passes", knownRedEntry, "take its line out", true, []string{"failing/failing_test.go", strings.Replace(failingPackage, "t.Error", "t.Log", 1)}},
		{"same name in another package", knownRedEntry, "FAIL\tsmall/passing", false, []string{"passing/passing_test.go", brokenPassingPackage}},
		{"another test of the package", knownRedEntry, "FAIL\tsmall/failing", false, []string{"failing/failing_test.go", strings.Replace(failingPackage, "t.Log", "t.Error", 1)}},
		{"two in one package and one in another", knownRedEntry + strings.Replace(knownRedEntry, "TestSame", "TestFine", 1) + strings.Replace(knownRedEntry, "failing", "passing", 1),
			"known red: ./passing TestSame", true, []string{"failing/failing_test.go", strings.Replace(failingPackage, "t.Log", "t.Error", 1), "passing/passing_test.go", brokenPassingPackage}},
		{"listed twice", knownRedEntry + knownRedEntry, "line 2: ./failing TestSame is there already", false, nil},
		{"no command", strings.Replace(knownRedEntry, "go test ./failing", "", 1), "line 1: must read", false, nil},
		{"no seed", strings.Replace(knownRedEntry, "seed 4", "", 1), "line 1: must read", false, nil},
		{"no observed failure", strings.Replace(knownRedEntry, "it says failing", " ", 1), "line 1: must read", false, nil},
		{"missing field", strings.Replace(knownRedEntry, "| seed 4 ", "", 1), "line 1: must read", false, nil},
		{"no issue", strings.Replace(knownRedEntry, "| issue 7", "", 1), "line 1: must read", false, nil},
		{"empty line", knownRedEntry + "\n", "line 2: must read", false, nil},
		{"pattern as test name", strings.Replace(knownRedEntry, "TestSame", "Test.*", 1), "line 1: must read", false, nil},
		{"nonexistent test", strings.Replace(knownRedEntry, "TestSame", "TestSam", 1), "no test TestSam in ./failing", false, nil},
		{"nonexistent package", strings.Replace(knownRedEntry, "./failing", "./absent", 1), "line 1", false, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			out, passed := runScript(t, c.knownRed, c.replaced...)
			if passed != c.passed || !strings.Contains(out, c.want) {
				t.Errorf("passed: %v, want %v and %q:\n%s", passed, c.passed, c.want, out)
			}
		})
	}
}
