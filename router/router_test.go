package router

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"testing"

	"wayloft/internal/fakes/scenario"
)

// A scenario is a text file, one step a line; # starts a comment.
//
//	set routers=2 lag=answers ...      settings, or "unused": no traffic before; then: type NAME level=write effect=once-only ...
//	at 120                             the time; what follows happens then; "paused": the router stood still up to then
//	turn t1 rests started              of the attempt sent last: whose turn it is, and whether its client has had a part
//	list whole a/2 b:draining c@-5     members, / and a group, states, @ the time of a start; "list changes" for changes only
//	list failed
//	arrive t1 TYPE ttl=500 age=20 session=s tenant=n group=2 marked
//	returned t1 miss role=replica position=90 done     of the attempt sent last
//	checked a ok role=primary position=100             or another outcome
//	gone t1
//	sighted a started=-5 role=primary position=100     another router's check; started: Never unless it says
//	hold 2000 | hold none                          writes of group 1 wait until then
//	tenant n rate=10 over=0.1                      its share, and what is over one is worth; before the first "at"
//	revalue TYPE value=5 late=0.2 | revalue tenant n rate=20 | revalue tenant n gone     later settings
//	want submit t1 a|b                 a decision that must be among those just pulled; it is used up
//	never submit t1                    none such may be left among them; a rejection tells its wait: rejection t1 400
//
// All members are in group 1, unless it says otherwise, and in the zone of their name's first letter.
var (
	outcomeWords = map[string]Outcome{"ok": Succeeded, "error": ServerError, "full": Overloaded, "timeout": TimedOut,
		"unconnected": ConnectFailed, "reset": Reset, "revoked": Canceled, "moot": NotSent, "miss": Misrouted}
	effectWords = map[string]Effect{"repeatable": Idempotent, "referenced": IdempotentWithKey, "once-only": NonIdempotent}
	levelWords  = map[string]Level{"any": Any, "bounded": Bounded, "session": Session, "fresh": Fresh,
		"write": Write}
	scopeWords = map[string]Scope{"all": ScopeAll, "zone": ScopeZone, "group": ScopeGroup}
	lagWords   = map[string]Lag{"answers": LagAnswers, "refuses": LagRefuses, "waits": LagWaits}
	roleWords  = map[string]Role{"": RoleUnknown, "primary": Primary, "replica": Replica}
	stateWords = map[string]State{"up": Up, "draining": Draining, "removed": Removed}
	verbWords  = map[Action]string{SendAttempt: "submit", CancelAttempt: "revoke", RejectRequest: "decline", FailRequest: "rollback",
		HealthCheck: "check", RequestList: "watch", CloseIdleConnections: "close", SetTimer: "alarm"}
)

func TestScenarios(t *testing.T) {
	scenario.Play(t, func() func(string) error {
		p := &play{set: &Settings{Routers: 1, MaxAttempts: 6, CanHealthCheck: true, CanCancel: true, SlowStartFloor: 0.2,
			SlowStartDuration: 10000, OverloadMultiple: 2.5, OverloadWindow: 2000, ListPollTimeout: 10000, RequestClasses: map[string]*RequestClass{},
			Tenants: map[string]float64{}}, last: map[string]Decision{}, count: map[string]int{}}
		return func(line string) error { return p.step(strings.Fields(line)) }
	})
}

type play struct {
	set    *Settings
	r      *Router
	now    float64
	unused bool // the group has had no traffic yet
	fresh  bool // inputs have come since the last pull
	out    []string
	last   map[string]Decision // the last attempt of each request
	count  map[string]int
}

// options splits key=value words off; a bare word stands for itself.
func options(words []string) map[string]string {
	m := map[string]string{}
	for _, w := range words {
		k, v, _ := strings.Cut(w, "=")
		m[k] = v
	}
	return m
}

func number(s string, otherwise float64) float64 {
	if x, err := strconv.ParseFloat(s, 64); err == nil {
		return x
	}
	return otherwise
}

