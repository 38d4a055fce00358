// Package session decides what follows a client from one connection to the next: where its transaction stands, its
// settings, its prepared statements, its last commit; what is answered here and what a member must answer; and what a
// lost connection means. It owns the record of one client's session; it must never send anything, read a clock or
// choose a member.
//
// The host gives it each message of the client in its order (Query, or Parse, Bind ... up to Sync) and gets back what
// is to be said to a member, then each message of the member that the client is given (Heard), in theirs.
package session

import (
	"strings"
	"unique"

	"github.com/cespare/xxhash/v2"
	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"wayloft/internal/pg"
)

const (
	// MostKept is how many bytes of an answer are kept back so that its request may still go elsewhere: what is longer is
	// passed on as it comes.
	MostKept = 16 << 10
	// MostPrepared is how many statements a connection keeps prepared between two requests.
	MostPrepared = 256
)

// Policy is what a pool says of its sessions.
type Policy struct {
	Read, Write string // request classes of what has no label: declared read only, and all else; Write may be none
	Pins        bool   // a session may keep its connection for what can't follow it
	Holds       bool   // it keeps it in any case, from its first statement on
	Settings    int    // bytes of settings at most
	Statements  int    // prepared statements at most
}

// Prepared is a statement's text with its parameters' types, shared by all that prepare the same.
type Prepared struct {
	Tail unique.Handle[string] // what a Parse holds from its statement on
	Hash uint64
	Command
}

// Command is a statement's act and its label.
type Command struct {
	pg.Command
	Label *pg.Statement
}

// Do is what is to be said to a member.
type Do int

const (
	Forward Do = iota // Raw, as it came
	Prepare           // Statement
	Bind              // Portal, Statement, Raw from the formats on
	About             // describe Statement
	Local             // Raw answers it here, in its turn
	Reject            // the member must refuse it too: Fault answers it
	Hidden            // Raw, whose answer is for nobody
)

// Op is one thing to be said.
type Op struct {
	Do        Do
	Kind      pg.Kind
	Portal    string
	Statement *Prepared
	Raw       []byte
	Fault     *pg.Error
}

// step is something that a member's answer will end.
type step struct {
	kind  pg.Kind // ParseDone, CloseDone or Complete
	names *iradix.Tree[*Prepared]
	Command
}

type point struct {
	name       string
	now, there Settings
}

// Session is one client's.
type Session struct {
	policy      Policy
	base        Settings // as it started
	now, there  Settings // what the client has set; what its connection has
	start       point    // where a transaction that fails goes back to
	saves       []point
	names, sure *iradix.Tree[*Prepared] // as asked for, as confirmed
	portals     map[string]Command
	steps       []step
	status      byte     // as the client was last told
	failed      bool     // an error has come since the last Ready
	lazy        []string // BEGIN and the like that no member has heard yet
	lazyOnly    bool     // and the access they ask for
	lazyMore    bool
	first       *Command // of the unit on its way: what tells where it goes
	commits     bool     // something in it may commit
	pinned      string
	After       float64 // the position of its last commit
}

// New begins a session that starts with these settings.
func New(p Policy, base Settings) *Session {
	none := iradix.New[*Prepared]()
	s := &Session{policy: p, base: base, now: base, there: None, start: point{"", base, None}, names: none, sure: none,
		portals: map[string]Command{}, status: 'I'}
	s.unpin()
	return s
}

func (s *Session) unpin() {
	if s.pinned = ""; s.policy.Holds {
		s.pinned = "its pool"
	}
}

// Status is where the transaction stands for the client.
func (s *Session) Status() byte { return s.status }

// Pinned tells what binds it to its connection, if anything.
func (s *Session) Pinned() string { return s.pinned }

// Kept tells whether it keeps its connection between its transactions.
func (s *Session) Kept() bool { return s.pinned != "" }

// Settings tells what its connection should have.
func (s *Session) Settings() Settings { return s.now }

// There tells what its connection has; On, that it goes on with one that has this.
func (s *Session) There() Settings { return s.there }
func (s *Session) On(has Settings) {
	s.there = has
	s.start.there = has
}

// Brought says that its connection now has what it should; before: its transaction had not begun there.
func (s *Session) Brought(before bool) {
	if s.there = s.now; before {
		s.start.there = s.now
	}
}

