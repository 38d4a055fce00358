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

// A process starts while discovery delivers no list, and idle clients then take all descriptors available to sessions. Once discovery
// delivers a list, the router connects to members, and it still handles signals.
func TestDiscoveryDown_IdleClientsTakeDescriptors(t *testing.T) {
	lists := make(chan string)
	requests := make(chan bool, 1000)
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests <- true
		select {
		case line := <-lists:
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
		`"sockets":256`, `"sockets":128`, `"memory_mb":16`, `"memory_mb":32`).Replace(platformConfig))
	fakes.WaitUntil(t, "the router listens", func() bool {
		conn, err := net.Dial("tcp", addr)
		if err == nil {
			closeSocket(conn)
		}
		return err == nil
	})
	ready := fakes.NewClient(t, addr, true)
	ready.SendQuery("")
	if got := ready.ReadResponse(); got != "empty ready" {
		t.Errorf("empty query: %q", got)
	}
	startup := string(pg.AppendStartup(nil, "api", "ledger"))
	for n := range 300 { // more than there are descriptors: the last ones wait in the operating system's backlog
		idle, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { closeSocket(idle) })
		if n%3 > 0 {
			_, _ = idle.Write([]byte(startup))
		}
		if n%3 > 1 {
			_, _ = idle.Write(pg.AppendQuery(nil, ""))
		}
	}
	<-requests
	member := newPrimary(t)
	lists <- fmt.Sprintf(`{"revision":43,"complete":false,"members":[{"id":"m0","host_port":"%s","cell":2,"phase":"in_service"}]}`, member.Addr)
	n := 0
	fakes.WaitUntil(t, "a client is served with the new list", func() bool {
		n++
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer closeSocket(conn)
		_, _ = conn.Write([]byte(startup + string(pg.AppendQuery(nil, readStatement(fmt.Sprint(n), "x")))))
		if err := conn.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
			t.Fatal(err)
		}
		got, _ := io.ReadAll(io.LimitReader(conn, 300))
		return strings.Contains(string(got), "SELECT 1")
	})
	if err := c.Process.Signal(syscall.SIGTERM); err != nil {
		t.Error(err)
	}
	if err := c.Wait(); err != nil {
		t.Errorf("exit status: %v", err)
	}
}

// The watch delivers a list in which a member is draining before the event loop's first iteration. The older list from the configuration
// must not override it.
func TestDiscovery_ListBeforeFirstTurn(t *testing.T) {
	draining, other := newPrimary(t), newPrimary(t)
	watch := newScriptedDiscovery(t)
	watch.watchEvents <- fmt.Sprintf(`{"revision":42,"complete":false,"members":[{"id":"m0","host_port":"%s","locality":"z","cell":2,"phase":"terminating"}]}`+"\n",
		draining.Addr)
	posted := make(chan struct{}, 100)
	defer failpoint.SetHook("server.list_posted", func() { posted <- struct{}{} })()
	defer failpoint.SetHook("eventloop.starting", func() { <-posted })()
	addr, _, _ := startRouter(t, watch.addr, 256, draining.Addr, other.Addr)
	client := fakes.NewClient(t, addr, true)
	for n := range 30 { // by chance alone, all go to the other member once in 2^30 runs
		client.SendQuery(readStatement(fmt.Sprint(n), "x"))
		if got := client.ReadResponse(); got != "x ok ready" && got != "53300 ready" {
			t.Fatal(got)
		}
	}
	if _, statements := draining.Received(); strings.Contains(strings.Join(statements, "|"), "c=look") {
		t.Error("a draining member was sent a request")
	}
}
