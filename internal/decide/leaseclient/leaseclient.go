// Package leaseclient decides one process's part in the fleet: its session with the coordinator, the leases that it would hold, and
// whose orders it takes. It owns the account of what was asked and is not answered; it must never do I/O, read a clock, or
// keep the process from its own work: all that it says is "you may act for the fleet now", or "no longer".
//
// The host feeds it time, answers, the coordinator's watch and others' acts, and pulls what to ask of the coordinator and which
// leases begin and end. Times are ms on a clock that also runs while the machine sleeps.
package leaseclient

import (
	"maps"
	"math"
	"slices"

	"wayloft/internal/decide/lease"
	"wayloft/internal/decide/leasestate"
	"wayloft/internal/decide/random"
	"wayloft/internal/decide/timerqueue"
)

const (
	beatPart  = 1.0 / 3 // of a session's length between two beats: two more may fail before it ends
	retryPart = 1.0 / 8 // of it until the first retry of what failed
	longest   = 2.0     // of it between two retries, after many: a fleet that waits for its coordinator must not bury it
	settle    = 0.5     // of it, over which processes come to ask for a lease
	spread    = 0.5     // of each wait, drawn: what came together must not stay together
	tellAgain = 4.0     // lengths between two words to the coordinator that it is behind
	mostKnown = 20000   // sessions and leases kept of what the coordinator tells: twice what it keeps itself
	mostHeld  = 1000    // leases that one process would hold
)

// Settings are given once. Times are ms.
type Settings struct {
	Name, Role, Address          string
	Incarnation                  uint64 // Unix ms of the start, as the wall clock has it
	SessionTimeout, SafetyMargin float64
	Leases                       []string // that it would hold
	Seed                         uint64
}

// Action tells what the host is to do.
type Action int

const (
	Propose     Action = iota // propose Entry to the coordinator, as request Number
	QueryTokens               // ask the coordinator where the fencing tokens of Leases stand now, as request Number; Stood takes the answer
	Start                     // Lease is this process's, under Fence
	Stop                      // it is no more: nothing more may go out under Fence
)

// Decision is one thing for the host to do; only the fields of its verb are set.
type Decision struct {
	Action  Action
	Request uint64
	Entry   leasestate.Entry
	Lease   string
	Leases  []string
	Token   lease.Token
}

type asked struct {
	kind   leasestate.Kind // "": Stand
	duty   string
	number uint64   // the holder's own
	duties []string // of Stand
}

// retry is something that is asked until it is answered, less and less often.
type retry struct{ at, wait float64 }

// holder is this process's part in one lease.
type holder struct {
	*lease.Holder
	duty string
	due  timerqueue.Timer[*holder]
}

// Client is one process's part.
type Client struct {
	set      Settings
	self     incarnation
	begun    bool    // At has been called
	begunAt  float64 // and when
	now      float64
	chance   random.Source
	number   uint64
	asked    map[uint64]asked
	open     bool
	opening  retry
	beating  retry
	leaving  bool
	left     bool
	holders  map[string]*holder
	soonest  timerqueue.Queue[*holder] // by when they may decide something by themselves
	touched  int                       // holders gone over so far because of time alone
	wants    map[string]float64        // leases that it will ask for, and from when
	receiver *lease.Receiver
	stands   map[string]*retry  // leases whose fencing tokens this receiver has yet to learn
	told     map[string]float64 // by lease: when the coordinator was told that it is behind
	sessions map[string]Session
	duties   map[string]Lease
	out      []Decision
	others   bool // sessions holds all there are
	policy   uint64
	wont     uint64
	why      string

	Reopened     int // sessions that the coordinator had ended
	RejectedActs int // acts of others rejected for their fencing token
}

// New makes one that has no session yet.
func New(set Settings) *Client {
	a := &Client{set: set, self: newIncarnation(set.Incarnation), chance: random.Source{Seed: set.Seed}, asked: map[uint64]asked{}, holders: map[string]*holder{}, wants: map[string]float64{},
		receiver: lease.NewReceiver(), stands: map[string]*retry{}, told: map[string]float64{}, sessions: map[string]Session{},
		duties: map[string]Lease{}, beating: retry{at: math.Inf(1)}}
	for _, duty := range set.Leases {
		a.want(duty)
	}
	return a
}

