package leaseclient

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"wayloft/internal/decide/lease"
	"wayloft/internal/decide/leasestate"
	"wayloft/internal/decide/policy"
)

// table is an agent and a register that answers it at once.
type table struct {
	t   *testing.T
	a   *Client
	r   *leasestate.State
	now float64
	at  uint64
	log []leasestate.Kind
}

func sit(t *testing.T, duties ...string) *table {
	return &table{t: t, r: leasestate.New("f"), a: New(Settings{Name: "p", Role: "router", Incarnation: 1, SessionTimeout: 1000, SafetyMargin: 100, Leases: duties, Seed: 1})}
}

func (s *table) apply(e leasestate.Entry) leasestate.Result {
	s.at++
	return s.r.Apply(s.at, e)
}

func (s *table) stands(duties []string) (fences []lease.Token) {
	for _, duty := range duties {
		fences = append(fences, s.r.LatestToken(duty))
	}
	return fences
}

// to lets time pass, in steps of 10 ms, with requests answered or not.
func (s *table) to(at float64, answers bool) (starts, stops int) {
	for ; s.now < at; s.now += 10 {
		s.apply(leasestate.Entry{Kind: leasestate.AdvanceTime, Elapsed: 10})
		s.a.Advance(s.now)
		for d, more := s.a.Next(); more; d, more = s.a.Next() {
			switch d.Action {
			case Propose:
				if s.log = append(s.log, d.Entry.Kind); answers {
					s.a.Answered(d.Request, s.apply(d.Entry))
				} else {
					s.a.Failed(d.Request)
				}
			case QueryTokens:
				s.a.TokensLearned(d.Request, s.stands(d.Leases))
			case Start:
				starts++
			case Stop:
				stops++
			}
		}
	}
	return starts, stops
}

func (s *table) count(k leasestate.Kind) (n int) {
	for _, one := range s.log {
		if one == k {
			n++
		}
	}
	return n
}

// A session is opened before anything is asked for; a lease is held on, and lost and found again with the coordinator.
func TestHoldsOn(t *testing.T) {
	s := sit(t, "d")
	if starts, stops := s.to(5000, true); starts != 1 || stops != 0 || s.log[0] != leasestate.OpenSession || s.count(leasestate.OpenSession) != 1 {
		t.Fatalf("%d starts, %d stops, %v", starts, stops, s.log)
	}
	fence, may := s.a.Valid("d")
	if !may || fence != (lease.Token{Epoch: 1, Count: 1}) {
		t.Fatal(fence, may)
	}
	if starts, stops := s.to(8000, false); starts != 0 || stops != 1 {
		t.Fatalf("without the council: %d starts, %d stops", starts, stops)
	}
	s.log = nil
	if starts, _ := s.to(14000, true); starts != 1 || s.a.Reopened != 1 || s.count(leasestate.OpenSession) != 1 {
		t.Fatalf("back: %d starts, reopened %d times, %v", starts, s.a.Reopened, s.log)
	}
	if fence, may = s.a.Valid("d"); !may || fence.Count != 2 {
		t.Error("its session had ended, the grant must be another:", fence, may)
	}
}

// While the coordinator is away each try comes later than the one before, up to a bound.
func TestTriesLessOften(t *testing.T) {
	s := sit(t)
	s.to(60000, false)
	if n := s.count(leasestate.OpenSession); n < 25 || n > 80 {
		t.Errorf("%d tries in a minute", n)
	}
}

// A receiver asks where fencing tokens stand before it takes anything, and takes no lower one then; who holds a lease knows its own fencing token.
func TestReceives(t *testing.T) {
	s := sit(t, "d")
	scope := lease.Scope{Lease: "e", Subject: "g"}
	old := lease.Token{Epoch: 1, Count: 2}
	if v, _ := s.a.Check(scope, "q", old); v != lease.NotLearned {
		t.Fatal("took an act of a duty that it knows nothing of:", v)
	}
	s.to(500, true)
	if v, _ := s.a.Check(scope, "q", old); v != lease.Accepted {
		t.Fatal(v)
	}
	s.a.UpdateReceived(Update{Leases: []Lease{{Name: "e", Holder: "x", Token: lease.Token{Epoch: 1, Count: 5}}}})
	if v, highest := s.a.Check(scope, "q", old); v != lease.Stale || highest.Count != 5 || s.a.RejectedActs != 1 {
		t.Error("the watch told of a higher fence:", v, highest)
	}
	if v, _ := s.a.Check(lease.Scope{Lease: "d", Subject: "g"}, "q", lease.Token{Epoch: 1}); v != lease.Stale {
		t.Error("its own duty's former owner:", v)
	}
}

