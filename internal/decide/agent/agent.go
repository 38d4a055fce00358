// Package agent decides one process's part in the fleet: its session with the council, the duties that it would hold, and
// whose orders it takes. It owns the account of what was asked and is not answered; it must never do I/O, read a clock, or
// keep the process from its own work: all that it says is "you may act for the fleet now", or "no longer".
//
// The host feeds it time, answers, the council's watch and others' acts, and pulls what to ask of the council and which
// duties begin and end. Times are ms on a clock that also runs while the machine sleeps.
package agent

import (
	"maps"
	"math"
	"slices"

	"wayloft/internal/decide/chance"
	"wayloft/internal/decide/due"
	"wayloft/internal/decide/lease"
	"wayloft/internal/decide/register"
)

const (
	beatPart  = 1.0 / 3 // of a session's length between two beats: two more may fail before it ends
	retryPart = 1.0 / 8 // of it until the first retry of what failed
	longest   = 2.0     // of it between two retries, after many: a fleet that waits for its council must not bury it
	settle    = 0.5     // of it, over which processes come to ask for a duty
	spread    = 0.5     // of each wait, drawn: what came together must not stay together
	tellAgain = 4.0     // lengths between two words to the council that it is behind
	mostKnown = 20000   // sessions and duties kept of what the council tells: twice what it keeps itself
	mostHeld  = 1000    // duties that one process would hold
)

// Settings are given once. Times are ms.
type Settings struct {
	Name, Kind, Address string
	Incarnation         uint64 // Unix ms of the start, as the wall clock has it
	Length, Margin      float64
	Duties              []string // that it would hold
	Seed                uint64
}

// Verb tells what the host is to do.
type Verb int

const (
	Call  Verb = iota // propose Entry to the council, as request Number
	Stand             // ask the council where the fences of Duties stand now, as request Number; Stood takes the answer
	Start             // Duty is this process's, under Fence
	Stop              // it is no more: nothing more may go out under Fence
)

// Decision is one thing for the host to do; only the fields of its verb are set.
type Decision struct {
	Verb   Verb
	Number uint64
	Entry  register.Entry
	Duty   string
	Duties []string
	Fence  lease.Fence
}

type asked struct {
	kind   register.Kind // "": Stand
	duty   string
	number uint64   // the holder's own
	duties []string // of Stand
}

// retry is something that is asked until it is answered, less and less often.
type retry struct{ at, wait float64 }

// holder is this process's part in one duty.
type holder struct {
	*lease.Holder
	duty string
	due  due.Item[*holder]
}

// Agent is one process's part.
type Agent struct {
	set      Settings
	self     incarnation
	begun    bool    // At has been called
	begunAt  float64 // and when
	now      float64
	chance   chance.Source
	number   uint64
	asked    map[uint64]asked
	open     bool
	opening  retry
	beating  retry
	leaving  bool
	left     bool
	holders  map[string]*holder
	soonest  due.Queue[*holder] // by when they may decide something by themselves
	touched  int                // holders gone over so far because of time alone
	wants    map[string]float64 // duties that it will ask for, and from when
	receiver *lease.Receiver
	stands   map[string]*retry  // duties whose fences this receiver has yet to learn
	told     map[string]float64 // by duty: when the council was told that it is behind
	sessions map[string]Session
	duties   map[string]Duty
	out      []Decision
	others   bool // sessions holds all there are
	policy   uint64
	wont     uint64
	why      string

	Reopened int // sessions that the council had ended
	Refused  int // acts of others turned away for their fence
}

// New makes one that has no session yet.
func New(set Settings) *Agent {
	a := &Agent{set: set, self: newIncarnation(set.Incarnation), chance: chance.Source{Seed: set.Seed}, asked: map[uint64]asked{}, holders: map[string]*holder{}, wants: map[string]float64{},
		receiver: lease.NewReceiver(), stands: map[string]*retry{}, told: map[string]float64{}, sessions: map[string]Session{},
		duties: map[string]Duty{}, beating: retry{at: math.Inf(1)}}
	for _, duty := range set.Duties {
		a.want(duty)
	}
	return a
}

// Want says that this process would hold a duty, too. It comes to ask for it at a drawn time, so that not the first process that starts
// gets all there are.
func (a *Agent) Want(duty string) {
	if _, soon := a.wants[duty]; !soon && a.holders[duty] == nil && !a.leaving && len(a.holders)+len(a.wants) < mostHeld {
		a.wants[duty] = a.now + a.set.Length*settle*a.chance.Next()
	}
}

