package router

import "testing"

// An alarm may ring in a batch that began before its time. It was the only one, so the module asks for another: else what
// waits here would wait for good.
func TestAnAlarmRingsEarly(t *testing.T) {
	r := New(&Settings{Routers: 1, Submissions: 3, CanCheck: true, TxnTypes: map[string]*TxnType{"write": {SLA: 500, Expiry: 1000, Value: 1,
		Effect: OnceOnly, Level: Write}}}, 1)
	next := func() (alarm float64, declined bool) {
		for d, more := r.Next(); more; d, more = r.Next() {
			switch d.Verb {
			case Alarm:
				alarm = d.At
			case Decline:
				declined = true
			}
		}
		return alarm, declined
	}
	r.At(1000)
	r.Arrive("t", "", "", "write", 1, 0, 1000, false)
	at, _ := next()
	if at <= 1000 {
		t.Fatal("no alarm while a txn waits")
	}
	for n := range 3 {
		r.At(1001 + float64(n)) // a batch that began then, and in which it rang
		r.Rang()
		if at, _ = next(); at <= r.now {
			t.Fatalf("time %d: none rings any more", n)
		}
	}
	for n := 0; ; n++ {
		r.At(at)
		r.Rang()
		var declined bool
		if at, declined = next(); declined {
			return
		} else if at == 0 || n > 200 {
			t.Fatal("never declined")
		}
	}
}
