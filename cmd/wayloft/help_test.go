package main

import (
	"strings"
	"testing"

	"github.com/alecthomas/kong"
)

// Each command that `wayloft --help` lists has an example in its help, under the command's main name.
func TestHelp_EachCommandHasAnExample(t *testing.T) {
	parser, err := kong.New(&cli, kong.Name("wayloft"))
	if err != nil {
		t.Fatal(err)
	}
	leaves := parser.Model.Leaves(true)
	if len(leaves) < 20 {
		t.Fatalf("%d commands", len(leaves))
	}
	for _, command := range leaves {
		if example := "Example: wayloft " + strings.Fields(command.FullPath())[1]; !strings.Contains(command.Detail, example) {
			t.Errorf("%s: its help has no line %q...: %q", command.FullPath(), example, command.Detail)
		}
	}
}
