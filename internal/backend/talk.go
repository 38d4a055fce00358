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

// streamState is what a connection has of its own where one request asks it several things: what it was told to prepare and set,
// and what its member still has to answer, in order.
type streamState struct {
	settings          session.Settings
	prepared          *simplelru.LRU[uint64, *session.Prepared] // by hash; the name at the member is made of it
	maxPrepared       int
	expected          []expectedReply
	queued            []session.Op // what waits until the hidden part is answered
	internalPending   int          // readinesses that are not the client's
	transactionStatus byte
	cancelKey         pg.Key
	unusable          bool // not to be used again
	lastBound         *session.Prepared
	replayed          bool                  // a plan was invalid once in this request already
	staleStatement    *session.Prepared     // whose plan it was, where nothing has run: it is asked once more
	parameters        *iradix.Tree[string]  // what the member has reported
	copyingIn         bool                  // it takes what is copied in
	clientPartWritten bool                  // of what its client has said, a part is written
	reservedFor       request.ClientSession // whose session keeps the connection between its requests
}

// expectedReply is one answer that must come.
type expectedReply struct {
	kind       pg.Kind // the message that it answers
	forClient  bool    // by the client
	localReply []byte  // nothing was asked of the member: this is the answer
	statement  *session.Prepared
	closing    *session.Prepared // Close: what it closes
	replyError *pg.Error         // the answer whatever the member says
}

func newStreamState(statements int) *streamState {
	c, err := simplelru.NewLRU[uint64, *session.Prepared](1<<30, nil) // trimmed between requests
	invariant.Check(err == nil, "a cache can be made")
	return &streamState{settings: session.None, prepared: c, maxPrepared: statements, transactionStatus: 'I', parameters: iradix.New[string]()}
}

// statementName is what a statement is called at its member.
func statementName(s *session.Prepared) string { return "wl_" + strconv.FormatUint(s.Hash, 36) }

// startStream gives a request the connection that its session keeps, or has it wait for one.
func (a *Backend) startStream(j *job) {
	t := j.request.Stream
	t.OnClientGone(func() { a.endJob(j, router.NotSent) })
	if l, ok := t.Reserved.(*memberConn); ok {
		if a.conns[l.id] != l || l.job != nil {
			a.driver.Defer(func() { a.endJob(j, router.ConnectFailed) })
			return
		}
		l.beginStream(j)
		return
	}
	a.driver.Defer(func() { a.reportWaiting(j) })
	a.requestConn(j)
	a.carryOutDecisions()
}

// beginStream begins a request on the connection, unless it is withheld: first its settings, then what its client has said. It
// tells whether it did.
func (l *memberConn) beginStream(j *job) bool {
	if l.backend.withheld(j) {
		return false
	}
	l.clientPartWritten = false
	l.job, j.conn, l.queryWritten, j.writtenAt = j, l, true, l.backend.driver.Clock()
	l.role, l.position, l.report = router.RoleUnknown, router.Never, ""
	l.replayed, l.staleStatement, l.copyingIn = false, nil, false
	t := j.request.Stream
	l.reservedFor = nil
	l.setTurn(j, true)
	t.Client.ServerParameters(l.parameters)
	s := t.Client.Session()
	s.On(l.settings)
	var out []byte
	for _, text := range session.Difference(l.settings, s.Settings()) {
		out = pg.AppendQuery(out, text)
		l.expected = append(l.expected, expectedReply{kind: pg.Query})
		l.internalPending++
	}
	if len(out) > 0 {
		l.conn.Write(out)
	} else {
		s.Brought(true)
	}
	t.Attach(l)
	return true
}

// setTurn begins the member's turn, or the client's.
func (l *memberConn) setTurn(j *job, members bool) {
	now := l.backend.driver.Now()
	if members && j.memberTurnSince == 0 {
		j.memberTurnSince = now
		l.backend.poolInput().Turn(l.id, false)
	} else if !members && j.memberTurnSince > 0 {
		j.memberMs += now - j.memberTurnSince
		j.memberTurnSince = 0
		l.backend.poolInput().Turn(l.id, l.transactionStatus != 'I')
	}
	l.backend.driver.Defer(func() {
		if l.job == j && !j.ended && (j.memberTurnSince > 0) == members {
			l.backend.driver.TurnChanged(j.request, j.attempt, !members)
		}
	})
}

