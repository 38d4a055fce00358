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

// A memory limit with which the process could not serve is refused at the start, with the least.
func TestApplyProcessLimits_TooLittleMemory(t *testing.T) {
	config := &Config{path: "config.json", memoryBytes: 16 * bytesPerMB, maxDescriptors: minDescriptors}
	const want = "config.json: the memory limit of 16 MiB is too small to serve: at least 30 MiB"
	if err := config.ApplyProcessLimits(); err == nil || err.Error() != want {
		t.Errorf("got %v, want %s", err, want)
	}
}
