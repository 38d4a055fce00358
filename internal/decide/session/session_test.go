package session

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"wayloft/internal/fakes/scenario"
	"wayloft/internal/pg"
)

// A scenario is a text file, one step a line; # starts a comment.
//
//	policy read=TYPE write=TYPE pins holds statements=9     then: start name=value ...
//	query SQL                      a simple query; carried: while a connection carries it
//	parse NAME SQL / bind NAME / execute / close NAME / sync
//	here MESSAGES / say OPS        what came of it: an answer made here, or what is to be said
//	heard ok TAG / prepared / closed / error / ready I
//	on name=value ...              it goes on with a connection that has these
//	bring SQL; SQL                 what brings the connection to its settings
//	lost / unsent                  its connection has ended, or it never had one; may / mayn't: have taken effect
//	has name=value ... / label TYPE / status I / pinned WHY
func TestScenarios(t *testing.T) {
	scenario.Play(t, func() func(string) error {
		return (&play{policy: Policy{MaxSettingsBytes: 200, MaxStatements: 3}}).step
	})
}

type play struct {
	policy  Policy
	s       *Session
	carried bool
	here    string
	ops     []Message
	may     bool
}

func pairs(words string) (out [][2]string) {
	for _, w := range strings.Fields(words) {
		k, v, _ := strings.Cut(w, "=")
		out = append(out, [2]string{k, v})
	}
	return out
}

// heard puts messages made here in words.
func heard(b []byte) string {
	r := pg.NewReader(true, 1<<16)
	r.EnableExtended()
	r.Feed(b)
	var out []string
	for {
		m, ok, err := r.Next()
		switch {
		case err != nil || !ok:
			return strings.Join(out, " ")
		case m.Kind == pg.CommandComplete:
			out = append(out, m.Text)
		case m.Kind == pg.ErrorResponse:
			out = append(out, m.Error.Code)
		case m.Kind == pg.ReadyForQuery:
			out = append(out, string(m.Status))
		case m.Kind == pg.DataRow:
			out = append(out, "row:"+string(m.FirstColumn))
		case m.Kind == pg.EmptyQuery:
			out = append(out, "empty")
		}
	}
}

var does = []string{"forward", "prepare", "bind", "about", "local", "reject", "hidden"}

func said(ops []Message) string {
	var out []string
	for _, op := range ops {
		s := does[op.Action]
		if op.Fault != nil {
			s += ":" + op.Fault.Code
		}
		if op.Action == ForwardDiscardReply {
			s += ":" + strings.TrimRight(string(op.Raw[5:]), "\x00")
		}
		out = append(out, s)
	}
	return strings.Join(out, ", ")
}

func describe(s Settings) string {
	var out []string
	s.tree.Root().Walk(func(k []byte, v string) bool { out = append(out, string(k)+"="+v); return false })
	return strings.Join(out, " ")
}

