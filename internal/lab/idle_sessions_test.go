package lab

import (
	"errors"
	"testing"
)

// WithIdlePoolSessions keeps all sessions open while the callback runs and returns the callback's error.
func TestWithIdlePoolSessions_AllOpen(t *testing.T) {
	cluster := startCluster(t, nil)
	want := errors.New("error from the callback")
	if err := WithIdlePoolSessions(cluster.Servers[0].Addr, 3, func() error {
		if open := cluster.Servers[0].Counts().Open; open != 3 {
			t.Errorf("%d open sessions, want 3", open)
		}
		return want
	}); !errors.Is(err, want) {
		t.Error(err)
	}
}