// nothingExpected tells that the member owes nothing.
func (l *memberConn) nothingExpected() bool { return len(l.expected) == 0 && len(l.queued) == 0 }

// Member tells where the connection leads.
func (l *memberConn) Member() string { return l.member.id }

// Send says more. It waits while the hidden part is not answered, since what comes after must not run without it.
func (l *memberConn) Send(ops []session.Op) {
	if l.job == nil {
		return
	}
	for _, op := range ops {
		l.copyingIn = l.copyingIn && op.Kind != pg.CopyDone && op.Kind != pg.CopyFail
	}
	l.setTurn(l.job, !l.copyingIn) // while it takes what is copied in it has nothing to answer
	if l.internalPending > 0 {
		l.queued = append(l.queued, ops...)
		return
	}
	var out []byte
	for n, op := range ops {
		if op.Do == session.Hidden {
			out = append(out, op.Raw...)
			l.expected = append(l.expected, expectedReply{kind: pg.Query})
			if l.internalPending++; n+1 == len(ops) || ops[n+1].Do != session.Hidden {
				l.queued = append(l.queued, ops[n+1:]...)
				break
			}
			continue
		}
		out = l.encode(out, op)
	}
	if !l.clientPartWritten && l.backend.withheld(l.job) { // its settings may have taken a while
		return
	}
	l.clientPartWritten = l.clientPartWritten || l.internalPending == 0
	l.conn.Write(out)
	l.answerLocally()
}

// encode appends what an op is at this member.
func (l *memberConn) encode(out []byte, op session.Op) []byte {
	add := func(d expectedReply) { l.expected = append(l.expected, d) }
	switch op.Do {
	case session.Prepare:
		if l.hasPrepared(op.Statement) {
			add(expectedReply{kind: pg.Parse, forClient: true, localReply: pg.AppendPlain(nil, '1')})
			return out
		}
		return l.prepare(out, op.Statement, true)
	case session.Bind:
		if !l.hasPrepared(op.Statement) {
			out = l.prepare(out, op.Statement, false)
		}
		add(expectedReply{kind: pg.Bind, forClient: true, statement: op.Statement})
		return pg.AppendBind(out, op.Portal, statementName(op.Statement), op.Raw)
	case session.About:
		if !l.hasPrepared(op.Statement) {
			out = l.prepare(out, op.Statement, false)
		}
		add(expectedReply{kind: pg.Describe, forClient: true, statement: op.Statement})
		return pg.AppendDescribe(out, 'S', statementName(op.Statement))
	case session.Local:
		add(expectedReply{kind: op.Kind, forClient: true, localReply: op.Raw})
		return out
	case session.Reject: // the member must fail too, so that nothing before it takes effect
		add(expectedReply{kind: op.Kind, forClient: true, replyError: op.Fault})
		if op.Kind == pg.Query {
			return pg.AppendQuery(out, "refused by wayloft")
		}
		return pg.AppendBind(out, "", "wl_refused", []byte{0, 0, 0, 0, 0, 0})
	}
	switch op.Kind {
	case pg.Query, pg.Sync, pg.Execute, pg.Describe, pg.CloseName:
		add(expectedReply{kind: op.Kind, forClient: true})
	}
	if op.Kind == pg.Query {
		return l.appendQuery(out, op.Raw)
	}
	return append(out, op.Raw...)
}

// hasPrepared tells whether the member has the statement prepared.
func (l *memberConn) hasPrepared(s *session.Prepared) bool {
	has, ok := l.prepared.Get(s.Hash)
	return ok && has.Tail == s.Tail || session.Planted == "names" && l.prepared.Len() > 0
}

func (l *memberConn) prepare(out []byte, s *session.Prepared, seen bool) []byte {
	if old, ok := l.prepared.Peek(s.Hash); ok { // two texts of one hash
		out = l.closePrepared(out, old)
	}
	l.prepared.Add(s.Hash, s)
	l.expected = append(l.expected, expectedReply{kind: pg.Parse, forClient: seen, statement: s})
	return pg.AppendParse(out, statementName(s), []byte(s.Tail.Value()))
}

