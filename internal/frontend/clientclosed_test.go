package frontend

import (
	"fmt"
	"testing"

	decide "wayloft/internal/decide/session"
	"wayloft/internal/eventloop"
	"wayloft/internal/pg"
	"wayloft/internal/request"
	"wayloft/router"
)

// Guards against starting an attempt for a client that has closed its connection while the event loop was busy: Abandoned must report
// the close before the loop has handled the end of the connection. Pipelined data from the client must not count as a close.
func TestRequest_AbandonedOnceClientCloses(t *testing.T) {
	classes := map[string]*router.RequestClass{"read": {LatencyObjective: 60000, Deadline: 60000, PriorityWeight: 1, LateWeightShare: 1}}
	settings := &router.Settings{Routers: 1, MaxAttempts: 6, CanHealthCheck: true, RequestClasses: classes}
	f := startTestFrontend(t, 10, settings, classes, noBackend{})
	f.stopAtEnd()
	for _, database := range []string{statementDatabase, pooledDatabase} {
		t.Run(database, func(t *testing.T) {
			client := f.dial(database, false)
			send := func(id string) {
				f.write(client, pg.AppendQuery(nil, fmt.Sprintf("/* id=%s,c=read,d=60000,cluster=1 */ SELECT x", id)))
			}
			send(database)
			var req *request.Request
			f.waitUntil("the request has arrived", func() bool {
				req = f.onlyRequest()
				return req != nil
			})
			f.runOnLoop(func() {
				if req.Abandoned() {
					t.Error("abandoned before the client closed the connection")
				}
				send("pipelined")
				if req.Abandoned() {
					t.Error("abandoned after the client sent another query")
				}
				if err := client.Close(); err != nil {
					t.Error(err)
				}
				if !req.Abandoned() || req.Finished() {
					t.Error("client closed: not abandoned, or finished already, before the event loop handled the end of the connection")
				}
			})
			f.waitUntil("the session ends", func() bool { return len(f.frontend.sessions) == 0 })
		})
	}
}

// onlyRequest returns the request of the only session, or nil if it has none. It must be called on the event loop.
func (f *testFrontend) onlyRequest() *request.Request {
	s := f.onlySession()
	if s == nil {
		return nil
	}
	if s.pooled != nil {
		return s.pooled.request
	}
	return s.request
}

// noBackend is a backend without members. Calls other than Abandon panic.
type noBackend struct{ eventloop.Backend }

func (noBackend) Abandon(string) {}

// Guards against forwarding further statements of an open transaction, or COPY data, for a client that has closed its connection while the
// event loop was busy.
func TestTransaction_NothingForwardedOnceClientCloses(t *testing.T) {
	classes := map[string]*router.RequestClass{"read": {LatencyObjective: 60000, Deadline: 60000, PriorityWeight: 1, LateWeightShare: 1}}
	settings := &router.Settings{Routers: 1, MaxAttempts: 6, CanHealthCheck: true, RequestClasses: classes}
	f := startTestFrontend(t, 10, settings, classes, noBackend{})
	f.stopAtEnd()
	for name, send := range map[string]func(p *pooledSession){
		"a statement": func(p *pooledSession) {
			p.state = unitNone
			p.handle(pg.Message{Kind: pg.Query, Text: "SELECT 2", Raw: pg.AppendQuery(nil, "SELECT 2")}, f.driver.Now())
		},
		"COPY data": func(p *pooledSession) {
			p.copying = true
			p.receive(pg.Message{Kind: pg.CopyData, Raw: pg.AppendCopyData(nil, "row")})
		},
	} {
		t.Run(name, func(t *testing.T) {
			client := f.dial(pooledDatabase, false)
			f.write(client, pg.AppendQuery(nil, "SELECT 1"))
			f.waitUntil("the transaction is open", func() bool { return f.onlyRequest() != nil })
			f.runOnLoop(func() {
				p, member := f.onlySession().pooled, &countingConn{}
				p.request.Stream.Attach(member)
				before := member.sent
				if err := client.Close(); err != nil {
					t.Error(err)
				}
				send(p)
				if member.sent != before {
					t.Errorf("%d messages were forwarded after the client had closed", member.sent-before)
				}
			})
			f.waitUntil("the session ends", func() bool { return len(f.frontend.sessions) == 0 })
		})
	}
}

// countingConn is a member's connection that counts the messages sent on it.
type countingConn struct {
	request.BackendConn
	sent int
}

func (c *countingConn) Send(messages []decide.Message) { c.sent += len(messages) }
