package backend

import (
	"math"
	"strconv"

	iradix "github.com/hashicorp/go-immutable-radix/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"wayloft/internal/decide/session"
	"wayloft/internal/invariant"
	"wayloft/internal/pg"
	"wayloft/internal/request"
	"wayloft/router"
)

// talk is what a connection has of its own where one request asks it several things: what it was told to prepare and set,
// and what its member still has to answer, in order.
type talk struct {
	has      session.Settings
	prepared *simplelru.LRU[uint64, *session.Prepared] // by hash; the name at the member is made of it
	most     int
	due      []due
	queue    []session.Op // what waits until the hidden part is answered
	hidden   int          // readinesses that are not the client's
	status   byte
	key      pg.Key
	tainted  bool // not to be used again
	bound    *session.Prepared
	again    bool                  // a plan was invalid once in this request already
	stale    *session.Prepared     // whose plan it was, where nothing has run: it is asked once more
	params   *iradix.Tree[string]  // what the member has reported
	copying  bool                  // it takes what is copied in
	begun    bool                  // of what its client has said, a part is written
	keeper   request.ClientSession // whose session keeps the connection between its requests
}

// due is one answer that must come.
type due struct {
	kind  pg.Kind // the message that it answers
	seen  bool    // by the client
	local []byte  // nothing was asked of the member: this is the answer
	stmt  *session.Prepared
	gone  *session.Prepared // Close: what it closes
	fault *pg.Error         // the answer whatever the member says
}

func newTalk(statements int) *talk {
	c, err := simplelru.NewLRU[uint64, *session.Prepared](1<<30, nil) // trimmed between requests
	invariant.Check(err == nil, "a cache can be made")
	return &talk{has: session.None, prepared: c, most: statements, status: 'I', params: iradix.New[string]()}
}

// name is what a statement is called at its member.
func name(s *session.Prepared) string { return "wl_" + strconv.FormatUint(s.Hash, 36) }

// beginTalk gives a request the connection that its session keeps, or has it wait for one.
func (a *Backend) beginTalk(j *job) {
	t := j.txn.Stream
	t.OnClientGone(func() { a.end(j, router.NotSent) })
	if l, ok := t.Reserved.(*link); ok {
		if a.links[l.id] != l || l.job != nil {
			a.host.Defer(func() { a.end(j, router.ConnectFailed) })
			return
		}
		l.carry(j)
		return
	}
	a.host.Defer(func() { a.rests(j) })
	a.want(j)
	a.pull()
}

// carry begins a request on the connection, unless it is withheld: first its settings, then what its client has said. It
// tells whether it did.
func (l *link) carry(j *job) bool {
	if l.all.withheld(j) {
		return false
	}
	l.begun = false
	l.job, j.link, l.asked, j.sent = j, l, true, l.all.host.Clock()
	l.role, l.gtid, l.vital = router.RoleUnknown, router.Never, ""
	l.again, l.stale, l.copying = false, nil, false
	t := j.txn.Stream
	l.keeper = nil
	l.turn(j, true)
	t.Client.ServerParameters(l.params)
	s := t.Client.Session()
	s.On(l.has)
	var out []byte
	for _, text := range session.Difference(l.has, s.Settings()) {
		out = pg.AppendQuery(out, text)
		l.due = append(l.due, due{kind: pg.Query})
		l.hidden++
	}
	if len(out) > 0 {
		l.conn.Write(out)
	} else {
		s.Brought(true)
	}
	t.Attach(l)
	return true
}

// turn begins the member's turn, or the client's.
func (l *link) turn(j *job, members bool) {
	now := l.all.host.Now()
	if members && j.turned == 0 {
		j.turned = now
		l.all.hear().Turn(l.id, false)
	} else if !members && j.turned > 0 {
		j.worked += now - j.turned
		j.turned = 0
		l.all.hear().Turn(l.id, l.status != 'I')
	}
	l.all.host.Defer(func() {
		if l.job == j && !j.over && (j.turned > 0) == members {
			l.all.host.TurnChanged(j.txn, j.seq, !members)
		}
	})
}