func (l *memberConn) closePrepared(out []byte, s *session.Prepared) []byte {
	l.prepared.Remove(s.Hash)
	l.expected = append(l.expected, expectedReply{kind: pg.CloseName, closing: s})
	return pg.AppendClose(out, 'S', statementName(s))
}

// trimPrepared closes what has not been used for longest beyond what the connection may keep. Only between requests: what is bound
// must not be closed.
func (l *memberConn) trimPrepared() {
	if l.prepared.Len() <= l.maxPrepared {
		return
	}
	var out []byte
	for l.prepared.Len() > l.maxPrepared {
		_, old, _ := l.prepared.GetOldest()
		out = l.closePrepared(out, old)
	}
	l.expected = append(l.expected, expectedReply{kind: pg.Sync})
	l.internalPending++
	l.conn.Write(pg.AppendSync(out))
	l.dropUnlessAnswered()
}

// answerLocally answers what stands first and needs no member.
func (l *memberConn) answerLocally() {
	for len(l.expected) > 0 && l.expected[0].localReply != nil {
		d := l.expected[0]
		l.expected = l.expected[1:]
		if l.job != nil && d.forClient {
			kind := pg.ParseDone
			if d.kind == pg.CloseName {
				kind = pg.CloseDone
			}
			l.job.request.Stream.Receive(pg.Message{Kind: kind, Raw: d.localReply})
		}
	}
}

// popExpected takes the first due answer off if it answers one of these.
func (l *memberConn) popExpected(kinds ...pg.Kind) (d expectedReply, ok bool) {
	if len(l.expected) == 0 {
		return d, false
	}
	for _, k := range kinds {
		if l.expected[0].kind == k {
			d = l.expected[0]
			l.expected = l.expected[1:]
			return d, true
		}
	}
	return d, false
}