func (p *play) step(w []string) error {
	o := options(w[1:])
	switch w[0] {
	case "set":
		p.set.Routers = int(number(o["routers"], float64(p.set.Routers)))
		p.set.MaxAttempts = int(number(o["submissions"], float64(p.set.MaxAttempts)))
		p.set.RetryAfter = number(o["retryafter"], 0)
		_, p.set.PollsList = o["ask"]
		_, p.set.RemembersCommits = o["remembered"]
		_, p.set.ClientsMarkRetries = o["marks"]
		_, p.set.SoftRemoval = o["soft"]
		_, p.unused = o["unused"]
		_, blind := o["nochecks"]
		p.set.CanHealthCheck = !blind
		p.set.Lag = lagWords[o["lag"]]
		return nil
	case "type":
		p.set.RequestClasses[w[1]] = &RequestClass{LatencyObjective: number(o["sla"], 500), PriorityWeight: number(o["value"], 1),
			Deadline:        number(o["expiry"], 3000),
			LateWeightShare: number(o["late"], 0), Effect: effectWords[o["effect"]], Scope: scopeWords[o["scope"]],
			IdempotencyWindow: number(o["window"], 5000), Level: levelWords[o["level"]], StalenessBound: number(o["bound"], 0)}
		return nil
	case "tenant":
		p.set.Tenants[w[1]], p.set.OverQuotaWeight = number(o["rate"], 0), number(o["over"], 0)
		return nil
	case "at":
		p.now = number(w[1], 0)
		if p.r == nil {
			p.r = New(p.set, 1)
			if !p.unused {
				p.r.activate(p.r.findGroup(1, true))
			}
		}
		if due := p.r.timerAt; due < p.now { // it rang in time, unless the step says that the router stood still
			if _, paused := o["paused"]; paused {
				due = p.now
			}
			p.r.Advance(due)
		}
		p.r.TimerFired()
		p.r.Advance(p.now)
		p.fresh = true
		return nil
	case "want", "never":
		return p.look(w[0] == "want", w[1:])
	}
	p.fresh = true
	switch w[0] {
	case "list":
		return p.list(w[1:])
	case "arrive":
		_, marked := o["marked"]
		if !p.r.Arrive(w[1], o["tenant"], o["session"], w[2], int(number(o["group"], 1)), number(o["age"], 0), number(o["ttl"], 1000),
			marked) {
			return fmt.Errorf("unknown txn type")
		}
		if waited := number(o["waited"], 0); waited > 0 {
			p.r.Queued(w[1], waited)
		}
	case "returned":
		d, sent := p.last[w[1]]
		how, known := outcomeWords[w[2]]
		if !sent || !known {
			return fmt.Errorf("never sent, or unknown outcome")
		}
		_, done := o["done"]
		p.r.AttemptEnded(w[1], d.Attempt, how, p.now-d.Time, done || how == Succeeded, roleWords[o["role"]],
			number(o["gtid"], Never))
	case "turn":
		_, rests := o["rests"]
		_, started := o["started"]
		p.r.TurnChanged(w[1], p.last[w[1]].Attempt, rests, started)
	case "checked":
		how, known := outcomeWords[w[2]]
		if !known {
			return fmt.Errorf("unknown outcome")
		}
		p.r.HealthChecked(w[1], how)
		if role := roleWords[o["role"]]; role != RoleUnknown {
			p.r.Reported(w[1], role, number(o["gtid"], Never))
		}
	case "gone":
		p.r.ClientGone(w[1])
	case "sighted":
		p.r.PeerReported(w[1], number(o["started"], Never), roleWords[o["role"]], number(o["gtid"], Never))
	case "hold":
		p.r.HoldWrites(1, number(w[1], 0))
	case "revalue":
		next := *p.r.settings
		next.RequestClasses, next.Tenants = maps.Clone(next.RequestClasses), maps.Clone(next.Tenants)
		_, gone := o["gone"]
		if kind := next.RequestClasses[w[1]]; kind != nil {
			other := *kind
			other.PriorityWeight, other.LateWeightShare = number(o["value"], kind.PriorityWeight), number(o["late"], kind.LateWeightShare)
			next.RequestClasses[w[1]] = &other
		} else if w[1] != "tenant" {
			return fmt.Errorf("unknown txn type")
		} else if gone {
			delete(next.Tenants, w[2])
		} else {
			next.Tenants[w[2]] = number(o["rate"], 0)
		}
		p.r.UpdateSettings(&next)
	default:
		return fmt.Errorf("unknown step")
	}
	return nil
}

