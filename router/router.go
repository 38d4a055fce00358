// Package router decides where the requests of one router go. Its interface is in types.go.
//
// The host calls At first whenever something has come in, then the inputs (Listed, Arrive, Returned ...),
// which only update what is known, then pulls Next until it has nothing left, and does each decision before
// the next. Instances share nothing, read no clock and draw chance from their own seed.
package router

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"wayloft/internal/decide/decay"
	"wayloft/internal/decide/lastcommit"
	"wayloft/internal/decide/random"
	"wayloft/internal/decide/slowstart"
	"wayloft/internal/decide/timerqueue"
)

const (
	beat       = 10.0   // ms between two looks at what waits; least between two checks of one member (DESIGN)
	restCheck  = 1000.0 // the shortest check period where nothing presses (DESIGN)
	perCheck   = 4.0    // requests that pay for a resting check: few enough to notice a change, checks cost points
	recheckGap = 500.0  // check period while a group has no primary (DESIGN); also between two trials
	memory     = 3000.0 // ms over which what is measured fades, at the least: a few latency objectives
	longMemory = 30000. // and at the most: trouble comes and goes in tens of seconds
	sample     = 30.0   // requests that a memory should hold, so that one answer doesn't swing it
	prior      = 3.0    // answers that what is supposed at first weighs as much as
	doubt      = 10.0   // expected waits of silence; one healthy chance in twenty thousand (e^-10)
	rareLoss   = 0.001  // share of answers supposed lost on the way until some were
	lostAfter  = 5.5    // expected waits; one healthy request in 250 takes longer (e^-5.5)
	firstLimit = 1.0    // attempts at once to a member not yet known: all routers may start together
	reserve    = 1.5    // of the chance to be taken on, so that a few slow answers in a row change nothing
	paced      = 2000.0 // ms after which a call for the list has paced the next: a beat of the watch
	pacedPause = 250.0  // ms until that one, by half more or less
	leastLimit = 0.2    // a fifth of the time, so that a member that recovers is still noticed
	mostUnsent = 100.0  // ms between two attempts at one member that come back not sent, at the most; beat at the least
	heldUp     = 100.0  // ms that this router may be held up between its clock and a write, less the slack of the rules
)

// Never is the time of what has not happened, and the position of what told none.
var Never = math.Inf(-1)

// member is this router's own record of one server.
type member struct {
	id, zone               string
	group                  *group
	barred                 bool    // the list says that it drains or is gone
	started                float64 // Never: long ago
	known                  bool    // some check or answer has come since it was last marked unknown
	down                   bool    // reset or failed to connect, and no check has gone through since
	claim, denial          float64 // when it was last known to be primary, and not to be
	gtid                   float64 // a time up to which it surely has every commit
	behind                 float64 // how far behind it seemed at the last check or miss
	shut                   bool    // it refused the last connection: down, or only full
	mum                    bool    // its last check came back with an error
	prompt, checkOut       bool    // check as soon as the least gap allows; one is out
	since, downAt, guessed float64 // first listed; went down; was last back from a possible restart

	bucket slowstart.Bucket // while cold: latency objective it may be sent

	checkSent, lastAnswer, lastSent float64
	sighted                         float64 // when another router's check was last heard of
	out                             []*submission
	load                            float64   // of these, without those whose clients have yet to go on
	overtaken                       float64   // when the latest attempt that it has answered was sent
	doubted                         bool      // has been silent too long; cleared by any answer to an attempt
	doubtAt                         float64   // when the doubt began
	passed                          bool      // a check has passed since, and no trial has gone out
	pause                           decay.Sum // the longest unlikely silence that an answer has ended
	slow, good, bad                 decay.Sum // latency against the usual; committed; failed, refused or lost
	limit                           float64   // how many of this router's attempts it may hold at once
	tested                          bool      // the limit has been found once
}

type group struct {
	no             int
	members        []*member
	used           bool                         // it has had traffic here
	held, halt     float64                      // when a request last found no member; writes wait
	checks         timerqueue.FairTimer[*group] // when one may be due
	asked          float64                      // when its latest check went out; Never: one has come back since
	arrived, reads decay.Sum                    // requests; reads that need a known position
	repeatable     float64                      // when the last repeatable request came
	answers        map[bool]*decay.Mean         // of replicas, of primaries
}

type submission struct {
	to                         *member
	of                         *txn
	at, sent, expected         float64 // at: since when the member has had to answer
	out, missed, revoked, rare bool    // rare: the least limit would not have held it back
	rests, away                bool    // nothing to answer: it's the pool's turn, or its client's (away)
	retryAt                    float64 // it came back not sent: no other goes to this member before
	lastSent                   float64 // the member's record before it
	passed                     bool
}

type txn struct {
	id, session            string
	kind                   *RequestClass
	use                    *usage
	group                  *group
	arrived, expiry        float64 // the client's first try, as far as it can be told, and the end of this one
	needs                  float64 // the position a session or fresh read must see
	value, rank            float64 // rank: its place among those waiting
	subs                   []*submission
	notSent                int // of these, those that came back not sent
	effect                 Effect
	mayRun                 float64 // when the earliest attempt that may have run went out, if any
	ranZone                string
	met                    Outcome // how the last attempt ended
	asked, half            float64 // when checks were asked for on its behalf; half of this try's time
	admitted, placed, over bool    // placed: an attempt is out; over: it has had its final answer
	pinned                 bool
	pin                    *member
}

// usage is what one request class has shown of itself.
type usage struct {
	took   decay.Mean // until an answer
	came   decay.Sum  // requests
	ended  decay.Sum  // tries ended here without success, whose clients may come back
	habits [2]habit   // what many tries are given
}

type habit struct{ ttl, votes float64 }

// age guesses how long a client has been trying: most tries are given one of two times, a repeat what earlier
// ones left. Guards against jams of repeats that look new; the second time, against taking clients for old
// where others turn impatient. It misjudges those whose time is rare.
func (u *usage) age(now float64, kind *RequestClass, ttl float64, marked bool) float64 {
	n := slices.IndexFunc(u.habits[:], func(h habit) bool {
		return math.Abs(ttl-h.ttl) <= kind.Deadline/50 // a fiftieth: the clock's tick and the network
	})
	weak, step, first := 0, 1.0, !marked && u.ended.Read(now, 2*kind.Deadline) < 0.5
	if u.habits[1].votes < u.habits[0].votes {
		weak = 1
	}
	if first { // nobody can be back
		step = 3
	}
	if n >= 0 { // few votes, since all clients may change their habit at once
		u.habits[n].votes = math.Min(u.habits[n].votes+step, 10)
	} else if u.habits[weak].votes--; u.habits[weak].votes < 0 {
		u.habits[weak] = habit{ttl, step}
	}
	if first || n >= 0 && (n != weak || !marked && u.habits[n].votes > 3) {
		return 0
	}
	u.ended.Add(now, 2*kind.Deadline, -1)
	return math.Max(0, kind.Deadline-ttl)
}