// quiet tells that the member owes nothing.
func (l *link) quiet() bool { return len(l.due) == 0 && len(l.queue) == 0 }

// Member tells where the connection leads.
func (l *link) Member() string { return l.to.id }

// Send says more. It waits while the hidden part is not answered, since what comes after must not run without it.
func (l *link) Send(ops []session.Op) {
	if l.job == nil {
		return
	}
	for _, op := range ops {
		l.copying = l.copying && op.Kind != pg.CopyDone && op.Kind != pg.CopyFail
	}
	l.turn(l.job, !l.copying) // while it takes what is copied in it has nothing to answer
	if l.hidden > 0 {
		l.queue = append(l.queue, ops...)
		return
	}
	var out []byte
	for n, op := range ops {
		if op.Do == session.Hidden {
			out = append(out, op.Raw...)
			l.due = append(l.due, due{kind: pg.Query})
			if l.hidden++; n+1 == len(ops) || ops[n+1].Do != session.Hidden {
				l.queue = append(l.queue, ops[n+1:]...)
				break
			}
			continue
		}
		out = l.encode(out, op)
	}
	if !l.begun && l.all.withheld(l.job) { // its settings may have taken a while
		return
	}
	l.begun = l.begun || l.hidden == 0
	l.conn.Write(out)
	l.locals()
}

// encode appends what an op is at this member.
func (l *link) encode(out []byte, op session.Op) []byte {
	add := func(d due) { l.due = append(l.due, d) }
	switch op.Do {
	case session.Prepare:
		if l.knows(op.Statement) {
			add(due{kind: pg.Parse, seen: true, local: pg.AppendPlain(nil, '1')})
			return out
		}
		return l.prepare(out, op.Statement, true)
	case session.Bind:
		if !l.knows(op.Statement) {
			out = l.prepare(out, op.Statement, false)
		}
		add(due{kind: pg.Bind, seen: true, stmt: op.Statement})
		return pg.AppendBind(out, op.Portal, name(op.Statement), op.Raw)
	case session.About:
		if !l.knows(op.Statement) {
			out = l.prepare(out, op.Statement, false)
		}
		add(due{kind: pg.Describe, seen: true, stmt: op.Statement})
		return pg.AppendDescribe(out, 'S', name(op.Statement))
	case session.Local:
		add(due{kind: op.Kind, seen: true, local: op.Raw})
		return out
	case session.Reject: // the member must fail too, so that nothing before it takes effect
		add(due{kind: op.Kind, seen: true, fault: op.Fault})
		if op.Kind == pg.Query {
			return pg.AppendQuery(out, "refused by wayloft")
		}
		return pg.AppendBind(out, "", "wl_refused", []byte{0, 0, 0, 0, 0, 0})
	}
	switch op.Kind {
	case pg.Query, pg.Sync, pg.Execute, pg.Describe, pg.CloseName:
		add(due{kind: op.Kind, seen: true})
	}
	if op.Kind == pg.Query {
		return l.appendQuery(out, op.Raw)
	}
	return append(out, op.Raw...)
}

// knows tells whether the member has the statement prepared.
func (l *link) knows(s *session.Prepared) bool {
	has, ok := l.prepared.Get(s.Hash)
	return ok && has.Tail == s.Tail || session.Planted == "names" && l.prepared.Len() > 0
}

func (l *link) prepare(out []byte, s *session.Prepared, seen bool) []byte {
	if old, ok := l.prepared.Peek(s.Hash); ok { // two texts of one hash
		out = l.closes(out, old)
	}
	l.prepared.Add(s.Hash, s)
	l.due = append(l.due, due{kind: pg.Parse, seen: seen, stmt: s})
	return pg.AppendParse(out, name(s), []byte(s.Tail.Value()))
}

func (l *link) closes(out []byte, s *session.Prepared) []byte {
	l.prepared.Remove(s.Hash)
	l.due = append(l.due, due{kind: pg.CloseName, gone: s})
	return pg.AppendClose(out, 'S', name(s))
}

