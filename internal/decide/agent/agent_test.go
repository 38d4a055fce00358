package agent

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"wayloft/internal/decide/lease"
	"wayloft/internal/decide/policy"
	"wayloft/internal/decide/register"
)

// table is an agent and a register that answers it at once.
type table struct {
	t   *testing.T
	a   *Agent
	r   *register.Register
	now float64
	at  uint64
	log []register.Kind
}

func sit(t *testing.T, duties ...string) *table {
	return &table{t: t, r: register.New("f"), a: New(Settings{Name: "p", Kind: "router", Incarnation: 1, Length: 1000, Margin: 100, Duties: duties, Seed: 1})}
}

func (s *table) apply(e register.Entry) register.Answer {
	s.at++
	return s.r.Apply(s.at, e)
}

func (s *table) stands(duties []string) (fences []lease.Fence) {
	for _, duty := range duties {
		fences = append(fences, s.r.Stands(duty))
	}
	return fences
}

// to lets time pass, in steps of 10 ms, with requests answered or not.
func (s *table) to(at float64, answers bool) (starts, stops int) {
	for ; s.now < at; s.now += 10 {
		s.apply(register.Entry{Kind: register.Tick, Passed: 10})
		s.a.At(s.now)
		for d, more := s.a.Next(); more; d, more = s.a.Next() {
			switch d.Verb {
			case Call:
				if s.log = append(s.log, d.Entry.Kind); answers {
					s.a.Answered(d.Number, s.apply(d.Entry))
				} else {
					s.a.Failed(d.Number)
				}
			case Stand:
				s.a.Stood(d.Number, s.stands(d.Duties))
			case Start:
				starts++
			case Stop:
				stops++
			}
		}
	}
	return starts, stops
}

func (s *table) count(k register.Kind) (n int) {
	for _, one := range s.log {
		if one == k {
			n++
		}
	}
	return n
}

// A session is opened before anything is asked for; a duty is held on, and lost and found again with the council.
func TestHoldsOn(t *testing.T) {
	s := sit(t, "d")
	if starts, stops := s.to(5000, true); starts != 1 || stops != 0 || s.log[0] != register.Open || s.count(register.Open) != 1 {
		t.Fatalf("%d starts, %d stops, %v", starts, stops, s.log)
	}
	fence, may := s.a.May("d")
	if !may || fence != (lease.Fence{Epoch: 1, Count: 1}) {
		t.Fatal(fence, may)
	}
	if starts, stops := s.to(8000, false); starts != 0 || stops != 1 {
		t.Fatalf("without the council: %d starts, %d stops", starts, stops)
	}
	s.log = nil
	if starts, _ := s.to(14000, true); starts != 1 || s.a.Reopened != 1 || s.count(register.Open) != 1 {
		t.Fatalf("back: %d starts, reopened %d times, %v", starts, s.a.Reopened, s.log)
	}
	if fence, may = s.a.May("d"); !may || fence.Count != 2 {
		t.Error("its session had ended, the grant must be another:", fence, may)
	}
}

// While the council is away each try comes later than the one before, up to a bound.
func TestTriesLessOften(t *testing.T) {
	s := sit(t)
	s.to(60000, false)
	if n := s.count(register.Open); n < 25 || n > 80 {
		t.Errorf("%d tries in a minute", n)
	}
}

// A receiver asks where fences stand before it takes anything, and takes no lower one then; who holds a duty knows its own fence.
func TestReceives(t *testing.T) {
	s := sit(t, "d")
	scope := lease.Scope{Duty: "e", About: "g"}
	old := lease.Fence{Epoch: 1, Count: 2}
	if v, _ := s.a.Take(scope, "q", old); v != lease.Unknown {
		t.Fatal("took an act of a duty that it knows nothing of:", v)
	}
	s.to(500, true)
	if v, _ := s.a.Take(scope, "q", old); v != lease.Taken {
		t.Fatal(v)
	}
	s.a.Watched(Update{Duties: []Duty{{Name: "e", Holder: "x", Fence: lease.Fence{Epoch: 1, Count: 5}}}})
	if v, highest := s.a.Take(scope, "q", old); v != lease.Old || highest.Count != 5 || s.a.Refused != 1 {
		t.Error("the watch told of a higher fence:", v, highest)
	}
	if v, _ := s.a.Take(lease.Scope{Duty: "d", About: "g"}, "q", lease.Fence{Epoch: 1}); v != lease.Old {
		t.Error("its own duty's former owner:", v)
	}
}

// A council that has gone back is told, with the holder whose act was taken, again while it stays so.
func TestTellsOfHigherFences(t *testing.T) {
	s := sit(t)
	s.a.Learn("e")
	s.to(500, true)
	s.a.Take(lease.Scope{Duty: "e", About: "g"}, "q", lease.Fence{Epoch: 1, Count: 7})
	s.a.Watched(Update{Whole: true, Duties: []Duty{{Name: "e", Holder: "x", Fence: lease.Fence{Epoch: 1, Count: 2}}}})
	s.to(1000, true)
	if d, _ := s.r.Duty("e"); d.Barred.Count != 7 {
		t.Fatalf("the council knows nothing of it: %+v, %v", d, s.log)
	}
	if s.to(9000, true); s.count(register.Told) < 2 || s.count(register.Told) > 4 {
		t.Errorf("told %d times in 9 s", s.count(register.Told))
	}
}

