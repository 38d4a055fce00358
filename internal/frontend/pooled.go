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

// platform tells whether a client that comes in has the platform's form.
func (a *Frontend) platform(m pg.Message) bool {
	user := m.Startup.Get("user")
	p := a.pooling.find(user, cmp.Or(m.Startup.Get("database"), user))
	return p != nil && p.StatementMode
}

// pooled is a session whose requests are transactions: what its client says, in order, up to where it must wait.
type pooled struct {
	s    *session
	pool *Pool
	d    *decide.Session
	key  pg.CancelKey
	told *iradix.Tree[string] // what the client knows of its server
	txn  *request.Request
	held request.BackendConn // the connection that stays with the session

	ops     []decide.Message // of the unit that is not whole yet
	queue   []item           // what came while one is on its way
	size    int              // bytes of both
	said    int              // bytes of the unit on its way, which may have to be said again
	asked   bool             // a whole unit is on its way, its readiness has not come
	open    bool             // a part of one is, after a flush
	skips   bool             // all up to Sync is passed over
	copying bool             // the member takes what is copied in
	lost    *pg.Error        // why a transaction ended while its client said nothing
	over    bool
}

// defaults are what a client is told before any member has told more.
var defaults = [][2]string{{"server_version", "16.0"}, {"server_encoding", "UTF8"}, {"client_encoding", "UTF8"},
	{"standard_conforming_strings", "on"}, {"integer_datetimes", "on"}, {"DateStyle", "ISO, MDY"}, {"TimeZone", "UTC"}}

// enter lets a client in to its pool.
func (s *session) enter(m pg.Message) {
	user := m.Startup.Get("user")
	pool := s.all.pooling.find(user, cmp.Or(m.Startup.Get("database"), user))
	if pool == nil {
		s.all.ProtocolErrors++
		s.refuse(&pg.Error{Code: pg.InvalidCatalogName, Text: "no pool for this user and database"})
		return
	}
	base, fail := decide.StartupSettings(m.Startup)
	if fail != nil {
		s.all.ProtocolErrors++
		s.refuse(fail)
		return
	}
	p := &pooled{s: s, pool: pool, d: decide.New(pool.Policy, base), told: pool.KnownParameters()}
	s.p, s.asked = p, true
	s.in.EnableExtended()
	for p.key == (pg.CancelKey{}) || s.all.keys[p.key] != nil {
		var b [8]byte
		rand.Read(b[:])
		p.key = pg.CancelKey{Process: binary.BigEndian.Uint32(b[:]) >> 1, Secret: binary.BigEndian.Uint32(b[4:])}
	}
	s.all.keys[p.key] = p
	var out []byte
	if m.MinorVersion > 0 {
		out = pg.AppendNegotiateProtocolVersion(out)
	}
	if p.told.Len() == 0 {
		p.told = unheard
	}
	out = pg.AppendAuthenticationOK(out)
	p.told.Root().Walk(func(k []byte, v string) bool {
		if own, set := base.Get(lower(string(k))); set {
			v = pg.Unquote(own)
		}
		out = pg.AppendParameterStatus(out, string(k), v)
		return false
	})
	s.conn.Write(pg.AppendReadyIdle(pg.AppendBackendKeyData(out, p.key)))
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
	p := a.keys[k]
	if p == nil || p.txn == nil {
		return
	}
	if c := p.txn.Stream.Backend(); c != nil {
		c.Cancel()
		return
	}
	t := p.txn // it waits, and nothing has run
	p.txn, p.held = nil, t.Stream.Reserved
	a.host.ClientGone(t)
	t.Stream.ClientGone()
	p.d.ConnectionLost(false)
	p.fail(&pg.Error{Code: pg.QueryCanceled, Text: "canceling statement due to user request"})
	a.host.Defer(p.next)
}

// take takes one message of the client's.
func (p *pooled) take(m pg.Message) {
	switch {
	case p.over:
	case p.asked && p.copying && isCopy(m.Kind):
		p.copy(m)
	case p.asked || len(p.queue) > 0 || p.s.conn.Unsent() >= unread:
		m.Raw = append([]byte(nil), m.Raw...)
		m.Tail = tail(m)
		p.queue = append(p.queue, item{Message: m, at: p.s.all.host.Now()})
		p.grow(len(m.Raw))
	default:
		p.handle(m, p.s.all.host.Now())
	}
}