// trim closes what has not been used for longest beyond what the connection may keep. Only between requests: what is bound
// must not be closed.
func (l *link) trim() {
	if l.prepared.Len() <= l.most {
		return
	}
	var out []byte
	for l.prepared.Len() > l.most {
		_, old, _ := l.prepared.GetOldest()
		out = l.closes(out, old)
	}
	l.due = append(l.due, due{kind: pg.Sync})
	l.hidden++
	l.conn.Write(pg.AppendSync(out))
	l.within()
}

// locals answers what stands first and needs no member.
func (l *link) locals() {
	for len(l.due) > 0 && l.due[0].local != nil {
		d := l.due[0]
		l.due = l.due[1:]
		if l.job != nil && d.seen {
			kind := pg.ParseDone
			if d.kind == pg.CloseName {
				kind = pg.CloseDone
			}
			l.job.txn.Stream.Receive(pg.Message{Kind: kind, Raw: d.local})
		}
	}
}

// pop takes the first due answer off if it answers one of these.
func (l *link) pop(kinds ...pg.Kind) (d due, ok bool) {
	if len(l.due) == 0 {
		return d, false
	}
	for _, k := range kinds {
		if l.due[0].kind == k {
			d = l.due[0]
			l.due = l.due[1:]
			return d, true
		}
	}
	return d, false
}

// answer takes one message of the member's in; false: it does not belong here.
func (l *link) answer(m *pg.Message) bool {
	switch m.Kind {
	case pg.AuthOK, pg.Skip:
		return true
	case pg.KeyData:
		l.key = m.Key
		return true
	case pg.Parameter:
		l.parameter(m.Name, m.Text)
		if !own(m.Name) {
			l.params, _, _ = l.params.Insert([]byte(m.Name), m.Text)
			l.all.known[l.login] = l.params
			if l.job != nil {
				l.job.txn.Stream.Client.ServerParameters(l.params)
			}
		}
		return true
	case pg.Notice:
		if l.job != nil && len(l.due) > 0 && l.due[0].seen {
			l.job.txn.Stream.Receive(*m)
		}
		return true
	case pg.Notification:
		if l.job != nil {
			l.job.txn.Stream.Receive(*m)
		}
		return true
	case pg.Failure:
		if !l.ready {
			return l.turnedAway(m.Failure)
		}
		return l.failed(m)
	case pg.Ready:
		if !l.ready {
			return l.letIn()
		}
		return l.turned(m)
	}
	if !l.ready || len(l.due) == 0 {
		return false
	}
	d, ok := l.due[0], true
	switch m.Kind {
	case pg.ParseDone:
		d, ok = l.pop(pg.Parse)
	case pg.BindDone:
		if d, ok = l.pop(pg.Bind); ok {
			l.bound = d.stmt
		}
	case pg.CloseDone:
		d, ok = l.pop(pg.CloseName)
	case pg.NoData:
		d, ok = l.pop(pg.Describe)
	case pg.Suspended:
		d, ok = l.pop(pg.Execute)
	case pg.Complete, pg.Empty:
		if d.kind == pg.Execute {
			d, ok = l.pop(pg.Execute)
		} else {
			ok = d.kind == pg.Query
		}
		if m.Kind == pg.Complete && (m.Text == "DISCARD ALL" || m.Text == "DEALLOCATE ALL") {
			l.prepared.Purge()
		}
	case pg.Columns:
		if d.kind == pg.Describe {
			d, ok = l.pop(pg.Describe)
		} else {
			ok = d.kind == pg.Query || d.kind == pg.Execute
		}
	case pg.ParameterTypes:
		ok = d.kind == pg.Describe
	case pg.Row, pg.CopyIn, pg.CopyOut, pg.CopyData, pg.CopyDone:
		ok = d.kind == pg.Query || d.kind == pg.Execute
	default:
		ok = false
	}
	if !ok {
		return false
	}
	if d.seen && l.job != nil {
		if m.Kind == pg.CopyIn {
			l.copying = true
			l.turn(l.job, false)
		}
		l.job.txn.Stream.Receive(*m)
	}
	l.locals()
	return true
}

