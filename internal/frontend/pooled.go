package frontend

import (
	"cmp"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"hash/fnv"
	"strconv"

	iradix "github.com/hashicorp/go-immutable-radix/v2"

	decide "wayloft/internal/decide/session"
	"wayloft/internal/eventloop"
	"wayloft/internal/pg"
	"wayloft/internal/request"
)

// Pool is what clients of a user and database share.
type Pool struct {
	Name, User, Database string // User "": any
	StatementMode        bool   // the platform's form: one statement with a comment, one request
	Policy               decide.Policy
	Group                int
	DefaultClass         string // request class of what neither a label nor a setting nor the policy tells
	KnownParameters      func() *iradix.Tree[string]
}

// Pooling is all that pools need; without it each client has the platform's form.
type Pooling struct {
	Pools             []*Pool
	Seed              uint64
	IdempotentClasses map[string]bool // request classes that may run again
	PrimaryClasses    map[string]bool // request classes that change something
}

// SetPooling gives clients pools; it is called before the first comes.
func (a *Frontend) SetPooling(p *Pooling) { a.pooling = p }

// find gives the pool of a client that comes in: one for its user first.
func (p *Pooling) find(user, database string) *Pool {
	for _, name := range []string{user, ""} {
		for _, one := range p.Pools {
			if one.User == name && one.Database == database {
				return one
			}
		}
	}
	return nil
}

// usesStatementMode tells whether a client that comes in has the platform's form.
func (a *Frontend) usesStatementMode(m pg.Message) bool {
	user := m.Startup.Get("user")
	p := a.pooling.find(user, cmp.Or(m.Startup.Get("database"), user))
	return p != nil && p.StatementMode
}

// pooledSession is a session whose requests are transactions: what its client says, in order, up to where it must wait.
type pooledSession struct {
	session            *session
	pool               *Pool
	decisions          *decide.Session
	cancelKey          pg.CancelKey
	reportedParameters *iradix.Tree[string] // what the client knows of its server
	request            *request.Request
	reserved           request.BackendConn // the connection that stays with the session

	unitMessages  []decide.Message // of the unit that is not whole yet
	queue         []queuedMessage  // what came while one is on its way
	queuedBytes   int              // bytes of both
	inFlightBytes int              // bytes of the unit on its way, which may have to be said again
	asked         bool             // a whole unit is on its way, its readiness has not come
	open          bool             // a part of one is, after a flush
	skips         bool             // all up to Sync is passed over
	copying       bool             // the member takes what is copied in
	pendingError  *pg.Error        // why a transaction ended while its client said nothing
	over          bool
}

// defaultParameterValues are what a client is told before any member has told more.
var defaultParameterValues = [][2]string{{"server_version", "16.0"}, {"server_encoding", "UTF8"}, {"client_encoding", "UTF8"},
	{"standard_conforming_strings", "on"}, {"integer_datetimes", "on"}, {"DateStyle", "ISO, MDY"}, {"TimeZone", "UTC"}}

// startPooled lets a client in to its pool.
func (s *session) startPooled(m pg.Message) {
	user := m.Startup.Get("user")
	pool := s.frontend.pooling.find(user, cmp.Or(m.Startup.Get("database"), user))
	if pool == nil {
		s.frontend.ProtocolErrors++
		s.finishWithError(&pg.Error{Code: pg.InvalidCatalogName, Text: "no pool for this user and database"})
		return
	}
	base, fail := decide.StartupSettings(m.Startup)
	if fail != nil {
		s.frontend.ProtocolErrors++
		s.finishWithError(fail)
		return
	}
	p := &pooledSession{session: s, pool: pool, decisions: decide.New(pool.Policy, base), reportedParameters: pool.KnownParameters()}
	s.pooled, s.sentQuery = p, true
	s.reader.EnableExtended()
	for p.cancelKey == (pg.CancelKey{}) || s.frontend.cancelKeys[p.cancelKey] != nil {
		var b [8]byte
		rand.Read(b[:])
		p.cancelKey = pg.CancelKey{Process: binary.BigEndian.Uint32(b[:]) >> 1, Secret: binary.BigEndian.Uint32(b[4:])}
	}
	s.frontend.cancelKeys[p.cancelKey] = p
	var out []byte
	if m.MinorVersion > 0 {
		out = pg.AppendNegotiateProtocolVersion(out)
	}
	if p.reportedParameters.Len() == 0 {
		p.reportedParameters = defaultParameters
	}
	out = pg.AppendAuthenticationOK(out)
	p.reportedParameters.Root().Walk(func(k []byte, v string) bool {
		if own, set := base.Get(lower(string(k))); set {
			v = pg.Unquote(own)
		}
		out = pg.AppendParameterStatus(out, string(k), v)
		return false
	})
	s.conn.Write(pg.AppendReadyIdle(pg.AppendBackendKeyData(out, p.cancelKey)))
}