// tail finds the part of a message again in its copy.
func tail(m pg.Message) []byte { return m.Raw[len(m.Raw)-len(m.Tail):] }

func isCopy(k pg.Kind) bool { return k == pg.CopyData || k == pg.CopyDone || k == pg.CopyFail }

// grow counts what the client has sent ahead. Guards against pipelines without end.
func (p *pooled) grow(n int) {
	p.size += n
	p.s.hold(n)
	if p.size > p.s.all.longest || p.s.all.overfull(p.size) {
		p.s.overrun()
	}
}

func (p *pooled) shrink() {
	p.s.hold(-p.size)
	p.size = 0
}

func (p *pooled) copy(m pg.Message) {
	ops, _ := p.d.Extended(m)
	p.txn.Stream.Send(ops)
}

// next goes on with what came while a unit was on its way. What has come whole is answered also where the session ends behind it.
func (p *pooled) next() {
	for !p.over && !p.s.ends && len(p.queue) > 0 && (!p.asked || p.copying && isCopy(p.queue[0].Kind)) && p.s.conn.Unsent() < unread {
		m := p.queue[0]
		p.queue = p.queue[1:]
		p.size -= len(m.Raw)
		p.s.hold(-len(m.Raw))
		if p.asked {
			p.copy(m.Message)
		} else {
			p.handle(m.Message, m.at)
		}
	}
	if len(p.queue) == 0 {
		p.queue = nil
	}
	if p.over || p.s.ends {
		return
	}
	if len(p.s.queue) > 0 { // the error that ends the session
		if len(p.queue) == 0 && (!p.asked || p.copying) {
			p.s.answer(p.s.queue[0])
		}
		return
	}
	if p.quiet() {
		if p.s.since = p.s.all.host.Now(); p.s.all.leaving && p.s.quiet() {
			p.s.leave()
			return
		}
		p.s.in.Shrink()
	}
}

// busy tells that an answer is owed; quiet, that nothing at all is on its way.
func (p *pooled) busy() bool  { return p.asked || p.open || p.txn != nil }
func (p *pooled) quiet() bool { return !p.busy() && len(p.queue) == 0 && len(p.ops) == 0 }

// unfinished tells that the rest of a message or of a unit has not come, and nothing is owed before.
func (p *pooled) unfinished() bool {
	if len(p.queue) > 0 || p.asked && !p.copying {
		return false
	}
	return p.s.in.Buffered() > 0 || len(p.ops) > 0
}

// handle takes one message, which came at that time, while nothing whole is on its way.
func (p *pooled) handle(m pg.Message, at float64) {
	switch {
	case m.Kind == pg.Terminate:
		p.leave()
		p.s.finish()
	case m.Kind == pg.Sync && p.skips:
		if p.skips = false; p.open {
			p.dispatch([]decide.Message{{Kind: pg.Sync, Raw: pg.AppendSync(nil)}}, true, at)
			return
		}
		p.s.conn.Write(pg.AppendReadyForQuery(nil, p.d.TransactionStatus()))
	case p.skips || isCopy(m.Kind):
	case m.Kind == pg.Query:
		if p.lostFirst() {
			p.s.conn.Write(pg.AppendReadyForQuery(nil, p.d.TransactionStatus()))
			return
		}
		answer, ops := p.d.Query(m.Text, append([]byte(nil), m.Raw...), p.txn != nil)
		if answer != nil {
			p.s.conn.Write(answer)
			return
		}
		p.dispatch(ops, true, at)
	case m.Kind == pg.FunctionCall:
		p.s.conn.Write(pg.AppendReadyForQuery(pg.AppendError(nil, &pg.Error{Code: pg.FeatureNotSupported, Text: "function calls do not go through a router"},
			false), p.d.TransactionStatus()))
	default:
		ops, _ := p.d.Extended(m)
		p.ops = append(p.ops, ops...)
		if p.grow(len(m.Raw)); p.s.deaf {
			return
		}
		if m.Kind == pg.Sync || m.Kind == pg.Flush {
			ops := p.ops
			p.ops = nil
			p.shrink()
			p.dispatch(ops, m.Kind == pg.Sync, at)
		}
	}
}

