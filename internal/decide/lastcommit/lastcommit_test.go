package lastcommit

import (
	"fmt"
	"testing"
)

func TestCommits_RecordAndPrune(t *testing.T) {
	var commits Commits
	for n := range 5000 {
		commits.Record(fmt.Sprint(n%3000), float64(n+1))
		if commits.PruneDue() {
			commits.Prune(float64(n - 500))
		}
	}
	if commits.Position("1999") != 5000 || commits.Position("2999") != 3000 && commits.Position("2999") != 0 {
		t.Errorf("positions %v and %v", commits.Position("1999"), commits.Position("2999"))
	}
	if commits.Prune(4990); len(commits.positions) != 10 || commits.Position("0") != 0 || commits.PruneDue() {
		t.Errorf("%d sessions are kept after pruning", len(commits.positions))
	}
	if commits.Record("1999", 3); commits.Position("1999") != 5000 {
		t.Error("a session's position went back")
	}
}
