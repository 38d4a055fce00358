package frontend

import "wayloft/internal/pg"

// cancel stops what runs for the pooled session with this key, if anything does. The client that asks never learns whether there was
// such a session.
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

// cancelWaiting ends a request that no connection carries: nothing of it has run.
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