// lostFirst tells the client why its transaction ended while it said nothing, in place of its next answer.
func (p *pooled) lostFirst() bool {
	if p.lost == nil || p.txn != nil {
		return false
	}
	p.s.conn.Write(pg.AppendError(nil, p.lost, false))
	p.lost = nil
	return true
}

// dispatch sends a unit, or the part of one that a flush ends; its last byte came at that time.
func (p *pooled) dispatch(ops []decide.Message, whole bool, at float64) {
	if p.txn == nil {
		switch answer, here := p.d.LocalReply(ops); {
		case here:
			p.s.conn.Write(answer)
			return
		case p.lostFirst():
			p.d.ConnectionLost(false)
			if p.skips = !whole; whole {
				p.s.conn.Write(pg.AppendReadyForQuery(nil, p.d.TransactionStatus()))
			}
			return
		case p.d.TransactionStatus() == 'E':
			p.s.conn.Write(p.d.FailedTransactionReply(ops))
			return
		}
		p.asked, p.open = whole, !whole
		p.arrive(append(p.d.FlushDeferredBegin(), ops...), at)
		return
	}
	p.asked, p.open = whole, !whole
	p.saying(ops)
	p.txn.Stream.Send(ops)
}

// saying counts what is on its way, and answered what no longer is. Guards against many that wait with much.
func (p *pooled) saying(ops []decide.Message) {
	n := 0
	for _, op := range ops {
		n += len(op.Raw)
	}
	p.said += n
	p.s.hold(n)
}

func (p *pooled) answered() {
	p.s.hold(-p.said)
	p.said = 0
	p.asked, p.open, p.copying = false, false, false
}

// arrive hands a request over that begins with these, which came at that time.
func (p *pooled) arrive(ops []decide.Message, at float64) {
	a := p.s.all
	if p.saying(ops); a.held > a.budget {
		a.Rejected++
		p.d.ConnectionLost(false)
		p.fail(crowded)
		return
	}
	label, txnType, tenant, none := p.d.RequestClass()
	if none {
		txnType = p.pool.DefaultClass
	}
	if p.pool.Policy.SeededDefects.ForgetLastCommitPosition {
		p.d.LastCommitPosition = 0
	}
	st := &pg.Statement{ID: a.nextID(), RequestClass: txnType, Tenant: tenant, WaitMs: mostWait, Group: p.pool.Group,
		Position: min(p.d.LastCommitPosition, a.host.ClusterNow()+eventloop.MaxPositionAhead)} // it may have been dated by an estimate that has fallen since
	if w, err := strconv.ParseFloat(p.d.RouterSetting("wait"), 64); err == nil && w > 0 {
		st.WaitMs = w
	}
	if g, err := strconv.Atoi(p.d.RouterSetting("group")); err == nil {
		st.Group = g
	}
	if label != nil {
		st.ID, st.WaitMs, st.Group, st.IdempotencyKey, st.IsRetry = label.ID, label.WaitMs, label.Group, label.IdempotencyKey, label.IsRetry
		st.Position = max(st.Position, label.Position)
	}
	t := request.New(st, at, p.deliver)
	t.ClientClosed = p.s.conn.PeerClosed
	a.limitWait(t)
	t.Stream = &request.Stream{Pool: p.pool.Name, Client: p, Reserved: p.held}
	t.Stream.Send(ops)
	p.txn, p.held = t, nil // it comes back by Keep
	if err := a.host.Arrive(t); err != nil {
		p.txn, p.held = nil, t.Stream.Reserved
		p.d.ConnectionLost(false)
		code := pg.InvalidParameterValue
		if errors.Is(err, eventloop.ErrDuplicateID) {
			code = pg.DuplicateObject
		}
		a.ProtocolErrors++
		p.fail(&pg.Error{Code: code, Text: err.Error()})
	}
}

const mostWait = 1e12 // ms: as long as the request class lets it

// nextID makes the id of a request that has none of its client's.
func (a *Frontend) nextID() string {
	a.ids++
	h := fnv.New64a()
	h.Write(binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(nil, a.pooling.Seed), a.ids))
	return "w" + strconv.FormatUint(h.Sum64(), 36) + "-" + strconv.FormatUint(a.ids, 36)
}

