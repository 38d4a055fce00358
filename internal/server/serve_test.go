package server

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"wayloft/internal/fakes"
	"wayloft/internal/pg"
)

const configuration = `{"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":16,"sockets":256},
"known":{"revision":41,"complete":true,"members":[]},
"settings":{"balancers":1,"discovery":"push",
"contract":{"coldFrom":0.2,"warmUp":1000000,"fallMultiple":2.5,"overloadFor":2000000},
"permissions":{"attemptsCap":6,"cancel":true,"probes":true,"retryAfter":true,"maxRetryAfter":1000000,
"dialTimeout":250000,"idleClose":30000000},
"report":{"columns":["x0","x1"],"how":"pull"},
"familyInfo":{"serverChecks":"refuse","tokenMode":"carried","countedFrom":0,"readLevel":["any","write"],"classBound":[0,0]},
"profiles":[{"name":"look","target":500000,"deadline":3000000,"worth":1,"idempotency":"retryable"},
{"name":"put","target":500000,"deadline":3000000,"worth":1,"idempotency":"fragile"}]}}`

func TestConfiguration(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	for _, c := range []struct{ old, new, want string }{
		{"", "", ""},
		{configuration, "", "not JSON"},
		{configuration, "[]", "must be an object"},
		{`"name":"n1"`, `"name":7`, "name: must be text"},
		{"127.0.0.1:0", "127.0.0.1", "listen: "},
		{"8c1f30d27a5be964", "green", "seed: "},
		{`"sockets":256`, `"sockets":8`, "limits.sockets: must be 128 at least"},
		{`"memory_mb":16`, `"memory_mb":"much"`, "limits.memory_mb: must be a number"},
		{`"members":[]`, `"members":[{"id":"a","host_port":"b:1","phase":"asleep"}]`, `members[0].phase: unknown value "asleep"`},
		{`"discovery":"push"`, `"discovery":"guess"`, `settings: discovery: unknown value "guess"`},
		{`"fragile"`, `"glass"`, `settings: profiles[1].idempotency: unknown value "glass"`},
		{`"dialTimeout":250000,`, ``, "permissions.dialTimeout"},
		{`"settings"`, `"setting"`, "settings: must be an object"},
	} {
		_, err := Load(write(t, file, strings.Replace(configuration, c.old, c.new, 1)))
		if c.want == "" && err != nil || c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)) {
			t.Errorf("%q for %q: got %v, want %q", c.new, c.old, err, c.want)
		}
	}
	if _, err := Load(file + ".none"); err == nil {
		t.Error("a missing file was read")
	}
}

