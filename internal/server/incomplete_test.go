package server

import (
	"strings"
	"syscall"
	"testing"
	"time"

	"wayloft/internal/fakes"
	"wayloft/internal/lab"
	"wayloft/internal/pg"
)

// maxStopWait is how long a client that stops in the middle of a request may wait for its error or the end.
const maxStopWait = 3 * time.Second

// A client that stops in the middle of a request gets its error or the end in time, in each state of a session.
func TestIncompleteRequest_TimesOut(t *testing.T) {
	parse := string(pg.AppendParse(nil, "", []byte("SELECT 1\x00\x00\x00")))
	bind := string(pg.AppendBind(nil, "", "", []byte{0, 0, 0, 0, 0, 0}))
	half := queryMessage("SELECT 1")[:9]
	hello := string(pg.AppendStartup(nil, "api", "ledger"))
	secure := "\x00\x00\x00\x08\x04\xd2\x16\x2f"
	platform, _, _ := startRouter(t, "127.0.0.1:1", 256, newPrimary(t).Addr)
	fakes.NewClient(t, platform, true) // it is up: two of a process must not start at once
	pooled, _ := startPooledRouter(t, 1, lab.Pool{PerMember: 20}, nil)
	for _, c := range []struct {
		name, addr string
		ask        []string // each answered before the next
		stop, want string
	}{
		{"in the startup", platform, nil, hello[:9], "57P05 closed"},
		{"in a request for TLS", platform, nil, secure[:6], "57P05 closed"},
		{"behind a half query that is sent ahead", platform, nil, hello + queryMessage(strings.Replace(writeStatement("p1", "hang"), "d=400", "d=2000", 1)) + half, "ready; 08007 ready; 57P05 closed"},
		{"in the startup of a pool", pooled, nil, hello[:9], "57P05 closed"},
		{"in a query", pooled, []string{hello}, half, "57P05 closed"},
		{"before Sync", pooled, []string{hello}, parse, "57P05 closed"},
		{"before Sync, in a message", pooled, []string{hello}, parse + bind[:6], "57P05 closed"},
		{"in a query of a transaction", pooled, []string{hello, queryMessage("BEGIN"), queryMessage(insertSQL("stops", "1"))}, half, "57P05 closed"},
		{"before Sync in a transaction", pooled, []string{hello, queryMessage("BEGIN"), queryMessage(insertSQL("stops", "2"))}, parse, "57P05 closed"},
		{"in a row that it copies in", pooled, []string{hello}, queryMessage("COPY rows (handle, blob) FROM STDIN") + "d\x00\x00\x00\x0bst", "57P05 closed"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			one := fakes.NewClient(t, c.addr, false)
			for _, ask := range c.ask {
				one.Send(ask)
				if got := one.Answer(); !strings.HasSuffix(got, "ready") {
					t.Fatalf("before it stops: %q", got)
				}
			}
			since := time.Now()
			one.Send(c.stop)
			got, after := readAnswers(one, 1+strings.Count(c.want, ";"), since)
			if got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
			if after > maxStopWait {
				t.Errorf("after %v", after)
			}
		})
	}
}

// A client that has stopped in the middle of a request does not hold up a drain.
func TestIncompleteRequest_DuringDrain(t *testing.T) {
	for name, stop := range map[string]string{
		"in a query":  queryMessage("SELECT 1")[:9],
		"before Sync": string(pg.AppendParse(nil, "", []byte("SELECT 1\x00\x00\x00"))),
	} {
		t.Run(name, func(t *testing.T) {
			addr, cluster, signals, ended := startDrainablePool(t, 1, lab.Pool{PerMember: 1}, nil)
			t.Cleanup(cluster.Close)
			one := fakes.NewClient(t, addr, true)
			one.Send(stop)
			since := time.Now()
			signals <- syscall.SIGTERM
			got, after := readAnswers(one, 1, since)
			if got != "57P01 closed" || after > maxStopWait {
				t.Errorf("got %q after %v", got, after)
			}
			closeSocket(one)
			if err := <-ended; err != nil {
				t.Error(err)
			}
		})
	}
	t.Run("on the platform", func(t *testing.T) {
		addr, term, ended := startRouter(t, "127.0.0.1:1", 256, newPrimary(t).Addr)
		one := fakes.NewClient(t, addr, true)
		one.Ask(readStatement("first", "x"))
		whole := queryMessage(readStatement("half", "x"))
		one.Send(whole[:len(whole)-1])
		term <- syscall.SIGTERM
		if got, _ := readAnswers(one, 2, time.Now()); got != "x ok ready; 53300 closed" {
			t.Errorf("got %q", got)
		}
		closeSocket(one)
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
}

// Complete requests ahead of what ends a session are answered first.
func TestPool_RequestsBeforeProtocolErrorAnswered(t *testing.T) {
	addr, _ := startPooledRouter(t, 1, lab.Pool{PerMember: 1}, nil)
	for _, c := range []struct{ name, send, want string }{
		{"an unknown message", "?\x00\x00\x00\x04", "08P01 closed"},
		{"too long a message", "Q\x7f\x00\x00\x00", "54000 closed"},
		{"its own end", "X\x00\x00\x00\x04", "closed"},
	} {
		t.Run(c.name, func(t *testing.T) {
			one := fakes.NewClient(t, addr, true)
			one.Send(queryMessage("SELECT 1") + queryMessage("SELECT 1") + c.send)
			if got, _ := readAnswers(one, 3, time.Now()); got != "1 ok ready; 1 ok ready; "+c.want {
				t.Errorf("got %q", got)
			}
		})
	}
}
