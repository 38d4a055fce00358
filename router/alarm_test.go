package router

import "testing"

// An timer may ring in a batch that began before its time. It was the only one, so the module asks for another: else what
// waits here would wait for good.
func TestAnAlarmRingsEarly(t *testing.T) {
	r := New(&Settings{Routers: 1, MaxAttempts: 3, CanHealthCheck: true, RequestClasses: map[string]*RequestClass{"write": {LatencyObjective: 500, Deadline: 1000, PriorityWeight: 1,
		Effect: NonIdempotent, Level: Write}}}, 1)
	next := func() (alarm float64, declined bool) {
		for d, more := r.Next(); more; d, more = r.Next() {
			switch d.Action {
			case SetTimer:
				alarm = d.Time
			case RejectRequest:
				declined = true
			}
		}
		return alarm, declined
	}
	r.Advance(1000)
	r.Arrive("t", "", "", "write", 1, 0, 1000, false)
	at, _ := next()
	if at <= 1000 {
		t.Fatal("no alarm while a txn waits")
	}
	for n := range 3 {
		r.Advance(1001 + float64(n)) // a batch that began then, and in which it rang
		r.TimerFired()
		if at, _ = next(); at <= r.now {
			t.Fatalf("time %d: none rings any more", n)
		}
	}
	for n := 0; ; n++ {
		r.Advance(at)
		r.TimerFired()
		var declined bool
		if at, declined = next(); declined {
			return
		} else if at == 0 || n > 200 {
			t.Fatal("never declined")
		}
	}
}