func write(t *testing.T, file, text string) string {
	t.Helper()
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// start serves with a list of members; it returns the address, and what has it drain and end.
func start(t *testing.T, discovery string, sockets int, members ...string) (addr string, term chan os.Signal, ended chan error) {
	t.Helper()
	return startWith(t, nil, discovery, sockets, members...)
}

// startWith does so with other settings: pairs of what stands there and what takes its place.
func startWith(t *testing.T, swap []string, discovery string, sockets int, members ...string) (addr string, term chan os.Signal, ended chan error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr = l.Addr().String()
	var rows []string
	for n, m := range members {
		rows = append(rows, fmt.Sprintf(`{"id":"m%d","host_port":"%s","locality":"z","cell":2,"phase":"in_service"}`, n, m))
	}
	text := strings.NewReplacer(append(swap, "127.0.0.1:0", addr, "127.0.0.1:1", discovery, `"members":[]`,
		`"members":[`+strings.Join(rows, ",")+`]`, `"sockets":256`, fmt.Sprintf(`"sockets":%d`, sockets))...).Replace(configuration)
	t.Setenv("PROXY_CONFIG", write(t, filepath.Join(t.TempDir(), "config.json"), text))
	conf, err := Load(os.Getenv("PROXY_CONFIG"))
	if err != nil {
		t.Fatal(err)
	}
	term, ended = make(chan os.Signal, 2), make(chan error, 1)
	go func() { ended <- Run(conf, l, term) }()
	t.Cleanup(func() { term <- os.Interrupt })
	return addr, term, ended
}

// member answers checks as a primary, and requests by their values: what a statement inserts comes back.
func member(t *testing.T) *fakes.Member { return withRole(t, 1) }

func withRole(t *testing.T, x1 int) *fakes.Member {
	return fakes.NewMember(t, nil, func(sql string) *fakes.Reply {
		switch {
		case sql == "SHOW vitals":
			return &fakes.Reply{Bytes: pg.AppendReadyIdle(fakes.Rows(fmt.Sprintf("x0=%d,x1=%d", time.Now().Unix(), x1)))}
		case strings.Contains(sql, "hang"):
			return nil
		case strings.Contains(sql, "error"):
			return fakes.Fail("XX000")
		case strings.Contains(sql, "wrong"):
			return fakes.Fail("42601")
		}
		return fakes.Row(sql[strings.LastIndex(sql, " ")+1:], "source", "1")
	})
}

func look(id, what string) string {
	return fmt.Sprintf("/* id=%s,c=look,t=n,d=2000,cluster=2 */ SELECT %s", id, what)
}

func put(id, what string) string {
	return fmt.Sprintf("/* id=%s,c=put,t=n,d=400,cluster=2 */ INSERT %s", id, what)
}

func TestSessions(t *testing.T) {
	addr, _, _ := start(t, "127.0.0.1:1", 256, member(t).Addr)
	steady := fakes.NewClient(t, addr, true)
	query := func(sql string) string { return string(pg.AppendQuery(nil, sql)) }
	hello := string(pg.AppendStartup(nil, "api", "ledger"))
	for n, c := range []struct{ name, send, want string }{
		{"empty", hello + query("") + query(" ; "), "ready, empty ready, empty ready"},
		{"ahead", hello + query(look("a1", "x")) + query(put("a2", "y")) + query(look("a3", "z")),
			"ready, x ok ready, y ok ready, z ok ready"},
		{"no comment", hello + query("SELECT 1") + query(look("b1", "x")), "ready, 08P01 ready, x ok ready"},
		{"unknown txn type", hello + query("/* id=c1,c=what,d=5 */ SELECT 1"), "ready, 22023 ready"},
		{"id in use", hello + query(put("d1", "hang")) + query(strings.Replace(put("d1", "x"), "d=400", "d=3000", 1)),
			"ready, 08007 ready, x ok ready"},
		{"an error of a once-only txn", hello + query(put("e1", "error")), "ready, 08007 ready"},
		{"expired", hello + query("/* id=f1,c=look,d=0,cluster=2 */ SELECT x"), "ready, 53300 ready"},
		{"no such cluster", hello + query("/* id=f2,c=put,d=200,cluster=9 */ SELECT x"), "ready, 53300 ready"},
		{"a wait out of all proportion", hello + query("/* id=f3,c=put,d=1e12,cluster=2 */ INSERT hang") + query(look("f4", "x")),
			"ready, 08007 ready, 53300 ready"}, // the time of the one behind is over with the other's, it is not held for it anew
		{"a position in the future", hello + query("/* id=f5,c=look,d=200,cluster=2,after=9e14 */ SELECT x"), "ready, 22023 ready"},
		{"at fault by a member's word", hello + query(put("f6", "wrong")) + query(look("f7", "x")), "ready, 42601 ready, x ok ready"},
		{"extended", hello + "P\x00\x00\x00\x05xB\x00\x00\x00\x04" + query(look("g1", "x")) + "S\x00\x00\x00\x04" +
			query(look("g2", "y")), "ready, 0A000 ready, y ok ready"},
		{"function call", hello + "F\x00\x00\x00\x04" + query(look("h1", "x")), "ready, 0A000 ready, x ok ready"},
		{"terminate", hello + query(look("i1", "x")) + "X\x00\x00\x00\x04", "ready, x ok ready, closed"},
		{"unknown message", hello + query(look("j1", "x")) + "?\x00\x00\x00\x04", "ready, x ok ready, 08P01 closed"},
		{"too long", hello + "Q\x00\x0f\x00\x00", "ready, 54000 closed"},
		{"no startup", "\x00\x00\x00\x01", "08P01 closed"},
		{"cancel", "\x00\x00\x00\x10\x04\xd2\x16\x2e12345678", "closed"},
		{"a value of many packets", hello + query(look("j2", strings.Repeat("v", 300<<10))),
			"ready, " + strings.Repeat("v", 300<<10) + " ok ready"},
		{"much ahead", hello + strings.Repeat(query(""), 50) + query(put("k1", "hang")) + strings.Repeat(query(""), 300) + "S\x00\x00\x00\x04",
			"ready" + strings.Repeat(", empty ready", 50) + ", 08007 ready" + strings.Repeat(", empty ready", 256) +
				strings.Repeat(", 53300 ready", 44) + ", 54000 closed"},
		{"too much ahead", hello + query(put("k2", "hang")) + strings.Repeat(query(""), 256+4097+1),
			"ready, 08007 ready" + strings.Repeat(", empty ready", 256) + strings.Repeat(", 53300 ready", 4097) + ", 54000 closed"},
		{"behind its end", hello + "X\x00\x00\x00\x04" + query(look("k3", "behind")), "ready, closed"},
	} {
		t.Run(c.name, func(t *testing.T) {
			one := fakes.NewClient(t, addr, false)
			half := len(c.send) / 2
			one.Send(c.send[:half])
			one.Send(c.send[half:])
			for i, want := range strings.Split(c.want, ", ") {
				if got := one.Answer(); got != want {
					t.Fatalf("answer %d: got %q, want %q", i, got, want)
				}
			}
			steady.Ask(look(fmt.Sprint("s", n), "fine"))
			if got := steady.Answer(); got != "fine ok ready" {
				t.Errorf("another session: %q", got)
			}
		})
	}
}

// SIGHUP: a file that is wrong changes nothing; from a good one discovery's address is taken, whose list bars a member
// that the old one still has, and a request that is out goes on; after SIGTERM it does no harm.
func TestReload(t *testing.T) {
	answer := make(chan bool)
	gone := fakes.NewMember(t, nil, func(sql string) *fakes.Reply {
		if sql == "SHOW vitals" {
			return &fakes.Reply{Bytes: pg.AppendReadyIdle(fakes.Rows(fmt.Sprintf("x0=%d,x1=1", time.Now().Unix())))}
		}
		<-answer
		return fakes.Row("old", "source", "1")
	})
	stays := member(t)
	next := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, `{"revision":2,"complete":true,"members":[{"id":"new","host_port":"%s","cell":2,"phase":"in_service"}]}`+"\n",
			stays.Addr)
	}))
	t.Cleanup(next.Close)
	addr, signals, ended := start(t, "127.0.0.1:1", 256, gone.Addr)
	busy := fakes.NewClient(t, addr, true)
	busy.Ask(look("1", "slow"))
	fakes.Until(t, "it is out", func() bool { _, asked := gone.Seen(); return strings.Contains(strings.Join(asked, ""), "slow") })
	file := os.Getenv("PROXY_CONFIG")
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	write(t, file, strings.Replace(string(text), "8c1f30d27a5be964", "green", 1))
	for range 2 {
		signals <- syscall.SIGHUP
	}
	fakes.Until(t, "the wrong file has been read", func() bool { return len(signals) == 0 })
	write(t, file+".next", strings.Replace(string(text), "127.0.0.1:1\"", strings.TrimPrefix(next.URL, "http://")+"\"", 1))
	if err := os.Rename(file+".next", file); err != nil {
		t.Fatal(err)
	}
	signals <- syscall.SIGHUP
	c := fakes.NewClient(t, addr, true)
	n := 1
	fakes.Until(t, "the new list is in force", func() bool {
		n++
		c.Ask(put(fmt.Sprint(n), "y"))
		return c.Answer() == "y ok ready"
	})
	answer <- true
	if got := busy.Answer(); got != "old ok ready" {
		t.Errorf("busy: %q", got)
	}
	signals <- syscall.SIGTERM
	signals <- syscall.SIGHUP
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