func own(name string) bool { return name == "rank" || name == "as_of" || name == "vitals" }

// failed takes an error: all that was asked up to the next readiness is passed over by the member.
func (l *link) failed(m *pg.Message) bool {
	if l.job == nil && len(l.due) == 0 { // it ends the connection, which nobody uses
		l.drop()
		return true
	}
	if len(l.due) == 0 || l.job == nil {
		l.tainted = true
		return true
	}
	d := l.due[0]
	for len(l.due) > 0 && l.due[0].kind != pg.Query && l.due[0].kind != pg.Sync {
		if x := l.due[0]; x.kind == pg.Parse && x.stmt != nil {
			l.prepared.Remove(x.stmt.Hash)
		} else if x.gone != nil {
			l.prepared.Add(x.gone.Hash, x.gone)
		}
		l.due = l.due[1:]
	}
	t := l.job.txn.Stream
	if !d.seen && d.kind == pg.Query { // settings that its member does not take, or a BEGIN
		l.tainted = true
	}
	if d.fault != nil {
		m.Failure, m.Raw = d.fault, pg.AppendError(nil, d.fault, false)
	}
	stale := !t.Cancelled() && m.Failure.Code == pg.NoStatement && d.fault == nil ||
		!t.Cancelled() && m.Failure.Code == pg.Unsupported && d.kind != pg.Query && d.kind != pg.Parse
	if stale && !t.Started() && !l.again && l.status == 'I' {
		if l.again, l.stale = true, d.stmt; l.stale == nil {
			l.stale = l.bound
		}
	}
	t.Receive(*m)
	return true
}

// turned takes a readiness: of what was hidden, or of what the client asked.
func (l *link) turned(m *pg.Message) bool {
	if _, ok := l.pop(pg.Query, pg.Sync); !ok {
		return false
	}
	if l.hidden > 0 {
		l.hidden--
		return l.revealed(m)
	}
	j := l.job
	if j == nil {
		return false
	}
	t := j.txn.Stream
	l.status = m.Status
	stale := l.stale
	if l.stale = nil; stale != nil && m.Status == 'I' { // nothing has run: the statement is prepared anew
		if l.knows(stale) {
			out := l.closes(nil, stale)
			l.due = append(l.due, due{kind: pg.Sync})
			l.hidden++
			l.conn.Write(pg.AppendSync(out))
		}
		t.Replay()
		return true
	}
	if how, ours := l.verdict(); ours {
		l.all.end(j, how)
		return true
	}
	t.Receive(*m)
	t.Flush()
	t.NextQuery()
	if l.job != j { // its client had nothing more to say, and left
		return true
	}
	if m.Status == 'I' && l.quiet() {
		l.all.end(j, router.Succeeded)
	} else if l.quiet() {
		l.turn(j, false)
	}
	return true
}

// verdict tells whether an error is about the member rather than the statement, so that the module hears of it before
// the client does.
func (l *link) verdict() (router.Outcome, bool) {
	t := l.job.txn.Stream
	e := t.Failure()
	if e == nil || t.Started() {
		return 0, false
	}
	switch e.Code[:min(2, len(e.Code))] {
	case "XX", "58", "F0":
		return router.ServerError, true
	}
	switch e.Code {
	case pg.Refused, pg.NotNow:
		return router.Overloaded, true
	case pg.TooOld:
		return router.Misrouted, true
	case pg.NoPrimary: // else it is the transaction that is read only, not the member
		if l.all.limits.Writes[l.job.txn.TxnType] && l.role != router.Primary {
			return router.Misrouted, true
		}
	}
	return 0, false
}

// revealed goes on once the hidden part is answered.
func (l *link) revealed(m *pg.Message) bool {
	switch {
	case l.job == nil && l.tainted:
		l.drop()
	case l.job == nil:
		l.free()
	case l.tainted: // the client gets what its member said of its settings or its BEGIN
		if l.err == nil {
			l.err = l.job.txn.Stream.Failure()
		}
		l.all.end(l.job, router.ServerError)
	case l.hidden == 0:
		l.job.txn.Stream.Client.Session().Brought(true)
		l.status = m.Status
		ops := l.queue
		l.queue = nil
		l.Send(ops)
	}
	return true
}

