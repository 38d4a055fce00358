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

// clusterTime is the present time on the cluster's clock.
func clusterTime() float64 { return float64(time.Now().UnixMicro()) / 1000 }

// newDriverAt returns a driver on a machine whose wall clock is ahead by so much, and the members whose reports it forwards.
func newDriverAt(ahead time.Duration) (*Driver, *[]string) {
	classes := map[string]*router.RequestClass{"read": {LatencyObjective: 500, Deadline: 1000, PriorityWeight: 1, Effect: router.Idempotent, Level: router.Session}}
	driver := New(NewLoopAt(256, time.Now().Add(ahead)), router.New(&router.Settings{Routers: 1, MaxAttempts: 3, CanHealthCheck: true,
		RequestClasses: classes}, 1), classes, func() {})
	driver.SetBackend(noBackend{})
	var forwarded []string
	driver.OnReport(func(member string, _ router.Role, _ float64) { forwarded = append(forwarded, member) })
	return driver, &forwarded
}

// report records a member's position of this age, as the result of a health check that began just now. It returns whether the
// position is possible.
func (driver *Driver) report(member string, role router.Role, age float64) bool {
	sent := driver.Clock()
	position := clusterTime() - age
	driver.RecordPosition(member, role, position, sent)
	driver.now = driver.Clock()
	if !driver.Possible(position) {
		return false
	}
	driver.Reported(member, role, position)
	return true
}

// A replica that lags by about as much as the wall clock is behind looks fresh by it. Its position must not be used before a primary
// has reported; the order is forced: the replica reports first.
func TestDriver_PositionsWaitForPrimary(t *testing.T) {
	driver, forwarded := newDriverAt(-600 * time.Millisecond)
	driver.report("replica", router.Replica, 700)
	if driver.positionOnLoop(clusterTime()) != router.Never || len(*forwarded) != 0 {
		t.Errorf("a position is used on the report of a replica alone: %v", *forwarded)
	}
	driver.report("primary", router.Primary, 0)
	driver.report("primary", router.Primary, 0)
	if got := fmt.Sprint(*forwarded); got != "[replica primary]" && got != "[replica primary primary]" {
		t.Errorf("forwarded %s", got)
	}
	if off := math.Abs(driver.ClusterNow() - clusterTime()); off > 100 {
		t.Errorf("the cluster's present is taken to be off by %.0f ms", off)
	}
}

// If the wall clock is right, nothing waits for a second report, and nothing is translated.
func TestDriver_PositionsWithCorrectClock(t *testing.T) {
	driver, forwarded := newDriverAt(0)
	driver.report("primary", router.Primary, 0)
	driver.report("replica", router.Replica, 30)
	if got := fmt.Sprint(*forwarded); got != "[primary replica]" || driver.FromLoop(0) != 0 {
		t.Errorf("forwarded %s, offset %v", got, driver.FromLoop(0))
	}
	if driver.report("replica", router.Replica, -2*MaxPositionAhead) {
		t.Error("a position of the future is possible")
	}
}

// A session's position is judged by the cluster's clock; before that is known, none is rejected.
func TestDriver_ArriveWithWrongClock(t *testing.T) {
	for _, ahead := range []time.Duration{-time.Hour, -600 * time.Millisecond, 0, time.Hour} {
		driver, _ := newDriverAt(ahead)
		arrive := func(id string, after float64) error {
			statement, err := pg.ParseStatement(fmt.Sprintf("/* id=%s,c=read,d=1000,after=%.3f */ SELECT x", id, after))
			if err != nil {
				t.Fatal(err)
			}
			return driver.Arrive(request.New(statement, driver.Now(), func(request.Response) {}))
		}
		if err := arrive("unsettled", clusterTime()); err != nil {
			t.Errorf("ahead by %v, before any report: %v", ahead, err)
		}
		for started := time.Now(); !driver.clockSettled(); { // an hour ahead takes a second of steady reports
			if driver.report("primary", router.Primary, 0); time.Since(started) > 20*time.Second {
				t.Fatal("the clock never settled")
			}
		}
		if err := arrive("settled", clusterTime()); err != nil {
			t.Errorf("ahead by %v: %v", ahead, err)
		}
		if err := arrive("future", clusterTime()+3*MaxPositionAhead); !errors.Is(err, ErrFuturePosition) {
			t.Errorf("ahead by %v, a position of the future: got %v", ahead, err)
		}
	}
}

// A start in the member list is on the cluster's clock. It is translated once, and is never in the future.
func TestStartTimes_TranslatedOnce(t *testing.T) {
	driver, _ := newDriverAt(-time.Hour)
	starts := NewStartTimes(driver.Loop)
	reported := clusterTime() - 5000
	if at := starts.Of("a", reported); at > driver.Now() {
		t.Errorf("before the cluster's clock is known: started %.0f ms ahead", at-driver.Now())
	}
	driver.report("primary", router.Primary, 0)
	driver.report("primary", router.Primary, 0)
	at := starts.Of("a", reported)
	if age := driver.Now() - at; age < 4900 || age > 6000 {
		t.Errorf("started %.0f ms ago, want 5000", age)
	}
	if starts.Compare("a", reported) != at || starts.Of("a", reported) != at {
		t.Error("one start has two translations")
	}
	if starts.Of("b", router.Never) != router.Never || starts.Compare("b", 0) != router.Never {
		t.Error("a start long ago is translated to a time")
	}
	if starts.Retain(map[string]bool{"b": true}); len(starts.translated) != 0 {
		t.Errorf("%d members are retained, want none", len(starts.translated))
	}
}

// checkRecorder records which members are checked.
type checkRecorder struct {
	Backend
	checked []string
}

func (c *checkRecorder) HealthCheck(member string) { c.checked = append(c.checked, member) }

// A primary whose position contradicts the wall clock is checked again soon, unless it has gone meanwhile; one that confirms the wall
// clock is not.
func TestDriver_ContradictingPositionIsConfirmed(t *testing.T) {
	for _, c := range []struct {
		name       string
		ahead      time.Duration
		gone       bool
		wantTimers int
		want       string
	}{{"wrong clock", -time.Hour, false, 1, "[primary]"}, {"gone", -time.Hour, true, 1, "[]"}, {"right clock", 0, false, 0, "[]"}} {
		t.Run(c.name, func(t *testing.T) {
			driver, _ := newDriverAt(c.ahead)
			members := &checkRecorder{}
			driver.SetBackend(members)
			driver.EnablePositionChecks()
			driver.report("primary", router.Primary, 0)
			if c.gone {
				driver.Forget("primary")
			}
			if len(driver.confirming) != c.wantTimers {
				t.Fatalf("%d checks are to come, want %d", len(driver.confirming), c.wantTimers)
			}
			for len(driver.confirming) > 0 {
				select {
				case f := <-driver.mailbox:
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
