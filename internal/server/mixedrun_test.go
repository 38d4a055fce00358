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

var mixedTransactions = flag.Int("mixed-transactions", 4000, "transactions of the mixed run; a long run uses 100000")

// noteChecker checks that each statement that calls note runs with the settings of its own client.
type noteChecker struct {
	mu         sync.Mutex
	mismatches []string
	notes      int
}

// record checks a statement that a server has run.
func (c *noteChecker) record(e pgserver.Event) {
	if e.Note == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notes++
	actual := make([]string, 0, 3)
	for _, name := range settingNames {
		actual = append(actual, name+"="+e.Settings["m."+name])
	}
	if want := strings.Fields(e.Note); strings.Join(want[1:], " ") != strings.Join(actual, " ") && len(c.mismatches) < 10 {
		c.mismatches = append(c.mismatches, fmt.Sprintf("on connection %d: %q has %v", e.ConnectionID, e.Note, actual))
	}
}

// runMixedClients runs clients until they have run a number of transactions in total. It returns the errors and violations that they saw.
func runMixedClients(t *testing.T, addr string, clients, transactions int, seed uint64) (codes map[string]int, violations []string) {
	var remaining atomic.Int64
	remaining.Store(int64(transactions))
	var wg sync.WaitGroup
	var mu sync.Mutex
	codes = map[string]int{}
	for id := range clients {
		owner := map[string]string{"owner": fmt.Sprint(id)}
		m := &mixedClient{id: id, random: rand.New(rand.NewPCG(seed, uint64(id))), settings: owner, committed: clone(owner), prepared: map[string]string{},
			codes: map[string]int{}}
		m.client = fakes.NewClient(t, addr, false)
		_, _ = m.client.Write(pg.AppendStartup(nil, "api", "ledger", pg.Setting{Name: "options", Value: fmt.Sprintf("-c m.owner=%d", id)}))
		if got := m.client.ReadResponse(); got != "ready" {
			t.Fatalf("client %d: %q", id, got)
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			for m.failure == "" && remaining.Add(-1) >= 0 {
				m.runTransaction()
			}
			mu.Lock()
			defer mu.Unlock()
			for c, n := range m.codes {
				codes[c] += n
			}
			if m.failure != "" {
				violations = append(violations, m.failure)
			}
		}()
	}
	wg.Wait()
	return codes, violations
}

// A mixed run of many clients on few connections, some of which fail: no setting, statement or response reaches another client, and no
// session's read is older than its own last write.
func TestPool_MixedRun(t *testing.T) {
	var checker noteChecker
	cluster, codes, violations := runMixedCluster(t, &checker, *mixedTransactions, session.SeededDefects{})
	for _, s := range append(violations, checker.mismatches...) {
		t.Error(s)
	}
	var counts []pgserver.Counts
	for _, s := range cluster.Servers {
		// One more connection is for health checks. The member sees the end of a connection a moment after the router has closed it.
		fakes.WaitUntil(t, "no more connections than the pool allows", func() bool { return s.Counts().Open <= 4+1 })
		n := s.Counts()
		counts = append(counts, n)
	}
	if checker.notes < *mixedTransactions/4 {
		t.Errorf("only %d statements carried a note", checker.notes)
	}
	t.Logf("%d transactions, %d notes, codes %v, members %+v", *mixedTransactions, checker.notes, codes, counts)
}

// runMixedCluster runs the mixed clients on two members, where some connections and statements fail.
func runMixedCluster(t *testing.T, checker *noteChecker, transactions int, defects session.SeededDefects) (*lab.Cluster, map[string]int, []string) {
	var statements atomic.Int64
	addr, cluster := startDefectivePooledRouter(t, 2, lab.Pool{PerMember: 4, ExtraKeys: "statements = 50\n"}, defects, func(s *pgserver.Server) {
		s.OnStatement = checker.record
		s.Lag = 3 * time.Millisecond
		s.InjectFault = func(_ int, m *pg.Message) *pgserver.Fault {
			if m.Kind != pg.Query && m.Kind != pg.Execute || m.Text == "SHOW vitals" {
				return nil
			}
			switch n := statements.Add(1); {
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
	codes, violations := runMixedClients(t, addr, clients, transactions, 1)
	return cluster, codes, violations
}