// A coordinator that has gone back is told, with the holder whose act was taken, again while it stays so.
func TestTellsOfHigherFences(t *testing.T) {
	s := sit(t)
	s.a.LearnToken("e")
	s.to(500, true)
	s.a.Check(lease.Scope{Lease: "e", Subject: "g"}, "q", lease.Token{Epoch: 1, Count: 7})
	s.a.UpdateReceived(Update{Complete: true, Leases: []Lease{{Name: "e", Holder: "x", Token: lease.Token{Epoch: 1, Count: 2}}}})
	s.to(1000, true)
	if d, _ := s.r.Lease("e"); d.ForeignToken.Count != 7 {
		t.Fatalf("the council knows nothing of it: %+v, %v", d, s.log)
	}
	if s.to(9000, true); s.count(leasestate.ReportToken) < 2 || s.count(leasestate.ReportToken) > 4 {
		t.Errorf("told %d times in 9 s", s.count(leasestate.ReportToken))
	}
}

// One that leaves stops first, gives back what it holds, and is gone once that is answered or can't be.
func TestLeaves(t *testing.T) {
	for _, answers := range []bool{true, false} {
		s := sit(t, "d")
		s.to(500, true)
		s.a.Shutdown()
		_, stops := s.to(600, answers)
		if _, may := s.a.Valid("d"); may || stops != 1 || !s.a.ShutdownComplete() {
			t.Errorf("answered %v: may %v, %d stops, left %v", answers, may, stops, s.a.ShutdownComplete())
		}
		if _, open := s.r.Session("p"); open == answers {
			t.Errorf("answered %v: its session is there: %v", answers, open)
		}
	}
}

// What a watcher hears is what has changed, and all of it where it is behind or ahead.
func TestChanges(t *testing.T) {
	s := sit(t, "d")
	s.to(500, true)
	u, at := Changes(s.r, 0, false)
	if !u.Complete || len(u.Sessions) != 1 || len(u.Leases) != 1 || u.Leases[0].Holder != "p" {
		t.Fatalf("%+v", u)
	}
	s.apply(leasestate.Entry{Kind: leasestate.PlaceOrder, Lease: "d", Text: "x"})
	if u, _ = Changes(s.r, at, false); u.Complete || len(u.Sessions) != 0 || len(u.Leases) != 1 || u.Leases[0].Open.Text != "x" {
		t.Errorf("%+v", u)
	}
	if u, _ = Changes(s.r, at+1000, false); !u.Complete {
		t.Error("who is ahead of this state must hear all of it")
	}
}

// Guards against a look at the time that costs by how many leases a process has or would have, and not by what is due.
func TestTimeTouchesWhatIsDue(t *testing.T) {
	var duties []string
	for n := range 200 {
		duties = append(duties, fmt.Sprint("sight/", n))
	}
	s := sit(t, duties...)
	if starts, _ := s.to(10000, true); starts != len(duties) {
		t.Fatalf("%d duties of %d began", starts, len(duties))
	}
	if asks := s.count(leasestate.AcquireLease); s.a.touched > asks+len(duties) || asks < 20*len(duties) {
		t.Errorf("in 1,000 looks holders were gone over %d times; they asked %d times, which is what time had them do", s.a.touched, asks)
	}
	if _, stops := s.to(12000, false); stops != len(duties) || s.a.NextDeadline() <= s.now-10 {
		t.Errorf("without the council %d duties of %d ended in time; due at %v, it is %v", stops, len(duties), s.a.NextDeadline(), s.now)
	}
}

// propose has the replicated state take a document of one field.
func (s *table) propose(share string) policy.Version {
	b := s.r.Policy()
	p := policy.Propose(b.Version, b.Document, policy.Document{"over_share_value": share}, "a", "to "+share)
	if a := s.apply(leasestate.Entry{Kind: leasestate.ProposePolicy, Proposal: &p}); !a.Held {
		s.t.Fatal(a)
	}
	return s.r.Policy().Version
}

