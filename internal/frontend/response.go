package frontend

import (
	"cmp"

	iradix "github.com/hashicorp/go-immutable-radix/v2"

	decide "wayloft/internal/decide/session"
	"wayloft/internal/pg"
	"wayloft/internal/request"
)

var _ request.ClientSession = (*pooledSession)(nil)

// Session implements request.ClientSession.
func (p *pooledSession) Session() *decide.Session { return p.decisions }

// DeliverMessages implements request.ClientSession.
func (p *pooledSession) DeliverMessages(messages []pg.Message) {
	var out []byte
	for n := range messages {
		p.decisions.ServerMessage(&messages[n])
		out = append(out, messages[n].Raw...)
		p.memberAnswered(messages[n].Kind)
	}
	p.session.conn.Write(out)
}

// memberAnswered updates the state by a message of the member.
func (p *pooledSession) memberAnswered(kind pg.Kind) {
	switch kind {
	case pg.CopyInResponse:
		p.copying = true
		p.session.frontend.driver.Defer(p.processQueue)
	case pg.ErrorResponse:
		p.copying = false
		if p.state == unitFlushed {
			p.state = unitFlushedFailed
		}
	case pg.CommandComplete:
		p.copying = false
	case pg.ReadyForQuery:
		p.endUnit()
		p.session.frontend.driver.Defer(p.processQueue)
	}
}

// ServerParameters implements request.ClientSession. The client receives those that it does not know yet.
func (p *pooledSession) ServerParameters(parameters *iradix.Tree[string]) {
	if parameters == p.reportedParameters || p.state == pooledEnded {
		return
	}
	var out []byte
	parameters.Root().Walk(func(name []byte, value string) bool {
		if reported, known := p.reportedParameters.Get(name); !known || reported != value {
			out = pg.AppendParameterStatus(out, string(name), value)
		}
		return false
	})
	p.reportedParameters = parameters
	if out != nil {
		p.session.conn.Write(out)
	}
}

// Reserve implements request.ClientSession.
func (p *pooledSession) Reserve(connection request.BackendConn) {
	if p.state == pooledEnded {
		p.reserved = nil
		p.session.frontend.driver.Defer(connection.Release)
		return
	}
	p.reserved = connection
}

// Terminate implements request.ClientSession.
func (p *pooledSession) Terminate(e *pg.Error) {
	if p.state != pooledEnded {
		p.session.finishWithError(e)
	}
}

// deliver handles the final response of the request. Of one that succeeded the client has received all already.
func (p *pooledSession) deliver(response request.Response) {
	req := p.request
	if req == nil {
		return
	}
	p.request = nil
	defer p.session.frontend.driver.Defer(p.processQueue)
	if response.Rows != nil {
		p.recordCommit(req)
		return
	}
	reserved, started, lastError := req.Stream.Reserved, req.Stream.Started(), req.Stream.LastError
	mayHaveCommitted := p.decisions.ConnectionLost(!response.Rejected && response.StatementError == nil)
	e := response.StatementError
	switch {
	case e != nil:
	case response.Rejected:
		e = rejectedError(response.RetryAfter)
	case lastError != nil:
		e = lastError
	default:
		e = p.lostTransactionError(req, mayHaveCommitted)
	}
	if reserved != nil && (started || !response.Rejected) { // the state that the session had on the connection is lost
		p.Terminate(&pg.Error{Code: pg.AdminShutdown, Text: e.Text + "; the connection that this session kept has ended"})
		return
	}
	p.reserved = reserved
	p.failUnit(e)
}

// recordCommit has the session's later reads see what the request has changed.
func (p *pooledSession) recordCommit(req *request.Request) {
	f := p.session.frontend
	if f.pooling.PrimaryClasses[req.RequestClass] {
		position := cmp.Or(req.Stream.Position, f.driver.ClusterNow())
		p.decisions.LastCommitPosition = max(p.decisions.LastCommitPosition, position)
	}
}

// lostTransactionError returns the error for a transaction whose connection was lost.
func (p *pooledSession) lostTransactionError(req *request.Request, mayHaveCommitted bool) *pg.Error {
	switch {
	case p.session.frontend.pooling.IdempotentClasses[req.RequestClass]:
		return errMayRunAgain
	case mayHaveCommitted:
		return errMayHaveTakenEffect
	default:
		return errNothingTookEffect
	}
}
