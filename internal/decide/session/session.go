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
	// MaxReplayBytes is how many bytes of an answer are kept back so that its request may still go elsewhere: what is longer is
	// passed on as it comes.
	MaxReplayBytes = 16 << 10
	// MaxPreparedPerConnection is how many statements a connection keeps prepared between two requests.
	MaxPreparedPerConnection = 256
)

// Policy is what a pool says of its sessions.
type Policy struct {
	ReadClass, WriteClass string // request classes of what has no label: declared read only, and all else; Write may be none
	AllowSticky           bool   // a session may keep its connection for what can't follow it
	AlwaysSticky          bool   // it keeps it in any case, from its first statement on
	MaxSettingsBytes      int    // bytes of settings at most
	MaxStatements         int    // prepared statements at most
	SeededDefects         SeededDefects
}

// SeededDefects are defects that tests switch on to show that checkers find them. The program never sets one.
type SeededDefects struct {
	SkipSettings             bool // a connection is not brought to the session's settings
	KeepRolledBackSettings   bool // settings outlive the rollback of their transaction
	ReuseAnyStatement        bool // any statement counts as prepared on a connection that has one
	ForgetLastCommitPosition bool // reads are not bound to the session's last commit
}

// PreparedStatement is a statement's text with its parameters' types, shared by all that prepare the same.
type PreparedStatement struct {
	Tail unique.Handle[string] // what a Parse holds from its statement on
	Hash uint64
	Command
}

// Command is a statement's act and its label.
type Command struct {
	pg.Command
	Label *pg.Statement
}

// Action is what is to be said to a member.
type Action int

const (
	Forward             Action = iota // Raw, as it came
	Prepare                           // Statement
	Bind                              // Portal, Statement, Raw from the formats on
	DescribeStatement                 // describe Statement
	AnswerLocally                     // Raw answers it here, in its turn
	Reject                            // the member must refuse it too: Fault answers it
	ForwardDiscardReply               // Raw, whose answer is for nobody
)

// Message is one thing to be said.
type Message struct {
	Action    Action
	Kind      pg.Kind
	Portal    string
	Statement *PreparedStatement
	Raw       []byte
	Fault     *pg.Error
}

// step is something that a member's answer will end.
type step struct {
	kind  pg.Kind // ParseDone, CloseDone or Complete
	names *iradix.Tree[*PreparedStatement]
	Command
}

type point struct {
	name       string
	now, there Settings
}

// Session is one client's.
type Session struct {
	policy             Policy
	base               Settings // as it started
	now, there         Settings // what the client has set; what its connection has
	start              point    // where a transaction that fails goes back to
	saves              []point
	names, sure        *iradix.Tree[*PreparedStatement] // as asked for, as confirmed
	portals            map[string]Command
	steps              []step
	status             byte     // as the client was last told
	failed             bool     // an error has come since the last Ready
	lazy               []string // BEGIN and the like that no member has heard yet
	lazyOnly           bool     // and the access they ask for
	lazyMore           bool
	first              *Command // of the unit on its way: what tells where it goes
	commits            bool     // something in it may commit
	pinned             string
	LastCommitPosition float64 // the position of its last commit
}

// New begins a session that starts with these settings.
func New(p Policy, base Settings) *Session {
	none := iradix.New[*PreparedStatement]()
	s := &Session{policy: p, base: base, now: base, there: NoSettings, start: point{"", base, NoSettings}, names: none, sure: none,
		portals: map[string]Command{}, status: 'I'}
	s.unpin()
	return s
}

func (s *Session) unpin() {
	if s.pinned = ""; s.policy.AlwaysSticky {
		s.pinned = "its pool"
	}
}

// TransactionStatus is where the transaction stands for the client.
func (s *Session) TransactionStatus() byte { return s.status }

// StickyReason tells what binds it to its connection, if anything.
func (s *Session) StickyReason() string { return s.pinned }

// Sticky tells whether it keeps its connection between its transactions.
func (s *Session) Sticky() bool { return s.pinned != "" }

// Settings tells what its connection should have.
func (s *Session) Settings() Settings { return s.now }

// SeededDefects returns the defects that a test has switched on.
func (s *Session) SeededDefects() SeededDefects { return s.policy.SeededDefects }

