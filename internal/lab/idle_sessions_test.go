package lab

import (
	"errors"
	"testing"
)

// Idle sessions are open while the function runs.
func TestWithIdlePoolSessions_AllOpen(t *testing.T) {
	cluster := startCluster(t, nil)
	want := errors.New("from the function")
	if err := WithIdlePoolSessions(cluster.Servers[0].Addr, 3, func() error {
		if open := cluster.Servers[0].Counts().Open; open != 3 {
			t.Errorf("%d sessions, not 3", open)
		}
		return want
	}); !errors.Is(err, want) {
		t.Error(err)
	}
}