// Router decides for one instance.
type Router struct {
	set                  *Settings
	chance               random.Source
	now, born            float64
	members              map[string]*member
	groups               map[int]*group
	txns                 map[string]*txn
	waiting              []*txn
	cursor               int                          // which of them was looked at last
	stuck                *txn                         // what found no member last, since the last input
	sorted, looked       bool                         // since the last input; looked: for silent members
	busy                 []*member                    // those that hold attempts
	used                 timerqueue.FairQueue[*group] // those that have had traffic
	admit                map[bool]float64             // chance to take requests on, for replicas and primaries
	answers              map[bool]*decay.Mean         // from all groups
	worths               decay.Sum                    // worth by work of what arrived
	commits              lastcommit.Commits           // where session tokens are the router\'s own memory
	done                 decay.Sum                    // latency objectives committed; unlike latency they hold still in a jam
	flow, most           float64                      // the most of them a ms and member; members up at once
	crowded              decay.Sum                    // connections refused by members whose checks went on
	idle                 []*member                    // whose connections are to be closed
	arrived, heard, lost decay.Sum                    // requests; attempts answered in any way, and rather lost than long
	span                 float64                      // ms over which what is measured fades
	uses                 map[*RequestClass]*usage
	shares               map[string]*decay.Sum // by tenant
	listed               map[string]bool
	least                float64   // the shortest check period
	late                 decay.Sum // how late the timer rang at most: pauses of this router's own
	wantWatch, alarmAt   float64   // when to ask for the list again; the timer that is out
	watched              float64   // when it was asked for last
}

func New(set *Settings, seed uint64) *Router {
	r := &Router{set: set, chance: random.Source{Seed: seed}, wantWatch: math.Inf(1), alarmAt: math.Inf(1),
		members: map[string]*member{}, groups: map[int]*group{}, txns: map[string]*txn{},
		least: restCheck, span: longMemory, admit: map[bool]float64{false: reserve, true: reserve},
		answers: map[bool]*decay.Mean{false: {}, true: {}}}
	if set.PollsList {
		r.wantWatch = Never
	}
	r.UpdateSettings(set)
	for _, kind := range set.RequestClasses {
		if kind.Level == Bounded {
			r.least = math.Min(r.least, kind.StalenessBound/3)
		}
	}
	return r
}

// UpdateSettings takes settings with other values and tenants. A request that is open ends by those it was taken under;
// what was learned stays, by name, and what arrived is weighed as it would be worth now.
func (r *Router) UpdateSettings(set *Settings) {
	uses, shares, old, worth := map[*RequestClass]*usage{}, map[string]*decay.Sum{}, 0.0, 0.0
	for _, name := range slices.Sorted(maps.Keys(set.RequestClasses)) {
		kind, was := set.RequestClasses[name], cmp.Or(r.set.RequestClasses[name], set.RequestClasses[name])
		uses[kind] = cmp.Or(r.uses[was], &usage{})
		n := uses[kind].came.Read(r.now, longMemory) / kind.LatencyObjective
		old, worth = old+n*was.PriorityWeight, worth+n*kind.PriorityWeight
	}
	for name := range set.Tenants {
		shares[name] = cmp.Or(r.shares[name], &decay.Sum{})
	}
	if r.set, r.uses, r.shares = set, uses, shares; old > 0 {
		r.worths.Sum *= worth / old
	}
}

// Advance sets the time; all that follows until the next call happens then.
func (r *Router) Advance(now float64) {
	r.now, r.born = now, cmp.Or(r.born, now)
	r.cursor, r.sorted, r.looked, r.stuck = 0, false, false, nil
}

// look finds members suspected, once the answers that came with the present batch are heard. Guards against
// whatever takes requests and answers none: hung, vanished or cut off. Long pauses look the same for a while; the
// first answer ends the doubt. One pause silences all that is out there together, so that no chance of theirs
// is against it: a silence must also be longer than a look can tell, than this router's own pauses, and than
// twice what answers have ended.
func (r *Router) look() {
	r.looked = true
	for _, m := range r.busy {
		quiet, since := r.silence(m)
		if m.doubted || quiet < doubt/2 {
			continue
		}
		if m.doubted = quiet > doubt && r.now-since > r.hush(m); m.doubted {
			m.doubtAt, m.passed = r.now, false
			r.recheck(m.group)
		} else if m.checkSent < since {
			m.ask()
		}
	}
}

// hush is how long all that is out at a member may keep quiet together and mean nothing.
func (r *Router) hush(m *member) float64 {
	return math.Max(2*m.pause.Read(r.now, longMemory), beat+2*r.late.Read(r.now, longMemory))
}

// group finds a group, or makes one; only what the list names is kept, whatever clients name.
func (r *Router) group(no int, listed bool) *group {
	g := r.groups[no]
	if g == nil {
		g = &group{no: no, held: Never, asked: Never, used: !listed,
			answers: map[bool]*decay.Mean{false: {}, true: {}}}
		if g.checks.Of = g; listed {
			r.groups[no] = g
		}
	}
	return g
}

// BeginList, Listed and ListEnd convey one list, whole or of changes.
func (r *Router) BeginList() { r.listed = map[string]bool{} }

func (r *Router) ListMember(id, zone string, groupNo int, state State, started float64) {
	g := r.group(groupNo, true)
	m := r.members[id]
	if m == nil {
		m = &member{id: id, zone: zone, group: g, claim: Never, denial: Never, gtid: Never, started: Never,
			checkSent: Never, lastAnswer: Never, lastSent: Never, sighted: Never, since: r.now,
			guessed: Never, limit: firstLimit}
		r.members[id] = m
		g.members = slices.Insert(g.members, int(r.chance.Next()*float64(len(g.members)+1)), m) // asked in turn
	}
	r.listed[id] = state != Removed
	g.checks.Set(r.now)
	if started > m.started {
		m.started = started
		m.begin()
		m.prompt = m.checkSent != Never
	}
	if !r.set.SoftRemoval || state != Removed {
		m.barred = state != Up
	}
}

