package main

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"time"

	"wayloft/internal/lab"
)

type labIdleSessionsCmd struct {
	Clients int `help:"Number of sessions, each idle after one request." default:"2000"`
}

const (
	// warmUpSessions are opened before the measurement, so that the router has connected to members and knows their parameters.
	warmUpSessions = 50
	// idleSettleTime is how long sessions are idle before memory is measured.
	idleSettleTime = 2 * time.Second
)

var errNoResidentMemory = errors.New("/proc/PID/status has no VmRSS")

// Help implements kong.HelpProvider.
func (*labIdleSessionsCmd) Help() string { return "Example: wayloft lab idle-sessions --clients 2000" }

// Run measures a router in another process, so that the clients' memory isn't counted.
func (c *labIdleSessionsCmd) Run(out *printer) error {
	router, addr, err := startLabRouter()
	if err != nil {
		return err
	}
	return errors.Join(c.measure(out, router.Process.Pid, addr), router.Process.Signal(os.Interrupt), router.Wait())
}

// startLabRouter starts `wayloft lab up` and returns the router's address.
func startLabRouter() (router *exec.Cmd, addr string, err error) {
	self, err := os.Executable()
	if err != nil {
		return nil, "", err
	}
	router = exec.Command(self, "lab", "up")
	stdout, err := router.StdoutPipe()
	if err != nil {
		return nil, "", err
	}
	if err := router.Start(); err != nil {
		return nil, "", err
	}
	line, err := bufio.NewReader(stdout).ReadString('\n')
	if err != nil {
		return nil, "", errors.Join(err, router.Process.Kill(), router.Wait())
	}
	return router, strings.TrimSpace(strings.TrimPrefix(line, "router ")), nil
}

func (c *labIdleSessionsCmd) measure(out *printer, pid int, addr string) error {
	if err := lab.WithIdleSessions(addr, warmUpSessions, func() {}); err != nil {
		return err
	}
	before, err := residentKiB(pid)
	if err != nil {
		return err
	}
	var after float64
	var readErr error
	err = lab.WithIdleSessions(addr, c.Clients, func() {
		time.Sleep(idleSettleTime)
		after, readErr = residentKiB(pid)
	})
	if err := errors.Join(err, readErr); err != nil {
		return err
	}
	out.printf("%d sessions: resident memory from %.1f to %.1f MiB, %.1f KiB per session\n", c.Clients, before/1024, after/1024,
		(after-before)/float64(c.Clients))
	return nil
}

// residentKiB returns a process's resident memory.
func residentKiB(pid int) (kib float64, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if n, _ := fmt.Sscanf(line, "VmRSS: %f kB", &kib); n == 1 {
			return kib, nil
		}
	}
	return 0, errNoResidentMemory
}
