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
	prepared, err := simplelru.NewLRU[uint64, *session.Prepared](1<<30, nil) // trimmed between requests
	invariant.Check(err == nil, "a cache can be made")
	return &streamState{settings: session.None, prepared: prepared, maxPrepared: statements, transactionStatus: 'I', parameters: iradix.New[string]()}
}

// statementName is what a statement is called at its member.
func statementName(s *session.Prepared) string { return "wl_" + strconv.FormatUint(s.Hash, 36) }

// startStream gives a request the connection that its session keeps, or has it wait for one.
func (b *Backend) startStream(j *job) {
	stream := j.request.Stream
	stream.OnClientGone(func() { b.endJob(j, router.NotSent) })
	if c, ok := stream.Reserved.(*memberConn); ok {
		if b.conns[c.id] != c || c.job != nil {
			b.driver.Defer(func() { b.endJob(j, router.ConnectFailed) })
			return
		}
		c.beginStream(j)
		return
	}
	b.driver.Defer(func() { b.reportWaiting(j) })
	b.requestConn(j)
	b.carryOutDecisions()
}

// beginStream begins a request on the connection, unless it is withheld: first its settings, then what its client has said. It
// tells whether it did.
func (c *memberConn) beginStream(j *job) bool {
	if c.backend.withheld(j) {
		return false
	}
	c.clientPartWritten = false
	c.job, j.conn, c.queryWritten, j.writtenAt = j, c, true, c.backend.driver.Clock()
	c.role, c.position, c.report = router.RoleUnknown, router.Never, ""
	c.replayed, c.staleStatement, c.copyingIn = false, nil, false
	stream := j.request.Stream
	c.reservedFor = nil
	c.setTurn(j, true)
	stream.Client.ServerParameters(c.parameters)
	s := stream.Client.Session()
	s.On(c.settings)
	var out []byte
	for _, text := range session.Difference(c.settings, s.Settings()) {
		out = pg.AppendQuery(out, text)
		c.expected = append(c.expected, expectedReply{kind: pg.Query})
		c.internalPending++
	}
	if len(out) > 0 {
		c.conn.Write(out)
	} else {
		s.Brought(true)
	}
	stream.Attach(c)
	return true
}

// setTurn begins the member's turn, or the client's.
func (c *memberConn) setTurn(j *job, members bool) {
	now := c.backend.driver.Now()
	if members && j.memberTurnSince == 0 {
		j.memberTurnSince = now
		c.backend.poolInput().Turn(c.id, false)
	} else if !members && j.memberTurnSince > 0 {
		j.memberMs += now - j.memberTurnSince
		j.memberTurnSince = 0
		c.backend.poolInput().Turn(c.id, c.transactionStatus != 'I')
	}
	c.backend.driver.Defer(func() {
		if c.job == j && !j.ended && (j.memberTurnSince > 0) == members {
			c.backend.driver.TurnChanged(j.request, j.attempt, !members)
		}
	})
}

// nothingExpected tells that the member owes nothing.
func (c *memberConn) nothingExpected() bool { return len(c.expected) == 0 && len(c.queued) == 0 }

// Member tells where the connection leads.
func (c *memberConn) Member() string { return c.member.id }

// Send says more. It waits while the hidden part is not answered, since what comes after must not run without it.
func (c *memberConn) Send(ops []session.Op) {
	if c.job == nil {
		return
	}
	for _, op := range ops {
		c.copyingIn = c.copyingIn && op.Kind != pg.CopyDone && op.Kind != pg.CopyFail
	}
	c.setTurn(c.job, !c.copyingIn) // while it takes what is copied in it has nothing to answer
	if c.internalPending > 0 {
		c.queued = append(c.queued, ops...)
		return
	}
	var out []byte
	for n, op := range ops {
		if op.Do == session.Hidden {
			out = append(out, op.Raw...)
			c.expected = append(c.expected, expectedReply{kind: pg.Query})
			if c.internalPending++; n+1 == len(ops) || ops[n+1].Do != session.Hidden {
				c.queued = append(c.queued, ops[n+1:]...)
				break
			}
			continue
		}
		out = c.encode(out, op)
	}
	if !c.clientPartWritten && c.backend.withheld(c.job) { // its settings may have taken a while
		return
	}
	c.clientPartWritten = c.clientPartWritten || c.internalPending == 0
	c.conn.Write(out)
	c.answerLocally()
}

