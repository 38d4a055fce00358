package fleet

import (
	"context"
	"sync"
	"testing"
	"time"

	"wayloft/internal/decide/leasestate"
	"wayloft/internal/fleetpb"
	"wayloft/internal/rpc"
)

// sessionCoordinator is a coordinator that only keeps sessions. Its time only advances by entries.
type sessionCoordinator struct {
	mu       sync.Mutex
	state    *leasestate.State
	index    uint64
	rejected chan leasestate.Result // of requests to open a session
	opened   chan uint64            // the incarnations of sessions that were opened
}

func newSessionCoordinator() *sessionCoordinator {
	return &sessionCoordinator{state: leasestate.New("lab"), rejected: make(chan leasestate.Result, 100), opened: make(chan uint64, 100)}
}

func (s *sessionCoordinator) apply(e leasestate.Entry) leasestate.Result {
	s.index++
	return s.state.Apply(s.index, e)
}

func (s *sessionCoordinator) do(_ context.Context, request *fleetpb.Request) (*fleetpb.Answer, error) {
	if len(request.Stands) > 0 {
		return &fleetpb.Answer{Fences: make([]*fleetpb.Fence, len(request.Stands))}, nil
	}
	e, err := leasestate.Decode(request.Entry)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.apply(e)
	if e.Kind == leasestate.OpenSession && a.Held {
		s.opened <- e.Incarnation
	} else if e.Kind == leasestate.OpenSession {
		s.rejected <- a
	}
	return &fleetpb.Answer{Held: a.Held, Why: string(a.Rejection), Number: a.Number, Fence: rpc.EncodeToken(a.Token)}, nil
}

// receive receives from a channel, and fails the test after a timeout.
func receive[T any](t *testing.T, what string, from chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(30 * time.Second):
		t.Fatal("timed out waiting for " + what)
		panic("unreachable")
	}
}

// startNode runs a process named "r" whose wall clock showed the given time when it started.
func (s *sessionCoordinator) startNode(t *testing.T, addr string, started time.Time, timeoutMs float64) {
	t.Helper()
	router := &fakeRouter{asked: make(chan bool, 100)}
	settings := testSettings("lab", addr)
	settings.SessionTimeoutMs, settings.SafetyMarginMs = timeoutMs, timeoutMs/10
	node := newNode(settings, router, started)
	ctx, cancel := context.WithCancel(context.Background())
	go node.Run(ctx, listen(t))
	t.Cleanup(func() { cancel(); <-node.Done() })
}

// A process that is started after the wall clock was stepped back replaces its predecessor's session without waiting for that to expire: the
// coordinator's time does not advance in this test.
func TestIncarnation_ProcessStartedAfterTheClockWasSteppedBack(t *testing.T) {
	s := newSessionCoordinator()
	addr := serveCoordinator(t, s.do)
	s.apply(leasestate.Entry{Kind: leasestate.OpenSession, Session: "r", Incarnation: uint64(time.Now().UnixMilli()), Timeout: 2000, Role: "router"})
	s.startNode(t, addr, time.Now().Add(-time.Hour), 60000) // no call times out on a busy machine
	if rejected := receive(t, "the rejection", s.rejected); rejected.Number == 0 {
		t.Error("the rejection has no incarnation of the existing session")
	}
	receive(t, "the session", s.opened)
}

// A process whose session has expired can't replace the session of a process that was started later, even if the wall clock was stepped back
// in between and the later process has a lower incarnation.
func TestIncarnation_FormerProcessIsRejected(t *testing.T) {
	s := newSessionCoordinator()
	addr := serveCoordinator(t, s.do)
	s.startNode(t, addr, time.Now(), 2000)
	receive(t, "the session", s.opened)
	s.mu.Lock()
	s.apply(leasestate.Entry{Kind: leasestate.AdvanceTime, Elapsed: 2001})
	later := uint64(time.Now().Add(-time.Hour).UnixMilli())
	granted := s.apply(leasestate.Entry{Kind: leasestate.OpenSession, Session: "r", Incarnation: later, Timeout: 2000, Role: "router"})
	s.mu.Unlock()
	if !granted.Held {
		t.Fatal("the former session has not expired:", granted)
	}
	select { // its next heartbeat is rejected because it has no session, and it requests one
	case a := <-s.rejected:
		if a.Number != later {
			t.Error(a)
		}
	case incarnation := <-s.opened:
		t.Fatalf("the former process replaced the session of incarnation %d with incarnation %d", later, incarnation)
	case <-time.After(30 * time.Second):
		t.Fatal("the former process requested no session")
	}
}
