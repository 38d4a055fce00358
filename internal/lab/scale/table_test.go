package scale

import (
	"strings"
	"testing"
)

func TestRows_OverAllowance(t *testing.T) {
	rows := []Row{{Role: "a", CPU: 1.5, Bytes: 6000, Memory: 10, Allowance: routerAllowance}, {Role: "b", CPU: 99, Bytes: 1e9, Memory: 1e9},
		{Role: "c", CPU: 1.4, Bytes: 6001, Memory: 65, Allowance: routerAllowance}}
	for n := range rows {
		rows[n].checkAllowance()
	}
	if rows[0].OK || !rows[1].OK || rows[2].OK {
		t.Error(rows)
	}
	want := "over: a cpu_percent 1.5 of 1.4; c bytes_per_s 6001 of 6000; c memory_mb 65 of 64"
	if got := OverAllowance(rows); got != want {
		t.Error(got)
	}
	if got := OverAllowance(rows[1:2]); got != "over: none" {
		t.Error(got)
	}
	var b strings.Builder
	PrintRows(&b, rows)
	if lines := strings.Split(strings.TrimSpace(b.String()), "\n"); len(lines) != 5 || lines[4] != want {
		t.Error(b.String())
	}
}