func (r *Router) EndList(whole bool) {
	up := 0.0
	for id, m := range r.members {
		if here, told := r.listed[id]; !here && (told || whole) && !r.set.SoftRemoval {
			m.barred = true // what is out to it keeps its record; its group goes with the last member
			delete(r.members, id)
			m.group.members = slices.DeleteFunc(m.group.members, func(o *member) bool { return o == m })
		} else if !m.barred {
			up++
		}
	}
	maps.DeleteFunc(r.groups, func(_ int, g *group) bool {
		if len(g.members) == 0 {
			r.used.Leave(&g.checks)
		}
		return len(g.members) == 0
	})
	for _, t := range r.waiting { // its group may have come, or come back
		if g := r.groups[t.group.no]; g != nil && g != t.group {
			t.group = g
			r.use(g)
		}
	}
	r.most = math.Max(r.most, up)
	if r.set.PollsList && r.wantWatch != Never {
		r.wantWatch = math.Inf(1)
	}
}

// ListFailed says that a call failed or the subscription broke. Many must not ask again at once, nor late:
// one that took its time, a silence or a call that hung, has paced them already, and another may follow.
func (r *Router) ListFailed() {
	if !r.set.PollsList {
		return
	}
	pause := math.Min(r.set.ListPollTimeout/8, restCheck)
	if r.now-r.watched >= paced {
		pause = math.Min(pause, pacedPause)
	}
	r.wantWatch = math.Min(r.wantWatch, r.now+pause*(0.5+r.chance.Next()))
}

// Arrive takes a request; false: its request class is not in the settings. marked: its client says it is a repeat.
func (r *Router) Arrive(id, tenant, session, txnType string, groupNo int, tokenAge, ttl float64,
	marked bool) bool {
	kind := r.set.RequestClasses[txnType]
	if kind == nil {
		return false
	}
	g := r.group(groupNo, false)
	age := r.uses[kind].age(r.now, kind, ttl, marked)
	if r.set.ClientsMarkRetries && !marked {
		age = 0
	}
	t := &txn{id: id, kind: kind, use: r.uses[kind], group: g, arrived: r.now - age, expiry: r.now + ttl,
		effect: kind.Effect, half: r.now + ttl/2, needs: Never, session: session, mayRun: Never, asked: Never,
		value: kind.PriorityWeight}
	switch {
	case kind.Level == Session && r.set.RemembersCommits && r.commits.Of(session) != 0:
		t.needs = r.commits.Of(session)
	case kind.Level == Session && tokenAge != 0: // a commit may be dated a little ahead
		t.needs = r.now - tokenAge
	case kind.Level == Fresh:
		t.needs = r.now
	}
	r.arrived.Add(r.now, longMemory, 1)
	t.use.came.Add(r.now, longMemory, 1)
	r.span = math.Max(memory, math.Min(longMemory, sample*longMemory/r.arrived.Sum))
	g.arrived.Add(r.now, r.span, 1)
	g.checks.Set(r.now)
	if r.use(g); kind.Effect == Idempotent {
		g.repeatable = r.now
	}
	if kind.Level == Bounded && r.set.Lag == LagAnswers { // else members see to the bound themselves
		g.reads.Add(r.now, r.span, 1)
	}
	if f := r.shares[tenant]; f != nil &&
		f.Add(r.now, r.span, 1)*1000/r.span > r.set.Tenants[tenant]/float64(r.set.Routers) {
		t.value *= r.set.OverQuotaWeight
	}
	r.worths.Add(r.now, longMemory, t.value/kind.LatencyObjective)
	r.txns[id] = t
	r.waiting, r.sorted = append(r.waiting, t), false
	return true
}

func (r *Router) use(g *group) {
	if !g.used {
		g.used = true
		r.used.Join(&g.checks)
	}
}

// AttemptEnded says how an attempt ended. position is never where the answer told no position.
func (r *Router) AttemptEnded(id string, seq int, how Outcome, rtt float64, done bool, role Role, gtid float64) {
	t := r.txns[id]
	if t == nil || seq >= len(t.subs) || !t.subs[seq].out {
		return
	}
	sub, m := t.subs[seq], t.subs[seq].to
	r.answered(sub, how, rtt, role, gtid)
	if how == Succeeded && t.kind.Level == Write && r.set.RemembersCommits && t.session != "" {
		r.remember(t.session, gtid)
	}
	sub.out, sub.missed, t.placed, t.met = false, how == Misrouted, false, how
	if how == NotSent && !done {
		t.unsend(sub, r.now)
	}
	if t.mayRun == Never && (how == ServerError || how == TimedOut || how == Reset || how == Canceled) {
		t.mayRun, t.ranZone = sub.sent, m.zone
	}
	if t.over = t.over || done; t.over {
		r.forget(t)
	} else {
		r.waiting, r.sorted = append(r.waiting, t), false
	}
}

// attempts counts the attempts that were sent, or may yet be.
func (t *txn) attempts() int { return len(t.subs) - t.notSent }

// unsend takes back what an attempt that was not sent has counted for: the member has had nothing of it.
func (t *txn) unsend(sub *submission, now float64) {
	m := sub.to
	t.notSent++
	sub.retryAt = now + t.unsentPause(m)
	if math.Max(m.started, m.guessed) <= sub.sent { // else the budget is another by now
		m.bucket.Spend(-t.kind.LatencyObjective)
	}
	if m.lastSent == sub.sent {
		m.lastSent, m.passed = sub.lastSent, sub.passed && m.doubtAt <= sub.sent
	}
}

// unsentPause is how long the request waits before it tries a member again where it was not sent. That is no attempt, and the
// cause may pass in a moment; guards against asking one member without end in one instant.
func (t *txn) unsentPause(m *member) float64 {
	pause := beat
	for _, sub := range t.subs {
		if sub.to == m && sub.retryAt > 0 {
			pause *= 2
		}
	}
	return math.Min(pause, mostUnsent)
}

// pauses tells whether the request has just come back not sent from the member.
func (t *txn) pauses(m *member, now float64) bool {
	return t.notSent > 0 && slices.ContainsFunc(t.subs, func(s *submission) bool { return s.to == m && now < s.retryAt })
}

