package main

import (
	"strings"
	"testing"

	"github.com/alecthomas/kong"
)

// TestHelp_EachCommandHasAnExample looks at each command that `wayloft --help` lists.
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
		if example := "Example: wayloft " + strings.Fields(command.FullPath())[1]; !strings.Contains(aliased(command.Detail), example) {
			t.Errorf("%s: its help has no line %q...: %q", command.FullPath(), example, command.Detail)
		}
	}
}

// aliased has an example name a command as it is named in help.
func aliased(help string) string {
	return strings.ReplaceAll(help, "wayloft council", "wayloft coordinator")
}
