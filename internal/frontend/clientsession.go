package frontend

import (
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
		p.handleMemberMessage(messages[n].Kind)
	}
	p.session.write(out)
}

// handleMemberMessage updates the session's state after a message from the member.
func (p *pooledSession) handleMemberMessage(kind pg.Kind) {
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

// ServerParameters implements request.ClientSession. It sends the client a ParameterStatus for each parameter that is new or changed.
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
		p.session.write(out)
	}
}

// reportSettingsSince reports the parameters that follow settings which have changed without a member.
func (p *pooledSession) reportSettingsSince(before decide.Settings) {
	p.ServerParameters(withSettings(p.reportedParameters, p.defaultParameters(), before, p.decisions.Settings()))
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
