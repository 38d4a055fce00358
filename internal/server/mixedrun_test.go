package server

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"wayloft/internal/decide/session"
	"wayloft/internal/fakes"
	"wayloft/internal/fakes/pgserver"
	"wayloft/internal/lab"
	"wayloft/internal/pg"
)

var mixedTransactions = flag.Int("mixed-transactions", 4000, "transactions of the mixed run; the long one takes 100000")

// noteChecker checks that each statement that calls note runs with its own client's settings.
type noteChecker struct {
	mu         sync.Mutex
	mismatches []string
	notes      int
}

// record checks one statement that a server ran.
func (a *noteChecker) record(e pgserver.Event) {
	if e.Note == "" {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.notes++
	has := make([]string, 0, 3)
	for _, name := range settingNames {
		has = append(has, name+"="+e.Settings["m."+name])
	}
	if want := strings.Fields(e.Note); strings.Join(want[1:], " ") != strings.Join(has, " ") && len(a.mismatches) < 10 {
		a.mismatches = append(a.mismatches, fmt.Sprintf("on connection %d: %q has %v", e.Conn, e.Note, has))
	}
}

// runMixedClients runs clients until they have run so many transactions together. It returns the errors and the violations that they
// saw.
func runMixedClients(t *testing.T, addr string, clients, transactions int, seed uint64) (codes map[string]int, bad []string) {
	var left atomic.Int64
	left.Store(int64(transactions))
	var wg sync.WaitGroup
	var mu sync.Mutex
	codes = map[string]int{}
	for id := range clients {
		owner := map[string]string{"owner": fmt.Sprint(id)}
		m := &mixedClient{id: id, random: rand.New(rand.NewPCG(seed, uint64(id))), settings: owner, committed: clone(owner), prepared: map[string]string{},
			codes: map[string]int{}}
		m.client = fakes.NewClient(t, addr, false)
		_, _ = m.client.Write(pg.AppendStartup(nil, "api", "ledger", pg.Setting{Name: "options", Value: fmt.Sprintf("-c m.owner=%d", id)}))
		if got := m.client.Answer(); got != "ready" {
			t.Fatalf("client %d: %q", id, got)
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			for m.failure == "" && left.Add(-1) >= 0 {
				m.runTransaction()
			}
			mu.Lock()
			defer mu.Unlock()
			for c, n := range m.codes {
				codes[c] += n
			}
			if m.failure != "" {
				bad = append(bad, m.failure)
			}
		}()
	}
	wg.Wait()
	return codes, bad
}

// A long mixed run of many clients on few connections, some of which fail: no setting, statement or answer reaches another client,
// and no session's read is older than its own last write.
func TestPool_MixedRun(t *testing.T) {
	var a noteChecker
	cluster, codes, bad := runMixedCluster(t, &a, *mixedTransactions, session.SeededDefects{})
	for _, s := range append(bad, a.mismatches...) {
		t.Error(s)
	}
	var counts []pgserver.Counts
	for _, s := range cluster.Servers {
		// And one for checks. One that the router has closed is the member's for a moment longer.
		fakes.Until(t, "no more connections than the pool's", func() bool { return s.Counts().Open <= 4+1 })
		n := s.Counts()
		counts = append(counts, n)
	}
	if a.notes < *mixedTransactions/4 {
		t.Errorf("only %d statements carried a note", a.notes)
	}
	t.Logf("%d transactions, %d notes, codes %v, members %+v", *mixedTransactions, a.notes, codes, counts)
}

// runMixedCluster runs the mixed clients on two members, some of whose connections and statements fail.
func runMixedCluster(t *testing.T, a *noteChecker, transactions int, defects session.SeededDefects) (*lab.Cluster, map[string]int, []string) {
	var asked atomic.Int64
	addr, cluster := startDefectivePooledRouter(t, 2, lab.Pool{PerMember: 4, ExtraKeys: "statements = 50\n"}, defects, func(s *pgserver.Server) {
		s.OnStatement = a.record
		s.Lag = 3 * time.Millisecond
		s.InjectFault = func(_ int, m *pg.Message) *pgserver.Fault {
			if m.Kind != pg.Query && m.Kind != pg.Execute || m.Text == "SHOW vitals" {
				return nil
			}
			switch n := asked.Add(1); {
			case n%997 == 0:
				return &pgserver.Fault{Close: true}
			case n%1499 == 0:
				return &pgserver.Fault{Error: "XX000"}
			}
			return nil
		}
	})
	clients := 50
	if transactions > 10000 {
		clients = 200
	}
	codes, bad := runMixedClients(t, addr, clients, transactions, 1)
	return cluster, codes, bad
}