func command(sql string) Command {
	c := Command{Command: pg.ParseCommand(sql)}
	if l, err := pg.ParseStatement(strings.TrimSpace(sql)); err == nil {
		c.Label = l
	}
	return c
}

func tag(status byte, tag string) []byte {
	return pg.AppendStatus(pg.AppendComplete(nil, tag), status)
}

var failedText = "current transaction is aborted, commands ignored until end of transaction block"

// Query takes a simple query: either its answer, or what to say. carried: a connection carries the transaction.
func (s *Session) Query(sql string, raw []byte, carried bool) (answer []byte, ops []Op) {
	texts := pg.Split(sql)
	if len(texts) == 0 {
		if carried {
			return nil, []Op{{Kind: pg.Query, Raw: raw}}
		}
		return pg.AppendStatus(pg.AppendEmpty(nil), s.status), nil
	}
	commands := make([]Command, len(texts))
	for n, text := range texts {
		commands[n] = command(text)
		if answer := s.forbidden(commands[n]); answer != nil && !carried {
			return answer, nil
		} else if answer != nil {
			return nil, []Op{{Do: Reject, Kind: pg.Query, Fault: s.fault(commands[n])}}
		}
	}
	if s.status == 'E' && !carried { // its connection is lost, only its end will do
		switch commands[0].Act {
		case pg.Commit, pg.RollBack:
			s.status = 'I'
			return tag('I', "ROLLBACK"), nil
		}
		return pg.AppendStatus(pg.AppendError(nil, &pg.Error{Code: pg.Failed, Text: failedText}, false), 'E'), nil
	}
	if len(commands) == 1 {
		if answer := s.local(commands[0], texts[0], carried); answer != nil {
			return answer, nil
		}
	}
	ops = s.begin()
	for _, c := range commands {
		s.expect(c)
	}
	return nil, append(ops, Op{Kind: pg.Query, Raw: raw})
}

func (s *Session) fault(c Command) *pg.Error {
	if c.Pin != "" && !s.policy.Pins {
		return &pg.Error{Code: pg.Unsupported, Text: c.Pin + " can't follow its client to another connection, and this pool pins none"}
	}
	if c.Act == pg.Set {
		size := s.now.size
		for _, p := range c.Pairs {
			size += len(p[0]) + len(p[1])
		}
		if size > s.policy.Settings {
			return &pg.Error{Code: pg.TooLong, Text: "the settings of this session are too long"}
		}
	}
	return nil
}

func (s *Session) forbidden(c Command) []byte {
	f := s.fault(c)
	if f == nil {
		return nil
	}
	if s.status == 'T' {
		s.status = 'E'
		s.lazy = nil
	}
	return pg.AppendStatus(pg.AppendError(nil, f, false), s.status)
}

// local answers what no member need hear, or not yet: where a transaction begins nothing is known of it, so that it
// goes out with its first statement, and what undoes a session's own state is done here.
func (s *Session) local(c Command, text string, carried bool) []byte {
	outside := s.status == 'I' && s.pinned == ""
	switch {
	case c.Act == pg.Begin && s.status == 'I' && c.Simple && c.Label == nil:
		s.status, s.lazy = 'T', []string{text}
		s.lazyOnly, s.lazyMore = c.ReadOnly, c.ReadMore
		return tag('T', map[bool]string{true: "START TRANSACTION", false: "BEGIN"}[strings.HasPrefix(
			strings.ToLower(strings.TrimSpace(text)), "start")])
	case len(s.lazy) > 0 && len(s.lazy) < 4 && c.Act == pg.Access && c.Simple:
		s.lazy = append(s.lazy, text)
		if c.ReadOnly || c.ReadMore {
			s.lazyOnly, s.lazyMore = c.ReadOnly, c.ReadMore
		}
		return tag('T', "SET")
	case len(s.lazy) > 0 && (c.Act == pg.Commit || c.Act == pg.RollBack):
		s.status, s.lazy = 'I', nil
		return tag('I', map[bool]string{true: "COMMIT", false: "ROLLBACK"}[c.Act == pg.Commit])
	case c.Act == pg.Set && !c.Local && (s.status == 'I' || len(s.lazy) > 0) && Own(c.Pairs[0][0]):
		s.now = s.now.with(s.base, c.Pairs...)
		s.start.now = s.now
		return tag(s.status, "SET")
	case c.Act == pg.Show && Own(c.Name) && !(carried && s.status != 'I'):
		value, _ := s.now.Get(c.Name)
		return pg.AppendStatus(pg.AppendComplete(pg.AppendTextRow(nil, c.Name, pg.Plainly(value)), "SHOW"), s.status)
	case c.Act == pg.Unset && outside:
		s.now = s.now.with(s.base, [2]string{c.Name, ""})
		s.start.now = s.now
		return tag('I', "RESET")
	case c.Act == pg.UnsetAll && outside:
		s.now, s.start.now = s.base, s.base
		return tag('I', "RESET")
	case c.Act == pg.DiscardAll && outside:
		s.now, s.start.now = s.base, s.base
		s.unprepare("")
		return tag('I', "DISCARD ALL")
	case c.Act == pg.Unprepare && outside && c.Name == "":
		s.unprepare("")
		return tag('I', "DEALLOCATE ALL")
	case c.Act == pg.Unprepare && s.status != 'E' && c.Name != "":
		if _, here := s.names.Get([]byte(c.Name)); here {
			s.unprepare(c.Name)
			return tag(s.status, "DEALLOCATE")
		}
	}
	return nil
}