func TestTLSIsRefused(t *testing.T) {
	addr, _, _ := start(t, "127.0.0.1:1", 256, member(t).Addr)
	c := fakes.NewClient(t, addr, false)
	c.Send("\x00\x00\x00\x08\x04\xd2\x16\x2f")
	b := make([]byte, 1)
	if _, err := c.Read(b); err != nil || b[0] != 'N' {
		t.Fatalf("got %q, %v", b, err)
	}
	c.Send(string(pg.AppendStartup(nil, "api", "ledger")))
	if got := c.Answer(); got != "ready" {
		t.Errorf("got %q", got)
	}
}

// Each byte on its own makes the same request.
func TestByteByByte(t *testing.T) {
	addr, _, _ := start(t, "127.0.0.1:1", 256, member(t).Addr)
	c := fakes.NewClient(t, addr, true)
	for _, b := range pg.AppendQuery(nil, look("1", "whole")) {
		c.Send(string(b))
	}
	if got := c.Answer(); got != "whole ok ready" {
		t.Errorf("got %q", got)
	}
}

// After SIGTERM new connections are still served, what was taken is answered, and only then the program ends.
func TestDrain(t *testing.T) {
	addr, term, ended := start(t, "127.0.0.1:1", 256, member(t).Addr, withRole(t, 0).Addr)
	idle := fakes.NewClient(t, addr, true)
	busy := fakes.NewClient(t, addr, true)
	busy.Ask(put("1", "hang"))
	term <- syscall.SIGTERM
	late := fakes.NewClient(t, addr, true)
	late.Ask(look("2", "served"))
	if got := late.Answer(); got != "served ok ready" {
		t.Errorf("late: %q", got)
	}
	idle.Ask(look("3", "served"))
	if got := idle.Answer(); got != "served ok ready" {
		t.Errorf("idle: %q", got)
	}
	if got := busy.Answer(); got != "08007 ready" {
		t.Errorf("busy: %q", got)
	}
	for _, c := range []*fakes.Client{idle, busy, late} {
		if got := c.Answer(); got != "closed" {
			t.Errorf("got %q, want the end", got)
		}
		c.Close()
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if c, err := net.Dial("tcp", addr); err == nil {
		c.Close()
		t.Error("it still listens")
	}
}

// crowd opens so many sessions, each of which asks once and stays.
func crowd(t *testing.T, addr string, count int) (all []*fakes.Client) {
	t.Helper()
	for n := range count {
		c := fakes.NewClient(t, addr, true)
		c.Ask(look(fmt.Sprint(n), "x"))
		if got := c.Answer(); got != "x ok ready" {
			t.Fatalf("client %d: %q", n, got)
		}
		all = append(all, c)
	}
	return all
}

// More sessions than there is room for: the one that has been quiet longest makes room, a busy one never does.
func TestMoreSessionsThanRoom(t *testing.T) {
	addr, _, _ := start(t, "127.0.0.1:1", 128, member(t).Addr, withRole(t, 0).Addr)
	busy := fakes.NewClient(t, addr, true)
	busy.Ask(put("busy", "hang"))
	all := crowd(t, addr, 100)
	if got := busy.Answer(); got != "08007 ready" {
		t.Errorf("busy: %q", got)
	}
	if got := all[0].Answer(); got != "closed" {
		t.Errorf("the first: %q", got)
	}
}

// Whoever connects and says nothing, or half of something, is told so and sent away, and a crowd of them keeps nobody
// else out.
func TestSilence(t *testing.T) {
	addr, _, _ := start(t, "127.0.0.1:1", 128, member(t).Addr)
	hello := string(pg.AppendStartup(nil, "api", "ledger"))
	ask := string(pg.AppendQuery(nil, look("half", "x")))
	cases := []struct{ send, want string }{
		{"", "57P05 closed"},
		{hello[:9], "57P05 closed"},
		{hello, "ready, 57P05 closed"},
		{hello + ask[:3], "ready, 57P05 closed"},
		{hello + ask[:len(ask)-1], "ready, 57P05 closed"},
		{hello + ask + ask[:9], "ready, x ok ready, 57P05 closed"},
		{hello + "S\x00\x00\x00\x04", "ready, ready, 57P05 closed"},
	}
	var all []*fakes.Client
	for _, c := range cases {
		all = append(all, fakes.NewClient(t, addr, false))
		all[len(all)-1].Send(c.send)
	}
	for n, c := range cases {
		for _, want := range strings.Split(c.want, ", ") {
			if got := all[n].Answer(); got != want {
				t.Errorf("case %d: got %q, want %q", n, got, want)
			}
		}
	}
	steady := fakes.NewClient(t, addr, true)
	var silent []*fakes.Client
	for n := range 200 {
		silent = append(silent, fakes.NewClient(t, addr, false))
		if n%20 == 0 {
			steady.Write(pg.AppendQuery(nil, look(fmt.Sprint("s", n), "fine")))
			if got := steady.Answer(); got == "closed" { // while it was idle: then a client comes again
				steady = fakes.NewClient(t, addr, true)
			} else if got != "fine ok ready" {
				t.Fatalf("among %d: %q", n, got)
			}
			if n%40 == 0 {
				late := fakes.NewClient(t, addr, true)
				late.Ask(look(fmt.Sprint("l", n), "late"))
				if got := late.Answer(); got != "late ok ready" {
					t.Fatalf("a newcomer among %d: %q", n, got)
				}
			}
		}
	}
	for n, c := range silent {
		if got := c.Answer(); !strings.HasSuffix(got, "closed") {
			t.Errorf("silent client %d: %q", n, got)
		}
	}
}

// Clients that ask once and hold their connections for good: the oldest are closed before any limit is reached, since
// clients have limits too; the latest stay.
func TestHeldConnections(t *testing.T) {
	addr, _, _ := start(t, "127.0.0.1:1", 128, member(t).Addr)
	all := crowd(t, addr, 30)
	if got := all[0].Answer(); got != "closed" {
		t.Errorf("the first: %q", got)
	}
	all[29].Ask(look("again", "y"))
	if got := all[29].Answer(); got != "y ok ready" {
		t.Errorf("the last: %q", got)
	}
}

// One that asks the same wrong thing again and again, and one that floods after its error, do not keep others waiting.
func TestFloods(t *testing.T) {
	addr, _, _ := start(t, "127.0.0.1:1", 256, member(t).Addr)
	steady := fakes.NewClient(t, addr, true)
	again, flood := fakes.NewClient(t, addr, true), fakes.NewClient(t, addr, true)
	heard := make(chan int)
	go func() {
		n := 0
		for again.Write(pg.AppendQuery(nil, "SELECT 1")); again.Answer() == "08P01 ready"; n++ {
			again.Write(pg.AppendQuery(nil, "SELECT 1"))
		}
		heard <- n
	}()
	go func() {
		flood.Write([]byte("Q\x04\x00\x00\x00"))
		for buf := make([]byte, 1<<16); ; {
			if _, err := flood.Write(buf); err != nil {
				return
			}
		}
	}()
	if got := flood.Answer(); got != "54000 closed" && got != "closed" {
		t.Errorf("the flood: %q", got)
	}
	for n := range 100 {
		steady.Ask(look(fmt.Sprint(n), "fine"))
		if got := steady.Answer(); got != "fine ok ready" {
			t.Fatalf("got %q", got)
		}
	}
	again.Close()
	if n := <-heard; n > 100 {
		t.Errorf("the same mistake was answered %d times", n)
	}
}

// A start with an old list, and with discovery that takes the connection and stays silent; then a list that moves
// the only member.
func TestOldListAndSilentDiscovery(t *testing.T) {
	speak := make(chan string)
	silent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("index") != "41" {
			t.Errorf("asked from %s", r.URL)
		}
		for {
			select {
			case line := <-speak:
				fmt.Fprintln(w, line)
				w.(http.Flusher).Flush()
			case <-r.Context().Done():
				return
			}
		}
	}))
	t.Cleanup(func() { silent.CloseClientConnections(); silent.Close() })
	old, moved := member(t), member(t)
	addr, _, _ := start(t, strings.TrimPrefix(silent.URL, "http://"), 256, old.Addr)
	c := fakes.NewClient(t, addr, true)
	c.Ask(look("1", "x"))
	if got := c.Answer(); got != "x ok ready" {
		t.Fatalf("got %q", got)
	}
	speak <- fmt.Sprintf(`{"revision":43,"complete":false,"members":[{"id":"m0","host_port":"%s","cell":2,"phase":"in_service"}]}`,
		moved.Addr)
	n := 1
	fakes.Until(t, "the member has moved", func() bool {
		n++
		c.Ask(look(fmt.Sprint(n), "y"))
		if got := c.Answer(); got != "y ok ready" {
			t.Fatalf("got %q", got)
		}
		accepted, _ := moved.Seen()
		return accepted > 0
	})
}

