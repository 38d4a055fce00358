package frontend

import (
	"fmt"
	"testing"

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
