// Package recording compares the transcript of a deterministic run with a recorded one.
package recording

import (
	"flag"
	"fmt"
	"hash/fnv"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var update = flag.Bool("update-recordings", false, "rewrite the recordings, for intended changes of the recorded behavior")

// linesPerDigest is the number of transcript lines that each digest line of a recording covers.
const linesPerDigest = 100

// Compare fails the test if a transcript differs from the one recorded in testdata/NAME. The recording stores a digest of every
// hundred lines. A transcript that differs is written to a temporary file so that it can be compared with one from the previous source.
func Compare(t *testing.T, name, transcript string) {
	t.Helper()
	compare(t, name, transcript, digests(transcript))
}

// CompareText is like Compare, but the recording stores the transcript itself.
func CompareText(t *testing.T, name, transcript string) {
	t.Helper()
	compare(t, name, transcript, transcript)
}

func compare(t *testing.T, name, transcript, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got == string(want) {
		return
	}
	gotLines, wantLines := strings.Split(got, "\n"), strings.Split(string(want), "\n")
	for n := range min(len(gotLines), len(wantLines)) {
		if gotLines[n] != wantLines[n] {
			t.Errorf("line %d of %s: got %q, recorded %q", n+1, path, gotLines[n], wantLines[n])
			break
		}
	}
	file := filepath.Join(os.TempDir(), strings.ReplaceAll(name, "/", "-")+".got")
	if err := os.WriteFile(file, []byte(transcript), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Fatalf("%s: got %d lines, recorded %d; the full transcript is in %s", name, len(gotLines), len(wantLines), file)
}

func digests(transcript string) string {
	var out strings.Builder
	lines := strings.Split(transcript, "\n")
	for start := 0; start < len(lines); start += linesPerDigest {
		end := min(start+linesPerDigest, len(lines))
		sum := fnv.New64a()
		sum.Write([]byte(strings.Join(lines[start:end], "\n")))
		fmt.Fprintf(&out, "lines %d to %d: %016x\n", start+1, end, sum.Sum64())
	}
	return out.String()
}

// ComparePrefix is like CompareText, but the transcript may be a prefix of the recording: the recording may have more lines.
func ComparePrefix(t *testing.T, name, transcript string) {
	t.Helper()
	if *update {
		compare(t, name, transcript, transcript)
		return
	}
	want, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	recorded := strings.Split(string(want), "\n")
	for n, line := range strings.Split(strings.TrimSuffix(transcript, "\n"), "\n") {
		if n >= len(recorded) || recorded[n] != line {
			t.Fatalf("line %d of %s: got %q", n+1, name, line)
		}
	}
}