// Acquire says that this process would hold a lease, too. It comes to ask for it at a drawn time, so that not the first process that starts
// gets all there are.
func (a *Client) Acquire(duty string) {
	if _, soon := a.wants[duty]; !soon && a.holders[duty] == nil && !a.leaving && len(a.holders)+len(a.wants) < mostHeld {
		a.wants[duty] = a.now + a.set.SessionTimeout*settle*a.chance.Next()
	}
}

func (a *Client) want(duty string) {
	h := &holder{Holder: lease.NewHolder(lease.Settings{Duration: a.set.SessionTimeout, SafetyMargin: a.set.SafetyMargin, Seed: a.set.Seed + uint64(len(a.holders))}),
		duty: duty}
	h.due.Of = h
	h.Advance(a.now)
	h.Acquire()
	a.holders[duty] = h
	a.soonest.Put(&h.due, h.NextDeadline())
}

// Release gives a lease up, held or not.
func (a *Client) Release(duty string) {
	delete(a.wants, duty)
	// What it asked for must not be taken for an answer to what another holder of this lease will ask.
	maps.DeleteFunc(a.asked, func(_ uint64, of asked) bool { return of.kind == leasestate.AcquireLease && of.duty == duty })
	if h := a.holder(duty); h != nil {
		h.Release("")
		a.pull(duty)
		delete(a.holders, duty)
		a.soonest.Drop(&h.due)
	}
}

// Advance sets the time; all that follows until the next call happens then.
func (a *Client) Advance(now float64) {
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
func (a *Client) start(now float64) {
	if !a.begun {
		a.begun, a.begunAt = true, now
		return
	}
	paused := now-a.now > pausedFor*a.set.SessionTimeout
	if paused || now-a.begunAt > startingFor*a.set.SessionTimeout {
		a.self.late = true
	}
}

// holder gives the part in a lease, which knows the time; nil: there is none.
func (a *Client) holder(duty string) *holder {
	h := a.holders[duty]
	if h != nil {
		h.Advance(a.now)
	}
	return h
}

// again puts the next try off, twice as far each time, by a part that is drawn.
func (a *Client) again(r *retry) {
	r.wait = math.Min(math.Max(2*r.wait, a.set.SessionTimeout*retryPart), a.set.SessionTimeout*longest)
	r.at = a.now + r.wait*(1-spread*a.chance.Next())
}

func (a *Client) call(of asked, e leasestate.Entry) {
	a.number++
	a.asked[a.number] = of
	e.Session, e.Incarnation = a.set.Name, a.self.current
	a.out = append(a.out, Decision{Action: Propose, Request: a.number, Entry: e})
}

// Signed signs an entry of this process's own: a note of a step, say.
func (a *Client) Signed(e leasestate.Entry) leasestate.Entry {
	e.Session, e.Incarnation = a.set.Name, a.self.current
	return e
}

// pull takes over what a holder decides.
func (a *Client) pull(duty string) {
	h := a.holders[duty]
	defer func() { a.soonest.Put(&h.due, h.NextDeadline()) }()
	for d, more := h.Next(); more; d, more = h.Next() {
		switch d.Action {
		case lease.RequestLease:
			if a.open { // else it is asked for again once there is a session
				a.call(asked{kind: leasestate.AcquireLease, duty: duty, number: d.Request}, leasestate.Entry{Kind: leasestate.AcquireLease, Lease: duty})
			}
		case lease.ReleaseLease:
			a.call(asked{kind: leasestate.ReleaseLease}, leasestate.Entry{Kind: leasestate.ReleaseLease, Lease: duty, Token: d.Token})
		case lease.TransferLease:
			a.call(asked{kind: leasestate.TransferLease}, leasestate.Entry{Kind: leasestate.TransferLease, Lease: duty, Token: d.Token, To: d.To})
		case lease.Start, lease.Stop:
			if d.Action == lease.Start { // what a former owner sends here is old from now on
				a.receiver.TokenLearned(duty, d.Token)
			}
			a.out = append(a.out, Decision{Action: map[lease.Action]Action{lease.Start: Start, lease.Stop: Stop}[d.Action], Lease: duty, Token: d.Token})
		}
	}
}

// Answered conveys the coordinator's answer to a request.
func (a *Client) Answered(number uint64, ans leasestate.Result) {
	of, known := a.asked[number]
	if !known {
		return
	}
	delete(a.asked, number)
	if ans.Refusal == leasestate.RefusedNoSession && of.kind != leasestate.OpenSession {
		a.lost()
		return
	}
	switch of.kind {
	case leasestate.OpenSession:
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
			a.holder(duty).RequestNow()
			a.pull(duty)
		}
	case leasestate.KeepAlive:
		a.beaten()
	case leasestate.AcquireLease:
		h := a.holder(of.duty)
		if h == nil {
			return
		}
		if ans.Held {
			h.Granted(of.number, ans.Token)
		} else {
			h.Denied(of.number)
		}
		a.pull(of.duty)
	case leasestate.CloseSession:
		a.left = true
	case "":
		a.stood(of.duties, nil) // it told no fencing tokens
	}
}

