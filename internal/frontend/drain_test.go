package frontend

import (
	"io"
	"math"
	"testing"

	"wayloft/internal/fakes"
	"wayloft/internal/pg"
	"wayloft/internal/request"
	"wayloft/router"
)

// Guards against a drain that overruns because the event loop handles the signal late: the drain deadline counts from the signal. A
// request that arrives during the drain may wait for the remaining time only, and one that arrives after the deadline not at all.
func TestDrain_CountsFromSignal(t *testing.T) {
	f := newTestFrontend(t, 100)
	client := f.dial(statementDatabase, true)
	var signalled float64
	f.runOnLoop(func() {
		signalled = f.driver.Clock() - acceptPeriodMs - 1
		f.frontend.Drain(signalled, acceptPeriodMs+1e6)
	})
	if rest, err := io.ReadAll(client); err != nil || len(rest) > 0 { // the session ends at once
		t.Errorf("got %q, %v", rest, err)
	}
	f.runOnLoop(func() {
		if f.frontend.endingSince > signalled+2*acceptPeriodMs {
			t.Errorf("sessions were served until %v ms after the signal", f.frontend.endingSince-signalled)
		}
	})
	for _, c := range []struct{ arrivedMs, waitMs, wantMs float64 }{
		{0, 500, 500},
		{acceptPeriodMs + 1e6 - 100, 500, 100},
		{acceptPeriodMs + 1e6 + 100, 500, 0},
	} {
		f.runOnLoop(func() {
			req := request.New(&pg.Statement{TimeoutMs: c.waitMs}, signalled+c.arrivedMs, func(request.Response) {})
			f.frontend.limitWait(req)
			if math.Abs(req.TimeoutMs-c.wantMs) > 0.01 {
				t.Errorf("request that arrived %v ms after the signal: wait limit %v ms, want %v", c.arrivedMs, req.TimeoutMs, c.wantMs)
			}
		})
	}
}

// Guards against a request that stays without a response when the drain ends: its member never answers, and no decision is made on it.
func TestDrain_FailsOpenRequestsAtTheEnd(t *testing.T) {
	classes := map[string]*router.RequestClass{"x": {LatencyObjective: 1e6, Deadline: 1e6, PriorityWeight: 1, Level: router.Write}}
	settings := &router.Settings{Routers: 1, MaxAttempts: 3, CanHealthCheck: true, RequestClasses: classes}
	f := startTestFrontend(t, 100, settings, classes, unresponsiveBackend{})
	f.runOnLoop(func() { f.frontend.SetPooling(nil) })
	client := fakes.NewClient(t, f.addr, true)
	f.runOnLoop(func() {
		list := f.driver.ListInput()
		list.BeginList()
		list.ListMember("m", "z", 2, router.Up, router.Never)
		list.EndList(true)
	})
	client.SendQuery("/* id=1,c=x,t=n,d=900000,cluster=2 */ SELECT 1")
	f.waitUntil("the request waits for a primary", func() bool { return f.onlySession().request != nil })
	f.runOnLoop(func() { f.frontend.Drain(f.driver.Clock()-2*acceptPeriodMs, acceptPeriodMs) })
	if got := client.ReadResponse(); got != "08007 ready" {
		t.Errorf("got %q", got)
	}
	if got := client.ReadResponse(); got != "closed" {
		t.Errorf("then %q", got)
	}
	if err := client.Close(); err != nil {
		t.Error(err)
	}
	<-f.ended
}

// unresponsiveBackend ignores all calls: no attempt or health check ever ends.
type unresponsiveBackend struct{}

func (unresponsiveBackend) SendAttempt(*request.Request, int, string, float64, float64) {}
func (unresponsiveBackend) Abandon(string)                                              {}
func (unresponsiveBackend) CancelAttempt(string, int)                                   {}
func (unresponsiveBackend) HealthCheck(string)                                          {}
func (unresponsiveBackend) CloseIdle(string)                                            {}
