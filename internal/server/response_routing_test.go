package server

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
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

var long = flag.Int("astray", 4000, "transactions of the mixed run; the long one takes 100000")

// astray keeps what a server recorded that was not as its client had it: each statement that notes carries what its
// client has set, and its client's own mark.
type astray struct {
	mu    sync.Mutex
	found []string
	notes int
}

func (a *astray) record(e pgserver.Event) {
	if e.Note == "" {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.notes++
	has := make([]string, 0, 3)
	for _, name := range marks {
		has = append(has, name+"="+e.Settings["m."+name])
	}
	if want := strings.Fields(e.Note); strings.Join(want[1:], " ") != strings.Join(has, " ") && len(a.found) < 10 {
		a.found = append(a.found, fmt.Sprintf("on connection %d: %q has %v", e.Conn, e.Note, has))
	}
}

var marks = []string{"owner", "x", "y"}

// mixed is one client of the run, with its own account of what it has set, prepared and written.
type mixed struct {
	id       int
	c        *fakes.Client
	r        *rand.Rand
	set, was map[string]string
	saved    map[string]string
	inside   bool
	names    map[string]string // prepared
	last     string            // its own row's last value
	n        int
	codes    map[string]int
	bad      string
}

func (m *mixed) note() string {
	out := fmt.Sprintf("c%d", m.id)
	for _, name := range marks {
		out += " " + name + "=" + m.set[name]
	}
	return out
}

func clone(in map[string]string) map[string]string {
	out := map[string]string{}
	for k, v := range in {
		out[k] = v
	}
	return out
}

// ask asks a simple query; a rejection or a lost transaction is no fault of the run, and is told.
func (m *mixed) ask(sql string) (answer string, ok bool) {
	m.c.Ask(sql)
	return m.hear(sql)
}

func (m *mixed) hear(sql string) (answer string, ok bool) {
	answer = m.c.Answer()
	for _, code := range []string{"53300", "08006", "08007", "40001", "25P02", "57014", "XX000"} {
		if strings.Contains(answer, code) {
			m.codes[code]++
			m.set, m.inside = clone(m.was), false
			if strings.HasSuffix(answer, "ready") {
				m.c.Ask("ROLLBACK")
				m.c.Answer()
			}
			return answer, false
		}
	}
	if strings.Contains(answer, "closed") {
		m.bad = fmt.Sprintf("client %d is cut off after %q: %q", m.id, sql, answer)
		return answer, false
	}
	return answer, true
}

func (m *mixed) wrong(format string, args ...any) {
	if m.bad == "" {
		m.bad = fmt.Sprintf("client %d: ", m.id) + fmt.Sprintf(format, args...)
	}
}

// check notes what is set, one way or another, and looks at the answer.
func (m *mixed) check() {
	note := m.note()
	var answer string
	var ok bool
	switch m.r.IntN(3) {
	case 0:
		answer, ok = m.ask("SELECT note('" + note + "')")
	case 1: // by a prepared statement with one name for all clients, and a text that is its client's
		text := m.names["p"]
		if text == "" {
			text = fmt.Sprintf("SELECT /* %d */ note($1)", m.id%7)
			m.c.Send(string(pg.AppendSync(pg.AppendParse(nil, "p", []byte(text+"\x00\x00\x00")))))
			if _, ok = m.hear("parse"); !ok {
				return
			}
			m.names["p"] = text
		}
		m.c.Send(string(pg.AppendSync(pg.AppendExecute(pg.AppendBind(nil, "", "p", value(note)), ""))))
		answer, ok = m.hear("execute")
	case 2:
		out := pg.AppendParse(nil, "", []byte("SELECT note($1)\x00\x00\x00"))
		m.c.Send(string(pg.AppendSync(pg.AppendExecute(pg.AppendBind(out, "", "", value(note)), ""))))
		answer, ok = m.hear("execute")
	}
	if ok && answer != note+" ok ready" {
		m.wrong("asked %q, got %q", note, answer)
	}
}

func value(s string) []byte {
	out := []byte{0, 0, 0, 1, 0, 0, byte(len(s) >> 8), byte(len(s))}
	return append(append(out, s...), 0, 0)
}

func (m *mixed) change() {
	name, v := marks[1+m.r.IntN(2)], fmt.Sprint(m.r.IntN(3))
	if _, ok := m.ask(fmt.Sprintf("SET m.%s = '%s'", name, v)); ok {
		m.set[name] = v
		if !m.inside {
			m.was = clone(m.set)
		}
	}
}

// one is one transaction of some kind.
func (m *mixed) one() {
	m.n++
	switch m.r.IntN(11) {
	case 10: // a cancel that may come too early, in time, or as the statement ends
		m.c.Ask("SELECT pg_sleep(0.004)")
		if m.r.IntN(2) == 0 {
			time.Sleep(time.Duration(m.r.IntN(30)) * time.Millisecond)
		}
		if c, err := net.Dial("tcp", m.c.RemoteAddr().String()); err == nil {
			c.Write(pg.AppendCancelRequest(nil, m.c.Key))
			c.Close()
		}
		if answer, ok := m.hear("a sleep"); ok && answer != " ok ready" {
			m.wrong("a sleep is answered with %q", answer)
		}
	case 0:
		m.change()
		m.check()
	case 1: // set inside, and taken back
		if _, ok := m.ask("BEGIN"); !ok {
			return
		}
		m.inside = true
		m.change()
		if m.inside {
			m.check()
		}
		if m.inside {
			if m.inside = false; m.r.IntN(2) == 0 {
				if _, ok := m.ask("COMMIT"); ok {
					m.was = clone(m.set)
				}
			} else if _, ok := m.ask("ROLLBACK"); ok {
				m.set = clone(m.was)
			}
		}
	case 2: // for the transaction alone
		if _, ok := m.ask("BEGIN"); !ok {
			return
		}
		if _, ok := m.ask("SET LOCAL m.x = 'local'"); !ok {
			return
		}
		m.set["x"] = "local"
		m.check()
		if m.set["x"] == "local" {
			m.ask("COMMIT")
		}
		m.set = clone(m.was)
		m.check()
	case 3, 4, 5: // a write, and its own read on whatever connection and member
		v := fmt.Sprintf("%d-%d", m.id, m.n)
		sql := fmt.Sprintf("INSERT INTO rows (handle, blob) VALUES ('own%d', '%s') RETURNING blob", m.id, v)
		if answer, ok := m.ask(sql); !ok {
			if !strings.Contains(answer, "53300") {
				m.last = "" // it may be there or not
			}
			return
		}
		m.last = v
		m.read()
	case 6:
		m.read()
	case 7:
		m.check()
	case 8: // an error in a pipeline
		out := pg.AppendParse(nil, "", []byte("SELEKT\x00\x00\x00"))
		out = pg.AppendExecute(pg.AppendBind(out, "", "", []byte{0, 0, 0, 0, 0, 0}), "")
		m.c.Send(string(pg.AppendSync(out)))
		if answer, ok := m.hear("a mistake"); ok && answer != "42601 ready" {
			m.wrong("a mistake is answered with %q", answer)
		}
	case 9:
		if m.r.IntN(4) == 0 { // all of it, with the session's own start after it
			if _, ok := m.ask("DISCARD ALL"); ok {
				m.set, m.was, m.names = map[string]string{"owner": fmt.Sprint(m.id)}, map[string]string{"owner": fmt.Sprint(m.id)},
					map[string]string{}
			}
		}
		m.check()
	}
}

func (m *mixed) read() {
	if m.last == "" {
		return
	}
	sql := fmt.Sprintf("BEGIN READ ONLY; SELECT blob FROM rows WHERE handle = 'own%d'; COMMIT", m.id)
	if answer, ok := m.ask(sql); ok && answer != "ok "+m.last+" ok ok ready" {
		m.wrong("its last write is %q, and it reads %q", m.last, answer)
	}
}

// run plays clients until they have done so many transactions together.
func runMixed(t *testing.T, addr string, clients, transactions int, seed uint64) (codes map[string]int, bad []string) {
	var left atomic.Int64
	left.Store(int64(transactions))
	var wg sync.WaitGroup
	var mu sync.Mutex
	codes = map[string]int{}
	for id := range clients {
		owner := map[string]string{"owner": fmt.Sprint(id)}
		m := &mixed{id: id, r: rand.New(rand.NewPCG(seed, uint64(id))), set: owner, was: clone(owner), names: map[string]string{},
			codes: map[string]int{}}
		m.c = fakes.NewClient(t, addr, false)
		m.c.Write(pg.AppendStartup(nil, "api", "ledger", [2]string{"options", fmt.Sprintf("-c m.owner=%d", id)}))
		if got := m.c.Answer(); got != "ready" {
			t.Fatalf("client %d: %q", id, got)
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			for m.bad == "" && left.Add(-1) >= 0 {
				m.one()
			}
			mu.Lock()
			defer mu.Unlock()
			for c, n := range m.codes {
				codes[c] += n
			}
			if m.bad != "" {
				bad = append(bad, m.bad)
			}
		}()
	}
	wg.Wait()
	return codes, bad
}

// A long mixed run of many clients on few connections, some of which fail: no setting, statement or answer goes astray,
// and no session's read is older than its own last write.
func TestNothingGoesAstray(t *testing.T) {
	var a astray
	cluster, codes, bad := mixedRun(t, &a, *long, session.SeededDefects{})
	for _, s := range append(bad, a.found...) {
		t.Error(s)
	}
	var counts []pgserver.Counts
	for _, s := range cluster.Servers {
		// And one for checks. One that the router has closed is the member's for a moment longer.
		fakes.Until(t, "no more connections than the pool's", func() bool { return s.Counts().Open <= 4+1 })
		n := s.Counts()
		counts = append(counts, n)
	}
	if a.notes < *long/4 {
		t.Errorf("only %d statements carried a note", a.notes)
	}
	t.Logf("%d transactions, %d notes, codes %v, members %+v", *long, a.notes, codes, counts)
}

func mixedRun(t *testing.T, a *astray, transactions int, defects session.SeededDefects) (*lab.Cluster, map[string]int, []string) {
	var asked atomic.Int64
	addr, cluster := defectivePooledRouter(t, 2, lab.Pool{PerMember: 4, ExtraKeys: "statements = 50\n"}, defects, func(s *pgserver.Server) {
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
	codes, bad := runMixed(t, addr, clients, transactions, 1)
	return cluster, codes, bad
}