// Pin says that a request, just arrived, can go to one member alone, where its session's connection leads.
func (r *Router) Pin(id, node string) {
	if t := r.txns[id]; t != nil {
		t.pinned, t.pin = true, r.members[node]
	}
}

// Queued says that a request, just arrived, waited so long for its turn behind others of its client's. That is
// its client's time; an answer may still be soon. Guards against answers that nobody waits for any more.
func (r *Router) Queued(id string, waited float64) {
	if t := r.txns[id]; t != nil {
		t.expiry -= waited
		t.half = (r.now + t.expiry) / 2
	}
}

// TurnChanged says whose turn it is in an attempt that takes more than one: the member's, or its client's or the
// pool's, who make it rest. started: part of the answer is with the client, so it is never sent again.
func (r *Router) TurnChanged(id string, seq int, rests, started bool) {
	t := r.txns[id]
	if t == nil || seq >= len(t.subs) || !t.subs[seq].out {
		return
	}
	if started {
		t.effect = NonIdempotent
	}
	sub := t.subs[seq]
	if sub.rests && !rests {
		sub.at, sub.to.lastSent = r.now, r.now
	} else if !sub.rests && rests && started {
		r.heardFrom(sub)
	}
	if away := rests && started; away != sub.away {
		sub.away = away
		sub.to.load += map[bool]float64{true: -1, false: 1}[away]
	}
	sub.rests = rests
}

// heardFrom takes in that a member has answered, whatever it said.
func (r *Router) heardFrom(sub *submission) {
	m := sub.to
	if quiet, since := r.silence(m); quiet > doubt/2 {
		m.pause.Max(r.now, longMemory, r.now-since)
	}
	m.lastAnswer, m.overtaken = r.now, math.Max(m.overtaken, sub.at)
	m.doubted, m.down, m.shut = false, false, false
}

// remember keeps a session's last commit, and at times drops those that every member has by now.
func (r *Router) remember(session string, gtid float64) {
	r.commits.Add(session, cmp.Or(math.Max(gtid, 0), r.now)) // none told: now
	if r.commits.Full() {
		least := math.Inf(1)
		for _, m := range r.members {
			if !m.barred {
				least = math.Min(least, m.gtid)
			}
		}
		r.commits.Drop(least)
	}
}

// forget drops a request that has had its final answer once no attempt of it is out any more.
func (r *Router) forget(t *txn) {
	if t.over = true; !t.placed {
		delete(r.txns, t.id)
	}
}

func (r *Router) lose(t *txn) {
	t.use.ended.Add(r.now, 2*t.kind.Deadline, 1)
	r.forget(t)
}

// answered updates the record of a member from the end of an attempt to it.
func (r *Router) answered(sub *submission, how Outcome, rtt float64, role Role, gtid float64) {
	m, t := sub.to, sub.of
	if how <= Overloaded || how == Misrouted {
		r.heardFrom(sub)
	}
	m.out = slices.DeleteFunc(m.out, func(o *submission) bool { return o == sub })
	if !sub.away {
		m.load--
	}
	if len(m.out) == 0 {
		r.busy = slices.DeleteFunc(r.busy, func(o *member) bool { return o == m })
		if r.crowded.Read(r.now, longMemory) > math.Max(0.5, r.arrived.Sum/20) { // a few are no full tables
			r.idle = append(r.idle, m)
		}
	}
	switch how {
	case Succeeded, ServerError, Overloaded, Misrouted:
		r.heard.Add(r.now, r.span, 1)
		thought := r.primary(m.group) == m
		m.tell(role, r.now, gtid)
		if how == Misrouted {
			r.missed(m, t, thought)
		}
	case ConnectFailed, Reset:
		m.bad.Add(r.now, r.span, 1)
		m.shut = how == ConnectFailed
		r.markDown(m)
	}
	switch {
	case how == Succeeded:
		r.follow(t)
		usual := r.usual(t)
		t.use.took.Add(r.now, r.span, rtt, 1)
		m.slow.Add(r.now, r.span, rtt/usual)
		m.good.Add(r.now, r.span, 1)
		r.steer(sub, t.kind.LatencyObjective/2/rtt)
	case how == ServerError:
		m.bad.Add(r.now, r.span, 1)
	case how == TimedOut || how == Canceled:
		r.unanswered(sub)
	case how == Overloaded:
		r.steer(sub, 0)
	}
}

// unanswered weighs whether an attempt without an answer was lost on the way, or is only long and counts as
// at least that slow: the one grows likely where others are quick and many are lost.
func (r *Router) unanswered(sub *submission) {
	m, t := sub.to, sub.of
	waits, loss := (r.now-sub.at)/sub.expected, r.usualLoss()
	lost := loss / (loss + (1-loss)*math.Exp(-waits))
	r.lost.Add(r.now, r.span, lost)
	m.bad.Add(r.now, r.span, lost)
	t.use.took.Add(r.now, r.span, (1-lost)*(r.now-sub.at+sub.expected), 1-lost)
	if lost < 0.5 && r.now-sub.at > math.Min(t.kind.LatencyObjective/2, 2*sub.expected) { // else its client's time was short
		r.steer(sub, 0)
	}
}

// usualLoss is the share of this router's attempts that get no answer though they may run.
func (r *Router) usualLoss() float64 {
	lost := r.lost.Read(r.now, r.span)
	return (lost + prior*rareLoss) / (lost + r.heard.Read(r.now, r.span) + prior)
}

// adapt moves the limit towards where one answer in five is not soon: with exponential waits, and half the
// latency objective as soon, one in twenty-five is then late. It guards against overload from any cause: what a member
// can't take in time is held here, by worth. It may hold back too much where a limit seldom moves.
func (m *member) adapt(ease, routers float64) {
	step := math.Max(0.1, m.limit/50)
	switch {
	case !(ease > 1):
		m.limit = math.Max(leastLimit, m.limit-4*step*math.Min(1, m.limit))
		m.tested = true
	case m.load+1 < m.limit-1 && (m.tested || 2*m.load+2 < m.limit):
	case m.tested:
		m.limit += step
	default:
		// A start: faster, until the first answer that is not quick enough; what one alone may dare all share.
		m.limit += math.Min(m.limit, math.Max(0.5, ease/2/routers))
	}
}

// room tells whether the member may hold one more. A limit below one is a share of the time.
func (m *member) room(now, expected float64) bool {
	return m.load < m.limit && (m.limit >= 1 || now-m.lastSent >= expected/m.limit)
}

