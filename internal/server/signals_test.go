package server

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"github.com/pelletier/go-toml/v2"

	"wayloft/internal/fakes"
)

// A termination signal after a burst of SIGHUP is delivered, and so is a SIGHUP.
func TestNotifySignals_BurstOfReloads(t *testing.T) {
	signals := NotifySignals()
	for range 100 {
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	received := map[os.Signal]bool{}
	for !received[syscall.SIGTERM] || !received[syscall.SIGHUP] {
		received[<-signals] = true
	}
}

// A process that keeps getting SIGHUP before it serves is not ended by it, whether started as on the platform or directly.
func TestSIGHUP_BeforeServing(t *testing.T) {
	dir := t.TempDir()
	program := filepath.Join(dir, "wayloft")
	if out, err := exec.Command("go", "build", "-o", program, "wayloft/cmd/wayloft").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	text, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	var deploy struct{ Run string }
	if err := toml.Unmarshal(text, &deploy); err != nil {
		t.Fatal(err)
	}
	run := strings.Replace(deploy.Run, "bin/wayloft", program, 1)
	for _, start := range []struct {
		name    string
		command []string
	}{{"as deployed", []string{"sh", "-c", run}}, {"directly", []string{program, "serve"}}} {
		t.Run(start.name, func(t *testing.T) {
			ignored := 0
			for range 6 {
				if startUnderSIGHUP(t, start.command, filepath.Join(dir, "config.json")) {
					ignored++
				}
			}
			if ignored == 0 {
				t.Error("the process never ignored SIGHUP before it handled it")
			}
		})
	}
}

// startUnderSIGHUP starts a router and, once it ignores SIGHUP, sends it SIGHUP until it serves. It reports whether the router ever
// ignored it.
func startUnderSIGHUP(t *testing.T, command []string, file string) (ignored bool) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	closeSocket(l)
	text := strings.NewReplacer("127.0.0.1:0", addr, `"memory_mb":16`, `"memory_mb":32`).Replace(platformConfig) // 16 is too little for a process
	writeFile(t, file, text)
	c := exec.Command(command[0], command[1:]...)
	c.Env = append(os.Environ(), "PROXY_CONFIG="+file)
	log, err := c.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Process.Kill() })
	serving, read := make(chan bool), make(chan bool)
	go func() {
		defer close(read)
		served := false
		for lines := bufio.NewScanner(log); lines.Scan(); {
			if !served && strings.Contains(lines.Text(), "msg=serving") {
				served = true
				close(serving)
			}
		}
		if !served {
			close(serving)
		}
	}()
	for up := false; !up; runtime.Gosched() {
		if ignored = ignored || ignoresSIGHUP(c.Process.Pid); ignored {
			if err := c.Process.Signal(syscall.SIGHUP); err != nil {
				t.Error(err)
			}
		}
		select {
		case <-serving:
			up = true
		default:
		}
	}
	if ignored {
		client := fakes.NewClient(t, addr, true)
		client.SendQuery("")
		if got := client.ReadResponse(); got != "empty ready" {
			t.Errorf("got %q", got)
		}
		closeSocket(client)
	}
	if err := c.Process.Signal(syscall.SIGTERM); err != nil {
		t.Error(err)
	}
	<-read
	if err := c.Wait(); err != nil {
		t.Errorf("exit status: %v", err)
	}
	return ignored
}

// ignoresSIGHUP reports whether a process ignores SIGHUP.
func ignoresSIGHUP(pid int) bool {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return false
	}
	_, mask, _ := strings.Cut(string(status), "SigIgn:\t")
	mask, _, _ = strings.Cut(mask, "\n")
	bits, _ := strconv.ParseUint(mask, 16, 64)
	return bits>>(uint(syscall.SIGHUP)-1)&1 == 1
}