func (s *Session) unprepare(name string) {
	if name == "" {
		s.names = iradix.New[*Prepared]()
	} else {
		s.names, _, _ = s.names.Delete([]byte(name))
	}
	s.sure = s.names
}

// begin gives what goes before the first statement of a transaction.
func (s *Session) begin() []Op {
	var ops []Op
	for _, text := range s.lazy {
		ops = append(ops, Op{Do: Hidden, Kind: pg.Query, Raw: pg.AppendQuery(nil, text)})
	}
	if s.lazy != nil {
		var label *pg.Statement
		if s.first != nil {
			label = s.first.Label
		}
		s.first = &Command{Label: label, Command: pg.Command{Act: pg.Begin, ReadOnly: s.lazyOnly, ReadMore: s.lazyMore}}
		s.lazy = nil
	}
	return ops
}

// expect notes what a statement will do once its member says so.
func (s *Session) expect(c Command) {
	s.note(c)
	s.steps = append(s.steps, step{kind: pg.Complete, Command: c})
}

func (s *Session) note(c Command) {
	if s.first == nil {
		s.first = &c
	} else if s.first.Label == nil && c.Label != nil && s.first.Act == pg.Begin {
		s.first.Label = c.Label
	}
	if c.Pin != "" {
		s.pinned = c.Pin
	}
	s.commits = s.commits || c.Act == pg.Commit || s.status == 'I' && c.Act != pg.Begin
}

