package host

import (
	"testing"

	"wayloft/internal/exchange"
	"wayloft/internal/pg"
	"wayloft/router"
)

// taken notes what is submitted, and its checks pass.
type taken struct {
	Members
	host      *Host
	submitted []string
}

func (m *taken) Submit(t *exchange.Txn, _ int, _ string, _, _ float64) {
	m.submitted = append(m.submitted, t.ID)
}
func (m *taken) Check(id string) {
	m.host.Soon(func() { m.host.Checked(id, router.Committed) })
}
func (m *taken) CloseIdle(string) {}
func (m *taken) Abandon(string)   {}

// settle has all done that comes in the next moments of the module's time.
func settle(h *Host) {
	for range 10 {
		h.now += 50
		h.hear().Rang()
		h.settle()
		now := h.soon
		h.soon = nil
		for _, f := range now {
			f()
		}
	}
}

// A request of a session is cancelled while an attempt of it is out, which then ends in a way that another would follow: none
// does, and the client gets its one answer. One that was not cancelled is sent again.
func TestNoAttemptFollowsACancel(t *testing.T) {
	for _, how := range []router.Outcome{router.Reset, router.ConnectFailed, router.Full, router.Errored, router.TimedOut, router.Moot} {
		for _, cancelled := range []bool{true, false} {
			kinds := map[string]*router.TxnType{"read": {SLA: 5000, Expiry: 20000, Value: 1, LateValue: 0.5}}
			h := New(NewLoop(256), router.New(&router.Settings{Routers: 1, Submissions: 6, CanCheck: true, ColdFrom: 0.2, WarmUp: 1, FallMultiple: 2, FallWindow: 1000, TxnTypes: kinds}, 1), kinds, func() {})
			m := &taken{host: h}
			h.Use(m)
			list := h.List()
			list.ListStart()
			list.Listed("a", "z", 1, router.Up, router.Never)
			list.Listed("b", "z", 1, router.Up, router.Never)
			list.ListEnd(true)
			answers := 0
			one := exchange.New(&pg.Statement{ID: "1", TxnType: "read", Wait: 20000, Group: 1}, h.Now(), func(exchange.Answer) { answers++ })
			one.Talk = &exchange.Talk{}
			if err := h.Arrive(one); err != nil {
				t.Fatal(err)
			}
			settle(h)
			if len(m.submitted) != 1 {
				t.Fatalf("%d attempts at first, %d answers", len(m.submitted), answers)
			}
			if cancelled {
				one.Talk.MarkCancelled()
			}
			h.Returned(one, 0, "a", how, 1, router.Unsaid, router.Never, nil)
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