// handleStreamMessage takes one message of the member's in; false: it does not belong here.
func (l *memberConn) handleStreamMessage(m *pg.Message) bool {
	switch m.Kind {
	case pg.AuthOK, pg.Skip:
		return true
	case pg.KeyData:
		l.cancelKey = m.Key
		return true
	case pg.Parameter:
		l.recordParameter(m.Name, m.Text)
		if !isRouterParameter(m.Name) {
			l.parameters, _, _ = l.parameters.Insert([]byte(m.Name), m.Text)
			l.backend.parameters[l.pool] = l.parameters
			if l.job != nil {
				l.job.request.Stream.Client.ServerParameters(l.parameters)
			}
		}
		return true
	case pg.Notice:
		if l.job != nil && len(l.expected) > 0 && l.expected[0].forClient {
			l.job.request.Stream.Receive(*m)
		}
		return true
	case pg.Notification:
		if l.job != nil {
			l.job.request.Stream.Receive(*m)
		}
		return true
	case pg.Failure:
		if !l.ready {
			return l.loginRefused(m.Failure)
		}
		return l.handleStreamError(m)
	case pg.Ready:
		if !l.ready {
			return l.becomeReady()
		}
		return l.handleStreamReady(m)
	}
	if !l.ready || len(l.expected) == 0 {
		return false
	}
	d, ok := l.expected[0], true
	switch m.Kind {
	case pg.ParseDone:
		d, ok = l.popExpected(pg.Parse)
	case pg.BindDone:
		if d, ok = l.popExpected(pg.Bind); ok {
			l.lastBound = d.statement
		}
	case pg.CloseDone:
		d, ok = l.popExpected(pg.CloseName)
	case pg.NoData:
		d, ok = l.popExpected(pg.Describe)
	case pg.Suspended:
		d, ok = l.popExpected(pg.Execute)
	case pg.Complete, pg.Empty:
		if d.kind == pg.Execute {
			d, ok = l.popExpected(pg.Execute)
		} else {
			ok = d.kind == pg.Query
		}
		if m.Kind == pg.Complete && (m.Text == "DISCARD ALL" || m.Text == "DEALLOCATE ALL") {
			l.prepared.Purge()
		}
	case pg.Columns:
		if d.kind == pg.Describe {
			d, ok = l.popExpected(pg.Describe)
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
	if d.forClient && l.job != nil {
		if m.Kind == pg.CopyIn {
			l.copyingIn = true
			l.setTurn(l.job, false)
		}
		l.job.request.Stream.Receive(*m)
	}
	l.answerLocally()
	return true
}

func isRouterParameter(name string) bool {
	return name == "rank" || name == "as_of" || name == "vitals"
}

// handleStreamError takes an error: all that was asked up to the next readiness is passed over by the member.
func (l *memberConn) handleStreamError(m *pg.Message) bool {
	if l.job == nil && len(l.expected) == 0 { // it ends the connection, which nobody uses
		l.drop()
		return true
	}
	if len(l.expected) == 0 || l.job == nil {
		l.unusable = true
		return true
	}
	d := l.expected[0]
	for len(l.expected) > 0 && l.expected[0].kind != pg.Query && l.expected[0].kind != pg.Sync {
		if x := l.expected[0]; x.kind == pg.Parse && x.statement != nil {
			l.prepared.Remove(x.statement.Hash)
		} else if x.closing != nil {
			l.prepared.Add(x.closing.Hash, x.closing)
		}
		l.expected = l.expected[1:]
	}
	t := l.job.request.Stream
	if !d.forClient && d.kind == pg.Query { // settings that its member does not take, or a BEGIN
		l.unusable = true
	}
	if d.replyError != nil {
		m.Failure, m.Raw = d.replyError, pg.AppendError(nil, d.replyError, false)
	}
	stale := !t.Cancelled() && m.Failure.Code == pg.NoStatement && d.replyError == nil ||
		!t.Cancelled() && m.Failure.Code == pg.Unsupported && d.kind != pg.Query && d.kind != pg.Parse
	if stale && !t.Started() && !l.replayed && l.transactionStatus == 'I' {
		if l.replayed, l.staleStatement = true, d.statement; l.staleStatement == nil {
			l.staleStatement = l.lastBound
		}
	}
	t.Receive(*m)
	return true
}

// handleStreamReady takes a readiness: of what was hidden, or of what the client asked.
func (l *memberConn) handleStreamReady(m *pg.Message) bool {
	if _, ok := l.popExpected(pg.Query, pg.Sync); !ok {
		return false
	}
	if l.internalPending > 0 {
		l.internalPending--
		return l.internalDone(m)
	}
	j := l.job
	if j == nil {
		return false
	}
	t := j.request.Stream
	l.transactionStatus = m.Status
	stale := l.staleStatement
	if l.staleStatement = nil; stale != nil && m.Status == 'I' { // nothing has run: the statement is prepared anew
		if l.hasPrepared(stale) {
			out := l.closePrepared(nil, stale)
			l.expected = append(l.expected, expectedReply{kind: pg.Sync})
			l.internalPending++
			l.conn.Write(pg.AppendSync(out))
		}
		t.Replay()
		return true
	}
	if how, ours := l.memberOutcome(); ours {
		l.backend.endJob(j, how)
		return true
	}
	t.Receive(*m)
	t.Flush()
	t.NextQuery()
	if l.job != j { // its client had nothing more to say, and left
		return true
	}
	if m.Status == 'I' && l.nothingExpected() {
		l.backend.endJob(j, router.Succeeded)
	} else if l.nothingExpected() {
		l.setTurn(j, false)
	}
	return true
}

// memberOutcome tells whether an error is about the member rather than the statement, so that the module hears of it before
// the client does.
func (l *memberConn) memberOutcome() (router.Outcome, bool) {
	t := l.job.request.Stream
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
		if l.backend.limits.PrimaryClasses[l.job.request.TxnType] && l.role != router.Primary {
			return router.Misrouted, true
		}
	}
	return 0, false
}

// internalDone goes on once the hidden part is answered.
func (l *memberConn) internalDone(m *pg.Message) bool {
	switch {
	case l.job == nil && l.unusable:
		l.drop()
	case l.job == nil:
		l.returnUnlessPending()
	case l.unusable: // the client gets what its member said of its settings or its BEGIN
		if l.queryError == nil {
			l.queryError = l.job.request.Stream.Failure()
		}
		l.backend.endJob(l.job, router.ServerError)
	case l.internalPending == 0:
		l.job.request.Stream.Client.Session().Brought(true)
		l.transactionStatus = m.Status
		ops := l.queued
		l.queued = nil
		l.Send(ops)
	}
	return true
}

// Cancel has the member told to stop what runs here. The connection is not used again, so the cancel can't meet the
// next client's statement, however late it comes.
func (l *memberConn) Cancel() {
	if l.job == nil || l.nothingExpected() || l.unusable {
		return
	}
	l.job.request.Stream.MarkCancelled()
	if l.internalPending > 0 { // nothing of it has run
		l.unusable = true
		l.queryError = &pg.Error{Code: pg.Cancelled, Text: "canceling statement due to user request"}
	}
	if l.cancelKey == (pg.Key{}) { // its member has named none
		return
	}
	l.unusable = true
	now := l.backend.driver.Now()
	key := l.cancelKey
	j := &job{cancelKey: &key, member: l.member, started: now, deadline: now + l.backend.limits.DialTimeout, notAfter: math.Inf(1)}
	j.timer = l.backend.driver.After(j.deadline-now, func() { l.backend.endJob(j, router.TimedOut) })
	l.backend.requestConn(j)
	l.backend.carryOutDecisions()
}

// Release says that the session which kept the connection has no more use for it. What it left there goes.
func (l *memberConn) Release() {
	if l.reservedFor = nil; l.job != nil || l.backend.conns[l.id] != l {
		return
	}
	l.settings = session.None
	l.expected = append(l.expected, expectedReply{kind: pg.Query})
	l.internalPending++
	l.conn.Write(pg.AppendQuery(nil, "DISCARD ALL"))
	l.dropUnlessAnswered()
}

// dropUnlessAnswered ends the connection unless the member answers what is asked between two requests. Guards against one that is kept
// for nobody.
func (l *memberConn) dropUnlessAnswered() {
	l.backend.driver.After(l.backend.limits.DialTimeout, func() {
		if l.job == nil && l.internalPending > 0 {
			l.drop()
		}
	})
}

// terminateReserved ends a session whose connection leads to a member that drains or is gone, now that nothing of it is open.
func (l *memberConn) terminateReserved() {
	k := l.reservedFor
	l.backend.driver.Defer(func() { k.Terminate(&pg.Error{Code: pg.GoingDown, Text: "the member of this session is going down"}) })
}

// terminateClient tells the client that its time is up.
func (l *memberConn) terminateClient(code, text string) {
	if j := l.job; j != nil {
		j.request.Stream.Client.Terminate(&pg.Error{Code: code, Text: text})
	}
}

// endStream takes a request off the connection, which goes on to the next, stays with its session, or ends. It gives the
// member's word on the statement, where that is what ended it.
func (l *memberConn) endStream(j *job, how router.Outcome) (fault *pg.Error) {
	t := j.request.Stream
	s := t.Client.Session()
	if how == router.ServerError && l.queryError != nil && l.unusable {
		fault = l.queryError
	}
	if how == router.Succeeded && l.position > 0 && l.backend.driver.Possible(l.position) {
		t.Position = l.position
	}
	if how != router.ServerError { // only an error that the member has got over tells what became of the request
		defer func() { t.LastError = nil }()
	}
	if j.memberTurnSince > 0 {
		j.memberMs += l.backend.driver.Now() - j.memberTurnSince
	}
	clean := l.nothingExpected() && l.internalPending == 0 && l.transactionStatus == 'I' && !l.unusable
	l.job, l.queryWritten, l.queryError = nil, false, nil
	if t.Backend() == l {
		if clean {
			l.settings = s.There()
		}
		t.Detach()
	}
	switch {
	case !clean || how != router.Succeeded && s.Kept():
		l.drop()
	case how == router.Succeeded && s.Kept():
		l.reservedFor = t.Client
		if t.Client.Reserve(l); l.member.unavailable {
			l.terminateReserved()
		}
	default:
		l.trimPrepared()
		l.returnUnlessPending()
	}
	return fault
}

// returnUnlessPending gives the connection back once nothing is due on it.
func (l *memberConn) returnUnlessPending() {
	if l.internalPending == 0 {
		l.returnToPool()
	}
}

// KnownParameters is what members of a pool have reported of themselves, as a client that comes in is told.
func (a *Backend) KnownParameters(pool string) *iradix.Tree[string] {
	if t := a.parameters[pool]; t != nil {
		return t
	}
	return iradix.New[string]()
}