// Session, Hear, Parameters, Keep and Ended make it the caller of its talks.
func (p *pooled) Session() *decide.Session { return p.d }

func (p *pooled) DeliverMessages(ms []pg.Message) {
	var out []byte
	for n := range ms {
		m := &ms[n]
		p.d.ServerMessage(m)
		out = append(out, m.Raw...)
		switch m.Kind {
		case pg.CopyInResponse:
			p.copying = true
			p.s.all.host.Defer(p.next)
		case pg.ErrorResponse:
			p.copying = false
			p.skips = p.skips || p.open
		case pg.CommandComplete:
			p.copying = false
		case pg.ReadyForQuery:
			p.answered()
			p.s.all.host.Defer(p.next)
		}
	}
	p.s.conn.Write(out)
}

func (p *pooled) ServerParameters(of *iradix.Tree[string]) {
	if of == p.told || p.over {
		return
	}
	var out []byte
	of.Root().Walk(func(k []byte, v string) bool {
		if had, known := p.told.Get(k); !known || had != v {
			out = pg.AppendParameterStatus(out, string(k), v)
		}
		return false
	})
	if p.told = of; out != nil {
		p.s.conn.Write(out)
	}
}

func (p *pooled) Reserve(c request.BackendConn) {
	if p.held = c; p.over {
		p.held = nil
		p.s.all.host.Defer(c.Release)
	}
}

func (p *pooled) Terminate(e *pg.Error) {
	if !p.over {
		p.s.refuse(e)
	}
}

// deliver takes the final answer of a request. What a member committed, the client has heard already.
func (p *pooled) deliver(a request.Response) {
	t := p.txn
	if t == nil {
		return
	}
	p.txn = nil
	defer p.s.all.host.Defer(p.next)
	if a.Rows != nil {
		if p.s.all.pooling.PrimaryClasses[t.RequestClass] {
			p.d.LastCommitPosition = max(p.d.LastCommitPosition, cmp.Or(t.Stream.Position, p.s.all.host.ClusterNow()))
		}
		return
	}
	kept, started, fault := t.Stream.Reserved, t.Stream.Started(), t.Stream.LastError
	may := p.d.ConnectionLost(!a.Rejected && a.StatementError == nil)
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
	case may && !p.s.all.pooling.IdempotentClasses[t.RequestClass]:
		e = &pg.Error{Code: pg.TransactionResolutionUnknown, Text: "rolled back, it may have taken effect"}
	case p.s.all.pooling.IdempotentClasses[t.RequestClass]:
		e = &pg.Error{Code: pg.SerializationFailure, Text: "the connection was lost before the commit: the transaction may run again"}
	default:
		e = &pg.Error{Code: pg.ConnectionFailure, Text: "the connection was lost before the commit: nothing took effect"}
	}
	if kept != nil && (started || !a.Rejected) { // what it kept there is gone
		p.Terminate(&pg.Error{Code: pg.AdminShutdown, Text: e.Text + "; the connection that this session kept has ended"})
		return
	}
	p.held = kept // it was rejected, and stays where it was
	p.fail(e)
}

// fail ends the unit on its way with an error; a client that waits for nothing hears of it when it asks next.
func (p *pooled) fail(e *pg.Error) {
	switch {
	case p.asked:
		p.s.conn.Write(pg.AppendReadyForQuery(pg.AppendError(nil, e, false), p.d.TransactionStatus()))
	case p.open:
		p.skips = true
		p.s.conn.Write(pg.AppendError(nil, e, false))
	default:
		p.lost = e
	}
	p.answered()
}

// leave ends all that the session has open: its request, its connection, its key.
func (p *pooled) leave() {
	if p.over {
		return
	}
	p.over = true
	delete(p.s.all.keys, p.key)
	if t := p.txn; t != nil {
		p.txn = nil
		p.s.all.host.ClientGone(t)
		t.Stream.ClientGone()
		if c := t.Stream.Reserved; c != nil { // it may never have got there
			p.s.all.host.Defer(c.Release)
		}
	}
	if c := p.held; c != nil {
		p.held = nil
		p.s.all.host.Defer(c.Release)
	}
	p.queue, p.ops = nil, nil
	p.shrink()
	p.answered()
}