// silence is how long the member has kept quiet, summed over what is out there, in expected waits, as far as
// losses on the way don't explain it, and since when. What later answers have overtaken is lost, or long, and
// tells nothing.
func (r *Router) silence(m *member) (sum, since float64) {
	since = r.now
	for _, sub := range m.out {
		if sub.at >= m.overtaken && !sub.rests {
			from := math.Max(sub.at, m.lastAnswer)
			sum += math.Min((r.now-from)/sub.expected, -math.Log(r.usualLoss()))
			since = math.Min(since, from)
		}
	}
	return sum, since
}

func (m *member) tell(role Role, at, gtid float64) {
	m.gtid = math.Max(m.gtid, gtid)
	m.known = m.known || role != RoleUnknown
	if role == Primary {
		m.claim = math.Max(m.claim, at)
	} else if role == Replica {
		m.denial = math.Max(m.denial, at)
	}
}

// missed: a write's miss proves that the member is not primary, a read's that it is further behind.
func (r *Router) missed(m *member, t *txn, thought bool) {
	if t.needsPrimary() {
		m.denial, m.known = r.now, false
		if thought {
			r.recheck(m.group)
		}
		return
	}
	m.behind = math.Max(m.behind, r.now-t.bound(r.now))
	if r.now-m.checkSent > restCheck {
		m.ask()
	}
}

func (r *Router) markDown(m *member) {
	if !m.down {
		m.downAt = r.now
	}
	if !m.shut && r.primary(m.group) == m {
		r.recheck(m.group)
	}
	m.down, m.known = true, false
	m.ask()
}

// ask has the member checked as soon as the least gap allows.
func (m *member) ask() {
	m.prompt = true
	m.group.checks.Set(Never)
}

func (r *Router) recheck(g *group) {
	for _, m := range g.members {
		m.ask()
	}
}

// HealthChecked conveys the end of a check.
func (r *Router) HealthChecked(node string, how Outcome) {
	m := r.members[node]
	if m == nil {
		return
	}
	m.checkOut, m.group.asked = false, Never
	m.group.checks.Set(Never)
	if how == Overloaded {
		return // too crowded to be checked: it is there, and nothing else is told
	}
	if how == NotSent { // never made, since no connection was left here: nothing is told
		if !m.down {
			m.ask()
		}
		return
	}
	// Guards against checks that fail where members serve: an answer since is the better evidence, and an error
	// shows that it is there. The requests themselves then ask (fit, pick).
	if m.mum = how == ServerError; m.mum {
		m.down = false
		return
	} else if how != Succeeded {
		if (!m.down || m.shut) && m.lastAnswer < m.checkSent {
			m.down, m.shut = false, false
			r.markDown(m)
		}
		return
	}
	// Guards against restarts before the list says so: back after an absence a member may not be primary, and is
	// cold until the list has had time to tell; if it doesn't, only this router could not reach the member. One
	// that is back at once lost a connection, and its role stays: reports may be older than that.
	if m.shut && m.down {
		r.crowded.Add(r.now, longMemory, 1)
	} else if m.down && r.now-m.downAt > recheckGap {
		if m.denial = math.Max(m.denial, m.downAt); r.now-m.guessed > longMemory {
			m.guessed = r.now
			m.begin()
		}
	}
	m.down, m.known = false, true
	m.passed = m.doubted && m.checkSent >= m.doubtAt && m.lastSent < m.doubtAt
}

// begin starts a cold member's record of speed and limit anew.
func (m *member) begin() {
	m.denial = math.Max(m.denial, m.downAt) // if it was primary, it may be no more
	m.limit, m.tested, m.bucket = math.Min(firstLimit, m.limit), false, slowstart.Bucket{}
}

// Reported conveys a report of role and position, dated by that position, since it may be old.
func (r *Router) Reported(node string, role Role, gtid float64) {
	if m := r.members[node]; m != nil {
		m.tell(role, gtid, gtid)
		m.behind = math.Max(0, r.now-gtid)
	}
}

// PeerReported conveys another router's check: a position, which of one start never goes back, and whom to ask.
func (r *Router) PeerReported(node string, started float64, role Role, gtid float64) {
	if m := r.members[node]; m != nil && started >= m.started {
		r.Reported(node, RoleUnknown, gtid)
		m.sighted = r.now // stands in for a resting check until it goes quiet
		if g := m.group; role == Primary {
			g.members = slices.Insert(slices.DeleteFunc(g.members, func(o *member) bool { return o == m }), 0, m)
		}
	}
}

// HoldWrites has writes of a group wait until then, as without a primary; an earlier time has it asked anew.
func (r *Router) HoldWrites(groupNo int, until float64) {
	g := r.group(groupNo, false)
	if g.halt = until; until <= r.now {
		r.recheck(g)
	}
}

// ClientGone says that the client of a request has left; nothing is owed any more.
func (r *Router) ClientGone(id string) {
	if t := r.txns[id]; t != nil {
		r.lose(t)
	}
}

// TimerFired: another is asked for, also after one in a batch that began before its time: there may be no other.
func (r *Router) TimerFired() {
	if r.now > r.alarmAt-beat/2 {
		r.late.Max(r.now, longMemory, r.now-r.alarmAt)
	}
	r.alarmAt = math.Inf(1)
}

// Next gives the next decision; false: none is left.
func (r *Router) Next() (Decision, bool) {
	if !r.looked {
		r.look()
	}
	if r.wantWatch <= r.now {
		r.watched, r.wantWatch = r.now, r.now+r.set.ListPollTimeout/2 // unless something is heard before
		return Decision{Action: RequestList}, true
	}
	// Guards against full connection tables: idle connections here keep other routers out. Costs a handshake.
	if n := len(r.idle); n > 0 {
		m := r.idle[n-1]
		r.idle = r.idle[:n-1]
		return Decision{Action: CloseIdleConnections, Member: m.id}, true
	}
	for _, next := range []func() (Decision, bool){r.nextRevoke, r.nextTxn, r.nextCheck} {
		if d, ok := next(); ok {
			return d, true
		}
	}
	if due := r.due(); due < r.alarmAt {
		r.alarmAt = due
		return Decision{Action: SetTimer, Time: due}, true
	}
	return Decision{}, false
}