func (p *play) step(line string) error {
	word, rest, _ := strings.Cut(line, " ")
	is := func(got, want string) error {
		if got != want {
			return fmt.Errorf("got %q", got)
		}
		return nil
	}
	raw := func(b []byte) pg.Message {
		r := pg.NewReader(false, 1<<16)
		r.Feed(pg.AppendStartup(nil, "a", "b"))
		r.Next()
		r.EnableExtended()
		r.Feed(b)
		m, _, _ := r.Next()
		return m
	}
	extended := func(b []byte) {
		p.ops = append(p.ops, p.s.Extended(raw(b))...)
	}
	switch word {
	case "policy":
		for _, o := range pairs(rest) {
			switch o[0] {
			case "read":
				p.policy.ReadClass = o[1]
			case "write":
				p.policy.WriteClass = o[1]
			case "pins":
				p.policy.AllowSticky = true
			case "holds":
				p.policy.AlwaysSticky = true
			}
		}
		return nil
	case "start":
		p.s = New(p.policy, NoSettings.with(NoSettings, pairs(rest)...))
		return nil
	case "carried":
		p.carried = rest == "yes"
		return nil
	}
	if p.s == nil {
		p.s = New(p.policy, NoSettings)
	}
	switch word {
	case "query":
		answer, ops := p.s.Query(rest, pg.AppendQuery(nil, rest), p.carried)
		p.here, p.ops = heard(answer), ops
	case "parse":
		name, sql, _ := strings.Cut(rest, " ")
		extended(pg.AppendParse(nil, strings.Trim(name, "-"), []byte(sql+"\x00\x00\x00")))
	case "bind":
		extended(pg.AppendBind(nil, "", strings.Trim(rest, "-"), []byte{0, 0, 0, 0, 0, 0}))
	case "execute":
		extended(pg.AppendExecute(nil, ""))
	case "close":
		extended(pg.AppendClose(nil, 'S', rest))
	case "sync":
		extended(pg.AppendSync(nil))
		p.ops = append(p.s.FlushDeferredBegin(), p.ops...)
	case "dead":
		p.here, p.ops = heard(p.s.FailedTransactionReply(p.ops)), nil
	case "here":
		return is(p.here, rest)
	case "say":
		got := said(p.ops)
		p.ops = nil
		return is(got, rest)
	case "heard":
		kind, tag, _ := strings.Cut(rest, " ")
		m := pg.Message{Text: tag}
		switch kind {
		case "ok":
			m.Kind = pg.CommandComplete
		case "prepared":
			m.Kind = pg.ParseComplete
		case "closed":
			m.Kind = pg.CloseComplete
		case "error":
			m.Kind = pg.ErrorResponse
		case "ready":
			m.Kind, m.Status = pg.ReadyForQuery, tag[0]
		default:
			return fmt.Errorf("unknown message")
		}
		p.s.ServerMessage(&m)
	case "on":
		p.s.AttachConnection(NoSettings.with(NoSettings, pairs(rest)...))
	case "bring":
		got := strings.Join(settingsStatements(p.s.ServerSettings(), p.s.Settings()), "; ")
		p.s.SettingsApplied(true)
		return is(got, rest)
	case "lost":
		p.may = p.s.ConnectionLost(true)
	case "unsent":
		p.may = p.s.ConnectionLost(false)
	case "may":
		return is(fmt.Sprint(p.may), "true")
	case "mayn't":
		return is(fmt.Sprint(p.may), "false")
	case "has":
		return is(describe(p.s.Settings()), rest)
	case "label":
		attributes := p.s.RequestAttributes()
		got := attributes.RequestClass
		if attributes.Label != nil {
			got += " of " + attributes.Label.ID
		}
		if attributes.Tenant != "" {
			got += " for " + attributes.Tenant
		}
		if attributes.Unclassified {
			got += "none"
		}
		return is(got, rest)
	case "status":
		return is(string(p.s.TransactionStatus()), rest)
	case "pinned":
		return is(p.s.StickyReason(), rest)
	default:
		return fmt.Errorf("unknown step")
	}
	return nil
}

// model is a server's view of one session's settings, made as plainly as can be: whole copies.
type model struct {
	now   map[string]string
	local map[string]string // SET LOCAL: hides now until the transaction ends
	saves []struct {
		name       string
		now, local map[string]string
	}
	status byte
}

func (m *model) save(name string) {
	m.saves = append(m.saves, struct {
		name       string
		now, local map[string]string
	}{name, maps.Clone(m.now), maps.Clone(m.local)})
}

func (m *model) back(n int) {
	m.now, m.local = maps.Clone(m.saves[n].now), maps.Clone(m.saves[n].local)
}

