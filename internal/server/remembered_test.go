package server

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"wayloft/internal/fakes"
	"wayloft/internal/pg"
)

// newMemberAt starts a member with a role that reports a position, in ms, and answers each statement with a value.
func newMemberAt(t *testing.T, role string, position func() int64, value string) *fakes.Member {
	t.Helper()
	return fakes.NewMember(t, nil, func(sql string) *fakes.Reply {
		if sql == "SHOW vitals" {
			x1 := map[string]int{"source": 1, "copy": 0}[role]
			return &fakes.Reply{Bytes: pg.AppendReadyIdle(fakes.Rows(fmt.Sprintf("x0=%.3f,x1=%d", float64(position())/1000, x1)))}
		}
		return fakes.RowReply(value, role, fmt.Sprint(position()))
	})
}

// Guards against a session's read that is served by a member which joined from a copy older than the session's commit, after the router
// had forgotten the commit because all members present had applied it.
func TestRememberedCommits_MemberJoinsFromOldCopy(t *testing.T) {
	copiedAt := time.Now().Add(-5 * time.Second).UnixMilli()
	primary := newMemberAt(t, "source", func() int64 { return time.Now().UnixMilli() }, "new")
	joined := newMemberAt(t, "copy", func() int64 { return copiedAt }, "old")
	entry := func(id string, m *fakes.Member) string {
		return fmt.Sprintf(`{"id":"%s","host_port":"%s","locality":"z","cell":2,"phase":"in_service"}`, id, m.Addr)
	}
	l := newListServer(t)
	l.publish(41, entry("m0", primary))
	addr, _, _ := startRouterWith(t, []string{`"serverChecks":"refuse","tokenMode":"carried"`, `"serverChecks":"silent","tokenMode":"remembered"`,
		`["any","write"]`, `["session","write"]`}, strings.TrimPrefix(l.URL, "http://"), 256, primary.Addr)
	ask := func(id, class, sql string) string {
		c := fakes.NewClient(t, addr, true)
		defer closeSocket(c)
		c.SendQuery(fmt.Sprintf("/* id=%s,c=%s,d=3000,cluster=2 */ %s", id, class, sql))
		return c.ReadResponse()
	}
	fakes.WaitUntil(t, "a write is served", func() bool {
		return ask(fmt.Sprint("w", time.Now().UnixNano()), "put", insertSQL("s1", "new")) == "new ok ready"
	})
	l.publish(42, entry("m0", primary), entry("m1", joined))
	reads := 0
	read := func() {
		t.Helper()
		reads++
		if got := ask(fmt.Sprint("r", reads), "look", "SELECT blob FROM rows WHERE handle = 's1'"); got != "new ok ready" {
			t.Fatalf("read %d: %q", reads, got)
		}
	}
	fakes.WaitUntil(t, "the member that joined was checked", func() bool { read(); return len(statementsSeen(joined)) > 0 })
	for range 30 {
		read()
	}
}