// A client that leaves frees its request: its id may come again as soon as its attempt is back.
func TestGone(t *testing.T) {
	answer := make(chan bool)
	slow := fakes.NewMember(t, nil, func(sql string) *fakes.Reply {
		switch {
		case sql == "SHOW vitals":
			return &fakes.Reply{Bytes: pg.AppendReadyIdle(fakes.Rows(fmt.Sprintf("x0=%d,x1=1", time.Now().Unix())))}
		case strings.Contains(sql, "slow"):
			<-answer
		}
		return fakes.Row("v", "source", "1")
	})
	addr, _, _ := start(t, "127.0.0.1:1", 256, slow.Addr)
	leaves := fakes.NewClient(t, addr, true)
	leaves.Ask(look("1", "slow"))
	fakes.Until(t, "it is out", func() bool {
		_, asked := slow.Seen()
		return len(asked) > 0 && strings.Contains(asked[len(asked)-1], "slow")
	})
	leaves.Close()
	close(answer)
	stays := fakes.NewClient(t, addr, true)
	fakes.Until(t, "the id is free", func() bool {
		stays.Ask(look("1", "x"))
		return stays.Answer() == "v ok ready"
	})
}

// Statements that together hold too much are rejected, and parts of them end their session; later ones are served.
func TestMemory(t *testing.T) {
	addr, _, _ := start(t, "127.0.0.1:1", 256, member(t).Addr)
	long := strings.Repeat("x", 150<<10)
	var parts []*fakes.Client
	part := func() {
		c := fakes.NewClient(t, addr, true)
		whole := string(pg.AppendQuery(nil, look("part", long)))
		c.Send(whole[:len(whole)-1])
		parts = append(parts, c)
	}
	for range 25 { // more than a sixth of the memory, less than a third
		part()
	}
	n := 0
	ask := func() string { // each on a session of its own, which may be ended for its part of a statement
		n++
		c := fakes.NewClient(t, addr, true)
		defer c.Close()
		c.Write(pg.AppendQuery(nil, look(fmt.Sprint("one", n), long)))
		return c.Answer()
	}
	fakes.Until(t, "one more is declined", func() bool { return ask() == "53300 ready" })
	for range 25 {
		part()
	}
	if got := parts[len(parts)-1].Answer(); got != "53300 closed" {
		t.Errorf("the last part: %q", got)
	}
	for _, c := range parts {
		c.Close()
	}
	fakes.Until(t, "the next is served", func() bool { return ask() == long+" ok ready" })
}

