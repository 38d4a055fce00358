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

// stopWithin is how long a client that stops in the middle of a request may wait for its error or the end.
const stopWithin = 3 * time.Second

func query(sql string) string { return string(pg.AppendQuery(nil, sql)) }

// answers reads so many answers, and how long after the start the last of them came.
func answers(c *fakes.Client, count int, since time.Time) (string, time.Duration) {
	var all []string
	for range count {
		all = append(all, c.Answer())
	}
	return strings.Join(all, "; "), time.Since(since)
}

// A client of a pool sends whole requests, and behind them something that ends its session: each of the requests is answered first.
func TestPooledRequestsBeforeTheEndAreAnswered(t *testing.T) {
	addr, _ := pooledRouter(t, 1, lab.Pool{PerMember: 1}, nil)
	for _, c := range []struct{ name, send, want string }{
		{"an unknown message", "?\x00\x00\x00\x04", "08P01 closed"},
		{"too long a message", "Q\x7f\x00\x00\x00", "54000 closed"},
		{"its own end", "X\x00\x00\x00\x04", "closed"},
	} {
		t.Run(c.name, func(t *testing.T) {
			one := fakes.NewClient(t, addr, true)
			one.Send(query("SELECT 1") + query("SELECT 1") + c.send)
			if got, _ := answers(one, 3, time.Now()); got != "1 ok ready; 1 ok ready; "+c.want {
				t.Errorf("got %q", got)
			}
		})
	}
}

// Clients that stop in the middle of a request, and stay, get their error or the end in time, in each state of a session.
func TestClientsStopInTheMiddle(t *testing.T) {
	parse := string(pg.AppendParse(nil, "", []byte("SELECT 1\x00\x00\x00")))
	bind := string(pg.AppendBind(nil, "", "", []byte{0, 0, 0, 0, 0, 0}))
	half := query("SELECT 1")[:9]
	hello := string(pg.AppendStartup(nil, "api", "ledger"))
	secure := "\x00\x00\x00\x08\x04\xd2\x16\x2f"
	platform, _, _ := start(t, "127.0.0.1:1", 256, member(t).Addr)
	fakes.NewClient(t, platform, true) // it is up: two of a process must not start at once
	pooled, _ := pooledRouter(t, 1, lab.Pool{PerMember: 20}, nil)
	for _, c := range []struct {
		name, addr string
		ask        []string // each answered before the next
		stop, want string
	}{
		{"in the startup", platform, nil, hello[:9], "57P05 closed"},
		{"in a request for TLS", platform, nil, secure[:6], "57P05 closed"},
		{"behind a half query that is sent ahead", platform, nil, hello + query(strings.Replace(put("p1", "hang"), "d=400", "d=2000", 1)) + half, "ready; 08007 ready; 57P05 closed"},
		{"in the startup of a pool", pooled, nil, hello[:9], "57P05 closed"},
		{"in a query", pooled, []string{hello}, half, "57P05 closed"},
		{"before Sync", pooled, []string{hello}, parse, "57P05 closed"},
		{"before Sync, in a message", pooled, []string{hello}, parse + bind[:6], "57P05 closed"},
		{"in a query of a transaction", pooled, []string{hello, query("BEGIN"), query(insert("stops", "1"))}, half, "57P05 closed"},
		{"before Sync in a transaction", pooled, []string{hello, query("BEGIN"), query(insert("stops", "2"))}, parse, "57P05 closed"},
		{"in a row that it copies in", pooled, []string{hello}, query("COPY rows (handle, blob) FROM STDIN") + "d\x00\x00\x00\x0bst", "57P05 closed"},
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
			got, after := answers(one, 1+strings.Count(c.want, ";"), since)
			if got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
			if after > stopWithin {
				t.Errorf("after %v", after)
			}
		})
	}
}

// The same while the router drains: none of them holds the process up, and one whose rest comes when its session has been ended has
// its answer.
func TestClientsStopInTheMiddleOfADrain(t *testing.T) {
	for name, stop := range map[string]string{
		"in a query":  query("SELECT 1")[:9],
		"before Sync": string(pg.AppendParse(nil, "", []byte("SELECT 1\x00\x00\x00"))),
	} {
		t.Run(name, func(t *testing.T) {
			addr, cluster, signals, ended := drainablePool(t, 1, lab.Pool{PerMember: 1}, nil)
			t.Cleanup(cluster.Close)
			one := fakes.NewClient(t, addr, true)
			one.Send(stop)
			since := time.Now()
			signals <- syscall.SIGTERM
			got, after := answers(one, 1, since)
			if got != "57P01 closed" || after > stopWithin {
				t.Errorf("got %q after %v", got, after)
			}
			one.Close()
			if err := <-ended; err != nil {
				t.Error(err)
			}
		})
	}
	t.Run("on the platform", func(t *testing.T) {
		addr, term, ended := start(t, "127.0.0.1:1", 256, member(t).Addr)
		one := fakes.NewClient(t, addr, true)
		one.Ask(look("first", "x"))
		whole := query(look("half", "x"))
		one.Send(whole[:len(whole)-1])
		term <- syscall.SIGTERM
		if got, _ := answers(one, 2, time.Now()); got != "x ok ready; 53300 closed" {
			t.Errorf("got %q", got)
		}
		one.Close()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
}