func lower(s string) string {
	b := []byte(s)
	for n, c := range b {
		if c >= 'A' && c <= 'Z' {
			b[n] = c + 'a' - 'A'
		}
	}
	return string(b)
}

// cancel stops what runs for the client that has this key, if anything does. It is never told whether.
func (a *Frontend) cancel(k pg.CancelKey) {
	p := a.cancelKeys[k]
	if p == nil || p.request == nil {
		return
	}
	if c := p.request.Stream.Backend(); c != nil {
		c.Cancel()
		return
	}
	t := p.request // it waits, and nothing has run
	p.request, p.reserved = nil, t.Stream.Reserved
	a.driver.ClientGone(t)
	t.Stream.ClientGone()
	p.decisions.ConnectionLost(false)
	p.failUnit(&pg.Error{Code: pg.QueryCanceled, Text: "canceling statement due to user request"})
	a.driver.Defer(p.processQueue)
}

// receive takes one message of the client's.
func (p *pooledSession) receive(m pg.Message) {
	switch {
	case p.over:
	case p.asked && p.copying && isCopy(m.Kind):
		p.forwardCopy(m)
	case p.asked || len(p.queue) > 0 || p.session.conn.Unsent() >= maxUnreadBytes:
		m.Raw = append([]byte(nil), m.Raw...)
		m.Tail = tail(m)
		p.queue = append(p.queue, queuedMessage{Message: m, arrived: p.session.frontend.driver.Now()})
		p.addQueuedBytes(len(m.Raw))
	default:
		p.handle(m, p.session.frontend.driver.Now())
	}
}

// tail finds the part of a message again in its copy.
func tail(m pg.Message) []byte { return m.Raw[len(m.Raw)-len(m.Tail):] }

func isCopy(k pg.Kind) bool { return k == pg.CopyData || k == pg.CopyDone || k == pg.CopyFail }

// addQueuedBytes counts what the client has sent ahead. Guards against pipelines without end.
func (p *pooledSession) addQueuedBytes(n int) {
	p.queuedBytes += n
	p.session.addHeldBytes(n)
	if p.queuedBytes > p.session.frontend.maxMessageBytes || p.session.frontend.overBudget(p.queuedBytes) {
		p.session.endBehindQueue()
	}
}

func (p *pooledSession) releaseQueuedBytes() {
	p.session.addHeldBytes(-p.queuedBytes)
	p.queuedBytes = 0
}

func (p *pooledSession) forwardCopy(m pg.Message) {
	ops, _ := p.decisions.Extended(m)
	p.request.Stream.Send(ops)
}

// processQueue goes on with what came while a unit was on its way. What has come whole is answered also where the session ends behind it.
func (p *pooledSession) processQueue() {
	for !p.over && !p.session.ends && len(p.queue) > 0 && (!p.asked || p.copying && isCopy(p.queue[0].Kind)) && p.session.conn.Unsent() < maxUnreadBytes {
		m := p.queue[0]
		p.queue = p.queue[1:]
		p.queuedBytes -= len(m.Raw)
		p.session.addHeldBytes(-len(m.Raw))
		if p.asked {
			p.forwardCopy(m.Message)
		} else {
			p.handle(m.Message, m.arrived)
		}
	}
	if len(p.queue) == 0 {
		p.queue = nil
	}
	if p.over || p.session.ends {
		return
	}
	if len(p.session.queue) > 0 { // the error that ends the session
		if len(p.queue) == 0 && (!p.asked || p.copying) {
			p.session.respond(p.session.queue[0])
		}
		return
	}
	if p.idle() {
		if p.session.idleSince = p.session.frontend.driver.Now(); p.session.frontend.leaving && p.session.idle() {
			p.session.endForShutdown()
			return
		}
		p.session.reader.Shrink()
	}
}