func (a *Client) beaten() {
	for _, name := range slices.Sorted(maps.Keys(a.duties)) {
		a.behind(a.duties[name])
	}
	a.beating = retry{at: a.now + a.set.SessionTimeout*beatPart*(1-spread*a.chance.Next())}
}

// lost: the coordinator has ended this session, or never had it. What was held ends by itself, under its own account of time;
// the process begins again as another incarnation.
func (a *Client) lost() {
	if !a.open || a.leaving {
		return
	}
	a.Reopened++
	a.open, a.beating, a.opening = false, retry{at: math.Inf(1)}, retry{at: a.now}
	a.self.reopen()
}

// Failed says that a request brought no answer, or none that is known.
func (a *Client) Failed(number uint64) {
	of, known := a.asked[number]
	if !known {
		return
	}
	delete(a.asked, number)
	switch of.kind {
	case leasestate.OpenSession:
		a.self.unknown = true
		a.again(&a.opening)
	case leasestate.KeepAlive:
		a.again(&a.beating)
	case leasestate.CloseSession:
		a.left = true // its length will end it
	case "":
		a.stood(of.duties, nil)
	}
}

// UpdateReceived takes in what the coordinator tells. It may be old: a higher fencing token is true whenever it is heard, a lower one says only
// that somebody should look.
func (a *Client) UpdateReceived(u Update) {
	if u.Complete {
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
	for _, d := range u.Leases {
		if len(a.duties) < mostKnown {
			a.duties[d.Name] = d
		}
		if h := a.holder(d.Name); h != nil {
			if d.Holder != a.set.Name {
				h.Lost(d.Token)
			} else if fence, may := h.Valid(); !may || fence != d.Token {
				h.RequestNow()
			}
			a.pull(d.Name)
		}
		if a.behind(d); a.receiver.Learned(d.Name) && d.Holder != "" {
			a.receiver.TokenLearned(d.Name, d.Token) // before its holder's first act gets here
		}
	}
}

// behind tells the coordinator of a fencing token that this receiver has seen and the coordinator seems not to know, or has given to another.
func (a *Client) behind(d Lease) {
	highest, holder := a.receiver.Highest(d.Name)
	order := highest.Compare(d.Token)
	if order < 0 || order == 0 && (holder == "" || d.Holder == "" || holder == d.Holder) {
		return
	}
	if at, once := a.told[d.Name]; once && a.now-at < tellAgain*a.set.SessionTimeout || !a.open {
		return
	}
	a.told[d.Name] = a.now
	a.number++
	a.asked[a.number] = asked{kind: leasestate.ReportToken}
	a.out = append(a.out, Decision{Action: Propose, Request: a.number, Entry: leasestate.Entry{Kind: leasestate.ReportToken, Lease: d.Name, Token: highest, Session: holder}})
}

// Check judges another's act. Of a lease that this receiver knows nothing of it takes none, and asks the coordinator.
func (a *Client) Check(s lease.Scope, holder string, fence lease.Token) (lease.Verdict, lease.Token) {
	v, highest := a.receiver.Check(s, holder, fence)
	switch v {
	case lease.NotLearned:
		a.LearnToken(s.Lease)
	case lease.Stale:
		a.RejectedActs++
	}
	return v, highest
}

// CloseScope forgets a scope that is gone.
func (a *Client) CloseScope(s lease.Scope) { a.receiver.CloseScope(s) }

// ActRejected says that a receiver turned an act of this process away.
func (a *Client) ActRejected(duty string, higher lease.Token) {
	if h := a.holder(duty); h != nil {
		h.ActRejected(higher)
		a.pull(duty)
	}
}

// Valid tells whether this process may act for a lease now, and the fencing token that goes with the act. Ask it last, right before.
func (a *Client) Valid(duty string) (lease.Token, bool) {
	if h := a.holder(duty); h != nil {
		return h.Valid()
	}
	return lease.Token{}, false
}

// Transfer hands a lease on to the session named, if this process holds it; it wants it no more.
func (a *Client) Transfer(duty, name string) {
	if h := a.holder(duty); h != nil {
		h.Release(name)
		a.pull(duty)
	}
}

// PolicyApplied says which version of the policy this process goes by, by its mark, and which it couldn't take, if any; the coordinator hears
// it with the next beat, now.
func (a *Client) PolicyApplied(mark, wont uint64, why string) {
	if a.policy == mark && a.wont == wont && a.why == why {
		return
	}
	if a.policy, a.wont, a.why = mark, wont, why; a.open {
		a.beating.at = math.Min(a.beating.at, a.now)
	}
}

// Shutdown ends it: nothing more is done for the fleet, and the coordinator is told. Left tells when it has been, or can't be.
func (a *Client) Shutdown() {
	if a.leaving {
		return
	}
	a.leaving = true
	clear(a.wants)
	for _, duty := range slices.Sorted(maps.Keys(a.holders)) {
		a.holder(duty).Release("")
		for d, more := a.holders[duty].Next(); more; d, more = a.holders[duty].Next() {
			if d.Action == lease.Stop { // the session's end gives all back at once
				a.out = append(a.out, Decision{Action: Stop, Lease: duty, Token: d.Token})
			}
		}
	}
	if !a.open {
		a.left = true
		return
	}
	a.call(asked{kind: leasestate.CloseSession}, leasestate.Entry{Kind: leasestate.CloseSession, RejectedActs: uint64(a.RejectedActs)})
}

// ShutdownComplete tells whether nothing is left to do.
func (a *Client) ShutdownComplete() bool { return a.left }

// Next gives the next decision; false: none is left.
func (a *Client) Next() (Decision, bool) {
	switch {
	case len(a.out) > 0 || a.leaving:
	case !a.open && a.opening.at <= a.now:
		a.opening.at = math.Inf(1)
		a.self.prepare()
		a.call(asked{kind: leasestate.OpenSession}, leasestate.Entry{Kind: leasestate.OpenSession, Role: a.set.Role, Address: a.set.Address,
			Timeout: uint64(a.set.SessionTimeout), Policy: a.policy, RejectedPolicy: a.wont, Reason: a.why})
	case a.open && a.beating.at <= a.now:
		a.beating.at = math.Inf(1)
		a.call(asked{kind: leasestate.KeepAlive}, leasestate.Entry{Kind: leasestate.KeepAlive, Policy: a.policy, RejectedPolicy: a.wont, Reason: a.why, RejectedActs: uint64(a.RejectedActs)})
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

// NextDeadline is when At must be called again at the latest.
func (a *Client) NextDeadline() float64 {
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

// SessionsComplete tells whether Sessions holds all that there are, as far as the coordinator told: a watch may have left them out.
func (a *Client) SessionsComplete() bool { return a.others }

// Sessions gives the sessions of a kind that the coordinator told of, by name.
func (a *Client) Sessions(kind string) (all []Session) {
	for _, name := range slices.Sorted(maps.Keys(a.sessions)) {
		if a.sessions[name].Role == kind {
			all = append(all, a.sessions[name])
		}
	}
	return all
}

// Lease gives what the coordinator told of a lease.
func (a *Client) Lease(name string) (Lease, bool) { d, ok := a.duties[name]; return d, ok }

// HasSession tells whether this process has a session, as far as it knows.
func (a *Client) HasSession() bool { return a.open }
