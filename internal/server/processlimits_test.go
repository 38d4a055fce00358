package server

import (
	"path/filepath"
	"strings"
	"testing"

	"wayloft/internal/lab"
)

// A process that may open fewer descriptors than its configuration needs does not start, except on the platform.
func TestCheckDescriptorLimit(t *testing.T) {
	text := lab.IdleRouter{Members: 820, Groups: 205}.Configuration("127.0.0.1:0", "", "", "")
	config, err := Load(writeFile(t, filepath.Join(t.TempDir(), "idle.toml"), text))
	if err != nil {
		t.Fatal(err)
	}
	if config.maxSessions != 7500 || config.maxDescriptors != 16384 || len(config.Members.Entries) != 820 {
		t.Errorf("%d sessions, %d descriptors, %d members", config.maxSessions, config.maxDescriptors, len(config.Members.Entries))
	}
	if err := checkDescriptorLimit(config, 16384); err != nil {
		t.Error(err)
	}
	err = checkDescriptorLimit(config, 4096)
	if err == nil || !strings.Contains(err.Error(), "limits.descriptors is 16384, but this process may open only 4096") {
		t.Errorf("got %v", err)
	}
	if config.path = "config.json"; checkDescriptorLimit(config, 4096) != nil {
		t.Error("error on the platform, where the process limit is not checked")
	}
}