// busy tells that an answer is owed; quiet, that nothing at all is on its way.
func (p *pooledSession) busy() bool { return p.asked || p.open || p.request != nil }
func (p *pooledSession) idle() bool {
	return !p.busy() && len(p.queue) == 0 && len(p.unitMessages) == 0
}

// awaitsInput tells that the rest of a message or of a unit has not come, and nothing is owed before.
func (p *pooledSession) awaitsInput() bool {
	if len(p.queue) > 0 || p.asked && !p.copying {
		return false
	}
	return p.session.reader.Buffered() > 0 || len(p.unitMessages) > 0
}

// handle takes one message, which came at that time, while nothing whole is on its way.
func (p *pooledSession) handle(m pg.Message, at float64) {
	switch {
	case m.Kind == pg.Terminate:
		p.end()
		p.session.finish()
	case m.Kind == pg.Sync && p.skips:
		if p.skips = false; p.open {
			p.dispatch([]decide.Message{{Kind: pg.Sync, Raw: pg.AppendSync(nil)}}, true, at)
			return
		}
		p.session.conn.Write(pg.AppendReadyForQuery(nil, p.decisions.TransactionStatus()))
	case p.skips || isCopy(m.Kind):
	case m.Kind == pg.Query:
		if p.deliverPendingError() {
			p.session.conn.Write(pg.AppendReadyForQuery(nil, p.decisions.TransactionStatus()))
			return
		}
		answer, ops := p.decisions.Query(m.Text, append([]byte(nil), m.Raw...), p.request != nil)
		if answer != nil {
			p.session.conn.Write(answer)
			return
		}
		p.dispatch(ops, true, at)
	case m.Kind == pg.FunctionCall:
		p.session.conn.Write(pg.AppendReadyForQuery(pg.AppendError(nil, &pg.Error{Code: pg.FeatureNotSupported, Text: "function calls do not go through a router"},
			false), p.decisions.TransactionStatus()))
	default:
		ops, _ := p.decisions.Extended(m)
		p.unitMessages = append(p.unitMessages, ops...)
		if p.addQueuedBytes(len(m.Raw)); p.session.deaf {
			return
		}
		if m.Kind == pg.Sync || m.Kind == pg.Flush {
			ops := p.unitMessages
			p.unitMessages = nil
			p.releaseQueuedBytes()
			p.dispatch(ops, m.Kind == pg.Sync, at)
		}
	}
}

// deliverPendingError tells the client why its transaction ended while it said nothing, in place of its next answer.
func (p *pooledSession) deliverPendingError() bool {
	if p.pendingError == nil || p.request != nil {
		return false
	}
	p.session.conn.Write(pg.AppendError(nil, p.pendingError, false))
	p.pendingError = nil
	return true
}

// dispatch sends a unit, or the part of one that a flush ends; its last byte came at that time.
func (p *pooledSession) dispatch(ops []decide.Message, whole bool, at float64) {
	if p.request == nil {
		switch answer, here := p.decisions.LocalReply(ops); {
		case here:
			p.session.conn.Write(answer)
			return
		case p.deliverPendingError():
			p.decisions.ConnectionLost(false)
			if p.skips = !whole; whole {
				p.session.conn.Write(pg.AppendReadyForQuery(nil, p.decisions.TransactionStatus()))
			}
			return
		case p.decisions.TransactionStatus() == 'E':
			p.session.conn.Write(p.decisions.FailedTransactionReply(ops))
			return
		}
		p.asked, p.open = whole, !whole
		p.startRequest(append(p.decisions.FlushDeferredBegin(), ops...), at)
		return
	}
	p.asked, p.open = whole, !whole
	p.addInFlightBytes(ops)
	p.request.Stream.Send(ops)
}

