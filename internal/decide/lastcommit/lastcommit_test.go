package lastcommit

import (
	"fmt"
	"testing"
)

func TestRemembersAndDrops(t *testing.T) {
	var m Commits
	for n := range 5000 {
		m.Add(fmt.Sprint(n%3000), float64(n+1))
		if m.Full() {
			m.Drop(float64(n - 500))
		}
	}
	if m.Of("1999") != 5000 || m.Of("2999") != 3000 && m.Of("2999") != 0 {
		t.Errorf("%v, %v", m.Of("1999"), m.Of("2999"))
	}
	if m.Drop(4990); len(m.at) != 10 || m.Of("0") != 0 || m.Full() {
		t.Errorf("%d are kept", len(m.at))
	}
	if m.Add("1999", 3); m.Of("1999") != 5000 {
		t.Error("it went back")
	}
}
