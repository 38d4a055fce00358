package server

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"wayloft/internal/fakes"
)

// New configurations in a row, each with another discovery address, and a burst of signals for each: whatever the router does with
// those between, it asks the last one, and none of the watches before stays. Members drain on the last list, and
// nothing is sent to them.
func TestConfigurationsInARow(t *testing.T) {
	drains, stays := member(t), member(t)
	var of []*script
	for n := range 4 {
		s := newScript(t)
		phase := "in_service"
		if n == 3 {
			phase = "terminating"
		}
		s.whole <- fmt.Sprintf(`{"revision":%d,"complete":true,"members":[{"id":"m0","host_port":"%s","cell":2,"phase":"%s"},`+
			`{"id":"m1","host_port":"%s","cell":2,"phase":"in_service"}]}`, n, drains.Addr, phase, stays.Addr)
		s.watch <- "\n"
		of = append(of, s)
	}
	addr, signals, ended := start(t, of[0].addr, 256, drains.Addr, stays.Addr)
	<-of[0].asked
	c := fakes.NewClient(t, addr, true)
	file := os.Getenv("PROXY_CONFIG")
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for _, next := range of[1:] {
		write(t, filepath.Join(filepath.Dir(file), "next"), strings.Replace(string(text), of[0].addr, next.addr, 1))
		if err := os.Rename(filepath.Join(filepath.Dir(file), "next"), file); err != nil {
			t.Fatal(err)
		}
		for range 50 {
			signals <- syscall.SIGHUP
		}
	}
	last := of[len(of)-1]
	for _, want := range []string{"GET /api/targets HTTP/1.1", "GET /api/targets?stream=1&index=3 HTTP/1.1"} {
		if got := <-last.asked; got != want {
			t.Errorf("asked %q, want %q", got, want)
		}
	}
	drained := len(seen(drains))
	for n := range 100 {
		c.Ask(look(fmt.Sprint(n), "x"))
		if got := c.Answer(); got != "x ok ready" {
			t.Fatalf("request %d: %q", n, got)
		}
	}
	for _, one := range seen(drains)[drained:] {
		if strings.Contains(one, "c=look") {
			t.Errorf("sent to a member that drains: %q", one)
		}
	}
	for n, one := range of[:len(of)-1] {
		fakes.Until(t, fmt.Sprint("all that was asked at address ", n, " has ended"), func() bool { return one.open.Load() == 0 })
	}
	if now := last.open.Load(); now != 1 {
		t.Errorf("%d watches are on, want one", now)
	}
	c.Close()
	signals <- syscall.SIGTERM
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

func seen(m *fakes.Member) []string {
	_, asked := m.Seen()
	return asked
}

// A signal to end comes behind more of the others than any channel holds, in a process that has not begun to serve: it is heard, and
// so is the last of the others.
func TestSignalsBehindABurst(t *testing.T) {
	signals := NotifySignals()
	for range 100 {
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	heard := map[os.Signal]bool{}
	for !heard[syscall.SIGTERM] || !heard[syscall.SIGHUP] {
		heard[<-signals] = true
	}
}