// due is when something may have to be done next if nothing comes in; a beat from now at the earliest.
func (r *Router) due() float64 {
	due := r.wantWatch
	if len(r.waiting) > 0 {
		due = r.now
	}
	if r.set.CanHealthCheck {
		due = math.Min(due, r.used.Soonest())
	}
	for _, m := range r.busy {
		for _, sub := range m.out {
			if lost := sub.at + r.lostAfter(sub); !sub.revoked && !sub.rests && lost > r.now {
				due = math.Min(due, lost)
			}
		}
		if !m.doubted { // a fifth of an expected wait more of silence may be enough
			due = math.Min(due, r.now+m.out[0].expected/5)
		}
	}
	return math.Max(due, r.now+beat)
}

func (r *Router) nextCheck() (Decision, bool) {
	for c := r.used.First(r.now); r.set.CanHealthCheck && c != nil; c = r.used.First(r.now) {
		g, next := c.Of, math.Inf(1)
		for _, m := range g.members {
			due := r.checkDue(m)
			if due <= r.now {
				m.prompt, m.checkOut, m.checkSent, g.asked = false, true, r.now, r.now
				return Decision{Action: HealthCheck, Member: m.id}, true
			}
			next = math.Min(next, due)
		}
		c.Set(next)
	}
	return Decision{}, false
}

// checkDue follows need: well inside the smallest bound where enough reads need positions to pay for it; at
// rest some requests pay for each check, lest many routers with little traffic check more than they send, and an
// answer tells as much; sooner for a member marked unknown or down, and for all while requests need a primary.
func (r *Router) checkDue(m *member) float64 {
	g, gone := m.group, m.checkSent-m.downAt
	each := float64(len(g.members)) * r.span / g.arrived.Read(r.now, r.span)
	switch {
	case m.barred:
		return math.Inf(1)
	case m.checkOut:
		return m.checkSent + restCheck
	case m.prompt:
		return m.checkSent + beat
	// Guards against many routers that ask all members of all groups: one by one until what waits can go.
	case m.checkSent == Never && g.held == r.now:
		return g.asked + 2*beat
	case m.checkSent == Never:
		return m.since + perCheck*each
	case m.down && gone < recheckGap: // it may have met what the request met
		return m.checkSent + math.Max(beat, gone)
	case r.headless(g) && r.now-g.held < recheckGap:
		return m.checkSent + recheckGap
	case !m.known:
		return m.checkSent + math.Max(recheckGap, each)
	}
	need := 2 * float64(len(g.members)) * r.span / g.reads.Read(r.now, r.span)
	seen := math.Max(m.checkSent, m.sighted)
	rest := math.Max(restCheck, perCheck*each) + math.Max(0, m.lastAnswer-seen)
	return seen + math.Max(r.least, math.Min(need, rest))
}

// primary is the member with the latest claim that nothing later denies.
func (r *Router) primary(g *group) *member {
	var best *member
	for _, m := range g.members {
		if m.claim > m.denial && !m.down && !m.barred && (best == nil || m.claim > best.claim) {
			best = m
		}
	}
	return best
}

func (r *Router) headless(g *group) bool {
	p := r.primary(g)
	return p == nil || p.doubted || r.now < g.halt
}

// nextRevoke takes repeatable requests back to send them again: from a member suspected, and where the answer is
// rather lost than late, if another try can still be in time. One that is only long is worked on twice.
func (r *Router) nextRevoke() (Decision, bool) {
	for n := 0; r.set.CanCancel && n < len(r.busy); n++ {
		m := r.busy[n]
		for _, sub := range m.out {
			t, age := sub.of, r.now-sub.at
			if sub.revoked || sub.rests || t.over || t.effect != Idempotent || t.attempts() >= r.set.MaxAttempts {
				continue
			}
			usual := r.usual(t)
			useful := r.now+usual < t.arrived+t.kind.LatencyObjective || t.kind.LateWeightShare > 0 && r.now+usual < t.expiry
			if useful && age > r.lostAfter(sub) || m.doubted && age > sub.expected {
				sub.revoked = true
				return Decision{Action: CancelAttempt, RequestID: t.id, Attempt: slices.Index(t.subs, sub)}, true
			}
		}
	}
	return Decision{}, false
}

// lostAfter is when an answer is rather lost than late, or than one pause explains.
func (r *Router) lostAfter(sub *submission) float64 {
	return math.Max(lostAfter*sub.expected, r.hush(sub.to))
}

func (r *Router) nextTxn() (Decision, bool) {
	if !r.sorted {
		for _, t := range r.waiting {
			t.rank = r.worth(t)
		}
		slices.SortStableFunc(r.waiting, func(a, b *txn) int {
			return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.expiry, b.expiry))
		})
		r.sorted = true
	}
	for r.cursor < len(r.waiting) {
		t := r.waiting[r.cursor]
		r.cursor++
		if d, ok := r.place(t); ok {
			return d, true
		}
	}
	r.waiting = slices.DeleteFunc(r.waiting, func(t *txn) bool { return t.placed || t.over })
	r.cursor = len(r.waiting)
	return Decision{}, false
}

// worth is the value to be expected for a ms of work if answers take as long as usual, exponentially.
func (r *Router) worth(t *txn) float64 {
	usual := r.usual(t)
	late := 1 - math.Exp(math.Min(0, r.now-t.expiry)/usual)
	soon := 1 - math.Exp(math.Min(0, r.now-t.arrived-t.kind.LatencyObjective)/usual)
	return t.value * (soon + t.kind.LateWeightShare*math.Max(0, late-soon)) / usual
}

// steer moves the chance of taking requests on to where one answer in five is not soon, as adapt does a limit. It
// guards against jams where each router sends a member too little for the least limit: each moves a little.
// The fewer are taken on, the more an answer speaks for. ease: how many times over it came soon enough.
func (r *Router) steer(sub *submission, ease float64) {
	g, pri, slow := sub.to.group, sub.to == r.primary(sub.to.group), 0.0
	if ease > 1 {
		r.admit[pri] = math.Min(reserve, r.admit[pri]+0.075/math.Min(1, r.admit[pri]))
	} else if slow = 1; sub.rare {
		r.admit[pri] -= 0.3 * r.admit[pri] / math.Max(1, sub.to.limit)
	}
	if sub.rare { // else the member's limit sees to it
		r.answers[pri].Add(r.now, longMemory, slow, 1)
		g.answers[pri].Add(r.now, longMemory, slow, 1)
	}
	sub.to.adapt(ease, float64(r.set.Routers))
}

