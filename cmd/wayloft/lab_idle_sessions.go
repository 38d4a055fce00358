package main

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"time"

	"wayloft/internal/lab"
)

type labIdleCmd struct {
	Clients int `help:"Sessions that have asked once and then rest." default:"2000"`
}

// Run measures another process, so that the clients' own memory does not count.
func (c *labIdleCmd) Run() error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	child := exec.Command(self, "lab", "up")
	out, err := child.StdoutPipe()
	if err != nil {
		return err
	}
	if err := child.Start(); err != nil {
		return err
	}
	defer child.Wait()
	defer child.Process.Signal(os.Interrupt)
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		return err
	}
	addr := strings.TrimSpace(strings.TrimPrefix(line, "router "))
	if err := lab.WithIdleSessions(addr, 50, func() {}); err != nil { // its connections to members, and what it learns first
		return err
	}
	before, err := resident(child.Process.Pid)
	if err != nil {
		return err
	}
	return lab.WithIdleSessions(addr, c.Clients, func() {
		time.Sleep(2 * time.Second)
		after, err := resident(child.Process.Pid)
		if err != nil {
			fmt.Println(err)
			return
		}
		fmt.Printf("%d sessions: resident memory from %.1f to %.1f MiB, %.1f KiB a session\n", c.Clients, before/1024, after/1024,
			(after-before)/float64(c.Clients))
	})
}

// resident is a process's memory in KiB.
func resident(pid int) (kib float64, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if n, _ := fmt.Sscanf(line, "VmRSS: %f kB", &kib); n == 1 {
			return kib, nil
		}
	}
	return 0, fmt.Errorf("no VmRSS")
}