// run runs one statement as a server would; ok is false for an error.
func (m *model) run(sql string) (tag string, ok bool) {
	c := pg.ParseCommand(sql)
	if m.status == 'E' && c.Kind != pg.Commit && c.Kind != pg.Rollback && c.Kind != pg.RollbackTo {
		return "", false
	}
	switch c.Kind {
	case pg.OtherCommand:
		return "SELECT 1", sql != "SELEKT"
	case pg.Begin:
		if m.status == 'I' {
			m.status, m.saves = 'T', nil
			m.save("")
		}
		return "BEGIN", true
	case pg.Commit, pg.Rollback:
		tag = "COMMIT"
		if m.status == 'E' || c.Kind == pg.Rollback {
			if tag = "ROLLBACK"; m.status != 'I' {
				m.back(0)
			}
		}
		m.status, m.saves, m.local = 'I', nil, map[string]string{}
		return tag, true
	case pg.Savepoint:
		if m.status == 'I' {
			return "", false
		}
		m.save(c.Name)
		return "SAVEPOINT", true
	case pg.RollbackTo, pg.ReleaseSavepoint:
		for n := len(m.saves) - 1; n > 0; n-- {
			if m.saves[n].name == c.Name {
				if c.Kind == pg.ReleaseSavepoint {
					m.saves = m.saves[:n]
					return "RELEASE", true
				}
				m.back(n)
				m.saves, m.status = m.saves[:n+1], 'T'
				return "ROLLBACK", true
			}
		}
		return "", false
	case pg.Set:
		for _, p := range c.Pairs {
			switch {
			case c.Local && m.status == 'I':
			case c.Local:
				m.local[p[0]] = p[1]
			case p[1] == "":
				delete(m.now, p[0])
				delete(m.local, p[0])
			default:
				m.now[p[0]] = p[1]
				delete(m.local, p[0])
			}
		}
		return "SET", true
	case pg.Reset:
		delete(m.now, c.Name)
		delete(m.local, c.Name)
		return "RESET", true
	case pg.ResetAll:
		clear(m.now)
		clear(m.local)
		return "RESET", true
	}
	return "", false
}

// query runs a whole simple query, with what an implicit transaction takes back.
func (m *model) query(sql string, hear func(pg.Message)) {
	var implicit map[string]string
	for _, text := range pg.SplitStatements(sql) {
		if m.status == 'I' && implicit == nil {
			implicit = maps.Clone(m.now)
		}
		tag, ok := m.run(text)
		if !ok {
			if hear(pg.Message{Kind: pg.ErrorResponse}); m.status == 'T' {
				m.status = 'E'
			} else if m.status == 'I' {
				m.now = implicit
			}
			break
		}
		if tag == "ROLLBACK" && implicit != nil { // it takes the implicit one back
			m.now = implicit
		}
		if hear(pg.Message{Kind: pg.CommandComplete, Text: tag}); m.status != 'I' || tag == "COMMIT" || tag == "ROLLBACK" {
			implicit = nil
		}
	}
	hear(pg.Message{Kind: pg.ReadyForQuery, Status: m.status})
}

// Whatever a client sets, begins, saves and takes back, on whatever connection: after each transaction the connection
// has what the session thinks it has, and the session has what one server alone would have had for it.
func TestSettingsFollow(t *testing.T) {
	statements := []string{"SET a.x = '1'", "SET a.x = '2'", "SET a.y = '1'", "SET LOCAL a.x = '3'", "SET a.x TO DEFAULT", "RESET a.x",
		"RESET ALL", "BEGIN", "COMMIT", "ROLLBACK", "SAVEPOINT s", "SAVEPOINT s", "ROLLBACK TO s", "RELEASE s", "SELECT 1", "SELEKT",
		"SET a.x = '4'; SELECT 1", "SET a.y = '5'; SELEKT", "BEGIN; SET a.x = '6'; COMMIT", "SELECT 1; SET a.y = '7'; ROLLBACK"}
	rapid.Check(t, func(t *rapid.T) {
		fresh := func() *model { return &model{now: map[string]string{}, local: map[string]string{}, status: 'I'} }
		one := fresh()                                                                 // a server that the client has to itself
		pool := []*model{fresh(), fresh(), fresh()}                                    // those that the router has
		has := []Settings{NoSettings, NoSettings, NoSettings}                          // and what it thinks they have
		s, on := New(Policy{MaxSettingsBytes: 1000, MaxStatements: 9}, NoSettings), -1 // on: which of them carries it
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			sql := rapid.SampledFrom(statements).Draw(t, "sql")
			one.query(sql, func(pg.Message) {})
			if one.status == 'E' && s.TransactionStatus() == 'I' {
				t.Fatal("the session knows of no transaction")
			}
			_, ops := s.Query(sql, pg.AppendQuery(nil, sql), on >= 0)
			if ops != nil && on < 0 {
				on = rapid.IntRange(0, len(pool)-1).Draw(t, "connection")
				s.AttachConnection(has[on])
				for _, text := range settingsStatements(has[on], s.Settings()) {
					pool[on].query(text, func(m pg.Message) {
						if m.Kind == pg.ErrorResponse {
							t.Fatalf("%s is refused", text)
						}
					})
				}
				s.SettingsApplied(true)
			}
			for _, op := range ops {
				text := strings.TrimRight(string(op.Raw[5:]), "\x00")
				pool[on].query(text, func(m pg.Message) {
					if op.Action != ForwardDiscardReply {
						s.ServerMessage(&m)
					}
				})
			}
			if on >= 0 && s.TransactionStatus() == 'I' {
				has[on] = s.ServerSettings()
				want := fmt.Sprint(sorted(pool[on].now))
				if got := describe(has[on]); "["+got+"]" != want || pool[on].status != 'I' {
					t.Fatalf("after %q the connection has %s, the session thinks %s", sql, want, got)
				}
				on = -1
			}
			if s.TransactionStatus() != one.status {
				t.Fatalf("after %q: status %c, alone %c", sql, s.TransactionStatus(), one.status)
			}
			if got, want := "["+describe(s.Settings())+"]", fmt.Sprint(sorted(one.now)); s.TransactionStatus() == 'I' && got != want {
				t.Fatalf("after %q the session has %s, alone %s", sql, got, want)
			}
		}
	})
}