// blame is the share of a group's answers that were slow against that of all groups, or one in five if that
// is more. Guards against a jam of a few groups that has requests of all others refused, or hides behind them.
func (r *Router) blame(g *group, pri bool) float64 {
	all, own := r.answers[pri], g.answers[pri]
	share := math.Max(0.2, all.All.Read(r.now, longMemory)/math.Max(1, all.Weight.Read(r.now, longMemory)))
	return own.Value(r.now, longMemory, prior, share) / share
}

// admits decides by worth for work, against the others', whether to take a request on, or let a primary have it.
func (r *Router) admits(t *txn, pri bool) bool {
	mean := r.worths.Read(r.now, longMemory) / r.arrived.Read(r.now, longMemory)
	part := r.admit[pri] / r.blame(t.group, pri)
	return part >= 1 || r.chance.Next() < math.Pow(part, mean*t.kind.LatencyObjective/t.value)
}

// place sends, ends or holds one waiting request.
func (r *Router) place(t *txn) (Decision, bool) {
	if t.placed || t.over {
		return Decision{}, false
	}
	if r.hopeless(t) || !t.admitted && !r.admits(t, t.needsPrimary()) {
		return r.end(t), true
	}
	t.admitted = true
	if s := r.stuck; s != nil && s.group == t.group && s.kind == t.kind && t.kind.Level != Bounded &&
		!s.pinned && !t.pinned && s.needs == Never && t.needs == Never && len(s.subs)+len(t.subs) == 0 {
		return Decision{}, false // one like it has just found none
	}
	m := r.pick(t)
	if m != nil && m == r.primary(m.group) && !t.needsPrimary() && !r.admits(t, true) {
		return r.end(t), true
	}
	if m == nil {
		if r.stuck = t; !t.needsPrimary() || r.headless(t.group) { // else a known primary is full
			t.group.held = r.now
			t.group.checks.Set(math.Min(t.group.checks.At(), r.now))
		}
		return Decision{}, false
	}
	expected := r.expects(t, m)
	sub := &submission{to: m, of: t, at: r.now, sent: r.now, expected: expected, out: true,
		rare: r.now-m.lastSent > expected/leastLimit, lastSent: m.lastSent, passed: m.passed}
	t.subs = append(t.subs, sub)
	if len(m.out) == 0 {
		r.busy = append(r.busy, m)
	}
	m.out, m.load = append(m.out, sub), m.load+1
	t.placed = true // so that no other goes out before it has returned
	m.lastSent, m.passed = r.now, false
	m.bucket.Spend(t.kind.LatencyObjective)
	d := Decision{Action: SendAttempt, RequestID: t.id, Member: m.id, NotAfter: r.holds(t, m)}
	if t.effect == Idempotent && !r.set.CanCancel {
		d.Wait = r.lostAfter(sub) // in place of taking it back
	}
	return d, true
}

// hopeless tells that nothing can come of it. Unsent at half its time in vain: its client had better return.
func (r *Router) hopeless(t *txn) bool {
	usual, ran := r.usual(t), t.mayRun != Never
	return t.attempts() >= r.set.MaxAttempts || r.now+usual > t.expiry ||
		t.pinned && (t.pin == nil || t.pin.barred || t.pin.down) ||
		ran && t.effect == NonIdempotent || t.attempts() == 0 && r.now+2*beat > t.half &&
		(r.headless(t.group) || r.now > t.arrived+t.kind.LatencyObjective) ||
		ran && t.kind.Level == Write && t.met == Reset || // DESIGN: a write that met a reset ends in error
		ran && t.kind.Effect == IdempotentWithKey && r.now-t.mayRun > t.kind.IdempotencyWindow-heldUp ||
		t.kind.LateWeightShare == 0 && r.now+usual > t.arrived+t.kind.LatencyObjective
}

func (r *Router) end(t *txn) Decision {
	r.lose(t)
	promise := t.effect == Idempotent || t.effect == IdempotentWithKey && t.kind.Scope == ScopeAll &&
		r.now+r.set.RetryAfter-t.mayRun < t.kind.IdempotencyWindow // when its client is told to come back
	if t.mayRun != Never && !promise {
		return Decision{Action: FailRequest, RequestID: t.id}
	}
	// A repeat could not be answered in time either; the wait may be longer than needed after a short jam.
	return Decision{Action: RejectRequest, RequestID: t.id, Wait: r.set.RetryAfter}
}

// usual is the smoothed time to an answer of a request class, over all members. Until some are in, a quarter of
// the latency objective is supposed: whoever set it expects answers well inside it.
func (r *Router) usual(t *txn) float64 {
	return t.use.took.Value(r.now, r.span, prior, t.kind.LatencyObjective/4)
}

// slowness is the member's smoothed latency against what is usual.
func (r *Router) slowness(m *member) float64 {
	return (m.slow.Read(r.now, r.span) + prior) / (m.good.Read(r.now, r.span) + prior)
}

func (r *Router) expects(t *txn, m *member) float64 { return r.usual(t) * r.slowness(m) }

// bound is the position that the request must see if sent now.
func (t *txn) bound(now float64) float64 {
	if t.kind.Level == Bounded {
		return now - t.kind.StalenessBound
	}
	return t.needs
}

// positionNeeded is the position that a member must be known to have: where members answer whatever they hold, data must be young
// enough even if this router is held up before it writes.
func (r *Router) positionNeeded(t *txn) float64 {
	if t.kind.Level == Bounded && r.set.Lag == LagAnswers {
		return t.bound(r.now) + heldUp
	}
	return t.bound(r.now)
}

func (t *txn) needsPrimary() bool { return t.kind.Level == Write || t.kind.Level == Fresh }

