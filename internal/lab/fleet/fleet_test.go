package fleet

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
)

var (
	repeats = flag.Int("repeats", 1, "how often each script is played")
	logs    = flag.String("show", "", "logs of these processes are shown where a script fails")
	only    = flag.String("script", "", "play this one alone")
)

var few = make(chan bool, 3)

var build = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "wayloft-fleet-test-")
	if err != nil {
		return "", err
	}
	binary := filepath.Join(dir, "wayloft")
	out, err := exec.Command("go", "build", "-tags", "debug", "-o", binary, "wayloft/cmd/wayloft").CombinedOutput()
	if err != nil {
		err = fmt.Errorf("%w: %s", err, out)
	}
	return binary, err
})

func TestMain(m *testing.M) {
	code := m.Run()
	if binary, err := build(); err == nil {
		os.RemoveAll(filepath.Dir(binary))
	}
	os.Exit(code)
}

// Each script starts a fleet of processes, has it befallen by faults, and what they wrote is checked.
func TestScripts(t *testing.T) {
	binary, err := build()
	if err != nil {
		t.Fatal(err)
	}
	files, err := filepath.Glob("testdata/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatal("no scripts", err)
	}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".toml")
		if *only != "" && *only != name {
			continue
		}
		for n := range *repeats {
			t.Run(fmt.Sprint(name, "/", n), func(t *testing.T) {
				t.Parallel()
				few <- true // a fleet is some ten processes: more at once would only wait for each other
				defer func() { <-few }()
				text, err := os.ReadFile(file)
				if err != nil {
					t.Fatal(err)
				}
				s, err := ReadScript(text)
				if err != nil {
					t.Fatal(err)
				}
				dir := t.TempDir()
				o, err := Play(s, binary, dir)
				if err != nil {
					for _, log := range strings.Fields(*logs) {
						if b, err := os.ReadFile(filepath.Join(dir, "logs", log+".log")); err == nil {
							t.Logf("%s: %s", log, b[max(0, len(b)-2500):])
						}
					}
					t.Fatal(err)
				}
				t.Logf("%d acts taken, %d late ones refused, %d writes committed, %d in doubt, %.1f s", o.Taken, o.Late, o.Committed, o.Doubtful, o.Took.Seconds())
			})
		}
	}
}
