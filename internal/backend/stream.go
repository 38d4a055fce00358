package backend

import (
	"math"

	iradix "github.com/hashicorp/go-immutable-radix/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"wayloft/internal/decide/session"
	"wayloft/internal/invariant"
	"wayloft/internal/pg"
	"wayloft/internal/request"
	"wayloft/router"
)

// Statements that discard session state on a connection. Their command tags are identical to the statements.
const (
	discardAll    = "DISCARD ALL"
	deallocateAll = "DEALLOCATE ALL"
)

// streamState is the state that a connection needs to carry multi-message requests: its prepared statements and settings, and the replies
// expected from the member, in order. Queries that the router itself sends, for instance to apply settings, are called internal; their
// replies are not forwarded to the client.
type streamState struct {
	settings          session.Settings                                   // settings in effect on the connection
	prepared          *simplelru.LRU[uint64, *session.PreparedStatement] // by hash, from which the name on the member is derived
	maxPrepared       int
	expected          []expectedReply
	queued            []session.Message // operations queued until the internal queries are answered
	internalPending   int               // number of unanswered internal queries
	transactionStatus byte
	cancelKey         pg.CancelKey
	unusable          bool // the connection must be closed after this request
	lastBound         *session.PreparedStatement
	replayed          bool                       // the request was already replayed once because of a missing or invalid prepared plan
	staleStatement    *session.PreparedStatement // the statement whose plan was missing or invalid; set only if the request is to be replayed
	parameters        *iradix.Tree[string]       // parameters reported by the member
	copyingIn         bool                       // the client is sending COPY data
	clientOpsWritten  bool                       // some of the client's operations were written
	unsynced          bool                       // extended query messages were written since the last Sync or simple query
	reservedFor       request.ClientSession      // session that the connection is reserved for; set only between its requests
	parts             unitParts                  // of the unit that is at the member
}

// errKeptConnectionEnded ends a session whose own connection, and with it the state on it, is gone.
var errKeptConnectionEnded = &pg.Error{Code: pg.AdminShutdown, Text: "the connection that this session kept has ended"}

// expectedReply is a reply that is expected from the member, or that the router gives in its place.
type expectedReply struct {
	kind       pg.Kind                    // kind of the message being replied to
	forClient  bool                       // the reply is delivered to the client
	barrier    bool                       // the reply to a barrier, after which nothing of an earlier response can arrive
	startsPart bool                       // the first reply to what follows a Flush
	completed  bool                       // for a simple query: everything was received except ReadyForQuery
	localReply []byte                     // the router's own reply; nothing was sent to the member
	localTag   string                     // the command tag of localReply, if it is a CommandComplete
	statement  *session.PreparedStatement // statement being prepared, bound or described
	closing    *session.PreparedStatement // statement being closed
	replyError *pg.Error                  // error that replaces the member's error
}

func newStreamState(maxPrepared int) *streamState {
	const unlimited = 1 << 30 // trimPrepared enforces maxPrepared between requests
	prepared, err := simplelru.NewLRU[uint64, *session.PreparedStatement](unlimited, nil)
	invariant.Check(err == nil, "creating the prepared statement cache succeeds")
	return &streamState{
		settings:          session.NoSettings,
		prepared:          prepared,
		maxPrepared:       maxPrepared,
		transactionStatus: session.StatusIdle,
		parameters:        iradix.New[string](),
	}
}

// startStream starts a request on the connection reserved for its session. Without a reserved connection, it requests one from the pool.
func (b *Backend) startStream(j *job) {
	stream := j.request.Stream
	stream.OnClientGone(func() { b.endJob(j, router.NotSent) })
	if c, ok := stream.Reserved.(*memberConn); ok {
		if b.conns[c.id] != c || c.job != nil {
			b.driver.Defer(func() { b.endJob(j, router.ConnectFailed) })
			return
		}
		c.startStream(j)
		return
	}
	b.driver.Defer(func() { b.reportWaiting(j) })
	b.requestConn(j)
	b.carryOutDecisions()
}

// startStream starts a request on the connection, unless endIfUnsendable ends its job. It sends the session's settings, followed by the
// client's operations. It reports whether the request was started.
func (c *memberConn) startStream(j *job) bool {
	if c.backend.endIfUnsendable(j) {
		return false
	}
	c.attach(j)
	c.clientOpsWritten, c.copyingIn = false, false
	c.replayed, c.staleStatement = false, nil
	c.reservedFor = nil
	stream := j.request.Stream
	c.setTurn(j, true)
	clientSession := stream.Client.Session()
	clientSession.AttachConnection(c.settings)
	if statements := clientSession.SettingsStatements(); len(statements) > 0 {
		c.writeInternalQueries(statements...)
	} else {
		clientSession.SettingsApplied(true)
		c.reportParameters()
	}
	stream.Attach(c)
	return true
}

// setTurn records whether the stream is waiting for the member or for its client, and notifies the pool and the driver.
func (c *memberConn) setTurn(j *job, membersTurn bool) {
	now := c.backend.driver.Now()
	if membersTurn && j.memberTurnSince == 0 {
		j.memberTurnSince = now
		c.backend.poolInput().SetAwaitingClient(c.id, false)
	} else if !membersTurn && j.memberTurnSince > 0 {
		j.endMemberTurn(now)
		c.backend.poolInput().SetAwaitingClient(c.id, c.unsynced || c.transactionStatus != session.StatusIdle)
	}
	c.backend.driver.Defer(func() {
		if c.job == j && !j.ended && (j.memberTurnSince > 0) == membersTurn {
			c.backend.driver.AttemptIdleChanged(j.request, j.attempt, !membersTurn)
		}
	})
}