func (p *play) list(w []string) error {
	if w[0] == "failed" {
		p.r.ListFailed()
		return nil
	}
	p.r.BeginList()
	for _, word := range w[1:] {
		word, at, _ := strings.Cut(word, "@")
		id, word, _ := strings.Cut(word, ":")
		id, group, _ := strings.Cut(id, "/")
		state, known := stateWords[word]
		if !known && word != "" {
			return fmt.Errorf("unknown state %q", word)
		}
		p.r.ListMember(id, id[:1], int(number(group, 1)), state, number(at, Never))
	}
	p.r.EndList(w[0] == "whole")
	if !p.unused { // traffic has had all that are listed asked
		for _, m := range p.r.findGroup(1, true).members {
			m.checkRequested = m.checkRequested || m.lastCheckSent == Never
		}
	}
	return nil
}

func (p *play) look(want bool, words []string) error {
	if p.fresh {
		p.fresh = false
		p.out = p.out[:0]
		for n := 0; ; n++ {
			d, more := p.r.Next()
			if !more {
				break
			}
			if n > 1000 {
				return fmt.Errorf("decisions without end")
			}
			if d.Action == SendAttempt {
				d.Attempt, d.Time = p.count[d.RequestID], p.now
				p.count[d.RequestID]++
				p.last[d.RequestID] = d
			}
			line := strings.Join(strings.Fields(verbWords[d.Action]+" "+d.RequestID+" "+d.Member), " ")
			if d.Action == RejectRequest {
				line += fmt.Sprintf(" %.0f", d.Wait)
			}
			p.out = append(p.out, line)
		}
	}
	i := slices.IndexFunc(p.out, func(line string) bool {
		got := strings.Fields(line)
		for n, word := range words {
			if n >= len(got) || !slices.Contains(strings.Split(word, "|"), got[n]) {
				return false
			}
		}
		return true
	})
	if want && i < 0 || !want && i >= 0 {
		return fmt.Errorf("decisions left: %s", strings.Join(p.out, "; "))
	}
	if want {
		p.out = slices.Delete(p.out, i, i+1)
	}
	return nil
}

// What is kept follows what is there now: members that come and go, with their groups, and requests, some for groups that
// were never listed, leave nothing behind, while what is out to a member that left still comes back.
func TestLevelsOff(t *testing.T) {
	read := &RequestClass{LatencyObjective: 500, PriorityWeight: 1, Deadline: 1000, Level: Any}
	r := New(&Settings{Routers: 1, MaxAttempts: 6, CanHealthCheck: true, SlowStartFloor: 1, SlowStartDuration: 1, OverloadMultiple: 2,
		OverloadWindow: 1000, RequestClasses: map[string]*RequestClass{"read": read}}, 1)
	pull := func(at float64) (sent []Decision, ended int) {
		r.Advance(at)
		for d, more := r.Next(); more; d, more = r.Next() {
			switch d.Action {
			case SendAttempt:
				sent = append(sent, d)
			case HealthCheck:
				r.HealthChecked(d.Member, Succeeded)
			case RejectRequest, FailRequest:
				ended++
			}
		}
		return sent, ended
	}
	var late []Decision
	for n := range 500 {
		at := float64(n) * 1000
		r.Advance(at)
		r.BeginList()
		r.ListMember(fmt.Sprint("m", n), "z", n, Up, at)
		if n > 0 {
			r.ListMember(fmt.Sprint("m", n-1), "z", n-1, Removed, at-1000)
		}
		r.EndList(n%2 == 0)
		for _, d := range late {
			r.AttemptEnded(d.RequestID, 0, TimedOut, 900, true, RoleUnknown, Never)
		}
		r.Arrive(fmt.Sprint("t", n), "", "", "read", n, 0, 1000, false)
		r.Arrive(fmt.Sprint("u", n), "", "", "read", -n, 0, 1000, false)
		pull(at)
		if late, _ = pull(at + 1); len(late) != 1 || late[0].Member != fmt.Sprint("m", n) {
			t.Fatalf("%d: sent %v", n, late)
		}
		if _, ended := pull(at + 990); n > 0 && ended != 1 {
			t.Fatalf("%d: %d ended, want the one without a group", n, ended)
		}
		for name, kept := range map[string]int{"members": len(r.members), "groups": len(r.groups), "used": r.activeGroups.Len(),
			"txns": len(r.requests), "busy": len(r.busyMembers), "waiting": len(r.waiting), "idle": len(r.membersToClose)} {
			if kept > 2 {
				t.Fatalf("%d: %d %s are kept", n, kept, name)
			}
		}
	}
}

