package eventloop

import (
	"errors"
	"fmt"
	"math"
	"testing"
	"time"

	"wayloft/internal/pg"
	"wayloft/internal/request"
	"wayloft/router"
)

// present is the cluster's present.
func present() float64 { return float64(time.Now().UnixMicro()) / 1000 }

// hostAt makes a host whose machine's wall clock is ahead by so much. It returns the reports that it conveys.
func hostAt(ahead time.Duration) (*Driver, *[]string) {
	kinds := map[string]*router.RequestClass{"read": {LatencyObjective: 500, Deadline: 1000, PriorityWeight: 1, Effect: router.Idempotent, Level: router.Session}}
	h := New(NewLoopAt(256, time.Now().Add(ahead)), router.New(&router.Settings{Routers: 1, MaxAttempts: 3, CanHealthCheck: true,
		RequestClasses: kinds}, 1), kinds, func() {})
	h.SetBackend(nowhere{})
	var told []string
	h.OnReport(func(member string, _ router.Role, _ float64) { told = append(told, member) })
	return h, &told
}

// report has a member's position come in, of this age, in answer to what was asked just now.
func (h *Driver) report(member string, role router.Role, age float64) bool {
	sent := h.Clock()
	position := present() - age
	h.RecordPosition(member, role, position, sent)
	h.now = h.Clock()
	if !h.Possible(position) {
		return false
	}
	h.Reported(member, role, position)
	return true
}

// A replica that lags by about as much as the wall clock is behind looks fresh by it. Its position is not believed before a
// primary was heard; the order is forced: it comes first.
func TestPositionsWaitForAPrimary(t *testing.T) {
	h, told := hostAt(-600 * time.Millisecond)
	h.report("replica", router.Replica, 700)
	if h.positionOnLoop(present()) != router.Never || len(*told) != 0 {
		t.Errorf("a position is believed on the word of a replica: %v", *told)
	}
	h.report("primary", router.Primary, 0)
	h.report("primary", router.Primary, 0)
	if got := fmt.Sprint(*told); got != "[replica primary]" && got != "[replica primary primary]" {
		t.Errorf("conveyed %s", got)
	}
	if off := math.Abs(h.ClusterNow() - present()); off > 100 {
		t.Errorf("the cluster's present is taken to be off by %.0f ms", off)
	}
}

// Where the clock is right nothing waits for a second report, and nothing is translated.
func TestPositionsWithARightClock(t *testing.T) {
	h, told := hostAt(0)
	h.report("primary", router.Primary, 0)
	h.report("replica", router.Replica, 30)
	if got := fmt.Sprint(*told); got != "[primary replica]" || h.FromLoop(0) != 0 {
		t.Errorf("conveyed %s, offset %v", got, h.FromLoop(0))
	}
	if h.report("replica", router.Replica, -2*MaxPositionAhead) {
		t.Error("a position of the future is possible")
	}
}

// A session's position is judged by the cluster's clock, and before that is known none is rejected.
func TestAfterWithAWrongClock(t *testing.T) {
	for _, ahead := range []time.Duration{-time.Hour, -600 * time.Millisecond, 0, time.Hour} {
		h, _ := hostAt(ahead)
		arrive := func(id string, after float64) error {
			s, err := pg.ParseStatement(fmt.Sprintf("/* id=%s,c=read,d=1000,after=%.3f */ SELECT x", id, after))
			if err != nil {
				t.Fatal(err)
			}
			return h.Arrive(request.New(s, h.Now(), func(request.Response) {}))
		}
		if err := arrive("unsettled", present()); err != nil {
			t.Errorf("ahead by %v, before any report: %v", ahead, err)
		}
		for from := time.Now(); !h.clockSettled(); { // an hour ahead takes a second of steady reports
			if h.report("primary", router.Primary, 0); time.Since(from) > 20*time.Second {
				t.Fatal("never settled")
			}
		}
		if err := arrive("settled", present()); err != nil {
			t.Errorf("ahead by %v: %v", ahead, err)
		}
		if err := arrive("future", present()+3*MaxPositionAhead); !errors.Is(err, ErrFuturePosition) {
			t.Errorf("ahead by %v, a position of the future: got %v", ahead, err)
		}
	}
}

// A start that the list tells is on the cluster's clock. It is translated once, and never lies ahead.
func TestStartTimes(t *testing.T) {
	h, _ := hostAt(-time.Hour)
	starts := NewStartTimes(h.Loop)
	began := present() - 5000
	if at := starts.Of("a", began); at > h.Now() {
		t.Errorf("before the cluster's clock is known: started %.0f ms ahead", at-h.Now())
	}
	h.report("primary", router.Primary, 0)
	h.report("primary", router.Primary, 0)
	at := starts.Of("a", began)
	if age := h.Now() - at; age < 4900 || age > 6000 {
		t.Errorf("started %.0f ms ago, want 5000", age)
	}
	if starts.Compare("a", began) != at || starts.Of("a", began) != at {
		t.Error("one start is two")
	}
	if starts.Of("b", router.Never) != router.Never || starts.Compare("b", 0) != router.Never {
		t.Error("long ago is a time")
	}
	if starts.Retain(map[string]bool{"b": true}); len(starts.translated) != 0 {
		t.Errorf("%d are kept", len(starts.translated))
	}
}

// checking notes which members are checked.
type checking struct {
	Backend
	checked []string
}

func (c *checking) HealthCheck(member string) { c.checked = append(c.checked, member) }

// A primary that contradicts the wall clock is checked again soon, unless it has gone meanwhile; one that confirms it is not.
func TestContradictionIsConfirmed(t *testing.T) {
	for _, c := range []struct {
		name       string
		ahead      time.Duration
		gone       bool
		wantTimers int
		want       string
	}{{"wrong clock", -time.Hour, false, 1, "[primary]"}, {"gone", -time.Hour, true, 1, "[]"}, {"right clock", 0, false, 0, "[]"}} {
		t.Run(c.name, func(t *testing.T) {
			h, _ := hostAt(c.ahead)
			members := &checking{}
			h.SetBackend(members)
			h.EnablePositionChecks()
			h.report("primary", router.Primary, 0)
			if c.gone {
				h.Forget("primary")
			}
			if len(h.confirming) != c.wantTimers {
				t.Fatalf("%d checks are to come, want %d", len(h.confirming), c.wantTimers)
			}
			for len(h.confirming) > 0 {
				select {
				case f := <-h.mailbox:
					f()
				case <-time.After(20 * time.Second):
					t.Fatal("no check comes")
				}
			}
			if got := fmt.Sprint(members.checked); got != c.want {
				t.Errorf("checked %s, want %s", got, c.want)
			}
		})
	}
}