func (a *Agent) want(duty string) {
	h := &holder{Holder: lease.NewHolder(lease.Settings{Length: a.set.Length, Margin: a.set.Margin, Seed: a.set.Seed + uint64(len(a.holders))}),
		duty: duty}
	h.due.Of = h
	h.At(a.now)
	h.Want()
	a.holders[duty] = h
	a.soonest.Put(&h.due, h.Due())
}

// Unwant gives a duty up, held or not.
func (a *Agent) Unwant(duty string) {
	delete(a.wants, duty)
	// What it asked for must not be taken for an answer to what another holder of this duty will ask.
	maps.DeleteFunc(a.asked, func(_ uint64, of asked) bool { return of.kind == register.Take && of.duty == duty })
	if h := a.holder(duty); h != nil {
		h.Leave("")
		a.pull(duty)
		delete(a.holders, duty)
		a.soonest.Drop(&h.due)
	}
}

// At sets the time; all that follows until the next call happens then.
func (a *Agent) At(now float64) {
	a.start(now)
	a.now = math.Max(a.now, now)
	for _, duty := range slices.Sorted(maps.Keys(a.wants)) {
		if a.wants[duty] <= a.now {
			delete(a.wants, duty)
			a.want(duty)
		}
	}
	var ready []string // of the others time makes nothing: who asks one of them tells it the time first
	for i := a.soonest.First(); i != nil && i.At() <= a.now; i = a.soonest.First() {
		a.soonest.Drop(i)
		ready = append(ready, i.Of.duty)
	}
	slices.Sort(ready)
	for _, duty := range ready {
		a.touched++
		a.holder(duty)
		a.pull(duty)
	}
}

// start ends the time in which this process counts as one that is starting: after a while, or once it was stopped in between.
func (a *Agent) start(now float64) {
	if !a.begun {
		a.begun, a.begunAt = true, now
		return
	}
	paused := now-a.now > pausedFor*a.set.Length
	if paused || now-a.begunAt > startingFor*a.set.Length {
		a.self.late = true
	}
}

// holder gives the part in a duty, which knows the time; nil: there is none.
func (a *Agent) holder(duty string) *holder {
	h := a.holders[duty]
	if h != nil {
		h.At(a.now)
	}
	return h
}

// again puts the next try off, twice as far each time, by a part that is drawn.
func (a *Agent) again(r *retry) {
	r.wait = math.Min(math.Max(2*r.wait, a.set.Length*retryPart), a.set.Length*longest)
	r.at = a.now + r.wait*(1-spread*a.chance.Next())
}

func (a *Agent) call(of asked, e register.Entry) {
	a.number++
	a.asked[a.number] = of
	e.Session, e.Incarnation = a.set.Name, a.self.current
	a.out = append(a.out, Decision{Verb: Call, Number: a.number, Entry: e})
}

// Entry signs an entry of this process's own: a note of a step, say.
func (a *Agent) Entry(e register.Entry) register.Entry {
	e.Session, e.Incarnation = a.set.Name, a.self.current
	return e
}

// pull takes over what a holder decides.
func (a *Agent) pull(duty string) {
	h := a.holders[duty]
	defer func() { a.soonest.Put(&h.due, h.Due()) }()
	for d, more := h.Next(); more; d, more = h.Next() {
		switch d.Verb {
		case lease.Ask:
			if a.open { // else it is asked for again once there is a session
				a.call(asked{kind: register.Take, duty: duty, number: d.Number}, register.Entry{Kind: register.Take, Duty: duty})
			}
		case lease.GiveBack:
			a.call(asked{kind: register.Free}, register.Entry{Kind: register.Free, Duty: duty, Fence: d.Fence})
		case lease.PassOn:
			a.call(asked{kind: register.Pass}, register.Entry{Kind: register.Pass, Duty: duty, Fence: d.Fence, To: d.To})
		case lease.Start, lease.Stop:
			if d.Verb == lease.Start { // what a former owner sends here is old from now on
				a.receiver.Learned(duty, d.Fence)
			}
			a.out = append(a.out, Decision{Verb: map[lease.Verb]Verb{lease.Start: Start, lease.Stop: Stop}[d.Verb], Duty: duty, Fence: d.Fence})
		}
	}
}