// Versions are told with what led to them, as far as that is short; what sessions say of them is told to nobody, and who wants no
// sessions hears of none.
func TestTellsPolicies(t *testing.T) {
	s := sit(t)
	s.to(500, true)
	_, at := Changes(s.r, 0, true)
	first := s.propose("0.2")
	second := s.propose("0.3")
	u, next := Changes(s.r, at, true)
	if len(u.Policies) != 2 || u.Policies[0].Version != first || u.Policies[1].Version != second || u.Policies[1].Difference.Set["over_share_value"] != "0.3" {
		t.Fatalf("%+v", u)
	}
	s.a.PolicyApplied(second.Number64(), 0, "")
	s.to(1000, true)
	s.apply(leasestate.Entry{Kind: leasestate.OpenSession, Session: "q", Incarnation: 1, Timeout: 60000})
	if one, _ := s.r.Session("p"); one.Policy != second.Number64() {
		t.Error("the council doesn't know of it:", one)
	}
	if u, _ := Changes(s.r, next, true); len(u.Sessions)+len(u.Policies) != 0 || !u.WithoutSessions {
		t.Errorf("%+v", u)
	}
	if u, _ := Changes(s.r, next, false); len(u.Sessions) != 1 || u.Sessions[0].Name != "q" {
		t.Errorf("only the new session is news: %+v", u)
	}
	if u, _ := Changes(s.r, 0, true); !u.Complete || len(u.Sessions) != 0 || len(u.Policies) != 1 || u.Policies[0].Version != second {
		t.Errorf("%+v", u)
	}
	at = s.r.Index()
	b := s.r.Policy()
	wide := policy.Document{}
	for n := range 100 {
		wide[fmt.Sprintf("tenants.%03d.rate", n)] = "1"
	}
	p := policy.Propose(b.Version, b.Document, wide, "a", "wide")
	s.apply(leasestate.Entry{Kind: leasestate.ProposePolicy, Proposal: &p})
	if u, _ := Changes(s.r, at, true); len(u.Policies) != 1 || u.Policies[0].Difference != nil || u.Policies[0].Version != s.r.Policy().Version {
		t.Errorf("too long to be told: %+v", u)
	}
}

// What a process goes by is said with the next beat, at once, and again when its session begins anew.
func TestGoesBy(t *testing.T) {
	s := sit(t)
	s.to(500, true)
	v := s.propose("0.2")
	s.log = nil
	s.a.PolicyApplied(0, v.Number64(), "no memory")
	s.to(s.now+11, true)
	if one, _ := s.r.Session("p"); one.RejectedPolicy != v.Number64() || one.Reason != "no memory" || s.count(leasestate.KeepAlive) != 1 {
		t.Fatal(one, s.log)
	}
	s.a.PolicyApplied(v.Number64(), 0, "")
	s.to(s.now+11, true)
	if one, _ := s.r.Session("p"); one.Policy != v.Number64() || one.RejectedPolicy != 0 || one.Reason != "" {
		t.Fatal(one)
	}
	s.to(s.now+4000, false)
	if _, open := s.r.Session("p"); open {
		t.Fatal("its session was to end")
	}
	s.to(s.now+6000, true)
	if one, _ := s.r.Session("p"); one.Policy != v.Number64() || s.a.Reopened != 1 {
		t.Error(one, s.a.Reopened)
	}
}

// A watch that leaves sessions out says nothing of who there is.
func TestOthers(t *testing.T) {
	s := sit(t)
	s.a.UpdateReceived(Update{Complete: true, Sessions: []Session{{Name: "q", Role: "router"}}})
	if !s.a.SessionsComplete() || len(s.a.Sessions("router")) != 1 {
		t.Error("it was told of all")
	}
	s.a.UpdateReceived(Update{Complete: true, WithoutSessions: true})
	if s.a.SessionsComplete() || len(s.a.Sessions("router")) != 0 {
		t.Error("it was told of none")
	}
}

// asks pulls the questions where leases stand that are due.
func (s *table) asks() (all []Decision) {
	s.a.Advance(s.now)
	for d, more := s.a.Next(); more; d, more = s.a.Next() {
		switch d.Action {
		case Propose:
			s.a.Answered(d.Request, s.apply(d.Entry))
		case QueryTokens:
			all = append(all, d)
		}
	}
	return all
}