// Extended takes one message of an extended query and says what to say; done: a unit has come to its end with it.
func (s *Session) Extended(m pg.Message) (ops []Op, fail *pg.Error) {
	raw := func(do Do) Op { return Op{Do: do, Kind: m.Kind, Portal: m.Portal, Raw: append([]byte(nil), m.Raw...)} }
	reject := func(code, text string) []Op {
		return []Op{{Do: Reject, Kind: m.Kind, Fault: &pg.Error{Code: code, Text: text}}}
	}
	switch m.Kind {
	case pg.Parse:
		if _, taken := s.names.Get([]byte(m.Name)); taken && m.Name != "" {
			return reject(pg.InUse, `prepared statement "`+m.Name+`" already exists`), nil
		}
		if s.names.Len() >= s.policy.Statements {
			return reject(pg.TooLong, "too many prepared statements in this session"), nil
		}
		p := &Prepared{Tail: unique.Make(string(m.Tail)), Hash: xxhash.Sum64(m.Tail), Command: command(m.Text)}
		if f := s.fault(p.Command); f != nil {
			return []Op{{Do: Reject, Kind: m.Kind, Fault: f}}, nil
		}
		s.names, _, _ = s.names.Insert([]byte(m.Name), p)
		s.steps = append(s.steps, step{kind: pg.ParseDone, names: s.names})
		ops = []Op{{Do: Prepare, Kind: m.Kind, Statement: p}}
		if s.first == nil {
			s.first = &Command{Command: p.Command.Command, Label: p.Label}
		}
	case pg.Bind:
		p, here := s.names.Get([]byte(m.Name))
		if !here {
			return reject(pg.NoStatement, `prepared statement "`+m.Name+`" does not exist`), nil
		}
		s.portals[m.Portal] = p.Command
		ops = []Op{{Do: Bind, Kind: m.Kind, Portal: m.Portal, Statement: p, Raw: append([]byte(nil), m.Tail...)}}
	case pg.Describe:
		if m.Of == 'P' {
			return []Op{raw(Forward)}, nil
		}
		p, here := s.names.Get([]byte(m.Name))
		if !here {
			return reject(pg.NoStatement, `prepared statement "`+m.Name+`" does not exist`), nil
		}
		ops = []Op{{Do: About, Kind: m.Kind, Statement: p}}
	case pg.Execute:
		c, here := s.portals[m.Portal]
		if !here {
			return reject(pg.NoPortal, `portal "`+m.Portal+`" does not exist`), nil
		}
		s.expect(c)
		ops = []Op{raw(Forward)}
	case pg.CloseName:
		if m.Of == 'P' {
			delete(s.portals, m.Portal)
			s.steps = append(s.steps, step{kind: pg.CloseDone, names: s.names})
			return []Op{raw(Forward)}, nil
		}
		s.names, _, _ = s.names.Delete([]byte(m.Name))
		s.steps = append(s.steps, step{kind: pg.CloseDone, names: s.names})
		ops = []Op{{Do: Local, Kind: m.Kind, Raw: pg.AppendPlain(nil, '3')}}
	case pg.Flush, pg.Sync, pg.CopyData, pg.CopyDone, pg.CopyFail:
		ops = []Op{raw(Forward)}
	}
	return ops, nil
}

// Begin gives what goes before a unit of an extended query that no connection carries yet.
func (s *Session) Begin() []Op { return s.begin() }

// Label tells the request that begins with the present unit: its label, else what the session has set, else what its pool
// says. none: nothing tells, so that it is once-only and for the primary.
func (s *Session) Label() (label *pg.Statement, txnType, tenant string, none bool) {
	if s.first != nil && s.first.Label != nil {
		return s.first.Label, s.first.Label.TxnType, s.first.Label.Tenant, false
	}
	tenant = s.own("wayloft.tenant")
	if set := s.own("wayloft.txn_type"); set != "" {
		return nil, set, tenant, false
	}
	only, _ := s.now.Get("default_transaction_read_only")
	word := pg.Plainly(only)
	read := word == "on" || word == "true" || word == "yes" || word == "1"
	if s.first != nil && (s.first.Act == pg.Begin || s.first.Act == pg.Access) {
		read = s.first.ReadOnly || read && !s.first.ReadMore
	}
	if read && s.policy.Read != "" {
		return nil, s.policy.Read, tenant, false
	}
	return nil, s.policy.Write, tenant, s.policy.Write == ""
}

func (s *Session) own(name string) string {
	v, _ := s.now.Get(name)
	return pg.Plainly(v)
}

// Own gives a setting of the router's own.
func (s *Session) Own(name string) string { return s.own("wayloft." + name) }

// Heard takes in a message of the member's that the client is given.
func (s *Session) Heard(m *pg.Message) {
	switch m.Kind {
	case pg.ParseDone, pg.CloseDone:
		if n := s.pop(m.Kind); n != nil {
			s.sure = n.names
		}
	case pg.Complete, pg.Empty, pg.Suspended:
		if n := s.pop(pg.Complete); n != nil && m.Kind == pg.Complete {
			s.done(n.Command, m.Text)
		}
	case pg.Failure:
		s.failed, s.steps, s.names = true, nil, s.sure
	case pg.Ready:
		s.ready(m.Status)
	}
}

func (s *Session) pop(kind pg.Kind) *step {
	if len(s.steps) == 0 || s.steps[0].kind != kind {
		return nil
	}
	n := s.steps[0]
	s.steps = s.steps[1:]
	return &n
}

