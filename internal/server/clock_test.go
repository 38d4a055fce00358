package server

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"wayloft/internal/fakes"
	"wayloft/internal/pg"
)

// laggingMember is a member whose reported positions lag behind the current time.
type laggingMember struct {
	*fakes.Member
	checks, reads atomic.Int64
}

func newLaggingMember(t *testing.T, primary bool, lag time.Duration) *laggingMember {
	m := &laggingMember{}
	name, role, x1 := "replica", "copy", 0
	if primary {
		name, role, x1 = "primary", "source", 1
	}
	m.Member = fakes.NewMember(t, nil, func(sql string) *fakes.Reply {
		at := float64(time.Now().Add(-lag).UnixMicro()) / 1000
		if sql == "SHOW vitals" {
			defer m.checks.Add(1)
			return &fakes.Reply{Bytes: pg.AppendReadyIdle(fakes.Rows(fmt.Sprintf("x0=%.6f,x1=%d", at/1000, x1)))}
		}
		m.reads.Add(1)
		return fakes.RowReply(name, role, fmt.Sprintf("%.3f", at))
	})
	return m
}

// startWithClockAhead starts a router whose wall clock is ahead by a duration at its start. Members serve every read, whatever their lag.
func startWithClockAhead(t *testing.T, ahead time.Duration, members ...*laggingMember) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var entries []string
	for n, m := range members {
		entries = append(entries, fmt.Sprintf(`{"id":"m%d","host_port":"%s","locality":"z","cell":2,"phase":"in_service","up_since_ms":%d}`,
			n, m.Addr, time.Now().Add(-10*time.Minute).UnixMilli()))
	}
	text := strings.NewReplacer("127.0.0.1:0", l.Addr().String(), `"members":[]`, `"members":[`+strings.Join(entries, ",")+`]`,
		`"serverChecks":"refuse"`, `"serverChecks":"silent"`, `["any","write"],"classBound":[0,0]`,
		`["bounded","write","session","bounded"],"classBound":[300000,0,0,20000000]`,
		`"profiles":[`, `"profiles":[`, `"idempotency":"fragile"}]`, `"idempotency":"fragile"},
{"name":"own","target":500000,"deadline":3000000,"worth":1,"idempotency":"retryable"},
{"name":"old","target":500000,"deadline":3000000,"worth":1,"idempotency":"retryable"}]`).Replace(platformConfig)
	config, err := Load(writeFile(t, filepath.Join(t.TempDir(), "config.json"), text))
	if err != nil {
		t.Fatal(err)
	}
	config.wallClock = func() time.Time { return time.Now().Add(ahead) }
	signals, ended := make(chan os.Signal, 2), make(chan error, 1)
	runUntilCleanup(t, config, l, signals, ended)
	return l.Addr().String()
}

var clockOffsets = []time.Duration{0, -600 * time.Millisecond, -time.Hour, time.Hour}

// A replica with a lag of 0.7 s gets no read with a staleness bound of 0.3 s, and none that must see a recent commit, whatever the
// router's wall clock showed at its start.
func TestWrongClock_NoStaleRead(t *testing.T) {
	for _, ahead := range clockOffsets {
		t.Run(fmt.Sprint(ahead), func(t *testing.T) {
			primary, replica := newLaggingMember(t, true, 0), newLaggingMember(t, false, 700*time.Millisecond)
			c := fakes.NewClient(t, startWithClockAhead(t, ahead, primary, replica), true)
			ask := func(n int, class, fields string) {
				t.Helper()
				c.SendQuery(fmt.Sprintf("/* id=%s%d,c=%s,t=n,d=2500,cluster=2%s */ SELECT blob FROM rows WHERE handle = 's'", class, n, class, fields))
				if got := c.ReadResponse(); got != "primary ok ready" {
					t.Errorf("%s read %d: got %q, want the primary's response", class, n, got)
				}
			}
			n := 0
			fakes.WaitUntil(t, "both members have been checked more than once", func() bool { // reads begin right after the start
				n++
				ask(n, "look", "")
				ask(n, "own", fmt.Sprintf(",after=%d", time.Now().UnixMilli()))
				return n > 20 && primary.checks.Load() > 1 && replica.checks.Load() > 1
			})
			if got := replica.reads.Load(); got != 0 {
				t.Errorf("the replica got %d reads", got)
			}
		})
	}
}

// A replica that is fresh enough gets reads with a staleness bound, and reads of client sessions whose last commit it has applied. No
// request is rejected.
func TestWrongClock_ReplicasServe(t *testing.T) {
	for _, ahead := range clockOffsets {
		t.Run(fmt.Sprint(ahead), func(t *testing.T) {
			primary, replica := newLaggingMember(t, true, 0), newLaggingMember(t, false, 50*time.Millisecond)
			c := fakes.NewClient(t, startWithClockAhead(t, ahead, primary, replica), true)
			commit := time.Now().Add(-10 * time.Second).UnixMilli()
			for _, class := range []string{"old", "own"} {
				before, n := replica.reads.Load(), 0
				fakes.WaitUntil(t, "the replica serves "+class, func() bool {
					n++
					c.SendQuery(fmt.Sprintf("/* id=%s%d,c=%s,t=n,d=2500,cluster=2,after=%d */ SELECT blob FROM rows WHERE handle = 's'", class, n,
						class, commit))
					if got := c.ReadResponse(); got != "primary ok ready" && got != "replica ok ready" {
						t.Fatalf("%s read %d: got %q", class, n, got)
					}
					return replica.reads.Load() > before
				})
			}
		})
	}
}
