package lastcommit

import (
	"fmt"
	"testing"
)

func TestRemembersAndDrops(t *testing.T) {
	var m Commits
	for n := range 5000 {
		m.Record(fmt.Sprint(n%3000), float64(n+1))
		if m.PruneDue() {
			m.Prune(float64(n - 500))
		}
	}
	if m.Position("1999") != 5000 || m.Position("2999") != 3000 && m.Position("2999") != 0 {
		t.Errorf("%v, %v", m.Position("1999"), m.Position("2999"))
	}
	if m.Prune(4990); len(m.positions) != 10 || m.Position("0") != 0 || m.PruneDue() {
		t.Errorf("%d are kept", len(m.positions))
	}
	if m.Record("1999", 3); m.Position("1999") != 5000 {
		t.Error("it went back")
	}
}