// encode appends what an op is at this member.
func (c *memberConn) encode(out []byte, op session.Op) []byte {
	add := func(d expectedReply) { c.expected = append(c.expected, d) }
	switch op.Do {
	case session.Prepare:
		if c.hasPrepared(op.Statement) {
			add(expectedReply{kind: pg.Parse, forClient: true, localReply: pg.AppendPlain(nil, '1')})
			return out
		}
		return c.prepare(out, op.Statement, true)
	case session.Bind:
		if !c.hasPrepared(op.Statement) {
			out = c.prepare(out, op.Statement, false)
		}
		add(expectedReply{kind: pg.Bind, forClient: true, statement: op.Statement})
		return pg.AppendBind(out, op.Portal, statementName(op.Statement), op.Raw)
	case session.About:
		if !c.hasPrepared(op.Statement) {
			out = c.prepare(out, op.Statement, false)
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
		return c.appendQuery(out, op.Raw)
	}
	return append(out, op.Raw...)
}

// hasPrepared tells whether the member has the statement prepared.
func (c *memberConn) hasPrepared(s *session.Prepared) bool {
	has, ok := c.prepared.Get(s.Hash)
	return ok && has.Tail == s.Tail || session.Planted == "names" && c.prepared.Len() > 0
}

func (c *memberConn) prepare(out []byte, s *session.Prepared, seen bool) []byte {
	if old, ok := c.prepared.Peek(s.Hash); ok { // two texts of one hash
		out = c.closePrepared(out, old)
	}
	c.prepared.Add(s.Hash, s)
	c.expected = append(c.expected, expectedReply{kind: pg.Parse, forClient: seen, statement: s})
	return pg.AppendParse(out, statementName(s), []byte(s.Tail.Value()))
}

func (c *memberConn) closePrepared(out []byte, s *session.Prepared) []byte {
	c.prepared.Remove(s.Hash)
	c.expected = append(c.expected, expectedReply{kind: pg.CloseName, closing: s})
	return pg.AppendClose(out, 'S', statementName(s))
}

// trimPrepared closes what has not been used for longest beyond what the connection may keep. Only between requests: what is bound
// must not be closed.
func (c *memberConn) trimPrepared() {
	if c.prepared.Len() <= c.maxPrepared {
		return
	}
	var out []byte
	for c.prepared.Len() > c.maxPrepared {
		_, old, _ := c.prepared.GetOldest()
		out = c.closePrepared(out, old)
	}
	c.expected = append(c.expected, expectedReply{kind: pg.Sync})
	c.internalPending++
	c.conn.Write(pg.AppendSync(out))
	c.dropUnlessAnswered()
}

// answerLocally answers what stands first and needs no member.
func (c *memberConn) answerLocally() {
	for len(c.expected) > 0 && c.expected[0].localReply != nil {
		d := c.expected[0]
		c.expected = c.expected[1:]
		if c.job != nil && d.forClient {
			kind := pg.ParseDone
			if d.kind == pg.CloseName {
				kind = pg.CloseDone
			}
			c.job.request.Stream.Receive(pg.Message{Kind: kind, Raw: d.localReply})
		}
	}
}

// popExpected takes the first due answer off if it answers one of these.
func (c *memberConn) popExpected(kinds ...pg.Kind) (d expectedReply, ok bool) {
	if len(c.expected) == 0 {
		return d, false
	}
	for _, k := range kinds {
		if c.expected[0].kind == k {
			d = c.expected[0]
			c.expected = c.expected[1:]
			return d, true
		}
	}
	return d, false
}

// handleStreamMessage takes one message of the member's in; false: it does not belong here.
func (c *memberConn) handleStreamMessage(m *pg.Message) bool {
	switch m.Kind {
	case pg.AuthOK, pg.Skip:
		return true
	case pg.KeyData:
		c.cancelKey = m.Key
		return true
	case pg.Parameter:
		c.recordParameter(m.Name, m.Text)
		if !isRouterParameter(m.Name) {
			c.parameters, _, _ = c.parameters.Insert([]byte(m.Name), m.Text)
			c.backend.parameters[c.pool] = c.parameters
			if c.job != nil {
				c.job.request.Stream.Client.ServerParameters(c.parameters)
			}
		}
		return true
	case pg.Notice:
		if c.job != nil && len(c.expected) > 0 && c.expected[0].forClient {
			c.job.request.Stream.Receive(*m)
		}
		return true
	case pg.Notification:
		if c.job != nil {
			c.job.request.Stream.Receive(*m)
		}
		return true
	case pg.Failure:
		if !c.ready {
			return c.loginRefused(m.Failure)
		}
		return c.handleStreamError(m)
	case pg.Ready:
		if !c.ready {
			return c.becomeReady()
		}
		return c.handleStreamReady(m)
	}
	if !c.ready || len(c.expected) == 0 {
		return false
	}
	d, ok := c.expected[0], true
	switch m.Kind {
	case pg.ParseDone:
		d, ok = c.popExpected(pg.Parse)
	case pg.BindDone:
		if d, ok = c.popExpected(pg.Bind); ok {
			c.lastBound = d.statement
		}
	case pg.CloseDone:
		d, ok = c.popExpected(pg.CloseName)
	case pg.NoData:
		d, ok = c.popExpected(pg.Describe)
	case pg.Suspended:
		d, ok = c.popExpected(pg.Execute)
	case pg.Complete, pg.Empty:
		if d.kind == pg.Execute {
			d, ok = c.popExpected(pg.Execute)
		} else {
			ok = d.kind == pg.Query
		}
		if m.Kind == pg.Complete && (m.Text == "DISCARD ALL" || m.Text == "DEALLOCATE ALL") {
			c.prepared.Purge()
		}
	case pg.Columns:
		if d.kind == pg.Describe {
			d, ok = c.popExpected(pg.Describe)
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
	if d.forClient && c.job != nil {
		if m.Kind == pg.CopyIn {
			c.copyingIn = true
			c.setTurn(c.job, false)
		}
		c.job.request.Stream.Receive(*m)
	}
	c.answerLocally()
	return true
}

func isRouterParameter(name string) bool {
	return name == "rank" || name == "as_of" || name == "vitals"
}

// handleStreamError takes an error: all that was asked up to the next readiness is passed over by the member.
func (c *memberConn) handleStreamError(m *pg.Message) bool {
	if c.job == nil && len(c.expected) == 0 { // it ends the connection, which nobody uses
		c.drop()
		return true
	}
	if len(c.expected) == 0 || c.job == nil {
		c.unusable = true
		return true
	}
	d := c.expected[0]
	for len(c.expected) > 0 && c.expected[0].kind != pg.Query && c.expected[0].kind != pg.Sync {
		if x := c.expected[0]; x.kind == pg.Parse && x.statement != nil {
			c.prepared.Remove(x.statement.Hash)
		} else if x.closing != nil {
			c.prepared.Add(x.closing.Hash, x.closing)
		}
		c.expected = c.expected[1:]
	}
	t := c.job.request.Stream
	if !d.forClient && d.kind == pg.Query { // settings that its member does not take, or a BEGIN
		c.unusable = true
	}
	if d.replyError != nil {
		m.Failure, m.Raw = d.replyError, pg.AppendError(nil, d.replyError, false)
	}
	stale := !t.Cancelled() && m.Failure.Code == pg.NoStatement && d.replyError == nil ||
		!t.Cancelled() && m.Failure.Code == pg.Unsupported && d.kind != pg.Query && d.kind != pg.Parse
	if stale && !t.Started() && !c.replayed && c.transactionStatus == 'I' {
		if c.replayed, c.staleStatement = true, d.statement; c.staleStatement == nil {
			c.staleStatement = c.lastBound
		}
	}
	t.Receive(*m)
	return true
}

// handleStreamReady takes a readiness: of what was hidden, or of what the client asked.
func (c *memberConn) handleStreamReady(m *pg.Message) bool {
	if _, ok := c.popExpected(pg.Query, pg.Sync); !ok {
		return false
	}
	if c.internalPending > 0 {
		c.internalPending--
		return c.internalDone(m)
	}
	j := c.job
	if j == nil {
		return false
	}
	t := j.request.Stream
	c.transactionStatus = m.Status
	stale := c.staleStatement
	if c.staleStatement = nil; stale != nil && m.Status == 'I' { // nothing has run: the statement is prepared anew
		if c.hasPrepared(stale) {
			out := c.closePrepared(nil, stale)
			c.expected = append(c.expected, expectedReply{kind: pg.Sync})
			c.internalPending++
			c.conn.Write(pg.AppendSync(out))
		}
		t.Replay()
		return true
	}
	if outcome, ours := c.memberOutcome(); ours {
		c.backend.endJob(j, outcome)
		return true
	}
	t.Receive(*m)
	t.Flush()
	t.NextQuery()
	if c.job != j { // its client had nothing more to say, and left
		return true
	}
	if m.Status == 'I' && c.nothingExpected() {
		c.backend.endJob(j, router.Succeeded)
	} else if c.nothingExpected() {
		c.setTurn(j, false)
	}
	return true
}

// memberOutcome tells whether an error is about the member rather than the statement, so that the module hears of it before
// the client does.
func (c *memberConn) memberOutcome() (router.Outcome, bool) {
	t := c.job.request.Stream
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
		if c.backend.limits.PrimaryClasses[c.job.request.TxnType] && c.role != router.Primary {
			return router.Misrouted, true
		}
	}
	return 0, false
}

// internalDone goes on once the hidden part is answered.
func (c *memberConn) internalDone(m *pg.Message) bool {
	switch {
	case c.job == nil && c.unusable:
		c.drop()
	case c.job == nil:
		c.returnUnlessPending()
	case c.unusable: // the client gets what its member said of its settings or its BEGIN
		if c.queryError == nil {
			c.queryError = c.job.request.Stream.Failure()
		}
		c.backend.endJob(c.job, router.ServerError)
	case c.internalPending == 0:
		c.job.request.Stream.Client.Session().Brought(true)
		c.transactionStatus = m.Status
		ops := c.queued
		c.queued = nil
		c.Send(ops)
	}
	return true
}

// Cancel has the member told to stop what runs here. The connection is not used again, so the cancel can't meet the
// next client's statement, however late it comes.
func (c *memberConn) Cancel() {
	if c.job == nil || c.nothingExpected() || c.unusable {
		return
	}
	c.job.request.Stream.MarkCancelled()
	if c.internalPending > 0 { // nothing of it has run
		c.unusable = true
		c.queryError = &pg.Error{Code: pg.Cancelled, Text: "canceling statement due to user request"}
	}
	if c.cancelKey == (pg.Key{}) { // its member has named none
		return
	}
	c.unusable = true
	now := c.backend.driver.Now()
	key := c.cancelKey
	j := &job{cancelKey: &key, member: c.member, started: now, deadline: now + c.backend.limits.DialTimeout, notAfter: math.Inf(1)}
	j.timer = c.backend.driver.After(j.deadline-now, func() { c.backend.endJob(j, router.TimedOut) })
	c.backend.requestConn(j)
	c.backend.carryOutDecisions()
}

// Release says that the session which kept the connection has no more use for it. What it left there goes.
func (c *memberConn) Release() {
	if c.reservedFor = nil; c.job != nil || c.backend.conns[c.id] != c {
		return
	}
	c.settings = session.None
	c.expected = append(c.expected, expectedReply{kind: pg.Query})
	c.internalPending++
	c.conn.Write(pg.AppendQuery(nil, "DISCARD ALL"))
	c.dropUnlessAnswered()
}

// dropUnlessAnswered ends the connection unless the member answers what is asked between two requests. Guards against one that is kept
// for nobody.
func (c *memberConn) dropUnlessAnswered() {
	c.backend.driver.After(c.backend.limits.DialTimeout, func() {
		if c.job == nil && c.internalPending > 0 {
			c.drop()
		}
	})
}

// terminateReserved ends a session whose connection leads to a member that drains or is gone, now that nothing of it is open.
func (c *memberConn) terminateReserved() {
	k := c.reservedFor
	c.backend.driver.Defer(func() { k.Terminate(&pg.Error{Code: pg.GoingDown, Text: "the member of this session is going down"}) })
}

// terminateClient tells the client that its time is up.
func (c *memberConn) terminateClient(code, text string) {
	if j := c.job; j != nil {
		j.request.Stream.Client.Terminate(&pg.Error{Code: code, Text: text})
	}
}

// endStream takes a request off the connection, which goes on to the next, stays with its session, or ends. It gives the
// member's word on the statement, where that is what ended it.
func (c *memberConn) endStream(j *job, outcome router.Outcome) (fault *pg.Error) {
	stream := j.request.Stream
	s := stream.Client.Session()
	if outcome == router.ServerError && c.queryError != nil && c.unusable {
		fault = c.queryError
	}
	if outcome == router.Succeeded && c.position > 0 && c.backend.driver.Possible(c.position) {
		stream.Position = c.position
	}
	if outcome != router.ServerError { // only an error that the member has got over tells what became of the request
		defer func() { stream.LastError = nil }()
	}
	if j.memberTurnSince > 0 {
		j.memberMs += c.backend.driver.Now() - j.memberTurnSince
	}
	clean := c.nothingExpected() && c.internalPending == 0 && c.transactionStatus == 'I' && !c.unusable
	c.job, c.queryWritten, c.queryError = nil, false, nil
	if stream.Backend() == c {
		if clean {
			c.settings = s.There()
		}
		stream.Detach()
	}
	switch {
	case !clean || outcome != router.Succeeded && s.Kept():
		c.drop()
	case outcome == router.Succeeded && s.Kept():
		c.reservedFor = stream.Client
		if stream.Client.Reserve(c); c.member.unavailable {
			c.terminateReserved()
		}
	default:
		c.trimPrepared()
		c.returnUnlessPending()
	}
	return fault
}

// returnUnlessPending gives the connection back once nothing is due on it.
func (c *memberConn) returnUnlessPending() {
	if c.internalPending == 0 {
		c.returnToPool()
	}
}

// KnownParameters is what members of a pool have reported of themselves, as a client that comes in is told.
func (b *Backend) KnownParameters(pool string) *iradix.Tree[string] {
	if t := b.parameters[pool]; t != nil {
		return t
	}
	return iradix.New[string]()
}
