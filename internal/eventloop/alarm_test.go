package eventloop

import (
	"testing"
	"time"

	"wayloft/internal/pg"
	"wayloft/internal/request"
	"wayloft/router"
)

// nowhere carries nothing: nothing is decided for a member.
type nowhere struct{ Backend }

// The module's timer rings while a batch is handled that began before its time. It asks for another: nothing else may come in,
// and what waits has to get its answer. The order is forced: the timer is in the mailbox when the batch, begun earlier, takes it out.
func TestTheAlarmRingsInAnEarlierBatch(t *testing.T) {
	kinds := map[string]*router.RequestClass{"write": {LatencyObjective: 500, Deadline: 1000, PriorityWeight: 1, Effect: router.NonIdempotent, Level: router.Write}}
	h := New(NewLoop(256), router.New(&router.Settings{Routers: 1, MaxAttempts: 3, CanHealthCheck: true, RequestClasses: kinds}, 1), kinds, func() {})
	h.SetBackend(nowhere{})
	begun := h.Now()
	answers := 0
	s, err := pg.ParseStatement("/* id=1,c=write,d=1000 */ INSERT x")
	if err != nil {
		t.Fatal(err)
	}
	if err := h.Arrive(request.New(s, begun, func(request.Response) { answers++ })); err != nil {
		t.Fatal(err)
	}
	h.carryOutDecisions()
	rings := func() {
		t.Helper()
		select {
		case f := <-h.mailbox:
			f()
			h.carryOutDecisions()
		case <-time.After(20 * time.Second):
			t.Fatal("no alarm rings any more, and a txn waits")
		}
	}
	for range 3 {
		h.now = begun + 1 // the batch's time, when it began
		rings()
	}
	h.now = begun + 600
	rings()
	if answers != 1 {
		t.Errorf("%d answers at half of its time, want one", answers)
	}
}