func sorted(m map[string]string) (out []string) {
	for _, k := range slices.Sorted(maps.Keys(m)) {
		out = append(out, k+"="+m[k])
	}
	return out
}

// Equal settings are the same, however they came about, and a difference costs what differs.
func TestEqualSettingsAreOne(t *testing.T) {
	a := NoSettings.with(NoSettings, [2]string{"x", "1"}, [2]string{"y", "2"})
	b := NoSettings.with(NoSettings, [2]string{"y", "3"}).with(NoSettings, [2]string{"x", "1"}, [2]string{"y", "2"})
	if a.ID() != b.ID() || a.with(NoSettings, [2]string{"x", ""}, [2]string{"y", ""}).ID() != NoSettings.ID() {
		t.Error("equal settings differ")
	}
	c := NoSettings.with(NoSettings, [2]string{"session_authorization", "bob"}, [2]string{"role", "r"}, [2]string{"wayloft.txn_type", "t"},
		[2]string{"timezone", "'UTC'"}, [2]string{"x", "1"})
	if got, want := strings.Join(settingsStatements(a, c), "; "), `SET SESSION AUTHORIZATION bob; SET "role" TO r; SET TIME ZONE 'UTC'; `+
		`RESET "y"; SET role TO r`; got != want {
		t.Errorf("got %s", got)
	}
}

func TestStartup(t *testing.T) {
	for _, c := range []struct{ name, value, want string }{
		{"application_name", "it's", "application_name='it''s'"}, {"options", "-c a.x=1 -ca.y=2 --a-z=3", "a.x='1' a.y='2' a_z='3'"},
		{"options", `-c a.x=two\ words`, "a.x='two words'"}, {"options", "-x 1", "22023"}, {"options", "-c nothing", "22023"},
		{"replication", "true", "0A000"}, {"replication", "off", ""}, {"TimeZone", "UTC", "timezone='UTC'"},
	} {
		s, fail := StartupSettings(pg.StartupParameters{{"user", "u"}, {c.name, c.value}})
		got := describe(s)
		if fail != nil {
			got = fail.Code
		}
		if got != c.want {
			t.Errorf("%s=%s: got %s, want %s", c.name, c.value, got, c.want)
		}
	}
}

func BenchmarkStatement(b *testing.B) {
	s := New(Policy{WriteClass: "w", MaxSettingsBytes: 1000, MaxStatements: 9}, NoSettings)
	raw := pg.AppendQuery(nil, "SELECT blob FROM rows WHERE handle = 'h1'")
	b.ReportAllocs()
	for range b.N {
		s.Query("SELECT blob FROM rows WHERE handle = 'h1'", raw, false)
		s.ServerMessage(&pg.Message{Kind: pg.CommandComplete, Text: "SELECT 1"})
		s.ServerMessage(&pg.Message{Kind: pg.ReadyForQuery, Status: 'I'})
	}
}

func BenchmarkDifference(b *testing.B) {
	a := NoSettings.with(NoSettings, [2]string{"a", "1"}, [2]string{"b", "2"}, [2]string{"c", "3"}, [2]string{"d", "4"})
	c := a.with(NoSettings, [2]string{"b", "9"})
	for name, to := range map[string]Settings{"equal": a, "one": c} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				settingsStatements(a, to)
			}
		})
	}
}