// Answered conveys the council's answer to a request.
func (a *Agent) Answered(number uint64, ans register.Answer) {
	of, known := a.asked[number]
	if !known {
		return
	}
	delete(a.asked, number)
	if ans.Why == register.NoSession && of.kind != register.Open {
		a.lost()
		return
	}
	switch of.kind {
	case register.Open:
		if a.leaving {
			return
		}
		if !ans.Held { // another process has this name, or its session is not over yet
			if a.self.refused(ans.Number, a.now-a.begunAt, &a.chance) {
				a.opening.at = a.now
			} else {
				a.again(&a.opening)
			}
			return
		}
		a.self.opened()
		a.open, a.opening = true, retry{at: math.Inf(1)}
		a.beaten()
		for _, duty := range slices.Sorted(maps.Keys(a.holders)) {
			a.holder(duty).Turn()
			a.pull(duty)
		}
	case register.Beat:
		a.beaten()
	case register.Take:
		h := a.holder(of.duty)
		if h == nil {
			return
		}
		if ans.Held {
			h.Granted(of.number, ans.Fence)
		} else {
			h.Denied(of.number)
		}
		a.pull(of.duty)
	case register.End:
		a.left = true
	case "":
		a.stood(of.duties, nil) // it told no fences
	}
}

func (a *Agent) beaten() {
	for _, name := range slices.Sorted(maps.Keys(a.duties)) {
		a.behind(a.duties[name])
	}
	a.beating = retry{at: a.now + a.set.Length*beatPart*(1-spread*a.chance.Next())}
}

// lost: the council has ended this session, or never had it. What was held ends by itself, under its own account of time;
// the process begins again as another incarnation.
func (a *Agent) lost() {
	if !a.open || a.leaving {
		return
	}
	a.Reopened++
	a.open, a.beating, a.opening = false, retry{at: math.Inf(1)}, retry{at: a.now}
	a.self.reopen()
}

// Failed says that a request brought no answer, or none that is known.
func (a *Agent) Failed(number uint64) {
	of, known := a.asked[number]
	if !known {
		return
	}
	delete(a.asked, number)
	switch of.kind {
	case register.Open:
		a.self.unknown = true
		a.again(&a.opening)
	case register.Beat:
		a.again(&a.beating)
	case register.End:
		a.left = true // its length will end it
	case "":
		a.stood(of.duties, nil)
	}
}

// Watched takes in what the council tells. It may be old: a higher fence is true whenever it is heard, a lower one says only
// that somebody should look.
func (a *Agent) Watched(u Update) {
	if u.Whole {
		clear(a.sessions)
		clear(a.duties)
		a.others = !u.WithoutSessions
	}
	for _, s := range u.Sessions {
		if s.Ended {
			delete(a.sessions, s.Name)
		} else if len(a.sessions) < mostKnown {
			a.sessions[s.Name] = s
		}
	}
	for _, d := range u.Duties {
		if len(a.duties) < mostKnown {
			a.duties[d.Name] = d
		}
		if h := a.holder(d.Name); h != nil {
			if d.Holder != a.set.Name {
				h.Lost(d.Fence)
			} else if fence, may := h.May(); !may || fence != d.Fence {
				h.Turn()
			}
			a.pull(d.Name)
		}
		if a.behind(d); a.receiver.Knows(d.Name) && d.Holder != "" {
			a.receiver.Learned(d.Name, d.Fence) // before its holder's first act gets here
		}
	}
}

// behind tells the council of a fence that this receiver has seen and the council seems not to know, or has given to another.
func (a *Agent) behind(d Duty) {
	highest, holder := a.receiver.Highest(d.Name)
	order := highest.Compare(d.Fence)
	if order < 0 || order == 0 && (holder == "" || d.Holder == "" || holder == d.Holder) {
		return
	}
	if at, once := a.told[d.Name]; once && a.now-at < tellAgain*a.set.Length || !a.open {
		return
	}
	a.told[d.Name] = a.now
	a.number++
	a.asked[a.number] = asked{kind: register.Told}
	a.out = append(a.out, Decision{Verb: Call, Number: a.number, Entry: register.Entry{Kind: register.Told, Duty: d.Name, Fence: highest, Session: holder}})
}

// Take judges another's act. Of a duty that this receiver knows nothing of it takes none, and asks the council.
func (a *Agent) Take(s lease.Scope, holder string, fence lease.Fence) (lease.Verdict, lease.Fence) {
	v, highest := a.receiver.Take(s, holder, fence)
	switch v {
	case lease.Unknown:
		a.Learn(s.Duty)
	case lease.Old:
		a.Refused++
	}
	return v, highest
}