// addInFlightBytes counts what is on its way, and answered what no longer is. Guards against many that wait with much.
func (p *pooledSession) addInFlightBytes(ops []decide.Message) {
	n := 0
	for _, op := range ops {
		n += len(op.Raw)
	}
	p.inFlightBytes += n
	p.session.addHeldBytes(n)
}

func (p *pooledSession) unitDone() {
	p.session.addHeldBytes(-p.inFlightBytes)
	p.inFlightBytes = 0
	p.asked, p.open, p.copying = false, false, false
}

// startRequest hands a request over that begins with these, which came at that time.
func (p *pooledSession) startRequest(ops []decide.Message, at float64) {
	a := p.session.frontend
	if p.addInFlightBytes(ops); a.heldBytes > a.maxHeldBytes {
		a.Rejected++
		p.decisions.ConnectionLost(false)
		p.failUnit(errOverBudget)
		return
	}
	label, txnType, tenant, none := p.decisions.RequestClass()
	if none {
		txnType = p.pool.DefaultClass
	}
	if p.pool.Policy.SeededDefects.ForgetLastCommitPosition {
		p.decisions.LastCommitPosition = 0
	}
	st := &pg.Statement{ID: a.nextID(), RequestClass: txnType, Tenant: tenant, WaitMs: noWaitLimitMs, Group: p.pool.Group,
		Position: min(p.decisions.LastCommitPosition, a.driver.ClusterNow()+eventloop.MaxPositionAhead)} // it may have been dated by an estimate that has fallen since
	if w, err := strconv.ParseFloat(p.decisions.RouterSetting("wait"), 64); err == nil && w > 0 {
		st.WaitMs = w
	}
	if g, err := strconv.Atoi(p.decisions.RouterSetting("group")); err == nil {
		st.Group = g
	}
	if label != nil {
		st.ID, st.WaitMs, st.Group, st.IdempotencyKey, st.IsRetry = label.ID, label.WaitMs, label.Group, label.IdempotencyKey, label.IsRetry
		st.Position = max(st.Position, label.Position)
	}
	t := request.New(st, at, p.deliver)
	t.ClientClosed = p.session.conn.PeerClosed
	a.limitWait(t)
	t.Stream = &request.Stream{Pool: p.pool.Name, Client: p, Reserved: p.reserved}
	t.Stream.Send(ops)
	p.request, p.reserved = t, nil // it comes back by Keep
	if err := a.driver.Arrive(t); err != nil {
		p.request, p.reserved = nil, t.Stream.Reserved
		p.decisions.ConnectionLost(false)
		code := pg.InvalidParameterValue
		if errors.Is(err, eventloop.ErrDuplicateID) {
			code = pg.DuplicateObject
		}
		a.ProtocolErrors++
		p.failUnit(&pg.Error{Code: code, Text: err.Error()})
	}
}

const noWaitLimitMs = 1e12 // ms: as long as the request class lets it

// nextID makes the id of a request that has none of its client's.
func (a *Frontend) nextID() string {
	a.generatedIDs++
	h := fnv.New64a()
	h.Write(binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(nil, a.pooling.Seed), a.generatedIDs))
	return "w" + strconv.FormatUint(h.Sum64(), 36) + "-" + strconv.FormatUint(a.generatedIDs, 36)
}

// Session, Hear, Parameters, Keep and Ended make it the caller of its talks.
func (p *pooledSession) Session() *decide.Session { return p.decisions }

func (p *pooledSession) DeliverMessages(ms []pg.Message) {
	var out []byte
	for n := range ms {
		m := &ms[n]
		p.decisions.ServerMessage(m)
		out = append(out, m.Raw...)
		switch m.Kind {
		case pg.CopyInResponse:
			p.copying = true
			p.session.frontend.driver.Defer(p.processQueue)
		case pg.ErrorResponse:
			p.copying = false
			p.skips = p.skips || p.open
		case pg.CommandComplete:
			p.copying = false
		case pg.ReadyForQuery:
			p.unitDone()
			p.session.frontend.driver.Defer(p.processQueue)
		}
	}
	p.session.conn.Write(out)
}