// Where another router's checks are heard of, resting checks of one's own stay out; they are back within a period once it goes
// quiet.
func TestSightSparesChecks(t *testing.T) {
	read := &RequestClass{LatencyObjective: 500, PriorityWeight: 1, Deadline: 1000, Level: Bounded, StalenessBound: 900}
	roles := map[string]Role{"a": Primary, "b": Replica, "c": Replica}
	play := func(sightUpTo float64) (checks []float64) {
		r := New(&Settings{Routers: 1, MaxAttempts: 6, CanHealthCheck: true, SlowStartFloor: 1, SlowStartDuration: 1, OverloadMultiple: 2, OverloadWindow: 1000,
			RequestClasses: map[string]*RequestClass{"read": read}}, 1)
		r.Advance(1)
		r.BeginList()
		for _, id := range []string{"a", "b", "c"} {
			r.ListMember(id, "z", 1, Up, Never)
		}
		r.EndList(true)
		for at := 10.0; at < 10000; at += 10 {
			r.Advance(at)
			if int(at)%200 == 0 && at < sightUpTo {
				for _, id := range []string{"a", "b", "c"} {
					r.PeerReported(id, Never, roles[id], at)
				}
			}
			id := fmt.Sprint(at)
			r.Arrive(id, "", "", "read", 1, 0, 1000, false)
			for d, more := r.Next(); more; d, more = r.Next() {
				switch d.Action {
				case HealthCheck:
					checks = append(checks, at)
					r.Reported(d.Member, roles[d.Member], at)
					r.HealthChecked(d.Member, Succeeded)
				case SendAttempt:
					r.AttemptEnded(d.RequestID, d.Attempt, Succeeded, 5, true, roles[d.Member], at)
				}
			}
		}
		return checks
	}
	alone, helped, quiet := play(0), play(1e9), play(5000)
	if len(helped) > 6 || len(alone) < 60 {
		t.Errorf("%d checks, %d with sight", len(alone), len(helped))
	}
	back := slices.IndexFunc(quiet, func(at float64) bool { return at > 5000 })
	if back < 0 || quiet[back] > 4800+restingCheckPeriod+100 {
		t.Errorf("sight went quiet at 4,800; checks: %v", quiet)
	}
}

// Where lists are asked for, a failed call is followed by another within 1.5 s and not in the same instant, whatever time
// the settings leave: the watch is given up after 2.5 s of silence, and a change counts as told after 6 s, also if one more
// call is refused.
func TestTheNextCallForTheList(t *testing.T) {
	for _, within := range []float64{2000, 10000, 40000} {
		for seed := uint64(1); seed <= 50; seed++ {
			r := New(&Settings{PollsList: true, ListPollTimeout: within, Routers: 1}, seed)
			watches := func(now float64) (asked bool) {
				r.Advance(now)
				r.TimerFired()
				for d, more := r.Next(); more; d, more = r.Next() {
					asked = asked || d.Action == RequestList
				}
				return asked
			}
			if !watches(1) {
				t.Fatal("no call at first")
			}
			r.Advance(50)
			r.ListFailed()
			if watches(50) {
				t.Errorf("within %.0f, seed %d: asked again at once", within, seed)
			}
			for now := 60.0; !watches(now); now += 10 {
				if now > 50+1500 {
					t.Fatalf("within %.0f, seed %d: not asked after %.0f ms", within, seed, now-50)
				}
			}
		}
	}
}