// pick chooses a member for the request, or none: it waits.
func (r *Router) pick(t *txn) *member {
	pri := r.primary(t.group)
	if t.pinned {
		return r.fit(t, t.pin)
	}
	if t.needsPrimary() {
		if pri != nil {
			return r.fit(t, pri)
		}
		for _, m := range t.group.members {
			asks := m.mum && !m.known || !r.set.CanHealthCheck // the request does, where checks tell nothing
			if asks && r.now-m.denial > recheckGap && r.fit(t, m) != nil {
				return m
			}
		}
		return nil
	}
	need := r.positionNeeded(t)
	var fresh, likely, rest, unsure []*member
	full, unasked := false, false
	for _, m := range t.group.members {
		fits, near := r.fit(t, m) != nil, r.now-m.behind >= need
		switch {
		case fits && m.doubted:
			return m // its trial is due
		case m == pri || m.doubted || m.barred || m.down || t.turnedAway(m):
		case m.checkSent == Never:
			unasked = r.set.CanHealthCheck
		case fits && m.gtid >= need:
			fresh = append(fresh, m)
		case fits && near:
			likely = append(likely, m)
		case fits:
			rest = append(rest, m)
		case m.gtid >= need:
			full = true
		case near && m.known:
			unsure = append(unsure, m)
		}
	}
	switch {
	case len(fresh) > 0:
		return r.draw(t, fresh)
	// Guards against a shortage of replicas: where all that would do are full, half the primary's room serves.
	case full && (unasked || pri == nil || pri.load >= pri.limit/2):
		return nil
	case !full && r.set.Lag != LagAnswers && len(likely) > 0:
		return r.draw(t, likely)
	case unasked:
		return nil
	case !full && r.set.Lag != LagAnswers && len(t.subs) == 0 && len(rest) > 0:
		return slices.MinFunc(rest, func(a, b *member) int { return cmp.Compare(a.behind, b.behind) })
	case full || r.set.Lag != LagAnswers:
		return r.fit(t, pri)
	}
	// None is known fresh enough, some seemed so: ask two, wait a moment, as waiting operations do (DESIGN).
	if len(unsure) > 0 && r.set.CanHealthCheck && t.asked == Never {
		t.asked = r.now
		r.draw(t, unsure).ask()
		r.draw(t, unsure).ask()
		return nil
	}
	asked := func(m *member) bool { return m.checkOut && !m.doubted && !m.down }
	if r.now-t.asked < t.kind.LatencyObjective/8 && slices.ContainsFunc(t.group.members, asked) {
		return nil
	}
	return r.fit(t, pri)
}

func (t *txn) turnedAway(m *member) bool {
	return slices.ContainsFunc(t.subs, func(s *submission) bool { return s.to == m && s.missed })
}

// draw picks one by chance, weighted against smoothed latency times one plus attempts out.
func (r *Router) draw(t *txn, from []*member) *member {
	var best *member
	top := Never
	for _, m := range from {
		good, bad := m.good.Read(r.now, r.span), m.bad.Read(r.now, r.span)
		cost := r.slowness(m) * (1 + m.load)
		// Guards against members that fail or refuse quickly, whose latency would draw more requests to them.
		weight := math.Pow((good+1)/(good+bad+1), 4) / (cost * cost)
		if slices.ContainsFunc(t.subs, func(s *submission) bool { return s.to == m }) {
			weight /= 10 // it has not answered this one
		}
		if m.zone == r.set.Zone {
			weight *= 2 // crossing has a price; more would jam zones with few members
		}
		if x := math.Log(r.chance.Next()) / weight; best == nil || x > top {
			best, top = m, x
		}
	}
	return best
}

// warmth is the least share of its usual work that a member can do by now.
func (r *Router) warmth(m *member) float64 {
	start := m.started
	if r.now-m.guessed < r.set.ListPollTimeout/2 {
		start = math.Max(start, m.guessed)
	}
	return math.Min(1, r.set.SlowStartFloor+(1-r.set.SlowStartFloor)*(r.now-start)/r.set.SlowStartDuration)
}

// fit is the one place that every send passes: it gives the member back if the request may go there now.
func (r *Router) fit(t *txn, m *member) *member {
	if m == nil || m.barred || m.down || t.placed || t.over || t.pauses(m, r.now) || t.needsPrimary() && r.now < m.group.halt {
		return nil
	}
	// Rule 2: a referenced request that may have run stays where its repeats are discarded.
	if t.mayRun != Never && t.kind.Effect == IdempotentWithKey && t.kind.Scope == ScopeZone && m.zone != t.ranZone {
		return nil
	}
	// Rule 5: where members answer whatever they hold, only a known position will do.
	if t.kind.Level != Any && r.set.Lag == LagAnswers && m.gtid < r.positionNeeded(t) && m != r.primary(m.group) {
		return nil
	}
	// Guards against full connection tables: where checks pass all the same, a pause.
	if m.shut && r.now-m.lastSent < r.expects(t, m) || !m.known && r.set.CanHealthCheck && !m.mum ||
		m.doubted && !r.tries(m, t) ||
		!r.bears(m, t) || !m.room(r.now, r.expects(t, m)) {
		return nil
	}
	return m
}

// tries tells whether the request may be a doubted member's trial: the first as soon as a check has passed since.
func (r *Router) tries(m *member, t *txn) bool {
	return (m.passed || r.now-m.lastSent >= recheckGap) &&
		(t.effect == Idempotent || m.known && len(m.out) == 0 && r.now-t.group.repeatable > longMemory)
}

// bears tells whether a cold member can take one more (rule 4): what goes there from here stays under the
// allowed multiple of the cold share of what a member has committed here.
func (r *Router) bears(m *member, t *txn) bool {
	w := r.warmth(m)
	rate := r.set.OverloadMultiple * w * r.flow
	return w >= 1 || m.bucket.Allows(r.now, rate, t.kind.LatencyObjective, r.set.OverloadWindow, float64(r.set.Routers), r.chance.Next)
}

// holds tells until when what an attempt rests on holds: its connection may take a while to come up, while
// the data that is known there ages (rule 5) and the window for repeats closes (rule 2). It may be held up after asking.
func (r *Router) holds(t *txn, m *member) float64 {
	by := math.Inf(1)
	if t.kind.Level == Bounded && r.set.Lag == LagAnswers && m != r.primary(m.group) {
		by = m.gtid + t.kind.StalenessBound - heldUp
	}
	if t.mayRun != Never && t.kind.Effect == IdempotentWithKey {
		by = math.Min(by, t.mayRun+t.kind.IdempotencyWindow-heldUp)
	}
	return by
}

// follow keeps the best average that members have committed, over the most that were ever up, lest a loss of
// many raises it, less what few requests vary by, since all add up. Guards against restarts of many, and lulls.
func (r *Router) follow(t *txn) {
	r.done.Add(r.now, longMemory, t.kind.LatencyObjective)
	span := longMemory * (1 - math.Exp(-math.Max(longMemory/3, r.now-r.born)/longMemory))
	r.flow = math.Max(r.flow, r.done.Sum/(1+math.Sqrt(t.kind.LatencyObjective/r.done.Sum))/span/r.most)
}
