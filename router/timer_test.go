package router

import "testing"

// A timer may fire in a batch of events whose time is before its deadline. Since no other timer is pending then, the
// router must ask for a new one; otherwise waiting requests would wait forever.
func TestTimerFired_Early(t *testing.T) {
	r := New(&Settings{Routers: 1, MaxAttempts: 3, CanHealthCheck: true, RequestClasses: map[string]*RequestClass{
		"write": {LatencyObjective: 500, Deadline: 1000, PriorityWeight: 1, Effect: NonIdempotent, Level: Write}}}, 1)
	next := func() (timer float64, rejected bool) {
		for d, more := r.Next(); more; d, more = r.Next() {
			switch d.Action {
			case SetTimer:
				timer = d.Time
			case RejectRequest:
				rejected = true
			}
		}
		return timer, rejected
	}
	r.Advance(1000)
	r.RequestArrived("t", "", "", "write", 1, 0, 1000, false)
	at, _ := next()
	if at <= 1000 {
		t.Fatal("no timer requested while a request waits")
	}
	for n := range 3 {
		r.Advance(1001 + float64(n)) // the time of a batch in which the timer fired
		r.TimerFired()
		if at, _ = next(); at <= r.now {
			t.Fatalf("iteration %d: no timer is pending", n)
		}
	}
	for n := 0; ; n++ {
		r.Advance(at)
		r.TimerFired()
		var rejected bool
		if at, rejected = next(); rejected {
			return
		} else if at == 0 || n > 200 {
			t.Fatal("the request was never rejected")
		}
	}
}