// Close forgets a scope that is gone.
func (a *Agent) Close(s lease.Scope) { a.receiver.Close(s) }

// Refusal says that a receiver turned an act of this process away.
func (a *Agent) Refusal(duty string, higher lease.Fence) {
	if h := a.holder(duty); h != nil {
		h.Refused(higher)
		a.pull(duty)
	}
}

// May tells whether this process may act for a duty now, and the fence that goes with the act. Ask it last, right before.
func (a *Agent) May(duty string) (lease.Fence, bool) {
	if h := a.holder(duty); h != nil {
		return h.May()
	}
	return lease.Fence{}, false
}

// PassTo hands a duty on to the session named, if this process holds it; it wants it no more.
func (a *Agent) PassTo(duty, name string) {
	if h := a.holder(duty); h != nil {
		h.Leave(name)
		a.pull(duty)
	}
}

// GoBy says which version of the policy this process goes by, by its mark, and which it couldn't take, if any; the council hears
// it with the next beat, now.
func (a *Agent) GoBy(mark, wont uint64, why string) {
	if a.policy == mark && a.wont == wont && a.why == why {
		return
	}
	if a.policy, a.wont, a.why = mark, wont, why; a.open {
		a.beating.at = math.Min(a.beating.at, a.now)
	}
}

// Leave ends it: nothing more is done for the fleet, and the council is told. Left tells when it has been, or can't be.
func (a *Agent) Leave() {
	if a.leaving {
		return
	}
	a.leaving = true
	clear(a.wants)
	for _, duty := range slices.Sorted(maps.Keys(a.holders)) {
		a.holder(duty).Leave("")
		for d, more := a.holders[duty].Next(); more; d, more = a.holders[duty].Next() {
			if d.Verb == lease.Stop { // the session's end gives all back at once
				a.out = append(a.out, Decision{Verb: Stop, Duty: duty, Fence: d.Fence})
			}
		}
	}
	if !a.open {
		a.left = true
		return
	}
	a.call(asked{kind: register.End}, register.Entry{Kind: register.End, Refused: uint64(a.Refused)})
}

// Left tells whether nothing is left to do.
func (a *Agent) Left() bool { return a.left }

// Next gives the next decision; false: none is left.
func (a *Agent) Next() (Decision, bool) {
	switch {
	case len(a.out) > 0 || a.leaving:
	case !a.open && a.opening.at <= a.now:
		a.opening.at = math.Inf(1)
		a.self.prepare()
		a.call(asked{kind: register.Open}, register.Entry{Kind: register.Open, Is: a.set.Kind, Address: a.set.Address,
			Length: uint64(a.set.Length), Policy: a.policy, Wont: a.wont, Why: a.why})
	case a.open && a.beating.at <= a.now:
		a.beating.at = math.Inf(1)
		a.call(asked{kind: register.Beat}, register.Entry{Kind: register.Beat, Policy: a.policy, Wont: a.wont, Why: a.why, Refused: uint64(a.Refused)})
	default:
		a.stand()
	}
	if len(a.out) == 0 {
		return Decision{}, false
	}
	d := a.out[0]
	a.out = a.out[1:]
	return d, true
}

// Due is when At must be called again at the latest.
func (a *Agent) Due() float64 {
	due := math.Min(a.opening.at, a.beating.at)
	if i := a.soonest.First(); i != nil {
		due = math.Min(due, i.At())
	}
	for _, at := range a.wants {
		due = math.Min(due, at)
	}
	for _, r := range a.stands {
		due = math.Min(due, r.at)
	}
	return due
}

// Others tells whether Sessions holds all that there are, as far as the council told: a watch may have left them out.
func (a *Agent) Others() bool { return a.others }

// Sessions gives the sessions of a kind that the council told of, by name.
func (a *Agent) Sessions(kind string) (all []Session) {
	for _, name := range slices.Sorted(maps.Keys(a.sessions)) {
		if a.sessions[name].Kind == kind {
			all = append(all, a.sessions[name])
		}
	}
	return all
}

// Duty gives what the council told of a duty.
func (a *Agent) Duty(name string) (Duty, bool) { d, ok := a.duties[name]; return d, ok }

// Open tells whether this process has a session, as far as it knows.
func (a *Agent) Open() bool { return a.open }
