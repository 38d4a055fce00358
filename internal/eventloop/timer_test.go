package eventloop

import (
	"testing"
	"time"

	"wayloft/internal/pg"
	"wayloft/internal/request"
	"wayloft/router"
)

// noBackend is a backend for tests that send nothing to members: any call panics.
type noBackend struct{ Backend }

// The module's timer fires during a batch that started before the time of the timer. The module must set another timer: there may be no
// other input, and the waiting request must receive a response. The test forces the order: the timer event is handled in a batch whose
// time is earlier than the timer's.
func TestDriver_TimerFiresInEarlierBatch(t *testing.T) {
	classes := map[string]*router.RequestClass{"write": {LatencyObjective: 500, Deadline: 1000, PriorityWeight: 1, Effect: router.NonIdempotent, Level: router.Write}}
	driver := New(NewLoop(256), router.New(&router.Settings{Routers: 1, MaxAttempts: 3, CanHealthCheck: true, RequestClasses: classes}, 1), classes, func() {})
	driver.SetBackend(noBackend{})
	started := driver.Now()
	responses := 0
	statement, err := pg.ParseStatement("/* id=1,c=write,d=1000 */ INSERT x")
	if err != nil {
		t.Fatal(err)
	}
	if err := driver.Arrive(request.New(statement, started, func(request.Response) { responses++ })); err != nil {
		t.Fatal(err)
	}
	driver.carryOutDecisions()
	fireTimer := func() {
		t.Helper()
		select {
		case f := <-driver.mailbox:
			f()
			driver.carryOutDecisions()
		case <-time.After(20 * time.Second):
			t.Fatal("no timer is set although a request is waiting")
		}
	}
	for range 3 {
		driver.now = started + 1 // the time at which the batch started
		fireTimer()
	}
	driver.now = started + 600
	fireTimer()
	if responses != 1 {
		t.Errorf("%d responses after 600 ms of its 1000 ms, want one", responses)
	}
}
