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

// clusterTime returns the current time on the cluster's clock.
func clusterTime() float64 { return float64(time.Now().UnixMicro()) / 1000 }

// newDriverAt returns a driver on a machine whose wall clock is ahead by the given duration, and the members whose reports it has
// forwarded.
func newDriverAt(ahead time.Duration) (*Driver, *[]string) {
	classes := map[string]*router.RequestClass{"read": {LatencyObjective: 500, Deadline: 1000, PriorityWeight: 1, Effect: router.Idempotent, Level: router.Session}}
	driver := New(NewLoopAt(256, time.Now().Add(ahead)), router.New(&router.Settings{Routers: 1, MaxAttempts: 3, CanHealthCheck: true,
		RequestClasses: classes}, 1), classes, func() {})
	driver.SetBackend(noBackend{})
	var forwarded []string
	driver.OnReport(func(member string, _ router.Role, _ float64) { forwarded = append(forwarded, member) })
	return driver, &forwarded
}

// report records a position of the given age in ms, as the result of a health check that has just started. It reports whether the
// position is possible.
func (driver *Driver) report(member string, role router.Role, age float64) bool {
	sent := driver.Clock()
	position := clusterTime() - age
	driver.RecordPosition(member, role, position, sent)
	driver.now = driver.Clock()
	if !driver.PositionPossible(position) {
		return false
	}
	driver.Reported(member, role, position)
	return true
}

// Guards against stale reads from a replica that lags by about as much as the local wall clock is behind, and so appears current. Its
// position must not be used until a primary has reported. The test forces the order: the replica reports first.
func TestDriver_PositionsWaitForPrimary(t *testing.T) {
	driver, forwarded := newDriverAt(-600 * time.Millisecond)
	driver.report("replica", router.Replica, 700)
	if driver.positionOnLoop(clusterTime()) != router.Never || len(*forwarded) != 0 {
		t.Errorf("a position is used although only a replica has reported: %v", *forwarded)
	}
	driver.report("primary", router.Primary, 0)
	driver.report("primary", router.Primary, 0)
	if got := fmt.Sprint(*forwarded); got != "[replica primary]" && got != "[replica primary primary]" {
		t.Errorf("forwarded %s", got)
	}
	if difference := math.Abs(driver.ClusterNow() - clusterTime()); difference > 100 {
		t.Errorf("the estimate of the cluster's clock is off by %.0f ms", difference)
	}
}

// With a correct wall clock, no report is delayed until a second one arrives, and the clock offset is zero.
func TestDriver_PositionsWithCorrectClock(t *testing.T) {
	driver, forwarded := newDriverAt(0)
	driver.report("primary", router.Primary, 0)
	driver.report("replica", router.Replica, 30)
	if got := fmt.Sprint(*forwarded); got != "[primary replica]" || driver.FromLoop(0) != 0 {
		t.Errorf("forwarded %s, offset %v", got, driver.FromLoop(0))
	}
	if driver.report("replica", router.Replica, -2*MaxPositionAhead) {
		t.Error("a position in the future is possible")
	}
}

// A session's position is validated against the cluster's clock. No position is rejected before that clock is known.
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
		for started := time.Now(); !driver.clockSettled(); { // a clock that is an hour ahead takes a second of steady reports
			if driver.report("primary", router.Primary, 0); time.Since(started) > 20*time.Second {
				t.Fatal("the clock never settled")
			}
		}
		if err := arrive("settled", clusterTime()); err != nil {
			t.Errorf("ahead by %v: %v", ahead, err)
		}
		if err := arrive("future", clusterTime()+3*MaxPositionAhead); !errors.Is(err, ErrFuturePosition) {
			t.Errorf("ahead by %v, a position in the future: got %v", ahead, err)
		}
	}
}

// Start times in the endpoint list are on the cluster's clock. Each is converted once, and the result is never in the future.
func TestStartTimes_ConvertedOnce(t *testing.T) {
	driver, _ := newDriverAt(-time.Hour)
	starts := NewStartTimes(driver.Loop)
	reported := clusterTime() - 5000
	if at := starts.Convert("a", reported); at > driver.Now() {
		t.Errorf("before the cluster's clock is known: started %.0f ms ahead", at-driver.Now())
	}
	driver.report("primary", router.Primary, 0)
	driver.report("primary", router.Primary, 0)
	at := starts.Convert("a", reported)
	if age := driver.Now() - at; age < 4900 || age > 6000 {
		t.Errorf("started %.0f ms ago, want 5000", age)
	}
	if starts.ConvertPeer("a", reported) != at || starts.Convert("a", reported) != at {
		t.Error("one start time has two converted values")
	}
	if starts.Convert("b", router.Never) != router.Never || starts.ConvertPeer("b", 0) != router.Never {
		t.Error("a start long ago is converted to a time")
	}
	if starts.Retain(map[string]bool{"b": true}); len(starts.converted) != 0 {
		t.Errorf("%d members are retained, want none", len(starts.converted))
	}
}

// checkRecorder records the members whose health is checked.
type checkRecorder struct {
	Backend
	checked []string
}

func (c *checkRecorder) HealthCheck(member string) { c.checked = append(c.checked, member) }

// A primary whose position contradicts the wall clock is checked again soon, unless it has been removed in the meantime. A primary that
// confirms the wall clock is not checked again.
func TestDriver_ContradictingPositionIsConfirmed(t *testing.T) {
	for _, c := range []struct {
		name       string
		ahead      time.Duration
		removed    bool
		wantTimers int
		want       string
	}{{"wrong clock", -time.Hour, false, 1, "[primary]"}, {"removed", -time.Hour, true, 1, "[]"}, {"correct clock", 0, false, 0, "[]"}} {
		t.Run(c.name, func(t *testing.T) {
			driver, _ := newDriverAt(c.ahead)
			members := &checkRecorder{}
			driver.SetBackend(members)
			driver.EnablePositionChecks()
			driver.report("primary", router.Primary, 0)
			if c.removed {
				driver.ForgetMember("primary")
			}
			if len(driver.confirming) != c.wantTimers {
				t.Fatalf("%d checks are scheduled, want %d", len(driver.confirming), c.wantTimers)
			}
			for len(driver.confirming) > 0 {
				select {
				case f := <-driver.mailbox:
					f()
				case <-time.After(20 * time.Second):
					t.Fatal("the scheduled check was not made")
				}
			}
			if got := fmt.Sprint(members.checked); got != c.want {
				t.Errorf("checked %s, want %s", got, c.want)
			}
		})
	}
}