// One that leaves stops first, gives back what it holds, and is gone once that is answered or can't be.
func TestLeaves(t *testing.T) {
	for _, answers := range []bool{true, false} {
		s := sit(t, "d")
		s.to(500, true)
		s.a.Leave()
		_, stops := s.to(600, answers)
		if _, may := s.a.May("d"); may || stops != 1 || !s.a.Left() {
			t.Errorf("answered %v: may %v, %d stops, left %v", answers, may, stops, s.a.Left())
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
	if !u.Whole || len(u.Sessions) != 1 || len(u.Duties) != 1 || u.Duties[0].Holder != "p" {
		t.Fatalf("%+v", u)
	}
	s.apply(register.Entry{Kind: register.Order, Duty: "d", Text: "x"})
	if u, _ = Changes(s.r, at, false); u.Whole || len(u.Sessions) != 0 || len(u.Duties) != 1 || u.Duties[0].Open.Text != "x" {
		t.Errorf("%+v", u)
	}
	if u, _ = Changes(s.r, at+1000, false); !u.Whole {
		t.Error("who is ahead of this state must hear all of it")
	}
}

// Guards against a look at the time that costs by how many duties a process has or would have, and not by what is due.
func TestTimeTouchesWhatIsDue(t *testing.T) {
	var duties []string
	for n := range 200 {
		duties = append(duties, fmt.Sprint("sight/", n))
	}
	s := sit(t, duties...)
	if starts, _ := s.to(10000, true); starts != len(duties) {
		t.Fatalf("%d duties of %d began", starts, len(duties))
	}
	if asks := s.count(register.Take); s.a.touched > asks+len(duties) || asks < 20*len(duties) {
		t.Errorf("in 1,000 looks holders were gone over %d times; they asked %d times, which is what time had them do", s.a.touched, asks)
	}
	if _, stops := s.to(12000, false); stops != len(duties) || s.a.Due() <= s.now-10 {
		t.Errorf("without the council %d duties of %d ended in time; due at %v, it is %v", stops, len(duties), s.a.Due(), s.now)
	}
}

// propose has the register take a document of one field.
func (s *table) propose(share string) policy.Version {
	b := s.r.Policy()
	p := policy.Propose(b.Version, b.Document, policy.Document{"over_share_value": share}, "a", "to "+share)
	if a := s.apply(register.Entry{Kind: register.Propose, Proposal: &p}); !a.Held {
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
	s.a.GoBy(second.Mark(), 0, "")
	s.to(1000, true)
	s.apply(register.Entry{Kind: register.Open, Session: "q", Incarnation: 1, Length: 60000})
	if one, _ := s.r.Session("p"); one.Policy != second.Mark() {
		t.Error("the council doesn't know of it:", one)
	}
	if u, _ := Changes(s.r, next, true); len(u.Sessions)+len(u.Policies) != 0 || !u.WithoutSessions {
		t.Errorf("%+v", u)
	}
	if u, _ := Changes(s.r, next, false); len(u.Sessions) != 1 || u.Sessions[0].Name != "q" {
		t.Errorf("only the new session is news: %+v", u)
	}
	if u, _ := Changes(s.r, 0, true); !u.Whole || len(u.Sessions) != 0 || len(u.Policies) != 1 || u.Policies[0].Version != second {
		t.Errorf("%+v", u)
	}
	at = s.r.Index()
	b := s.r.Policy()
	wide := policy.Document{}
	for n := range 100 {
		wide[fmt.Sprintf("tenants.%03d.rate", n)] = "1"
	}
	p := policy.Propose(b.Version, b.Document, wide, "a", "wide")
	s.apply(register.Entry{Kind: register.Propose, Proposal: &p})
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
	s.a.GoBy(0, v.Mark(), "no memory")
	s.to(s.now+11, true)
	if one, _ := s.r.Session("p"); one.Wont != v.Mark() || one.Why != "no memory" || s.count(register.Beat) != 1 {
		t.Fatal(one, s.log)
	}
	s.a.GoBy(v.Mark(), 0, "")
	s.to(s.now+11, true)
	if one, _ := s.r.Session("p"); one.Policy != v.Mark() || one.Wont != 0 || one.Why != "" {
		t.Fatal(one)
	}
	s.to(s.now+4000, false)
	if _, open := s.r.Session("p"); open {
		t.Fatal("its session was to end")
	}
	s.to(s.now+6000, true)
	if one, _ := s.r.Session("p"); one.Policy != v.Mark() || s.a.Reopened != 1 {
		t.Error(one, s.a.Reopened)
	}
}

// A watch that leaves sessions out says nothing of who there is.
func TestOthers(t *testing.T) {
	s := sit(t)
	s.a.Watched(Update{Whole: true, Sessions: []Session{{Name: "q", Kind: "router"}}})
	if !s.a.Others() || len(s.a.Sessions("router")) != 1 {
		t.Error("it was told of all")
	}
	s.a.Watched(Update{Whole: true, WithoutSessions: true})
	if s.a.Others() || len(s.a.Sessions("router")) != 0 {
		t.Error("it was told of none")
	}
}

// asks pulls the questions where duties stand that are due.
func (s *table) asks() (all []Decision) {
	s.a.At(s.now)
	for d, more := s.a.Next(); more; d, more = s.a.Next() {
		switch d.Verb {
		case Call:
			s.a.Answered(d.Number, s.apply(d.Entry))
		case Stand:
			all = append(all, d)
		}
	}
	return all
}

// Guards against a start that asks the council once a duty: what is due together goes in one question, as many as one carries; what
// brought no answer, or a part of one, is asked again together, later.
func TestAsksWhereAllStandAtOnce(t *testing.T) {
	s := sit(t)
	learn := func(n int) {
		for i := range n {
			s.a.Learn(fmt.Sprintf("d/%03d", i))
		}
	}
	learn(328)
	all := s.asks()
	if len(all) != 2 || len(all[0].Duties) != 256 || len(all[1].Duties) != 72 || all[0].Duties[0] != "d/000" || all[1].Duties[71] != "d/327" {
		t.Fatalf("%d questions where 328 duties stand, not 2 of 256 and 72", len(all))
	}
	if learn(328); len(s.asks()) != 0 {
		t.Fatal("asked again what is being asked")
	}
	// Of the first ten alone it is told where they stand, and of those after 256 nothing.
	s.a.Stood(all[0].Number, s.stands(all[0].Duties)[:10])
	s.a.Failed(all[1].Number)
	if n := len(s.asks()); n != 0 {
		t.Fatalf("asked again at once, %d times", n)
	}
	known := func() (n int) {
		for i := range 328 {
			if s.a.receiver.Knows(fmt.Sprintf("d/%03d", i)) {
				n++
			}
		}
		return n
	}
	if n := known(); n != 10 {
		t.Fatalf("knows where %d stand, not 10", n)
	}
	s.now = 1000 // both are due again
	if all = s.asks(); len(all) != 2 || len(all[0].Duties) != 256 || len(all[1].Duties) != 62 || all[0].Duties[0] != "d/010" {
		t.Fatalf("%d questions again, not 2 of 256 and 62", len(all))
	}
	// An answer of more than was asked, or none that tells fences, is none.
	s.a.Stood(all[0].Number, make([]lease.Fence, 257))
	s.a.Answered(all[1].Number, register.Answer{})
	s.a.Stood(all[1].Number, s.stands(all[1].Duties)) // late: it was given up
	if n := known(); n != 10 {
		t.Fatalf("knows where %d stand, not 10", n)
	}
	if s.to(10000, true); known() != 328 {
		t.Errorf("knows where %d stand in the end, not 328", known())
	}
}

// While no answer comes, duties that were asked about together stay together, and each try comes later than the one before.
func TestAsksWhereTheyStandLessOften(t *testing.T) {
	s := sit(t)
	for i := range 100 {
		s.a.Learn(fmt.Sprint(i))
	}
	n := 0
	for ; s.now < 60000; s.now += 10 {
		s.apply(register.Entry{Kind: register.Tick, Passed: 10})
		for _, d := range s.asks() {
			if n++; len(d.Duties) != 100 {
				t.Fatalf("try %d is about %d duties", n, len(d.Duties))
			}
			s.a.Failed(d.Number)
		}
	}
	if n < 25 || n > 80 {
		t.Errorf("%d tries in a minute", n)
	}
}

// Each duty in a question is learned with its own fence; names that are long go in questions of their own.
func TestStandsInOrder(t *testing.T) {
	s := sit(t)
	long := strings.Repeat("b", nameBytes+1)
	for _, duty := range []string{"c", long, "a", "d"} {
		s.a.Learn(duty)
	}
	all := s.asks()
	if len(all) != 3 || !slices.Equal(all[0].Duties, []string{"a"}) || !slices.Equal(all[1].Duties, []string{long}) || !slices.Equal(all[2].Duties, []string{"c", "d"}) {
		t.Fatalf("%d questions", len(all))
	}
	s.a.Stood(all[2].Number, []lease.Fence{{Epoch: 1, Count: 7}, {Epoch: 1, Count: 3}})
	for duty, count := range map[string]uint64{"c": 7, "d": 3} {
		if highest, _ := s.a.receiver.Highest(duty); highest.Count != count {
			t.Errorf("%s stands at %v, not at %d", duty, highest, count)
		}
	}
}
