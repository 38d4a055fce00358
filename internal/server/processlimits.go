package server

import (
	"fmt"
	"math"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/sirupsen/logrus"

	"wayloft/internal/decide/memory"
)

// reservedDescriptors is the number of descriptors kept for everything other than sessions and member connections, and for sessions and
// connections that are still being opened.
const reservedDescriptors = 64

// ApplyProcessLimits checks the configuration against this process's descriptor limit, and sets the runtime's limits of memory and cores.
func (c *Config) ApplyProcessLimits() error {
	if err := checkDescriptorLimit(c, processDescriptorLimit()); err != nil {
		return err
	}
	if c.memoryBytes < memory.LeastBytes {
		return fmt.Errorf("%s: the memory limit of %d MiB is too small to serve: at least %d MiB", c.path, c.memoryBytes/bytesPerMB, memory.LeastBytes/bytesPerMB)
	}
	if cores := int(math.Ceil(c.cores)); cores > 0 {
		runtime.GOMAXPROCS(min(cores, runtime.GOMAXPROCS(0)))
	}
	debug.SetGCPercent(memory.CollectionPercent)
	debug.SetMemoryLimit(int64(memory.HeapLimit(c.memoryBytes)))
	return nil
}

// processDescriptorLimit returns the process's limit on open descriptors. The Go runtime has already raised it as far as it may.
func processDescriptorLimit() uint64 {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return math.MaxUint64
	}
	return limit.Cur
}

// checkDescriptorLimit returns an error if the configuration needs more descriptors than the process may open. Without this check the
// router would start, and under load leave clients waiting and fail to reach members. On the platform the configured limit is the one
// that applies.
func checkDescriptorLimit(c *Config, processLimit uint64) error {
	if c.onPlatform() {
		return nil
	}
	if processLimit < uint64(c.maxDescriptors) {
		return fmt.Errorf("%s: limits.descriptors is %d, but this process may open only %d: raise the process limit (ulimit -n, "+
			"LimitNOFILE= in systemd) or lower the setting", c.path, c.maxDescriptors, processLimit)
	}
	if needed := c.maxSessions + c.maxConnections + reservedDescriptors; needed > c.maxDescriptors {
		logrus.WithFields(logrus.Fields{"descriptors": c.maxDescriptors, "needed": needed, "reserved": reservedDescriptors}).
			Warn("limits.descriptors is less than the sum of sessions, connections and reserved descriptors")
	}
	return nil
}