// Cancel has the member told to stop what runs here. The connection is not used again, so the cancel can't meet the
// next client's statement, however late it comes.
func (l *link) Cancel() {
	if l.job == nil || l.quiet() || l.tainted {
		return
	}
	l.job.txn.Stream.MarkCancelled()
	if l.hidden > 0 { // nothing of it has run
		l.tainted = true
		l.err = &pg.Error{Code: pg.Cancelled, Text: "canceling statement due to user request"}
	}
	if l.key == (pg.Key{}) { // its member has named none
		return
	}
	l.tainted = true
	now := l.all.host.Now()
	key := l.key
	j := &job{key: &key, to: l.to, at: now, until: now + l.all.limits.DialTimeout, by: math.Inf(1)}
	j.timer = l.all.host.After(j.until-now, func() { l.all.end(j, router.TimedOut) })
	l.all.want(j)
	l.all.pull()
}

// Release says that the session which kept the connection has no more use for it. What it left there goes.
func (l *link) Release() {
	if l.keeper = nil; l.job != nil || l.all.links[l.id] != l {
		return
	}
	l.has = session.None
	l.due = append(l.due, due{kind: pg.Query})
	l.hidden++
	l.conn.Write(pg.AppendQuery(nil, "DISCARD ALL"))
	l.within()
}

// within ends the connection unless the member answers what is asked between two requests. Guards against one that is kept
// for nobody.
func (l *link) within() {
	l.all.host.After(l.all.limits.DialTimeout, func() {
		if l.job == nil && l.hidden > 0 {
			l.drop()
		}
	})
}

// goingDown ends a session whose connection leads to a member that drains or is gone, now that nothing of it is open.
func (l *link) goingDown() {
	k := l.keeper
	l.all.host.Defer(func() { k.Terminate(&pg.Error{Code: pg.GoingDown, Text: "the member of this session is going down"}) })
}

// end tells the client that its time is up.
func (l *link) end(code, text string) {
	if j := l.job; j != nil {
		j.txn.Stream.Client.Terminate(&pg.Error{Code: code, Text: text})
	}
}

// settle takes a request off the connection, which goes on to the next, stays with its session, or ends. It gives the
// member's word on the statement, where that is what ended it.
func (l *link) settle(j *job, how router.Outcome) (fault *pg.Error) {
	t := j.txn.Stream
	s := t.Client.Session()
	if how == router.ServerError && l.err != nil && l.tainted {
		fault = l.err
	}
	if how == router.Succeeded && l.gtid > 0 && l.all.host.Possible(l.gtid) {
		t.Position = l.gtid
	}
	if how != router.ServerError { // only an error that the member has got over tells what became of the request
		defer func() { t.LastError = nil }()
	}
	if j.turned > 0 {
		j.worked += l.all.host.Now() - j.turned
	}
	clean := l.quiet() && l.hidden == 0 && l.status == 'I' && !l.tainted
	l.job, l.asked, l.err = nil, false, nil
	if t.Backend() == l {
		if clean {
			l.has = s.There()
		}
		t.Detach()
	}
	switch {
	case !clean || how != router.Succeeded && s.Kept():
		l.drop()
	case how == router.Succeeded && s.Kept():
		l.keeper = t.Client
		if t.Client.Reserve(l); l.to.barred {
			l.goingDown()
		}
	default:
		l.trim()
		l.free()
	}
	return fault
}

// free gives the connection back once nothing is due on it.
func (l *link) free() {
	if l.hidden == 0 {
		l.rest()
	}
}

// Known is what members of a pool have reported of themselves, as a client that comes in is told.
func (a *Backend) Known(pool string) *iradix.Tree[string] {
	if t := a.known[pool]; t != nil {
		return t
	}
	return iradix.New[string]()
}
