package frontend

import "wayloft/internal/pg"

// cancel cancels the running request of the pooled session with this key, if there is one. As in PostgreSQL, the sender of a
// CancelRequest is not told whether the key matched.
func (f *Frontend) cancel(key pg.CancelKey) {
	p := f.cancelKeys[key]
	if p == nil || p.request == nil {
		return
	}
	if connection := p.request.Stream.Backend(); connection != nil {
		connection.Cancel()
		return
	}
	p.cancelWaiting()
}

// cancelWaiting ends a request that has no backend connection at the moment. The session treats it as one of which nothing has run.
func (p *pooledSession) cancelWaiting() {
	f := p.session.frontend
	req := p.request
	p.request, p.reserved = nil, req.Stream.Reserved
	f.driver.ClientGone(req)
	req.Stream.ClientGone()
	p.decisions.ConnectionLost(false)
	p.failUnit(errCancelled)
	f.driver.Defer(p.processQueue)
}
