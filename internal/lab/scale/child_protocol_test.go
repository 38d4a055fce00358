package scale

import (
	"slices"
	"strings"
	"testing"
)

// A hollow process reports an invalid specification or request in its response.
func TestRunHollow_InvalidInput(t *testing.T) {
	for _, c := range [][2]string{{`{"role":"cook"}`, `role: unknown value \"cook\"`}, {`{"role":"discovery"}` + "\n" + `{"do":"sing"}`, `do: unknown value \"sing\"`},
		{`{"role":"databases","names":["a"],"addrs":["x","y"]}`, "addrs: 2 for 1"}} {
		var out strings.Builder
		_ = RunHollow(strings.NewReader(c[0]), &out) // the error is checked in the response
		if !strings.Contains(out.String(), c[1]) {
			t.Errorf("%s: %s", c[0], out.String())
		}
	}
	if got := EventNames(); !slices.Equal(got, []string{"change", "cut-regions", "primary", "restart-zone"}) {
		t.Error(got)
	}
}
