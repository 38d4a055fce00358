package lastcommit

import (
	"fmt"
	"math"
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
	if commits.RequiredPosition("1999") != 5000 || commits.RequiredPosition("2999") < 3000 {
		t.Errorf("positions %v and %v", commits.RequiredPosition("1999"), commits.RequiredPosition("2999"))
	}
	if commits.Prune(4990); len(commits.positions) != 10 || commits.PruneDue() {
		t.Errorf("%d sessions are kept after pruning", len(commits.positions))
	}
	if commits.Record("1999", 3); commits.RequiredPosition("1999") != 5000 {
		t.Error("a session's position went back")
	}
}

// Guards against a commit that is forgotten: what is required of a session's reads must never lie before its last commit.
func TestCommits_DroppedCommitIsStillRequired(t *testing.T) {
	var commits Commits
	for n := range 20_000 {
		position := float64(n + 1)
		session := fmt.Sprint(n % 7000)
		commits.Record(session, position)
		if commits.PruneDue() {
			commits.Prune(position)
		}
		if required := commits.RequiredPosition(session); required < position {
			t.Fatalf("session %s has committed at %v, required is %v", session, position, required)
		}
	}
}

// Guards against memory that grows without bound while a member is listed that was never checked, so that nothing is applied by all.
func TestCommits_BoundedWhileNothingIsApplied(t *testing.T) {
	var commits Commits
	largest := 0
	for n := range 3 * maxSessions {
		commits.Record(fmt.Sprint(n), float64(n+1))
		if commits.PruneDue() {
			commits.Prune(math.Inf(-1))
		}
		largest = max(largest, len(commits.positions))
	}
	if largest > maxSessions+1 {
		t.Errorf("%d sessions were kept", largest)
	}
	if required := commits.RequiredPosition("0"); required < 1 || required > 3*maxSessions {
		t.Errorf("required is %v", required)
	}
}
