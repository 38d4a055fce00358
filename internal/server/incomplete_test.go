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

// maxStopWait is the longest time within which a client that stops in the middle of a request must get its error or be disconnected.
const maxStopWait = 3 * time.Second

// A client that stops in the middle of a request gets its error or is disconnected in time, in each state of a session.
func TestIncompleteRequest_TimesOut(t *testing.T) {
	parse := string(pg.AppendParse(nil, "", []byte("SELECT 1\x00\x00\x00")))
	bind := string(pg.AppendBind(nil, "", "", []byte{0, 0, 0, 0, 0, 0}))
	half := queryMessage("SELECT 1")[:9]
	startup := string(pg.AppendStartup(nil, "api", "ledger"))
	sslRequest := "\x00\x00\x00\x08\x04\xd2\x16\x2f"
	platform, _, _ := startRouter(t, "127.0.0.1:1", 256, newPrimary(t).Addr)
	fakes.NewClient(t, platform, true) // wait until it is up: two routers of one process must not start at the same time
	pooled, _ := startPooledRouter(t, 1, lab.Pool{PerMember: 20}, nil)
	for _, c := range []struct {
		name, addr string
		ask        []string // each gets its response before the next is sent
		stop, want string
	}{
		{"in the startup message", platform, nil, startup[:9], "57P05 closed"},
		{"in an SSLRequest", platform, nil, sslRequest[:6], "57P05 closed"},
		{"in a query pipelined behind another", platform, nil, startup + queryMessage(strings.Replace(writeStatement("p1", "hang"), "d=400", "d=2000", 1)) + half, "ready; 08007 ready; 57P05 closed"},
		{"in the startup message, to a pool", pooled, nil, startup[:9], "57P05 closed"},
		{"in a query", pooled, []string{startup}, half, "57P05 closed"},
		{"before Sync", pooled, []string{startup}, parse, "57P05 closed"},
		{"before Sync, within a message", pooled, []string{startup}, parse + bind[:6], "57P05 closed"},
		{"in a query within a transaction", pooled, []string{startup, queryMessage("BEGIN"), queryMessage(insertSQL("stops", "1"))}, half, "57P05 closed"},
		{"before Sync within a transaction", pooled, []string{startup, queryMessage("BEGIN"), queryMessage(insertSQL("stops", "2"))}, parse, "57P05 closed"},
		{"in a row of COPY data", pooled, []string{startup}, queryMessage("COPY rows (handle, blob) FROM STDIN") + "d\x00\x00\x00\x0bst", "57P05 closed"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			client := fakes.NewClient(t, c.addr, false)
			for _, ask := range c.ask {
				client.Send(ask)
				if got := client.ReadResponse(); !strings.HasSuffix(got, "ready") {
					t.Fatalf("before the incomplete request: %q", got)
				}
			}
			since := time.Now()
			client.Send(c.stop)
			got, after := readAnswers(client, 1+strings.Count(c.want, ";"), since)
			if got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
			if after > maxStopWait {
				t.Errorf("ended too late, after %v", after)
			}
		})
	}
}

// A client that has stopped in the middle of a request does not delay a drain.
func TestIncompleteRequest_DuringDrain(t *testing.T) {
	for name, stop := range map[string]string{
		"in a query":  queryMessage("SELECT 1")[:9],
		"before Sync": string(pg.AppendParse(nil, "", []byte("SELECT 1\x00\x00\x00"))),
	} {
		t.Run(name, func(t *testing.T) {
			addr, cluster, signals, ended := startDrainablePool(t, 1, lab.Pool{PerMember: 1}, nil)
			t.Cleanup(cluster.Close)
			client := fakes.NewClient(t, addr, true)
			client.Send(stop)
			since := time.Now()
			signals <- syscall.SIGTERM
			got, after := readAnswers(client, 1, since)
			if got != "57P01 closed" || after > maxStopWait {
				t.Errorf("got %q after %v", got, after)
			}
			closeSocket(client)
			if err := <-ended; err != nil {
				t.Error(err)
			}
		})
	}
	t.Run("on the platform", func(t *testing.T) {
		addr, signals, ended := startRouter(t, "127.0.0.1:1", 256, newPrimary(t).Addr)
		client := fakes.NewClient(t, addr, true)
		client.SendQuery(readStatement("first", "x"))
		whole := queryMessage(readStatement("half", "x"))
		client.Send(whole[:len(whole)-1])
		signals <- syscall.SIGTERM
		if got, _ := readAnswers(client, 2, time.Now()); got != "x ok ready; 53300 closed" {
			t.Errorf("got %q", got)
		}
		closeSocket(client)
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
}

// Complete requests that precede a protocol error or a Terminate get their responses before the session ends.
func TestPool_RequestsBeforeProtocolErrorAnswered(t *testing.T) {
	addr, _ := startPooledRouter(t, 1, lab.Pool{PerMember: 1}, nil)
	for _, c := range []struct{ name, send, want string }{
		{"an unknown message", "?\x00\x00\x00\x04", "08P01 closed"},
		{"a message that is too long", "Q\x7f\x00\x00\x00", "54000 closed"},
		{"Terminate", "X\x00\x00\x00\x04", "closed"},
	} {
		t.Run(c.name, func(t *testing.T) {
			client := fakes.NewClient(t, addr, true)
			client.Send(queryMessage("SELECT 1") + queryMessage("SELECT 1") + c.send)
			if got, _ := readAnswers(client, 3, time.Now()); got != "1 ok ready; 1 ok ready; "+c.want {
				t.Errorf("got %q", got)
			}
		})
	}
}