// Another customer's settings: what may be left out is, and short windows, deadlines and bounds follow from them alone.
// Reads and writes are served, or the settings refused with the field.
func TestOtherSettings(t *testing.T) {
	swap := func(pairs ...string) string { return strings.NewReplacer(pairs...).Replace(configuration) }
	for _, c := range []struct{ name, config, bad string }{
		{"as given", configuration, ""},
		{"no reports", swap(`"report":{"columns":["x0","x1"],"how":"pull"},`, ""), ""},
		{"no columns in reports", swap(`"columns":["x0","x1"]`, `"columns":[]`), ""},
		{"no checks", swap(`"probes":true`, `"probes":false`), ""},
		{"no cancels", swap(`"cancel":true`, `"cancel":false`), ""},
		{"no wait may be told", swap(`"retryAfter":true,"maxRetryAfter":1000000,`, `"retryAfter":false,`), ""},
		{"lists are asked for", swap(`"push"`, `"ask"`, `"contract":{`, `"contract":{"askWithin":10000000,`), ""},
		{"lists are asked for, no time given", swap(`"push"`, `"ask"`), "contract.askWithin"},
		{"one submission", swap(`"attemptsCap":6`, `"attemptsCap":1`), ""},
		{"no worth", swap(`"worth":1`, `"worth":0`), ""},
		{"tenants of more than all", swap(`"settings":{`, `"settings":{"orgs":[{"name":"n","quotaRps":1e9},{"name":"m","quotaRps":0}],`), ""},
		{"a mark, a window shorter than any wait", swap(`"fragile"`, `"dedup","group":"cell","window":1000`), ""},
		{"deadlines shorter than a check's period", swap(`"target":500000,"deadline":3000000`, `"target":200000,"deadline":400000`), ""},
		{"no warming up", swap(`"warmUp":1000000`, `"warmUp":0`), ""},
		{"an effect without a group", swap(`"fragile"`, `"dedup"`), "profiles[1].group"},
		{"a type without a level", swap(`["any","write"]`, `["any"]`), "readLevel"},
		{"half a type", swap(`"target":500000,`, ``), "profiles[0].target"},
	} {
		t.Run(c.name, func(t *testing.T) {
			both := member(t)
			text := strings.Replace(c.config, `"members":[]`, fmt.Sprintf(`"members":[{"id":"m0","host_port":"%s","cell":2,"phase":"in_service"}]`, both.Addr), 1)
			text = strings.Replace(text, `"sockets":256`, `"sockets":128`, 1)
			conf, err := Load(write(t, filepath.Join(t.TempDir(), "config.json"), text))
			if c.bad != "" {
				if err == nil || !strings.Contains(err.Error(), c.bad) {
					t.Errorf("got %v, want %s named", err, c.bad)
				}
				return
			} else if err != nil {
				t.Fatal(err)
			}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			signals, ended := make(chan os.Signal, 1), make(chan error, 1)
			go func() { ended <- Run(conf, l, signals) }()
			one := fakes.NewClient(t, l.Addr().String(), true)
			n := 0
			fakes.Until(t, "a read and a write are served", func() bool {
				n++
				one.Ask(look(fmt.Sprint("r", n), "x"))
				read := one.Answer()
				one.Ask(put(fmt.Sprint("w", n), "y"))
				return read == "x ok ready" && one.Answer() == "y ok ready"
			})
			one.Close()
			signals <- syscall.SIGTERM
			if err := <-ended; err != nil {
				t.Error(err)
			}
		})
	}
}
