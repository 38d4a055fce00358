package main

import (
	"fmt"
	"strings"
	"testing"

	"wayloft/internal/lab"
	"wayloft/internal/pg"
	"wayloft/internal/standin"
)

// A query that was sent ahead waits for its turn, and its client's time runs. The one before it waits longer for an answer
// than the one behind has: at its turn that one is declined, and no member hears of it.
func TestTimeRunsBeforeItsTurn(t *testing.T) {
	m := member(t)
	addr, _, _ := start(t, "127.0.0.1:1", 256, m.Addr)
	c := standin.NewClient(t, addr, true)
	before := "/* id=b1,c=put,t=n,d=500,cluster=2 */ INSERT hang"
	behind := "/* id=b2,c=put,t=n,d=300,cluster=2 */ INSERT value"
	c.Send(string(pg.AppendQuery(pg.AppendQuery(pg.AppendQuery(nil, before), behind), look("b3", "x"))))
	for n, want := range []string{"08007 ready", "53300 ready", "x ok ready"} {
		if got := c.Answer(); got != want {
			t.Errorf("answer %d: got %q, want %q", n, got, want)
		}
	}
	if _, asked := m.Seen(); strings.Contains(strings.Join(asked, "\n"), "value") {
		t.Error("a member heard of the query whose time was over")
	}
}

// The same in a pool, for one statement and for a pipeline.
func TestTimeRunsBeforeItsTurnInAPool(t *testing.T) {
	addr, cluster := pooledRouter(t, 1, lab.Pool{PerMember: 2}, nil)
	c := standin.NewClient(t, addr, true)
	query := func(sql string) string { return string(pg.AppendQuery(nil, sql)) }
	labelled := func(n, d int, sql string) string { return fmt.Sprintf("/* id=q%d,c=write,t=n,d=%d */ %s", n, d, sql) }
	pipeline := func(sql string) string {
		return string(pg.AppendParse(nil, "", []byte(sql+"\x00\x00\x00"))) +
			string(pg.AppendExecute(pg.AppendBind(nil, "", "", []byte{0, 0, 0, 0, 0, 0}), "")) + string(pg.AppendSync(nil))
	}
	c.Send(query(labelled(1, 500, "SELECT pg_sleep(60)")) + query(labelled(2, 300, insert("late", "1"))) +
		pipeline(labelled(3, 300, insert("late", "2"))) + query("SELECT blob FROM rows WHERE handle = 'late'"))
	for n, want := range []string{"08007 ready", "53300 ready", "53300 ready", "ok ready"} {
		if got := c.Answer(); got != want {
			t.Errorf("answer %d: got %q, want %q", n, got, want)
		}
	}
	standin.Until(t, "what was given up is over", func() bool { return cluster.Servers[0].Counts().Inside == 0 })
}
