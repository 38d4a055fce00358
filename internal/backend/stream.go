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

// Statements that discard what a session left on a connection. The command tags are the same.
const (
	discardAll    = "DISCARD ALL"
	deallocateAll = "DEALLOCATE ALL"
)

// streamState is what a connection needs to carry requests of several messages: what is prepared and set there, and which replies its
// member still owes, in order. Queries of the router's own, such as settings, are internal: their replies aren't for the client.
type streamState struct {
	settings          session.Settings                                   // what the connection has set
	prepared          *simplelru.LRU[uint64, *session.PreparedStatement] // by hash, from which the name at the member is made
	maxPrepared       int
	expected          []expectedReply
	queued            []session.Message // operations that wait until the internal queries are answered
	internalPending   int               // internal queries that are not answered
	transactionStatus byte
	cancelKey         pg.CancelKey
	unusable          bool // the connection must be closed after this request
	lastBound         *session.PreparedStatement
	replayed          bool                       // the request was replayed already since a prepared plan was invalid
	staleStatement    *session.PreparedStatement // the statement whose plan was invalid, if nothing has run: the request is replayed
	parameters        *iradix.Tree[string]       // what the member has reported
	copyingIn         bool                       // the client sends the data of a COPY
	clientOpsWritten  bool                       // some of the client's operations were written
	reservedFor       request.ClientSession      // the session that the connection is reserved for, between its requests
}

// expectedReply is one reply that the member owes, or the router gives in its place.
type expectedReply struct {
	kind       pg.Kind                    // the message that it replies to
	forClient  bool                       // it is delivered to the client
	localReply []byte                     // the reply itself; the member was not asked
	statement  *session.PreparedStatement // what is prepared, bound or described
	closing    *session.PreparedStatement // what a Close closes
	replyError *pg.Error                  // the reply whatever the member answers
}

func newStreamState(maxPrepared int) *streamState {
	const unlimited = 1 << 30 // it is trimmed between requests
	prepared, err := simplelru.NewLRU[uint64, *session.PreparedStatement](unlimited, nil)
	invariant.Check(err == nil, "a cache can be made")
	return &streamState{
		settings:          session.NoSettings,
		prepared:          prepared,
		maxPrepared:       maxPrepared,
		transactionStatus: session.StatusIdle,
		parameters:        iradix.New[string](),
	}
}

// startStream starts a request on the connection reserved for its session, or has it wait for one.
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

// startStream starts a request on the connection, unless it is withheld: first the session's settings, then the client's operations. It
// reports whether it did.
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
	stream.Client.ServerParameters(c.parameters)
	clientSession := stream.Client.Session()
	clientSession.AttachConnection(c.settings)
	var out []byte
	for _, text := range clientSession.SettingsStatements() {
		out = pg.AppendQuery(out, text)
		c.expected = append(c.expected, expectedReply{kind: pg.Query})
		c.internalPending++
	}
	if len(out) > 0 {
		c.conn.Write(out)
	} else {
		clientSession.SettingsApplied(true)
	}
	stream.Attach(c)
	return true
}

// setTurn records whether the stream waits for the member, or for its client.
func (c *memberConn) setTurn(j *job, membersTurn bool) {
	now := c.backend.driver.Now()
	if membersTurn && j.memberTurnSince == 0 {
		j.memberTurnSince = now
		c.backend.poolInput().SetTurn(c.id, false)
	} else if !membersTurn && j.memberTurnSince > 0 {
		j.endMemberTurn(now)
		c.backend.poolInput().SetTurn(c.id, c.transactionStatus != session.StatusIdle)
	}
	c.backend.driver.Defer(func() {
		if c.job == j && !j.ended && (j.memberTurnSince > 0) == membersTurn {
			c.backend.driver.TurnChanged(j.request, j.attempt, !membersTurn)
		}
	})
}

// nothingExpected reports whether the member owes no reply.
func (c *memberConn) nothingExpected() bool { return len(c.expected) == 0 && len(c.queued) == 0 }

// Member implements request.BackendConn.
func (c *memberConn) Member() string { return c.member.id }

// Cancel implements request.BackendConn: it has the member stop what runs. The connection is not used again, so that the cancel request
// can't reach the next client's statement, however late it comes.
func (c *memberConn) Cancel() {
	if c.job == nil || c.nothingExpected() || c.unusable {
		return
	}
	c.job.request.Stream.MarkCancelled()
	if c.internalPending > 0 { // nothing of the client's has run
		c.unusable = true
		c.queryError = &pg.Error{Code: pg.QueryCanceled, Text: "canceling statement due to user request"}
	}
	if c.cancelKey == (pg.CancelKey{}) { // the member has sent no cancel key
		return
	}
	c.unusable = true
	now := c.backend.driver.Now()
	key := c.cancelKey
	j := &job{cancelKey: &key, member: c.member, started: now, deadline: now + c.backend.limits.DialTimeoutMs, notAfter: math.Inf(1)}
	j.timer = c.backend.driver.After(j.deadline-now, func() { c.backend.endJob(j, router.TimedOut) })
	c.backend.requestConn(j)
	c.backend.carryOutDecisions()
}

// Release implements request.BackendConn: the session that the connection was reserved for gives it back. What the session left there is
// discarded.
func (c *memberConn) Release() {
	c.reservedFor = nil
	if c.job != nil || c.backend.conns[c.id] != c {
		return
	}
	c.settings = session.NoSettings
	c.expected = append(c.expected, expectedReply{kind: pg.Query})
	c.internalPending++
	c.conn.Write(pg.AppendQuery(nil, discardAll))
	c.dropOnReplyTimeout()
}

// dropOnReplyTimeout closes the connection unless the member answers in time what is sent between two requests. It guards against a
// connection that is kept for nobody.
func (c *memberConn) dropOnReplyTimeout() {
	c.backend.driver.After(c.backend.limits.DialTimeoutMs, func() {
		if c.job == nil && c.internalPending > 0 {
			c.drop()
		}
	})
}

// terminateReserved ends a session whose reserved connection leads to a member that is draining or removed. The session has no request
// in progress.
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

// endStream takes a request off the connection, which goes on to the next request, stays reserved for the session, or is closed. It
// returns the member's error, if that ended the request.
func (c *memberConn) endStream(j *job, outcome router.Outcome) (statementError *pg.Error) {
	stream := j.request.Stream
	clientSession := stream.Client.Session()
	if outcome == router.ServerError && c.queryError != nil && c.unusable {
		statementError = c.queryError
	}
	if outcome == router.Succeeded && c.position > 0 && c.backend.driver.Possible(c.position) {
		stream.Position = c.position
	}
	if outcome != router.ServerError { // only an error that the member answered says what became of the request
		defer func() { stream.LastError = nil }()
	}
	if j.memberTurnSince > 0 {
		j.endMemberTurn(c.backend.driver.Now())
	}
	clean := c.nothingExpected() && c.internalPending == 0 && c.transactionStatus == session.StatusIdle && !c.unusable
	c.job, c.queryWritten, c.queryError = nil, false, nil
	if stream.Backend() == c {
		if clean {
			c.settings = clientSession.ServerSettings()
		}
		stream.Detach()
	}
	switch {
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

// reserve keeps the connection for a session between its requests.
func (c *memberConn) reserve(client request.ClientSession) {
	c.reservedFor = client
	client.Reserve(c)
	if c.member.unavailable {
		c.terminateReserved()
	}
}

// returnUnlessPending gives the connection back to the pool once no internal query is pending.
func (c *memberConn) returnUnlessPending() {
	if c.internalPending == 0 {
		c.returnToPool()
	}
}