// Guards against a start that asks the coordinator once a lease: what is due together goes in one question, as many as one carries; what
// brought no answer, or a part of one, is asked again together, later.
func TestAsksWhereAllStandAtOnce(t *testing.T) {
	s := sit(t)
	learn := func(n int) {
		for i := range n {
			s.a.LearnToken(fmt.Sprintf("d/%03d", i))
		}
	}
	learn(328)
	all := s.asks()
	if len(all) != 2 || len(all[0].Leases) != 256 || len(all[1].Leases) != 72 || all[0].Leases[0] != "d/000" || all[1].Leases[71] != "d/327" {
		t.Fatalf("%d questions where 328 duties stand, not 2 of 256 and 72", len(all))
	}
	if learn(328); len(s.asks()) != 0 {
		t.Fatal("asked again what is being asked")
	}
	// Of the first ten alone it is told where they stand, and of those after 256 nothing.
	s.a.TokensLearned(all[0].Request, s.stands(all[0].Leases)[:10])
	s.a.Failed(all[1].Request)
	if n := len(s.asks()); n != 0 {
		t.Fatalf("asked again at once, %d times", n)
	}
	known := func() (n int) {
		for i := range 328 {
			if s.a.receiver.Learned(fmt.Sprintf("d/%03d", i)) {
				n++
			}
		}
		return n
	}
	if n := known(); n != 10 {
		t.Fatalf("knows where %d stand, not 10", n)
	}
	s.now = 1000 // both are due again
	if all = s.asks(); len(all) != 2 || len(all[0].Leases) != 256 || len(all[1].Leases) != 62 || all[0].Leases[0] != "d/010" {
		t.Fatalf("%d questions again, not 2 of 256 and 62", len(all))
	}
	// An answer of more than was asked, or none that tells fencing tokens, is none.
	s.a.TokensLearned(all[0].Request, make([]lease.Token, 257))
	s.a.Answered(all[1].Request, leasestate.Result{})
	s.a.TokensLearned(all[1].Request, s.stands(all[1].Leases)) // late: it was given up
	if n := known(); n != 10 {
		t.Fatalf("knows where %d stand, not 10", n)
	}
	if s.to(10000, true); known() != 328 {
		t.Errorf("knows where %d stand in the end, not 328", known())
	}
}

// While no answer comes, leases that were asked about together stay together, and each try comes later than the one before.
func TestAsksWhereTheyStandLessOften(t *testing.T) {
	s := sit(t)
	for i := range 100 {
		s.a.LearnToken(fmt.Sprint(i))
	}
	n := 0
	for ; s.now < 60000; s.now += 10 {
		s.apply(leasestate.Entry{Kind: leasestate.AdvanceTime, Elapsed: 10})
		for _, d := range s.asks() {
			if n++; len(d.Leases) != 100 {
				t.Fatalf("try %d is about %d duties", n, len(d.Leases))
			}
			s.a.Failed(d.Request)
		}
	}
	if n < 25 || n > 80 {
		t.Errorf("%d tries in a minute", n)
	}
}

// Each lease in a question is learned with its own fencing token; names that are long go in questions of their own.
func TestStandsInOrder(t *testing.T) {
	s := sit(t)
	long := strings.Repeat("b", nameBytes+1)
	for _, duty := range []string{"c", long, "a", "d"} {
		s.a.LearnToken(duty)
	}
	all := s.asks()
	if len(all) != 3 || !slices.Equal(all[0].Leases, []string{"a"}) || !slices.Equal(all[1].Leases, []string{long}) || !slices.Equal(all[2].Leases, []string{"c", "d"}) {
		t.Fatalf("%d questions", len(all))
	}
	s.a.TokensLearned(all[2].Request, []lease.Token{{Epoch: 1, Count: 7}, {Epoch: 1, Count: 3}})
	for duty, count := range map[string]uint64{"c": 7, "d": 3} {
		if highest, _ := s.a.receiver.Highest(duty); highest.Count != count {
			t.Errorf("%s stands at %v, not at %d", duty, highest, count)
		}
	}
}
