package eventloop

import (
	"testing"

	"wayloft/internal/pg"
	"wayloft/internal/request"
	"wayloft/router"
)

// taken notes what is submitted, and its checks pass.
type taken struct {
	Backend
	host      *Driver
	submitted []string
}

func (m *taken) SendAttempt(t *request.Request, _ int, _ string, _, _ float64) {
	m.submitted = append(m.submitted, t.ID)
}
func (m *taken) HealthCheck(id string) {
	m.host.Defer(func() { m.host.HealthChecked(id, router.Succeeded) })
}
func (m *taken) CloseIdle(string) {}
func (m *taken) Abandon(string)   {}

// settle has all done that comes in the next moments of the module's time.
func settle(h *Driver) {
	for range 10 {
		h.now += 50
		h.routerInput().TimerFired()
		h.carryOutDecisions()
		now := h.deferred
		h.deferred = nil
		for _, f := range now {
			f()
		}
	}
}

// A request of a session is cancelled while an attempt of it is out, which then ends in a way that another would follow: none
// does, and the client gets its one answer. One that was not cancelled is sent again.
func TestNoAttemptFollowsACancel(t *testing.T) {
	for _, how := range []router.Outcome{router.Reset, router.ConnectFailed, router.Overloaded, router.ServerError, router.TimedOut, router.NotSent} {
		for _, cancelled := range []bool{true, false} {
			kinds := map[string]*router.RequestClass{"read": {LatencyObjective: 5000, Deadline: 20000, PriorityWeight: 1, LateWeightShare: 0.5}}
			h := New(NewLoop(256), router.New(&router.Settings{Routers: 1, MaxAttempts: 6, CanHealthCheck: true, SlowStartFloor: 0.2, SlowStartDuration: 1, OverloadMultiple: 2, OverloadWindow: 1000, RequestClasses: kinds}, 1), kinds, func() {})
			m := &taken{host: h}
			h.SetBackend(m)
			list := h.List()
			list.BeginList()
			list.ListMember("a", "z", 1, router.Up, router.Never)
			list.ListMember("b", "z", 1, router.Up, router.Never)
			list.EndList(true)
			answers := 0
			one := request.New(&pg.Statement{ID: "1", TxnType: "read", Wait: 20000, Group: 1}, h.Now(), func(request.Response) { answers++ })
			one.Stream = &request.Stream{}
			if err := h.Arrive(one); err != nil {
				t.Fatal(err)
			}
			settle(h)
			if len(m.submitted) != 1 {
				t.Fatalf("%d attempts at first, %d answers", len(m.submitted), answers)
			}
			if cancelled {
				one.Stream.MarkCancelled()
			}
			h.AttemptEnded(one, 0, "a", how, 1, router.RoleUnknown, router.Never, nil)
			settle(h)
			if want := map[bool]int{true: 1, false: 2}[cancelled]; len(m.submitted) != want {
				t.Errorf("outcome %d, cancelled %v: %d attempts, want %d", how, cancelled, len(m.submitted), want)
			}
			if want := map[bool]int{true: 1, false: 0}[cancelled]; answers != want {
				t.Errorf("outcome %d, cancelled %v: %d answers, want %d", how, cancelled, answers, want)
			}
		}
	}
}
