package server

import (
	"testing"

	"wayloft/internal/fakes"
	"wayloft/internal/lab"
)

// Guards against a client of a pool that works with the role of the client before it: RESET ALL, which drivers send when a connection goes back
// to their own pool, leaves a role as it is.
func TestPool_RoleStaysWithItsClient(t *testing.T) {
	for _, reset := range []string{"RESET ALL", "SELECT 1; RESET ALL", "BEGIN; RESET ALL; COMMIT", "SET LOCAL ROLE other; RESET ALL"} {
		t.Run(reset, func(t *testing.T) {
			addr, _ := startPooledRouter(t, 1, lab.Pool{PerMember: 1}, nil)
			first := fakes.NewClient(t, addr, true)
			askAll(first, "SET ROLE harbour_master", "SELECT 1", reset)
			second := fakes.NewClient(t, addr, true)
			for range 2 {
				if got := askAll(second, "SHOW role"); got != " ok ready" {
					t.Errorf("a client that has set no role: %q", got)
				}
				if got := askAll(first, "SHOW role"); got != "harbour_master ok ready" {
					t.Errorf("the client that has set its role: %q", got)
				}
			}
			if got := askAll(first, "DISCARD ALL", "SHOW role"); got != "ok ready;  ok ready" {
				t.Errorf("after DISCARD ALL: %q", got)
			}
		})
	}
}