// ServerSettings tells what its connection has; On, that it goes on with one that has this.
func (s *Session) ServerSettings() Settings { return s.there }
func (s *Session) AttachConnection(has Settings) {
	s.there = has
	s.start.there = has
}

// SettingsApplied says that its connection now has what it should; before: its transaction had not begun there.
func (s *Session) SettingsApplied(before bool) {
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
	return pg.AppendReadyForQuery(pg.AppendCommandComplete(nil, tag), status)
}

var failedText = "current transaction is aborted, commands ignored until end of transaction block"

// Query takes a simple query: either its answer, or what to say. carried: a connection carries the transaction.
func (s *Session) Query(sql string, raw []byte, carried bool) (answer []byte, ops []Message) {
	texts := pg.SplitStatements(sql)
	if len(texts) == 0 {
		if carried {
			return nil, []Message{{Kind: pg.Query, Raw: raw}}
		}
		return pg.AppendReadyForQuery(pg.AppendEmptyQuery(nil), s.status), nil
	}
	commands := make([]Command, len(texts))
	for n, text := range texts {
		commands[n] = command(text)
		if answer := s.forbidden(commands[n]); answer != nil && !carried {
			return answer, nil
		} else if answer != nil {
			return nil, []Message{{Action: Reject, Kind: pg.Query, Fault: s.fault(commands[n])}}
		}
	}
	if s.status == 'E' && !carried { // its connection is lost, only its end will do
		switch commands[0].Kind {
		case pg.Commit, pg.Rollback:
			s.status = 'I'
			return tag('I', "ROLLBACK"), nil
		}
		return pg.AppendReadyForQuery(pg.AppendError(nil, &pg.Error{Code: pg.InFailedSQLTransaction, Text: failedText}, false), 'E'), nil
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
	return nil, append(ops, Message{Kind: pg.Query, Raw: raw})
}

func (s *Session) fault(c Command) *pg.Error {
	if c.StickyReason != "" && !s.policy.AllowSticky {
		return &pg.Error{Code: pg.FeatureNotSupported, Text: c.StickyReason + " can't follow its client to another connection, and this pool pins none"}
	}
	if c.Kind == pg.Set {
		size := s.now.size
		for _, p := range c.Pairs {
			size += len(p[0]) + len(p[1])
		}
		if size > s.policy.MaxSettingsBytes {
			return &pg.Error{Code: pg.ProgramLimitExceeded, Text: "the settings of this session are too long"}
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
	return pg.AppendReadyForQuery(pg.AppendError(nil, f, false), s.status)
}

// local answers what no member need hear, or not yet: where a transaction begins nothing is known of it, so that it
// goes out with its first statement, and what undoes a session's own state is done here.
func (s *Session) local(c Command, text string, carried bool) []byte {
	outside := s.status == 'I' && s.pinned == ""
	switch {
	case c.Kind == pg.Begin && s.status == 'I' && c.Simple && c.Label == nil:
		s.status, s.lazy = 'T', []string{text}
		s.lazyOnly, s.lazyMore = c.ReadOnly, c.ReadWrite
		return tag('T', map[bool]string{true: "START TRANSACTION", false: "BEGIN"}[strings.HasPrefix(
			strings.ToLower(strings.TrimSpace(text)), "start")])
	case len(s.lazy) > 0 && len(s.lazy) < 4 && c.Kind == pg.SetTransaction && c.Simple:
		s.lazy = append(s.lazy, text)
		if c.ReadOnly || c.ReadWrite {
			s.lazyOnly, s.lazyMore = c.ReadOnly, c.ReadWrite
		}
		return tag('T', "SET")
	case len(s.lazy) > 0 && (c.Kind == pg.Commit || c.Kind == pg.Rollback):
		s.status, s.lazy = 'I', nil
		return tag('I', map[bool]string{true: "COMMIT", false: "ROLLBACK"}[c.Kind == pg.Commit])
	case c.Kind == pg.Set && !c.Local && (s.status == 'I' || len(s.lazy) > 0) && IsRouterSetting(c.Pairs[0][0]):
		s.now = s.now.with(s.base, c.Pairs...)
		s.start.now = s.now
		return tag(s.status, "SET")
	case c.Kind == pg.Show && IsRouterSetting(c.Name) && !(carried && s.status != 'I'):
		value, _ := s.now.Get(c.Name)
		return pg.AppendReadyForQuery(pg.AppendCommandComplete(pg.AppendTextRow(nil, c.Name, pg.Unquote(value)), "SHOW"), s.status)
	case c.Kind == pg.Reset && outside:
		s.now = s.now.with(s.base, [2]string{c.Name, ""})
		s.start.now = s.now
		return tag('I', "RESET")
	case c.Kind == pg.ResetAll && outside:
		s.now, s.start.now = s.base, s.base
		return tag('I', "RESET")
	case c.Kind == pg.DiscardAll && outside:
		s.now, s.start.now = s.base, s.base
		s.unprepare("")
		return tag('I', "DISCARD ALL")
	case c.Kind == pg.Deallocate && outside && c.Name == "":
		s.unprepare("")
		return tag('I', "DEALLOCATE ALL")
	case c.Kind == pg.Deallocate && s.status != 'E' && c.Name != "":
		if _, here := s.names.Get([]byte(c.Name)); here {
			s.unprepare(c.Name)
			return tag(s.status, "DEALLOCATE")
		}
	}
	return nil
}

func (s *Session) unprepare(name string) {
	if name == "" {
		s.names = iradix.New[*PreparedStatement]()
	} else {
		s.names, _, _ = s.names.Delete([]byte(name))
	}
	s.sure = s.names
}

// begin gives what goes before the first statement of a transaction.
func (s *Session) begin() []Message {
	var ops []Message
	for _, text := range s.lazy {
		ops = append(ops, Message{Action: ForwardDiscardReply, Kind: pg.Query, Raw: pg.AppendQuery(nil, text)})
	}
	if s.lazy != nil {
		var label *pg.Statement
		if s.first != nil {
			label = s.first.Label
		}
		s.first = &Command{Label: label, Command: pg.Command{Kind: pg.Begin, ReadOnly: s.lazyOnly, ReadWrite: s.lazyMore}}
		s.lazy = nil
	}
	return ops
}

// expect notes what a statement will do once its member says so.
func (s *Session) expect(c Command) {
	s.note(c)
	s.steps = append(s.steps, step{kind: pg.CommandComplete, Command: c})
}

func (s *Session) note(c Command) {
	if s.first == nil {
		s.first = &c
	} else if s.first.Label == nil && c.Label != nil && s.first.Kind == pg.Begin {
		s.first.Label = c.Label
	}
	if c.StickyReason != "" {
		s.pinned = c.StickyReason
	}
	s.commits = s.commits || c.Kind == pg.Commit || s.status == 'I' && c.Kind != pg.Begin
}

// Extended takes one message of an extended query and says what to say; done: a unit has come to its end with it.
func (s *Session) Extended(m pg.Message) (ops []Message, fail *pg.Error) {
	raw := func(do Action) Message {
		return Message{Action: do, Kind: m.Kind, Portal: m.Portal, Raw: append([]byte(nil), m.Raw...)}
	}
	reject := func(code, text string) []Message {
		return []Message{{Action: Reject, Kind: m.Kind, Fault: &pg.Error{Code: code, Text: text}}}
	}
	switch m.Kind {
	case pg.Parse:
		if _, taken := s.names.Get([]byte(m.Name)); taken && m.Name != "" {
			return reject(pg.DuplicatePreparedStatement, `prepared statement "`+m.Name+`" already exists`), nil
		}
		if s.names.Len() >= s.policy.MaxStatements {
			return reject(pg.ProgramLimitExceeded, "too many prepared statements in this session"), nil
		}
		p := &PreparedStatement{Tail: unique.Make(string(m.Tail)), Hash: xxhash.Sum64(m.Tail), Command: command(m.Text)}
		if f := s.fault(p.Command); f != nil {
			return []Message{{Action: Reject, Kind: m.Kind, Fault: f}}, nil
		}
		s.names, _, _ = s.names.Insert([]byte(m.Name), p)
		s.steps = append(s.steps, step{kind: pg.ParseComplete, names: s.names})
		ops = []Message{{Action: Prepare, Kind: m.Kind, Statement: p}}
		if s.first == nil {
			s.first = &Command{Command: p.Command.Command, Label: p.Label}
		}
	case pg.Bind:
		p, here := s.names.Get([]byte(m.Name))
		if !here {
			return reject(pg.InvalidSQLStatementName, `prepared statement "`+m.Name+`" does not exist`), nil
		}
		s.portals[m.Portal] = p.Command
		ops = []Message{{Action: Bind, Kind: m.Kind, Portal: m.Portal, Statement: p, Raw: append([]byte(nil), m.Tail...)}}
	case pg.Describe:
		if m.Target == 'P' {
			return []Message{raw(Forward)}, nil
		}
		p, here := s.names.Get([]byte(m.Name))
		if !here {
			return reject(pg.InvalidSQLStatementName, `prepared statement "`+m.Name+`" does not exist`), nil
		}
		ops = []Message{{Action: DescribeStatement, Kind: m.Kind, Statement: p}}
	case pg.Execute:
		c, here := s.portals[m.Portal]
		if !here {
			return reject(pg.InvalidCursorName, `portal "`+m.Portal+`" does not exist`), nil
		}
		s.expect(c)
		ops = []Message{raw(Forward)}
	case pg.Close:
		if m.Target == 'P' {
			delete(s.portals, m.Portal)
			s.steps = append(s.steps, step{kind: pg.CloseComplete, names: s.names})
			return []Message{raw(Forward)}, nil
		}
		s.names, _, _ = s.names.Delete([]byte(m.Name))
		s.steps = append(s.steps, step{kind: pg.CloseComplete, names: s.names})
		ops = []Message{{Action: AnswerLocally, Kind: m.Kind, Raw: pg.AppendBodyless(nil, '3')}}
	case pg.Flush, pg.Sync, pg.CopyData, pg.CopyDone, pg.CopyFail:
		ops = []Message{raw(Forward)}
	}
	return ops, nil
}

// FlushDeferredBegin gives what goes before a unit of an extended query that no connection carries yet.
func (s *Session) FlushDeferredBegin() []Message { return s.begin() }

// RequestClass tells the request that begins with the present unit: its label, else what the session has set, else what its pool
// says. none: nothing tells, so that it is once-only and for the primary.
func (s *Session) RequestClass() (label *pg.Statement, txnType, tenant string, none bool) {
	if s.first != nil && s.first.Label != nil {
		return s.first.Label, s.first.Label.RequestClass, s.first.Label.Tenant, false
	}
	tenant = s.own("wayloft.tenant")
	if set := s.own("wayloft.txn_type"); set != "" {
		return nil, set, tenant, false
	}
	only, _ := s.now.Get("default_transaction_read_only")
	word := pg.Unquote(only)
	read := word == "on" || word == "true" || word == "yes" || word == "1"
	if s.first != nil && (s.first.Kind == pg.Begin || s.first.Kind == pg.SetTransaction) {
		read = s.first.ReadOnly || read && !s.first.ReadWrite
	}
	if read && s.policy.ReadClass != "" {
		return nil, s.policy.ReadClass, tenant, false
	}
	return nil, s.policy.WriteClass, tenant, s.policy.WriteClass == ""
}

func (s *Session) own(name string) string {
	v, _ := s.now.Get(name)
	return pg.Unquote(v)
}

// RouterSetting gives a setting of the router's own.
func (s *Session) RouterSetting(name string) string { return s.own("wayloft." + name) }

// ServerMessage takes in a message of the member's that the client is given.
func (s *Session) ServerMessage(m *pg.Message) {
	switch m.Kind {
	case pg.ParseComplete, pg.CloseComplete:
		if n := s.pop(m.Kind); n != nil {
			s.sure = n.names
		}
	case pg.CommandComplete, pg.EmptyQuery, pg.PortalSuspended:
		if n := s.pop(pg.CommandComplete); n != nil && m.Kind == pg.CommandComplete {
			s.done(n.Command, m.Text)
		}
	case pg.ErrorResponse:
		s.failed, s.steps, s.names = true, nil, s.sure
	case pg.ReadyForQuery:
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
	switch c.Kind {
	case pg.Set:
		if !c.Local {
			s.now, s.there = s.now.with(s.base, c.Pairs...), s.there.with(NoSettings, c.Pairs...)
		}
	case pg.Reset:
		s.now, s.there = s.now.with(s.base, [2]string{c.Name, ""}), s.there.with(NoSettings, [2]string{c.Name, ""})
	case pg.ResetAll:
		s.now, s.there = s.base, NoSettings
	case pg.DiscardAll:
		s.now, s.there = s.base, NoSettings
		s.unpin()
		s.unprepare("")
	case pg.Deallocate:
		if c.Name == "" {
			s.unprepare("")
		}
	case pg.Begin:
		if s.status == 'I' {
			s.saves = nil
			s.start = point{"", s.now, s.there}
		}
	case pg.Commit, pg.Rollback:
		if tag == "ROLLBACK" && !s.policy.SeededDefects.KeepRolledBackSettings {
			s.now, s.there = s.start.now, s.start.there
		}
		s.start, s.saves = point{"", s.now, s.there}, nil
	case pg.Savepoint:
		s.saves = append(s.saves, point{c.Name, s.now, s.there})
	case pg.RollbackTo:
		if n := s.save(c.Name); n >= 0 {
			s.now, s.there, s.saves = s.saves[n].now, s.saves[n].there, s.saves[:n+1]
		}
	case pg.ReleaseSavepoint:
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

// ConnectionLost says that the connection that carried it has ended, or that it never got one; it tells whether the transaction
// may have taken effect all the same. Its session goes on as after a transaction that was failed.
func (s *Session) ConnectionLost(sent bool) (may bool) {
	may = sent && s.commits
	if s.status != 'I' { // its client must end the transaction that it thinks it is in
		s.status = 'E'
	}
	s.now, s.there = s.start.now, NoSettings
	s.start, s.saves = point{"", s.now, NoSettings}, nil
	s.names = s.sure
	clear(s.portals)
	s.steps, s.failed, s.commits, s.first, s.lazy = nil, false, false, nil, nil
	if sent {
		s.unpin()
	}
	return may
}

// FailedTransactionReply answers a unit of an extended query in a transaction whose connection is lost: only its end will do.
func (s *Session) FailedTransactionReply(ops []Message) []byte {
	var out []byte
	for _, op := range ops {
		if op.Action != Prepare && op.Action != Bind {
			continue
		}
		if a := op.Statement.Kind; a != pg.Commit && a != pg.Rollback {
			break
		}
		s.status = 'I'
	}
	s.steps, s.first, s.names = nil, nil, s.sure
	if s.status == 'E' {
		return pg.AppendReadyForQuery(pg.AppendError(nil, &pg.Error{Code: pg.InFailedSQLTransaction, Text: failedText}, false), 'E')
	}
	for _, op := range ops {
		switch op.Kind {
		case pg.Parse:
			out = pg.AppendBodyless(out, '1')
		case pg.Bind:
			out = pg.AppendBodyless(out, '2')
		case pg.Describe:
			if op.Action == DescribeStatement {
				out = append(out, 't', 0, 0, 0, 6, 0, 0)
			}
			out = pg.AppendBodyless(out, 'n')
		case pg.Execute:
			out = pg.AppendCommandComplete(out, "ROLLBACK")
		case pg.Close:
			out = pg.AppendBodyless(out, '3')
		}
	}
	return pg.AppendReadyForQuery(out, 'I')
}

// LocalReply answers a unit that needs no member; ok is false where it does.
func (s *Session) LocalReply(ops []Message) (answer []byte, ok bool) {
	for _, op := range ops {
		switch {
		case op.Action == AnswerLocally:
			answer = append(answer, op.Raw...)
		case op.Kind == pg.Sync:
			answer = pg.AppendReadyForQuery(answer, s.status)
		case op.Kind != pg.Flush:
			return nil, false
		}
	}
	s.steps, s.sure = nil, s.names
	return answer, true
}

// Idle tells whether nothing is open: no transaction, no unit on its way.
func (s *Session) Idle() bool { return s.status == 'I' && len(s.steps) == 0 && s.first == nil }