// Where lists are asked for, what a watch that fell silent misses is asked for within 6 s, also where the next call hangs too;
// and within 4 s of a call that was made by itself, at a move, and hangs. Each hangs for the 2.5 s after which it is given up.
func TestTwoSilencesInARow(t *testing.T) {
	const hang = 2500
	for _, within := range []float64{2000, 10000, 40000} {
		for seed := uint64(1); seed <= 200; seed++ {
			r := New(&Settings{PollsList: true, ListPollTimeout: within, Routers: 1}, seed)
			now := 0.0
			watch := func() float64 {
				for ; ; now += tick {
					r.Advance(now)
					r.TimerFired()
					for d, more := r.Next(); more; d, more = r.Next() {
						if d.Action == RequestList {
							return now
						}
					}
				}
			}
			fail := func() {
				now += hang
				r.Advance(now)
				r.ListFailed()
			}
			watch()
			now = 50
			r.Advance(now)
			r.BeginList()
			r.EndList(false) // the first is answered
			now = 30000
			silent := now
			fail()
			if asked := watch(); asked-silent > 4000-tick {
				t.Errorf("within %.0f, seed %d: asked %.0f ms after the first silence", within, seed, asked-silent)
			}
			fail()
			if asked := watch(); asked-silent > 6000-tick {
				t.Errorf("within %.0f, seed %d: asked %.0f ms after two silences", within, seed, asked-silent)
			}
		}
	}
}

// What an attempt rests on holds for a time, which goes with it: a position known of a member ages, and the window for
// repeats closes, while its connection comes up.
func TestUntilWhenASubmissionHolds(t *testing.T) {
	r := New(&Settings{Routers: 1, MaxAttempts: 6, CanHealthCheck: true, Lag: LagAnswers, RequestClasses: map[string]*RequestClass{
		"read": {LatencyObjective: 500, Deadline: 2000, PriorityWeight: 1, Level: Bounded, StalenessBound: 700},
		"any":  {LatencyObjective: 500, Deadline: 2000, PriorityWeight: 1, Level: Any},
		"put":  {LatencyObjective: 500, Deadline: 2000, PriorityWeight: 1, LateWeightShare: 0.5, Level: Write, Effect: IdempotentWithKey, Scope: ScopeGroup, IdempotencyWindow: 900}}}, 1)
	submit := func(id string) (to string, by float64) {
		t.Helper()
		for d, more := r.Next(); more; d, more = r.Next() {
			if d.Action == SendAttempt && d.RequestID == id {
				to, by = d.Member, d.NotAfter
			}
		}
		if to == "" {
			t.Fatalf("%s was not submitted", id)
		}
		return to, by
	}
	r.Advance(1000)
	r.BeginList()
	r.ListMember("p", "z", 1, Up, Never)
	r.ListMember("c", "z", 1, Up, Never)
	r.EndList(true)
	r.Reported("p", Primary, 990)
	r.HealthChecked("p", Succeeded)
	r.Reported("c", Replica, 800)
	r.HealthChecked("c", Succeeded)
	for _, m := range r.members {
		m.lastCheckSent = 995
	}
	for _, c := range []struct {
		kind, to string
		by       float64
	}{{"read", "c", 800 + 700 - maxStall}, {"any", "c", math.Inf(1)}, {"put", "p", math.Inf(1)}} {
		r.Advance(1000)
		r.Arrive(c.kind, "", "", c.kind, 1, 0, 2000, false)
		if to, by := submit(c.kind); to != c.to || by != c.by {
			t.Errorf("%s: to %s by %v, want %s by %v", c.kind, to, by, c.to, c.by)
		}
		if c.kind != "put" {
			r.AttemptEnded(c.kind, 0, Succeeded, 10, true, Replica, Never)
		}
	}
	r.Advance(1100)
	r.AttemptEnded("put", 0, ServerError, 100, false, Primary, Never)
	if _, by := submit("put"); by != 1000+900-maxStall {
		t.Errorf("a repeat by %v, want %v", by, 1900-maxStall)
	}
}

