package server

import (
	"fmt"
	"math"
	"runtime/debug"
	"syscall"

	"github.com/sirupsen/logrus"
)

// reservedDescriptors are for all but sessions and connections to members, and for those that are just being opened.
const reservedDescriptors = 64

// heapTenths is the part of the configured memory that the runtime may use, in tenths; the rest is for the kernel's share.
const heapTenths = 7

// ApplyProcessLimits checks the configuration against this process's descriptor limit and sets the runtime's memory limit.
func (c *Config) ApplyProcessLimits() error {
	if err := checkDescriptorLimit(c, processDescriptorLimit()); err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(c.memoryBytes) / 10 * heapTenths)
	return nil
}

// processDescriptorLimit is how many descriptors the system lets this process have. The runtime has raised it as far as it may.
func processDescriptorLimit() uint64 {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return math.MaxUint64
	}
	return limit.Cur
}

// checkDescriptorLimit returns an error if the configuration needs more descriptors than the process may have. It guards against a
// router that accepts what it is configured for and only then has clients wait and members unreachable. On the platform the configured
// limit is the one that binds.
func checkDescriptorLimit(c *Config, processLimit uint64) error {
	if c.onPlatform() {
		return nil
	}
	if processLimit < uint64(c.maxDescriptors) {
		return fmt.Errorf("%s: limits.descriptors: %d, the system gives this process %d: raise its limit (ulimit -n, LimitNOFILE= of "+
			"systemd) or lower the setting", c.path, c.maxDescriptors, processLimit)
	}
	if needed := c.maxSessions + c.maxConnections + reservedDescriptors; needed > c.maxDescriptors {
		logrus.WithFields(logrus.Fields{"descriptors": c.maxDescriptors, "needed": needed, "reserved": reservedDescriptors}).
			Warn("limits.descriptors is less than sessions, connections and reserved descriptors together")
	}
	return nil
}
