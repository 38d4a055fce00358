package discovery

import (
	"strings"
	"testing"
)

// splitAll passes a text to a splitter in parts of the given size. It returns the split lists, followed by the incomplete remainder, and
// the number of bytes consumed.
func splitAll(text string, partSize int) (lists []string, consumed int) {
	var s listSplitter
	for len(text) > 0 {
		n, complete := s.split([]byte(text[:min(partSize, len(text))]))
		text = text[n:]
		if complete {
			lists = append(lists, string(s.text))
			consumed += s.size
			s = listSplitter{text: s.text[:0]}
		}
	}
	return append(lists, string(s.text)), consumed + s.size
}

func TestListSplitter_SameListsForAnySplit(t *testing.T) {
	indented := "{\n \"revision\": 43,\n\t\"a\": [ \"}]\\\"{\\\\\" ]\n}"
	text := testChange + "\n\n \t\r\n" + indented + indented + "  " + testChange + "\r\n}x\n{\"cut \n\n{\n\n" + "words \n  [[" + testChange
	joined := strings.ReplaceAll(indented, "\n", "")
	want := []string{testChange, "", "", "", joined, joined, testChange, "", "}", "x", "{\"cut ", "", "{", "words ", "[[" + testChange}
	for partSize := 1; partSize <= len(text); partSize++ {
		got, consumed := splitAll(text, partSize)
		for n := range min(len(got), len(want)) {
			if got[n] != want[n] {
				t.Fatalf("%d bytes at a time, list %d: %q, want %q", partSize, n, got[n], want[n])
			}
		}
		if len(got) != len(want) || consumed != len(text) {
			t.Fatalf("%d bytes at a time: %d lists of %d bytes, want %d of %d", partSize, len(got), consumed, len(want), len(text))
		}
	}
}