// Later settings take hold of what comes after them alone, and nothing that was learned is lost: a tenant's traffic and a request
// type's times stay, those of a tenant that has no share any more go, and values that all grow alike change no decision.
func TestRevalue(t *testing.T) {
	made := func(scale float64, tenants map[string]float64) *Settings {
		s := &Settings{Routers: 1, MaxAttempts: 6, CanHealthCheck: true, CanCancel: true, SlowStartFloor: 0.2, SlowStartDuration: 1, OverloadMultiple: 2, OverloadWindow: 1000,
			RetryAfter: 1000, OverQuotaWeight: 0.1, Tenants: tenants, RequestClasses: map[string]*RequestClass{}}
		for n, name := range []string{"cheap", "fair", "dear"} {
			s.RequestClasses[name] = &RequestClass{LatencyObjective: 100, Deadline: 3000, PriorityWeight: scale * math.Pow(10, float64(n)), LateWeightShare: 0.5, Level: Any}
		}
		return s
	}
	shares := map[string]float64{"acme": 100, "zeta": 5}
	play := func(every int, scale float64) (decisions []string, declined int) {
		r, sent := New(made(1, shares), 7), map[string]int{}
		r.Advance(1)
		r.BeginList()
		r.ListMember("a", "z", 1, Up, Never)
		r.ListMember("b", "z", 1, Up, Never)
		r.EndList(true)
		for at := 150; at < 60000; at += 150 { // few requests: the chance to be taken on goes by worth
			r.Advance(float64(at))
			r.TimerFired()
			if every > 0 && at%every == 0 {
				factor := math.Pow(scale, float64(at/every))
				r.UpdateSettings(made(factor, shares))
			}
			r.Arrive(fmt.Sprint(at), []string{"acme", "zeta", ""}[at/150%3], "", []string{"dear", "cheap", "fair", "cheap"}[at/150%4], 1, 0, 1000, false)
			for d, more := r.Next(); more; d, more = r.Next() {
				decisions = append(decisions, fmt.Sprint(at, d.Action, d.RequestID, d.Member))
				switch d.Action {
				case HealthCheck:
					r.Reported(d.Member, Replica, float64(at))
					r.HealthChecked(d.Member, Succeeded)
				case SendAttempt:
					how := Succeeded
					if at > 20000 && at < 40000 && at%900 != 0 { // a jam
						how = Overloaded
					}
					r.AttemptEnded(d.RequestID, sent[d.RequestID], how, 20, how == Succeeded, Replica, float64(at))
					sent[d.RequestID]++
				case RejectRequest:
					declined++
				}
			}
		}
		return decisions, declined
	}
	want, declined := play(0, 1)
	if declined == 0 {
		t.Fatal("there was no jam")
	}
	for _, c := range []struct {
		every int
		scale float64
	}{{1500, 1}, {9000, 2}, {6000, 0.5}} {
		if got, _ := play(c.every, c.scale); !slices.Equal(got, want) {
			t.Errorf("values times %v each %d ms made other decisions", c.scale, c.every)
		}
	}

	set := made(1, shares)
	r := New(set, 1)
	r.Advance(1000)
	r.Arrive("open", "acme", "", "dear", 1, 0, 1000, false)
	open, use, share := r.requests["open"], r.statsByClass[set.RequestClasses["dear"]], r.tenantArrivals["acme"]
	next := made(3, map[string]float64{"acme": 7, "new": 1})
	next.RequestClasses["dear"].LateWeightShare = 0
	r.UpdateSettings(next)
	r.Arrive("later", "acme", "", "dear", 1, 0, 1000, false)
	if later := r.requests["later"]; open.weight != 100 || open.class.LateWeightShare != 0.5 || later.weight != 300 || later.class.LateWeightShare != 0 {
		t.Errorf("the open txn: %v, %v late; the later one: %v, %v", open.weight, open.class.LateWeightShare, later.weight, later.class.LateWeightShare)
	}
	if r.statsByClass[next.RequestClasses["dear"]] != use || r.tenantArrivals["acme"] != share || r.tenantArrivals["new"] == nil || r.tenantArrivals["zeta"] != nil ||
		len(r.statsByClass) != 3 || len(r.tenantArrivals) != 2 {
		t.Errorf("uses %v, shares %v", r.statsByClass, r.tenantArrivals)
	}
}

