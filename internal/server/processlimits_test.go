package server

import (
	"path/filepath"
	"strings"
	"testing"

	"wayloft/internal/lab"
)

// A process with fewer descriptors than its configuration needs does not start, except on the platform.
func TestCheckDescriptorLimit(t *testing.T) {
	text := lab.IdleRouter{Members: 820, Groups: 205}.Configuration("127.0.0.1:0", "", "", "")
	conf, err := Load(writeFile(t, filepath.Join(t.TempDir(), "still.toml"), text))
	if err != nil {
		t.Fatal(err)
	}
	if conf.maxSessions != 7500 || conf.maxDescriptors != 16384 || len(conf.Members.Entries) != 820 {
		t.Errorf("%d sessions, %d descriptors, %d members", conf.maxSessions, conf.maxDescriptors, len(conf.Members.Entries))
	}
	if err := checkDescriptorLimit(conf, 16384); err != nil {
		t.Error(err)
	}
	err = checkDescriptorLimit(conf, 4096)
	if err == nil || !strings.Contains(err.Error(), "limits.descriptors is 16384, but this process may open only 4096") {
		t.Errorf("got %v", err)
	}
	if conf.path = "config.json"; checkDescriptorLimit(conf, 4096) != nil {
		t.Error("on the platform its own limit binds")
	}
}