// done applies what a statement has done.
func (s *Session) done(c Command, tag string) {
	switch c.Act {
	case pg.Set:
		if !c.Local {
			s.now, s.there = s.now.with(s.base, c.Pairs...), s.there.with(None, c.Pairs...)
		}
	case pg.Unset:
		s.now, s.there = s.now.with(s.base, [2]string{c.Name, ""}), s.there.with(None, [2]string{c.Name, ""})
	case pg.UnsetAll:
		s.now, s.there = s.base, None
	case pg.DiscardAll:
		s.now, s.there = s.base, None
		s.unpin()
		s.unprepare("")
	case pg.Unprepare:
		if c.Name == "" {
			s.unprepare("")
		}
	case pg.Begin:
		if s.status == 'I' {
			s.saves = nil
			s.start = point{"", s.now, s.there}
		}
	case pg.Commit, pg.RollBack:
		if tag == "ROLLBACK" && Planted != "rollback" {
			s.now, s.there = s.start.now, s.start.there
		}
		s.start, s.saves = point{"", s.now, s.there}, nil
	case pg.Savepoint:
		s.saves = append(s.saves, point{c.Name, s.now, s.there})
	case pg.BackTo:
		if n := s.save(c.Name); n >= 0 {
			s.now, s.there, s.saves = s.saves[n].now, s.saves[n].there, s.saves[:n+1]
		}
	case pg.Release:
		if n := s.save(c.Name); n >= 0 {
			s.saves = s.saves[:n]
		}
	}
}

func (s *Session) save(name string) int {
	for n := len(s.saves) - 1; n >= 0; n-- {
		if s.saves[n].name == name {
			return n
		}
	}
	return -1
}

// ready ends a unit.
func (s *Session) ready(status byte) {
	if status == 'I' {
		if s.failed { // what it set went with it
			s.now, s.there = s.start.now, s.start.there
		}
		s.start, s.saves = point{"", s.now, s.there}, nil
		clear(s.portals)
	}
	s.status, s.failed, s.steps, s.commits = status, false, nil, false
	if status == 'I' {
		s.first = nil
	}
	s.names = s.sure
}

// Lost says that the connection that carried it has ended, or that it never got one; it tells whether the transaction
// may have taken effect all the same. Its session goes on as after a transaction that was failed.
func (s *Session) Lost(sent bool) (may bool) {
	may = sent && s.commits
	if s.status != 'I' { // its client must end the transaction that it thinks it is in
		s.status = 'E'
	}
	s.now, s.there = s.start.now, None
	s.start, s.saves = point{"", s.now, None}, nil
	s.names = s.sure
	clear(s.portals)
	s.steps, s.failed, s.commits, s.first, s.lazy = nil, false, false, nil, nil
	if sent {
		s.unpin()
	}
	return may
}

// Dead answers a unit of an extended query in a transaction whose connection is lost: only its end will do.
func (s *Session) Dead(ops []Op) []byte {
	var out []byte
	for _, op := range ops {
		if op.Do != Prepare && op.Do != Bind {
			continue
		}
		if a := op.Statement.Act; a != pg.Commit && a != pg.RollBack {
			break
		}
		s.status = 'I'
	}
	s.steps, s.first, s.names = nil, nil, s.sure
	if s.status == 'E' {
		return pg.AppendStatus(pg.AppendError(nil, &pg.Error{Code: pg.Failed, Text: failedText}, false), 'E')
	}
	for _, op := range ops {
		switch op.Kind {
		case pg.Parse:
			out = pg.AppendPlain(out, '1')
		case pg.Bind:
			out = pg.AppendPlain(out, '2')
		case pg.Describe:
			if op.Do == About {
				out = append(out, 't', 0, 0, 0, 6, 0, 0)
			}
			out = pg.AppendPlain(out, 'n')
		case pg.Execute:
			out = pg.AppendComplete(out, "ROLLBACK")
		case pg.CloseName:
			out = pg.AppendPlain(out, '3')
		}
	}
	return pg.AppendStatus(out, 'I')
}

// Here answers a unit that needs no member; ok is false where it does.
func (s *Session) Here(ops []Op) (answer []byte, ok bool) {
	for _, op := range ops {
		switch {
		case op.Do == Local:
			answer = append(answer, op.Raw...)
		case op.Kind == pg.Sync:
			answer = pg.AppendStatus(answer, s.status)
		case op.Kind != pg.Flush:
			return nil, false
		}
	}
	s.steps, s.sure = nil, s.names
	return answer, true
}

// Outside tells whether nothing is open: no transaction, no unit on its way.
func (s *Session) Outside() bool { return s.status == 'I' && len(s.steps) == 0 && s.first == nil }