// A router may be held up for 0.15 s between its clock and a write, and the rules have 50 ms of slack: nothing is decided
// that would be over by then, on either side of the moment.
func TestRoomForAHoldUp(t *testing.T) {
	const held, slack = 150.0, 50.0
	set := &Settings{Routers: 1, MaxAttempts: 6, CanHealthCheck: true, Lag: LagAnswers, RequestClasses: map[string]*RequestClass{
		"read": {LatencyObjective: 500, Deadline: 2000, PriorityWeight: 1, Level: Bounded, StalenessBound: 300},
		"put":  {LatencyObjective: 500, Deadline: 5000, PriorityWeight: 1, LateWeightShare: 0.5, Level: Write, Effect: IdempotentWithKey, Scope: ScopeGroup, IdempotencyWindow: 900}}}
	begin := func(position float64) *Router {
		r := New(set, 1)
		r.Advance(1000)
		r.BeginList()
		r.ListMember("p", "z", 1, Up, Never)
		r.ListMember("c", "z", 1, Up, Never)
		r.EndList(true)
		r.Reported("p", Primary, 1000)
		r.HealthChecked("p", Succeeded)
		r.Reported("c", Replica, position)
		r.HealthChecked("c", Succeeded)
		for _, m := range r.members {
			m.lastCheckSent = 1000
		}
		return r
	}
	submitted := func(r *Router) (d Decision) {
		for next, more := r.Next(); more; next, more = r.Next() {
			if next.Action == SendAttempt {
				d = next
			}
		}
		return d
	}
	for _, c := range []struct {
		position float64
		to       string
	}{{1000 - 300 + held - slack, "c"}, {1000 - 300 + held - slack - 1, ""}, {1000 - 300, ""}} {
		r := begin(c.position)
		r.Arrive("1", "", "", "read", 1, 0, 2000, false)
		d := submitted(r)
		if d.Member == "c" && d.NotAfter+held > c.position+300+slack {
			t.Errorf("position %v: written by %v after a hold-up, its data is too old from %v on", c.position, d.NotAfter+held, c.position+300+slack)
		}
		if (d.Member == "c") != (c.to == "c") {
			t.Errorf("position %v: sent to %q, want %q", c.position, d.Member, c.to)
		}
	}
	for _, c := range []struct {
		at   float64
		sent bool
	}{{1000 + 900 - held + slack, true}, {1000 + 900 - held + slack + 1, false}} {
		r := begin(1000)
		r.Arrive("1", "", "", "put", 1, 0, 5000, false)
		if submitted(r).Member != "p" {
			t.Fatal("the first was not sent")
		}
		r.Advance(c.at)
		r.Reported("p", Primary, c.at)
		r.AttemptEnded("1", 0, ServerError, 10, false, Primary, Never)
		if d := submitted(r); (d.Member == "p") != c.sent || c.sent && d.NotAfter+held > 1000+900+slack {
			t.Errorf("a repeat at %v: sent to %q by %v", c.at, d.Member, d.NotAfter)
		}
	}
}
