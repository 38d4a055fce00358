package frontend

import (
	"io"
	"net"
	"testing"

	"wayloft/internal/eventloop"
	"wayloft/internal/fakes"
	"wayloft/internal/pg"
	"wayloft/internal/request"
	"wayloft/router"
)

// only gives the one session that there is; on the loop.
func (f *front) only() (one *session) {
	for s := range f.all.sessions {
		one = s
	}
	return one
}

// until waits until something holds on the loop.
func (f *front) until(what string, holds func() bool) {
	f.t.Helper()
	fakes.Until(f.t, what, func() (now bool) {
		f.do(func() { now = holds() })
		return now
	})
}

// Others hold all memory that statements may take: a client whose small request comes in two pieces is not sent away for that, and
// has its final answer.
func TestMemoryThatOthersHold(t *testing.T) {
	for _, database := range []string{"plain", "pooled"} {
		t.Run(database, func(t *testing.T) {
			f := newFront(t, 100)
			c := f.dial(database, true)
			f.do(func() { f.all.heldBytes += 3 * f.all.maxHeldBytes })
			ask := pg.AppendQuery(nil, "/* id=1,c=x,d=100 */ SELECT 1")
			c.Write(ask[:9])
			f.until("half of it has come", func() bool { return f.only().reader.Buffered() == 9 })
			f.do(func() {
				if f.only().deaf {
					t.Error("its session ends before the request is whole")
				}
			})
			f.say(c, ask[9:], 1)
			f.do(func() { f.all.heldBytes -= 3 * f.all.maxHeldBytes })
			f.say(c, pg.AppendQuery(nil, ""), 1)
		})
	}
}

// The end of the drain is counted from the signal, however late the loop hears of it; a request that is taken in it has what is left,
// and one that comes later none.
func TestDrainCountsFromTheSignal(t *testing.T) {
	f := newFront(t, 100)
	c := f.dial("plain", true)
	var signalled float64
	f.do(func() {
		signalled = f.host.Clock() - acceptPeriodMs - 1
		f.all.Drain(signalled, acceptPeriodMs+1e6)
	})
	if rest, err := io.ReadAll(c); err != nil || len(rest) > 0 { // at once, though it was heard of just now
		t.Errorf("got %q, %v", rest, err)
	}
	f.do(func() {
		if f.all.endingSince > signalled+2*acceptPeriodMs {
			t.Errorf("it served on until %v ms after the signal", f.all.endingSince-signalled)
		}
	})
	for _, one := range []struct{ at, wait, want float64 }{{0, 500, 500}, {acceptPeriodMs + 1e6 - 100, 500, 100}, {acceptPeriodMs + 1e6 + 100, 500, 0}} {
		f.do(func() {
			x := exchangeAt(signalled+one.at, one.wait)
			if f.all.limitWait(x); x.WaitMs < one.want-0.01 || x.WaitMs > one.want+0.01 {
				t.Errorf("at %v: it waits for %v, want %v", one.at, x.WaitMs, one.want)
			}
		})
	}
}

// A request that is still without an answer at the end of the drain is given one, though nothing decides on it.
func TestGiveUpAtTheEndOfTheDrain(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	kinds := map[string]*router.RequestClass{"x": {LatencyObjective: 1e6, Deadline: 1e6, PriorityWeight: 1, Level: router.Write}}
	h := eventloop.New(eventloop.NewLoop(256), router.New(&router.Settings{Routers: 1, MaxAttempts: 3, CanHealthCheck: true, RequestClasses: kinds}, 1), kinds, func() {})
	h.SetBackend(silent{})
	f := &front{t: t, host: h, all: New(h, 100, 1<<20, 1<<16), addr: l.Addr().String()}
	if err := h.Listen(f.all.Gate(l), 1<<20, f.all.Accept); err != nil {
		t.Fatal(err)
	}
	ended := make(chan bool)
	go func() { h.Run(); close(ended) }()
	c := fakes.NewClient(t, f.addr, true)
	f.do(func() {
		list := h.List()
		list.BeginList()
		list.ListMember("m", "z", 2, router.Up, router.Never)
		list.EndList(true)
	})
	c.Ask("/* id=1,c=x,t=n,d=900000,cluster=2 */ SELECT 1")
	f.until("it is held for a primary", func() bool { return f.only().request != nil })
	f.do(func() { f.all.Drain(h.Clock()-2*acceptPeriodMs, acceptPeriodMs) })
	if got := c.Answer(); got != "08007 ready" {
		t.Errorf("got %q", got)
	}
	if got := c.Answer(); got != "closed" {
		t.Errorf("then %q", got)
	}
	c.Close()
	<-ended
}

func exchangeAt(at, wait float64) *request.Request {
	return request.New(&pg.Statement{WaitMs: wait}, at, func(request.Response) {})
}

// silent is a members' side from which nothing ever comes back.
type silent struct{}

func (silent) SendAttempt(*request.Request, int, string, float64, float64) {}
func (silent) Abandon(string)                                              {}
func (silent) CancelAttempt(string, int)                                   {}
func (silent) HealthCheck(string)                                          {}
func (silent) CloseIdle(string)                                            {}