// awaitClientBehindFlush records that the stream waits for its client, if the member has replied to everything that the client sent up to a
// Flush. There is no ReadyForQuery that would tell.
func (c *memberConn) awaitClientBehindFlush() {
	if c.job != nil && c.job.memberTurnSince > 0 && c.nothingExpected() {
		c.setTurn(c.job, false)
	}
}

// nothingExpected reports whether no reply is expected and no operation is queued.
func (c *memberConn) nothingExpected() bool { return len(c.expected) == 0 && len(c.queued) == 0 }

// Member implements request.BackendConn.
func (c *memberConn) Member() string { return c.member.id }

// Cancel implements request.BackendConn. It sends a cancel request to the member. The connection is not reused, so that a late cancel request
// can't cancel the next client's statement.
func (c *memberConn) Cancel() {
	if c.job == nil || c.nothingExpected() || c.unusable {
		return
	}
	c.job.request.Stream.MarkCancelled()
	if c.internalPending > 0 { // none of the client's operations has run
		c.unusable = true
		c.queryError = &pg.Error{Code: pg.QueryCanceled, Text: "canceling statement due to user request"}
	}
	if c.cancelKey == (pg.CancelKey{}) { // the member has sent no cancel key
		return
	}
	c.unusable = true
	now := c.backend.driver.Now()
	key := c.cancelKey
	j := &job{cancelKey: &key, member: c.member, started: now, deadline: now + c.backend.options.DialTimeoutMs, notAfter: math.Inf(1)}
	j.timer = c.backend.driver.After(j.deadline-now, func() { c.backend.endJob(j, router.TimedOut) })
	c.backend.requestConn(j)
	c.backend.carryOutDecisions()
}

// Release implements request.BackendConn. It ends the reservation of the connection and discards the session's state on it.
func (c *memberConn) Release() {
	c.reservedFor = nil
	if c.job != nil || c.backend.conns[c.id] != c {
		return
	}
	c.settings = session.NoSettings
	c.writeInternalQueries(discardAll)
	c.dropOnReplyTimeout()
}

// writeInternalQueries writes simple queries of the router's own.
func (c *memberConn) writeInternalQueries(statements ...string) {
	out := c.encodeBarrier()
	for _, text := range statements {
		out = pg.AppendQuery(out, text)
		c.expected = append(c.expected, expectedReply{kind: pg.Query})
		c.internalPending++
	}
	c.conn.Write(out)
}

// dropOnReplyTimeout closes the connection unless the member answers the internal queries sent between two requests within DialTimeoutMs.
// Otherwise the connection would stay open without being in use or available in the pool.
func (c *memberConn) dropOnReplyTimeout() {
	c.backend.driver.After(c.backend.options.DialTimeoutMs, func() {
		if c.job == nil && c.internalPending > 0 {
			c.drop()
		}
	})
}

// terminateReserved ends the session that the connection is reserved for, because the member is draining or removed. The session has no
// request in progress.
func (c *memberConn) terminateReserved() {
	client := c.reservedFor
	c.backend.driver.Defer(func() {
		client.Terminate(&pg.Error{Code: pg.AdminShutdown, Text: "the member of this session is going down"})
	})
}

// terminateClient ends the session of the request in progress.
func (c *memberConn) terminateClient(code, text string) {
	if j := c.job; j != nil {
		j.request.Stream.Client.Terminate(&pg.Error{Code: code, Text: text})
	}
}

// endStream detaches a request from the connection, which is then returned to the pool, kept reserved for the session, or closed. If the
// request ended because of an error while internal queries were pending, endStream returns that error.
func (c *memberConn) endStream(j *job, outcome router.Outcome) (statementError *pg.Error) {
	stream := j.request.Stream
	clientSession := stream.Client.Session()
	if outcome == router.ServerError && c.queryError != nil && c.unusable {
		statementError = c.queryError
	}
	if outcome == router.Succeeded && c.position > 0 && c.backend.driver.PositionPossible(c.position) {
		stream.Position = c.position
	}
	if outcome != router.ServerError { // only an error response from the member tells what happened to the request
		defer func() { stream.LastError = nil }()
	}
	if j.memberTurnSince > 0 {
		j.endMemberTurn(c.backend.driver.Now())
	}
	clean := c.reusable()
	c.job, c.queryWritten, c.queryError = nil, false, nil
	if stream.Backend() == c {
		if clean {
			c.settings = clientSession.ServerSettings()
		}
		stream.Detach()
	}
	switch {
	case !clean && outcome == router.Succeeded && clientSession.Sticky(): // a cancel request may still be on its way to the connection
		c.drop()
		stream.Client.Terminate(errKeptConnectionEnded)
	case !clean || outcome != router.Succeeded && clientSession.Sticky():
		c.drop()
	case clientSession.Sticky():
		c.reserve(stream.Client)
	default:
		c.trimPrepared()
		c.returnUnlessPending()
	}
	return statementError
}

// reusable reports whether the next request may use the connection: the member owes no reply, and no transaction is open. Between extended
// query messages and their Sync, a transaction may be open of which no ReadyForQuery has told, or the member may skip all up to the Sync.
func (c *memberConn) reusable() bool {
	if c.unusable || c.unsynced {
		return false
	}
	return c.nothingExpected() && c.internalPending == 0 && c.transactionStatus == session.StatusIdle
}

// reserve keeps the connection reserved for a session between its requests.
func (c *memberConn) reserve(client request.ClientSession) {
	c.reservedFor = client
	client.Reserve(c)
	if c.member.unavailable {
		c.terminateReserved()
	}
}

// returnUnlessPending returns the connection to the pool unless internal queries are still pending.
func (c *memberConn) returnUnlessPending() {
	if c.internalPending == 0 {
		c.returnToPool()
	}
}
