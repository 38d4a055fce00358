package eventloop

import (
	"testing"

	"wayloft/internal/pg"
	"wayloft/internal/request"
	"wayloft/router"
)

// recordingBackend records the attempts passed to it; its health checks succeed.
type recordingBackend struct {
	Backend
	driver   *Driver
	attempts []string
}

func (b *recordingBackend) SendAttempt(req *request.Request, _ int, _ string, _, _ float64) {
	b.attempts = append(b.attempts, req.ID)
}
func (b *recordingBackend) HealthCheck(id string) {
	b.driver.Defer(func() { b.driver.HealthChecked(id, router.Succeeded) })
}
func (b *recordingBackend) CloseIdle(string) {}
func (b *recordingBackend) Abandon(string)   {}

// runFor500Ms carries out everything that is due in the next 500 ms of the module's time.
func runFor500Ms(driver *Driver) {
	for range 10 {
		driver.now += 50
		driver.routerInput().TimerFired()
		driver.carryOutDecisions()
		deferred := driver.deferred
		driver.deferred = nil
		for _, f := range deferred {
			f()
		}
	}
}

// Guards against retrying a cancelled request. It is cancelled while an attempt is in flight, and the attempt then ends with an outcome
// that is normally retried. The client must receive exactly one response; a request that was not cancelled must be retried.
func TestDriver_NoRetryAfterCancel(t *testing.T) {
	for _, outcome := range []router.Outcome{router.Reset, router.ConnectFailed, router.Overloaded, router.ServerError, router.TimedOut, router.NotSent} {
		for _, cancelled := range []bool{true, false} {
			classes := map[string]*router.RequestClass{"read": {LatencyObjective: 5000, Deadline: 20000, PriorityWeight: 1, LateWeightShare: 0.5}}
			driver := New(NewLoop(256), router.New(&router.Settings{Routers: 1, MaxAttempts: 6, CanHealthCheck: true, SlowStartFloor: 0.2, SlowStartDuration: 1, OverloadMultiple: 2, OverloadWindow: 1000, RequestClasses: classes}, 1), classes, func() {})
			members := &recordingBackend{driver: driver}
			driver.SetBackend(members)
			list := driver.ListInput()
			list.BeginList()
			list.ListMember("a", "z", 1, router.Up, router.Never)
			list.ListMember("b", "z", 1, router.Up, router.Never)
			list.EndList(true)
			responses := 0
			req := request.New(&pg.Statement{ID: "1", RequestClass: "read", TimeoutMs: 20000, Group: 1}, driver.Now(), func(request.Response) { responses++ })
			req.Stream = &request.Stream{}
			if err := driver.Arrive(req); err != nil {
				t.Fatal(err)
			}
			runFor500Ms(driver)
			if len(members.attempts) != 1 {
				t.Fatalf("%d initial attempts, want 1; %d responses", len(members.attempts), responses)
			}
			if cancelled {
				req.Stream.MarkCancelled()
			}
			driver.AttemptEnded(req, 0, "a", outcome, 1, router.RoleUnknown, router.Never, nil)
			runFor500Ms(driver)
			if want := map[bool]int{true: 1, false: 2}[cancelled]; len(members.attempts) != want {
				t.Errorf("outcome %d, cancelled %v: %d attempts, want %d", outcome, cancelled, len(members.attempts), want)
			}
			if want := map[bool]int{true: 1, false: 0}[cancelled]; responses != want {
				t.Errorf("outcome %d, cancelled %v: %d responses, want %d", outcome, cancelled, responses, want)
			}
		}
	}
}