func (p *pooledSession) ServerParameters(of *iradix.Tree[string]) {
	if of == p.reportedParameters || p.over {
		return
	}
	var out []byte
	of.Root().Walk(func(k []byte, v string) bool {
		if had, known := p.reportedParameters.Get(k); !known || had != v {
			out = pg.AppendParameterStatus(out, string(k), v)
		}
		return false
	})
	if p.reportedParameters = of; out != nil {
		p.session.conn.Write(out)
	}
}

func (p *pooledSession) Reserve(c request.BackendConn) {
	if p.reserved = c; p.over {
		p.reserved = nil
		p.session.frontend.driver.Defer(c.Release)
	}
}

func (p *pooledSession) Terminate(e *pg.Error) {
	if !p.over {
		p.session.finishWithError(e)
	}
}

// deliver takes the final answer of a request. What a member committed, the client has heard already.
func (p *pooledSession) deliver(a request.Response) {
	t := p.request
	if t == nil {
		return
	}
	p.request = nil
	defer p.session.frontend.driver.Defer(p.processQueue)
	if a.Rows != nil {
		if p.session.frontend.pooling.PrimaryClasses[t.RequestClass] {
			p.decisions.LastCommitPosition = max(p.decisions.LastCommitPosition, cmp.Or(t.Stream.Position, p.session.frontend.driver.ClusterNow()))
		}
		return
	}
	kept, started, fault := t.Stream.Reserved, t.Stream.Started(), t.Stream.LastError
	may := p.decisions.ConnectionLost(!a.Rejected && a.StatementError == nil)
	var e *pg.Error
	switch {
	case a.StatementError != nil:
		e = a.StatementError
	case a.Rejected:
		e = &pg.Error{Code: pg.TooManyConnections, Text: "declined, a retry does no harm"}
		if a.RetryAfter > 0 {
			e.Detail = strconv.Itoa(int(a.RetryAfter))
		}
	case fault != nil:
		e = fault
	case may && !p.session.frontend.pooling.IdempotentClasses[t.RequestClass]:
		e = &pg.Error{Code: pg.TransactionResolutionUnknown, Text: "rolled back, it may have taken effect"}
	case p.session.frontend.pooling.IdempotentClasses[t.RequestClass]:
		e = &pg.Error{Code: pg.SerializationFailure, Text: "the connection was lost before the commit: the transaction may run again"}
	default:
		e = &pg.Error{Code: pg.ConnectionFailure, Text: "the connection was lost before the commit: nothing took effect"}
	}
	if kept != nil && (started || !a.Rejected) { // what it kept there is gone
		p.Terminate(&pg.Error{Code: pg.AdminShutdown, Text: e.Text + "; the connection that this session kept has ended"})
		return
	}
	p.reserved = kept // it was rejected, and stays where it was
	p.failUnit(e)
}

// failUnit ends the unit on its way with an error; a client that waits for nothing hears of it when it asks next.
func (p *pooledSession) failUnit(e *pg.Error) {
	switch {
	case p.asked:
		p.session.conn.Write(pg.AppendReadyForQuery(pg.AppendError(nil, e, false), p.decisions.TransactionStatus()))
	case p.open:
		p.skips = true
		p.session.conn.Write(pg.AppendError(nil, e, false))
	default:
		p.pendingError = e
	}
	p.unitDone()
}

// end ends all that the session has open: its request, its connection, its key.
func (p *pooledSession) end() {
	if p.over {
		return
	}
	p.over = true
	delete(p.session.frontend.cancelKeys, p.cancelKey)
	if t := p.request; t != nil {
		p.request = nil
		p.session.frontend.driver.ClientGone(t)
		t.Stream.ClientGone()
		if c := t.Stream.Reserved; c != nil { // it may never have got there
			p.session.frontend.driver.Defer(c.Release)
		}
	}
	if c := p.reserved; c != nil {
		p.reserved = nil
		p.session.frontend.driver.Defer(c.Release)
	}
	p.queue, p.unitMessages = nil, nil
	p.releaseQueuedBytes()
	p.unitDone()
}
