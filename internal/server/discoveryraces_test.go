//go:build debug

package server

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"wayloft/internal/failpoint"
	"wayloft/internal/fakes"
	"wayloft/internal/pg"
)

// startProcess builds the program and starts a router with 128 descriptors.
func startProcess(t *testing.T, config string) *exec.Cmd {
	t.Helper()
	dir := t.TempDir()
	program := filepath.Join(dir, "wayloft")
	if out, err := exec.Command("go", "build", "-tags", "debug", "-o", program, "wayloft/cmd/wayloft").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	c := exec.Command("sh", "-c", "ulimit -n 128; exec "+program+" serve --config "+writeFile(t, filepath.Join(dir, "config.json"), config))
	var log bytes.Buffer
	c.Stdout, c.Stderr = &log, &log
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = c.Process.Kill()
		_ = c.Wait()
		if t.Failed() {
			t.Log(log.String())
		}
	})
	return c
}

// A process that starts while discovery gives no list is ready, and idle clients take all descriptors that it has for them. Once
// discovery gives a list, members are connected to, and the process still handles signals.
func TestDiscoveryDown_IdleClientsTakeDescriptors(t *testing.T) {
	speak := make(chan string)
	calls := make(chan bool, 1000)
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- true
		select {
		case line := <-speak:
			_, _ = fmt.Fprintln(w, line)
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(func() { discovery.CloseClientConnections(); discovery.Close() })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	closeSocket(l)
	c := startProcess(t, strings.NewReplacer("127.0.0.1:0", addr, "127.0.0.1:1", strings.TrimPrefix(discovery.URL, "http://"),
		`"sockets":256`, `"sockets":128`).Replace(platformConfig))
	fakes.Until(t, "it listens", func() bool {
		one, err := net.Dial("tcp", addr)
		if err == nil {
			closeSocket(one)
		}
		return err == nil
	})
	ready := fakes.NewClient(t, addr, true)
	ready.Ask("")
	if got := ready.Answer(); got != "empty ready" {
		t.Errorf("not ready: %q", got)
	}
	hello := string(pg.AppendStartup(nil, "api", "ledger"))
	for n := range 300 { // more than there are descriptors: the last wait with the system
		idle, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { closeSocket(idle) })
		if n%3 > 0 {
			_, _ = idle.Write([]byte(hello))
		}
		if n%3 > 1 {
			_, _ = idle.Write(pg.AppendQuery(nil, ""))
		}
	}
	<-calls
	moved := newPrimary(t)
	speak <- fmt.Sprintf(`{"revision":43,"complete":false,"members":[{"id":"m0","host_port":"%s","cell":2,"phase":"in_service"}]}`, moved.Addr)
	n := 0
	fakes.Until(t, "a client is served by the new list", func() bool {
		n++
		one, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer closeSocket(one)
		_, _ = one.Write([]byte(hello + string(pg.AppendQuery(nil, readStatement(fmt.Sprint(n), "x")))))
		if err := one.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
			t.Fatal(err)
		}
		got, _ := io.ReadAll(io.LimitReader(one, 300))
		return strings.Contains(string(got), "SELECT 1")
	})
	if err := c.Process.Signal(syscall.SIGTERM); err != nil {
		t.Error(err)
	}
	if err := c.Wait(); err != nil {
		t.Errorf("its end: %v", err)
	}
}

// A list from the watch, in which a member drains, comes before the event loop's first turn. The configuration's list, which is
// older, doesn't undo it.
func TestDiscovery_ListBeforeFirstTurn(t *testing.T) {
	drains, stays := newPrimary(t), newPrimary(t)
	watch := newScriptedDiscovery(t)
	watch.watchEvents <- fmt.Sprintf(`{"revision":42,"complete":false,"members":[{"id":"m0","host_port":"%s","locality":"z","cell":2,"phase":"terminating"}]}`+"\n",
		drains.Addr)
	posted := make(chan struct{}, 100)
	defer failpoint.Set("server.list_posted", func() { posted <- struct{}{} })()
	defer failpoint.Set("eventloop.starting", func() { <-posted })()
	addr, _, _ := startRouter(t, watch.addr, 256, drains.Addr, stays.Addr)
	client := fakes.NewClient(t, addr, true)
	for n := range 30 { // none by chance: one in 2^30
		client.Ask(readStatement(fmt.Sprint(n), "x"))
		if got := client.Answer(); got != "x ok ready" && got != "53300 ready" {
			t.Fatal(got)
		}
	}
	if _, asked := drains.Seen(); strings.Contains(strings.Join(asked, "|"), "c=look") {
		t.Error("a member that drains was sent a request")
	}
}
