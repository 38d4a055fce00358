package frontend

import (
	"fmt"
	"testing"

	"wayloft/internal/eventloop"
	"wayloft/internal/pg"
	"wayloft/internal/request"
	"wayloft/router"
)

// A request can be asked whether its client has closed the connection before the event loop has handled the end: the loop is busy with
// asking when the client closes. A client that sends more has not closed.
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
					t.Error("abandoned at first")
				}
				send("pipelined")
				if req.Abandoned() {
					t.Error("abandoned when its client sends more")
				}
				if err := client.Close(); err != nil {
					t.Error(err)
				}
				if !req.Abandoned() || req.Finished() {
					t.Error("not abandoned before the event loop has handled the end of the connection")
				}
			})
			f.waitUntil("the session ends", func() bool { return len(f.frontend.sessions) == 0 })
		})
	}
}

// onlyRequest returns the request of the only session, nil if it has none. It must be called on the event loop.
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

// noBackend has no member to send a request to.
type noBackend struct{ eventloop.Backend }

func (noBackend) Abandon(string) {}
