package fleet

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var (
	repeats  = flag.Int("repeats", 1, "number of runs of each scenario")
	shown    = flag.String("show", "", "show the logs of these processes, separated by spaces, if a scenario fails")
	selected = flag.String("scenario", "", "run only this scenario")
)

// maxShownLog limits the bytes shown from the end of a log.
const maxShownLog = 2500

// Each scenario starts a fleet of processes, injects faults and runs the checkers on the audit logs.
func TestScenarios(t *testing.T) {
	binary := buildProgram(t)
	paths, err := filepath.Glob("testdata/*.toml")
	if err != nil || len(paths) == 0 {
		t.Fatal("no scenarios", err)
	}
	for _, path := range paths {
		name := strings.TrimSuffix(filepath.Base(path), ".toml")
		if *selected != "" && *selected != name {
			continue
		}
		for n := range *repeats {
			t.Run(fmt.Sprint(name, "/", n), func(t *testing.T) {
				t.Parallel()
				acquireFleetSlot(t)
				runScenarioFile(t, binary, path)
			})
		}
	}
}

func runScenarioFile(t *testing.T, binary, path string) {
	t.Helper()
	scenario, err := LoadScenario(path)
	if err != nil {
		t.Fatal(err)
	}
	directory := t.TempDir()
	outcome, err := RunScenario(scenario, binary, directory)
	if err != nil {
		for _, name := range strings.Fields(*shown) {
			showLog(t, filepath.Join(directory, logDirectory, name+".log"))
		}
		t.Fatal(err)
	}
	t.Logf("%d acts accepted, %d stale acts rejected, %d writes succeeded, %d unresolved, %.1f s", outcome.AcceptedActs, outcome.StaleActs,
		outcome.Succeeded, outcome.Unresolved, outcome.Duration.Seconds())
}

func showLog(t *testing.T, path string) {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Log(err)
		return
	}
	t.Logf("%s: %s", path, text[max(0, len(text)-maxShownLog):])
}

// An invalid step is reported when the scenario is loaded, with the file and the step's number.
func TestParseScenario_WrongStep(t *testing.T) {
	for step, want := range map[string]string{
		"":                               "a step needs a verb",
		"pause r1":                       "no such verb: pause",
		"stop":                           "a process is missing",
		"stop r9":                        "no such process: r9",
		"stop r1 r2":                     "unexpected: r2",
		"stop $old":                      "no earlier step sets $old",
		"await-sessions many":            `a count: "many" is not a number`,
		"await-sessions -1":              `a count: "-1" is not a number`,
		"await-leader":                   "as V is missing",
		"await-leader as":                "a variable is missing",
		"failpoint r1 policy.adopt wait": "wait is not stop or kill",
		"blackhole r1 c1 there":          "there is not forward or back",
		"await-event r1 start duty":      `"duty" is not FIELD=TEXT`,
		"await-event r1 start duty=$old": "no earlier step sets $old",
		"command-fails fleet status":     "-- TEXT is missing",
		"command check {c9.config}":      "no such process: c9",
		"command check {c1.name}":        "{c1.name} is unknown",
	} {
		_, err := parseScenario("some.toml", []byte(fmt.Sprintf("steps = [%q, %q]\n", "await-sessions 3", step)))
		var failed *StepError
		if !errors.As(err, &failed) || failed.Scenario != "some.toml" || failed.Number != 2 || failed.Step != step {
			t.Errorf("%q: %v", step, err)
			continue
		}
		if failed.Err.Error() != want {
			t.Errorf("%q: %q, want %q", step, failed.Err, want)
		}
	}
}

// All invalid steps are reported, and so are unknown keys and invalid durations.
func TestParseScenario_AllMistakes(t *testing.T) {
	_, err := parseScenario("some.toml", []byte(`steps = ["stop r9", "start r1", "pause r1"]`))
	if err == nil || !strings.Contains(err.Error(), "some.toml: step 1, \"stop r9\": no such process: r9\nsome.toml: step 3, \"pause r1\": no such verb: pause") {
		t.Errorf("steps: %v", err)
	}
	if _, err := parseScenario("some.toml", []byte("witnesses = 3\n")); err == nil || !strings.Contains(err.Error(), "witnesses") {
		t.Errorf("key: %v", err)
	}
	if _, err := parseScenario("some.toml", []byte("session_timeout = \"soon\"\n")); err == nil || !strings.Contains(err.Error(), "some.toml: session_timeout: ") {
		t.Errorf("duration: %v", err)
	}
}

// Later steps know the processes that a step adds and the variables that it sets.
func TestParseScenario_EarlierSteps(t *testing.T) {
	scenario, err := parseScenario("some.toml", []byte(`steps = ["join c4", "kill c4", "await-leader as first", "stop $first", "propose p", "await-policy r1 $p"]`))
	if err != nil {
		t.Fatal(err)
	}
	if len(scenario.steps) != len(scenario.Steps) {
		t.Errorf("%d steps, not %d", len(scenario.steps), len(scenario.Steps))
	}
}

// The comment of Scenario describes each verb.
func TestVerbs_AreDescribed(t *testing.T) {
	text, err := os.ReadFile("scenario.go")
	if err != nil {
		t.Fatal(err)
	}
	for verb := range verbs {
		if !strings.Contains(string(text), "//\t"+verb) && !strings.Contains(string(text), "| "+verb) {
			t.Errorf("%s is not described", verb)
		}
	}
}
