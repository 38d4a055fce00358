package fleet

import (
	"encoding/json"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

const commandsDir = "testdata/commands"

// runProgram runs the program and returns its output.
func runProgram(binary string, args ...string) (string, error) {
	out, err := exec.Command(binary, args...).CombinedOutput()
	return string(out), err
}

// The program accepts each command, flag and argument that operators' scripts may use. The help flag is evaluated after all others are parsed,
// so an unknown flag leads to an error instead of the help text.
func TestCommands_AreAccepted(t *testing.T) {
	binary := buildProgram(t)
	lines, err := os.ReadFile(filepath.Join(commandsDir, "commands.txt"))
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	file := filepath.Join(dir, "file")
	if err := os.WriteFile(file, nil, fileMode); err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(lines)) {
		args := strings.Fields(strings.NewReplacer("FILE", file, "DIR", dir).Replace(line))
		if out, err := runProgram(binary, append(args, "--help")...); err != nil || !strings.HasPrefix(out, "Usage: wayloft ") {
			t.Errorf("%s: %v: %s", strings.TrimSpace(line), err, out)
		}
	}
	if out, err := runProgram(binary, "fleet", "status", "--other", "--help"); err == nil {
		t.Errorf("an unknown flag was accepted: %s", out)
	}
}

// The environment variables of flags keep their names.
func TestCommands_KeepTheirEnvironment(t *testing.T) {
	binary := buildProgram(t)
	for _, c := range []struct{ name, command string }{
		{"PROXY_CONFIG", "serve"}, {"PROXY_CONFIG", "check"}, {"WAYLOFT_COUNCIL", "fleet status"}, {"WAYLOFT_FLEET", "policy propose"},
	} {
		out, err := runProgram(binary, append(strings.Fields(c.command), "--help")...)
		if err != nil || !strings.Contains(out, "($"+c.name+")") {
			t.Errorf("%s doesn't name %s: %v: %s", c.command, c.name, err, out)
		}
	}
}

// Each key of the platform's configuration is required, and the error names a missing one.
func TestPlatformConfiguration_KeepsItsKeys(t *testing.T) {
	binary := buildProgram(t)
	text, err := os.ReadFile(filepath.Join(commandsDir, "platform.json"))
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	check := func(configuration map[string]any) (string, error) {
		t.Helper()
		text, err := json.Marshal(configuration)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, text, fileMode); err != nil {
			t.Fatal(err)
		}
		return runProgram(binary, "check", "--config", path)
	}
	whole := map[string]any{}
	if err := json.Unmarshal(text, &whole); err != nil {
		t.Fatal(err)
	}
	if out, err := check(whole); err != nil || !strings.Contains(out, "n1 listens on 127.0.0.1:0") {
		t.Errorf("%v: %s", err, out)
	}
	limits := whole["limits"].(map[string]any)
	for _, key := range slices.Sorted(maps.Keys(limits)) {
		fewer := maps.Clone(limits)
		delete(fewer, key)
		without := maps.Clone(whole)
		without["limits"] = fewer
		if out, err := check(without); err == nil || !strings.Contains(out, "limits."+key+": ") {
			t.Errorf("without limits.%s: %v: %s", key, err, out)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(whole)) {
		without := maps.Clone(whole)
		delete(without, key)
		if out, err := check(without); err == nil || !strings.Contains(out, key+": ") {
			t.Errorf("without %s: %v: %s", key, err, out)
		}
	}
}

// The program accepts the shipped settings unchanged.
func TestShippedSettings_AreAccepted(t *testing.T) {
	binary := buildProgram(t)
	if out, err := runProgram(binary, "check", "--config", "../../../deploy/wayloft.toml"); err != nil {
		t.Errorf("%v: %s", err, out)
	}
}
