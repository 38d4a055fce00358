// Package switchover decides a planned change of a group's primary: what its owner does, step by step, each noted in the replicated state
// before it is taken, so that the next owner knows where the last one stood; and what a router makes of being asked to hold
// writes. It owns the order of steps and the bounds; it must never do one itself, or hold a write for longer than a router's
// own bound whatever becomes of the owner.
//
// What a late owner could do: release writes to a primary that yielded, or have a second member take over. Each step goes with
// the fencing token of the owner's grant; a router that has seen a higher one refuses it, and so does a member, by its guard row, in
// the same transaction as the step.
package switchover

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"wayloft/internal/decide/lease"
	"wayloft/internal/decide/leasestate"
)

// LeaseName names the lease of a group.
func LeaseName(group int) string { return fmt.Sprintf("handover/%d", group) }

// Steps, as they are noted. Each says what is done next, so that one that is noted may have been taken or not.
const (
	phaseHold     = "hold"    // FROM TO: routers hold new writes, what runs ends
	phaseStepDown = "yield"   // FROM TO: the old primary takes no more writes
	phasePromote  = "take"    // FROM TO: the new one does
	phaseRelease  = "release" // FROM TO: routers let go
	phaseRollback = "back"    // FROM TO: nothing comes of it: the new one takes none, the old one does again, routers let go
	phaseAbandon  = "leave"   // FROM TO: nothing comes of it, and nothing was begun at the members: routers let go
)

// countInterval is how long, in ms, a router whose writes run is left alone before it is asked again.
const countInterval = 10

// Settings are given once. Times are ms.
type Settings struct {
	MaxHold      float64 // the most that a router holds
	DrainTimeout float64 // for what runs, of that
	StepTimeout  float64 // for one step at a member, or one word to a router
}

// Action tells what the host is to do.
type Action int

const (
	FindPrimary   Action = iota // ask the group's members which one is primary: Found
	RecordStep                  // note Text in the replicated state: Noted
	CommandRouter               // tell router To: Told
	CommandMember               // have member To take Step, under the fencing token: Done
	EndOrder                    // the order is over, as Text says: a word for the log, the Desk owes it to the coordinator
)

// RouterCommand is what a router is told.
type RouterCommand int

const (
	HoldWrites  RouterCommand = iota
	CountWrites               // how many writes run
	ReleaseWrites
)

// What a member is to do. Each may be asked again, and is refused without an effect where the member has seen a higher fencing token.
const (
	FenceMember = "bar"   // nothing, but refuse lower fencing tokens from then on
	StepDown    = "yield" // take no more writes
	Promote     = "take"  // take writes
)

// Outcome is how a step at a member ended.
type Outcome int

const (
	Succeeded Outcome = iota
	Fenced            // the member has seen a higher fencing token
	Failed            // it had no effect, for a reason that may pass or not
	Unknown           // it may have had one
)

// Decision is one thing for the host to do; only the fields of its verb are set.
type Decision struct {
	Action  Action
	Text    string
	Target  string
	Command RouterCommand
	Step    string
	Rank    uint64  // Do: of this step among those under one fencing token; the member refuses a lower one, as it does a lower fencing token
	MaxHold float64 // Hold: for so many ms at most
}

// Executor carries one order out.
type Executor struct {
	settings               Settings
	now                    float64
	startedAt              float64
	oldPrimary, newPrimary string
	phase                  string // "": the primary is looked for
	stage                  int    // how far within the phase
	awaiting               bool   // for the host's answer
	stageStarted           float64
	routers                map[string]*routerState
	held                   bool // some router was told to hold
	reason                 string
	decisions              []Decision
	finished               bool
	outcome                string // it ended; empty: it is another's
	attempts               int
	rank                   uint64
	mayHaveSteppedDown     bool // a member may have been asked to yield, by this owner or one before
}

type routerState struct {
	command     RouterCommand
	awaiting    bool
	holding     bool
	running     int
	failures    int
	commandedAt float64 // when it was told last
}

// FormatOrder is the text of an operator's order.
func FormatOrder(to string) string { return "to " + to }

// NewExecutor takes an order up where the steps say that it stands.
// rank is that of the last step under this fencing token: a step that was sent and not answered may still arrive after later ones of the
// same owner, and must be refused as one of a former owner is.
func NewExecutor(set Settings, order string, steps []leasestate.Step, rank uint64, now float64) (*Executor, error) {
	to, ok := strings.CutPrefix(order, "to ")
	if !ok || to == "" {
		return nil, fmt.Errorf("the order %q is none that this build knows", order)
	}
	o := &Executor{settings: set, now: now, startedAt: now, newPrimary: to, rank: rank, routers: map[string]*routerState{}}
	if len(steps) == 0 {
		o.decisions = append(o.decisions, Decision{Action: FindPrimary})
		o.awaiting = true
		return o, nil
	}
	last := strings.Fields(steps[len(steps)-1].Text)
	if len(last) != 3 || last[2] != to {
		return nil, fmt.Errorf("the step %q is none that this build knows", steps[len(steps)-1].Text)
	}
	o.oldPrimary, o.held = last[1], true
	switch last[0] {
	case phaseHold: // nothing was asked of the members
		o.reason = "its owner was lost while writes were held"
		o.enterPhase(phaseAbandon)
	case phaseStepDown, phasePromote, phaseRelease, phaseRollback, phaseAbandon:
		o.mayHaveSteppedDown = last[0] != phaseAbandon
		if last[0] == phaseRollback || last[0] == phaseAbandon {
			o.reason = "taken back"
		}
		o.enterPhase(last[0])
	default:
		return nil, fmt.Errorf("the step %q is none that this build knows", steps[len(steps)-1].Text)
	}
	return o, nil
}

// Advance sets the time; all that follows until the next call happens then.
func (o *Executor) Advance(now float64) {
	o.now = math.Max(o.now, now)
	o.step()
}

// enterPhase notes a phase down, and enters it once that is noted.
func (o *Executor) enterPhase(phase string) {
	o.phase, o.stage, o.awaiting, o.attempts = phase, -1, true, 0
	o.decisions = append(o.decisions, Decision{Action: RecordStep, Text: phase + " " + o.oldPrimary + " " + o.newPrimary})
}

// PrimaryFound says which member takes writes, or why nobody can tell.
func (o *Executor) PrimaryFound(member string, err error) {
	if o.phase != "" || !o.awaiting {
		return
	}
	o.awaiting = false
	switch {
	case err != nil:
		o.end("nothing was changed: " + err.Error())
	case member == o.newPrimary:
		o.end("done: " + o.newPrimary + " is the primary already")
	default:
		o.oldPrimary = member
		o.enterPhase(phaseHold)
	}
}

// StepRecorded says that a step is noted, or that it can't be: then this process owns nothing any more.
func (o *Executor) StepRecorded(ok bool) {
	if o.stage != -1 {
		return
	}
	if !ok {
		o.finished = true
		return
	}
	o.stage, o.awaiting, o.stageStarted = 0, false, o.now
	o.step()
}

// SetRouters says who has a session now; those that come late are told to hold too, those that went are not waited for.
func (o *Executor) SetRouters(names []string) {
	for _, name := range names {
		if o.routers[name] == nil {
			o.routers[name] = &routerState{}
		}
	}
	for name := range o.routers {
		if !slices.Contains(names, name) {
			delete(o.routers, name)
		}
	}
	o.step()
}

// RouterAnswered says how a router answered: whether it did as told, and how many writes run there.
func (o *Executor) RouterAnswered(router string, word RouterCommand, ok bool, running int) {
	g := o.routers[router]
	if g == nil || !g.awaiting || g.command != word {
		return
	}
	g.awaiting = false
	if !ok {
		g.failures++
	} else {
		g.failures = 0
		g.holding, g.running = word != ReleaseWrites, running
	}
	o.step()
}

// StepDone says how a step at a member ended.
func (o *Executor) StepDone(how Outcome, why string) {
	if !o.awaiting || o.stage < 0 {
		return
	}
	o.awaiting = false
	switch {
	case how == Fenced:
		o.finished = true // somebody else owns this now
	case how == Succeeded:
		o.stage, o.attempts = o.stage+1, 0
	case how == Failed && (o.phase == phaseStepDown || o.phase == phasePromote):
		o.rollBack(why)
	case o.phase == phasePromote && o.now-o.startedAt > 4*o.settings.MaxHold, o.phase == phaseStepDown && o.now-o.startedAt > o.settings.MaxHold:
		o.rollBack("not done in time: " + why)
	case o.phase == phaseRollback && o.stage == 0 && o.now-o.startedAt > 8*o.settings.MaxHold:
		// Whether it took over, only it can say: that the old one takes writes again might make two that do.
		o.end("stuck: nobody can tell whether " + o.newPrimary + " takes writes, and " + o.oldPrimary + " takes none; an operator must look: " + why)
	case o.phase == phaseRollback && o.stage == 1 && o.attempts >= 3: // all that can be done has been
		o.reason += "; " + why
		o.stage, o.attempts = o.stage+1, 0
	default:
		o.attempts++ // asked again, which does no harm
		o.stageStarted = o.now
	}
	o.step()
}

// rollBack takes back what was begun, if anything was.
func (o *Executor) rollBack(why string) {
	if o.reason = why; o.mayHaveSteppedDown {
		o.enterPhase(phaseRollback)
	} else {
		o.enterPhase(phaseAbandon)
	}
}

func (o *Executor) end(how string) {
	if !o.finished {
		o.finished, o.outcome = true, how
		o.decisions = append(o.decisions, Decision{Action: EndOrder, Text: how})
	}
}

// step goes on as far as it can.
func (o *Executor) step() {
	if o.finished || o.awaiting && (o.phase == phaseStepDown || o.phase == phasePromote) || o.stage < 0 {
		return
	}
	switch o.phase {
	case phaseHold:
		o.holdWrites()
	case phaseStepDown:
		switch o.stage {
		case 0: // the next: an owner of before may have a step on its way there
			o.commandMember(o.newPrimary, FenceMember)
		case 1:
			o.commandMember(o.oldPrimary, StepDown)
		default:
			o.enterPhase(phasePromote)
		}
	case phasePromote:
		switch o.stage {
		case 0:
			o.commandMember(o.oldPrimary, StepDown) // again, for who takes over here: it does no harm
		case 1:
			o.commandMember(o.newPrimary, Promote)
		default:
			o.enterPhase(phaseRelease)
		}
	case phaseRelease:
		if o.releaseWrites() {
			o.end("done: " + o.newPrimary + " is the primary in place of " + o.oldPrimary)
		}
	case phaseAbandon:
		if o.releaseWrites() {
			o.end("taken back, " + o.oldPrimary + " is the primary: " + o.reason)
		}
	case phaseRollback:
		switch {
		case o.stage == 0: // it may have taken over, by this owner's word or one's before that is still on its way
			o.commandMember(o.newPrimary, StepDown)
		case o.stage == 1:
			o.commandMember(o.oldPrimary, Promote)
		case o.releaseWrites():
			o.end("taken back, " + o.oldPrimary + " is the primary: " + o.reason)
		}
	}
}

// holdWrites has all routers hold, and goes on once nothing runs, or it has taken long enough: what still runs then is turned
// away by the member itself.
func (o *Executor) holdWrites() {
	still, late := 0, o.now-o.stageStarted > o.settings.DrainTimeout
	for _, name := range slices.Sorted(maps.Keys(o.routers)) {
		g := o.routers[name]
		switch {
		case g.awaiting:
			still++
		case !g.holding && g.failures < 3:
			still++
			o.commandRouter(name, g, HoldWrites)
		case g.holding && g.running > 0 && !late:
			if still++; o.now-g.commandedAt >= countInterval {
				o.commandRouter(name, g, CountWrites)
			}
		}
	}
	if still == 0 || late {
		o.enterPhase(phaseStepDown)
	}
}

// releaseWrites tells all routers to let go, and tells whether each has heard, or can't be reached: it lets go by itself.
func (o *Executor) releaseWrites() bool {
	still := 0
	for _, name := range slices.Sorted(maps.Keys(o.routers)) {
		g := o.routers[name]
		switch {
		case g.awaiting:
			still++
		case g.command != ReleaseWrites && g.failures < 6 || g.command == ReleaseWrites && g.failures > 0 && g.failures < 3:
			still++
			o.commandRouter(name, g, ReleaseWrites)
		}
	}
	return still == 0
}

func (o *Executor) commandRouter(name string, g *routerState, w RouterCommand) {
	if g.command != w {
		g.failures = 0
	}
	g.command, g.awaiting, g.commandedAt = w, true, o.now
	o.decisions = append(o.decisions, Decision{Action: CommandRouter, Target: name, Command: w, MaxHold: o.settings.MaxHold})
}

func (o *Executor) commandMember(member, step string) {
	if o.awaiting || o.attempts > 0 && o.now-o.stageStarted < o.settings.StepTimeout/4 {
		return
	}
	o.awaiting = true
	o.mayHaveSteppedDown = o.mayHaveSteppedDown || step == StepDown
	if o.attempts == 0 {
		o.rank++
	}
	o.decisions = append(o.decisions, Decision{Action: CommandMember, Target: member, Step: step, Rank: o.rank})
}

// Finished tells whether nothing is left to do, whether the order has ended or another owns it.
func (o *Executor) Finished() bool { return o.finished && len(o.decisions) == 0 }

// RankBits are those below a fencing token's number in a guard row; an owner that has used most of them gives its lease back.
const RankBits = 10

// Phase tells where it stands, for people.
func (o *Executor) Phase() string { return o.phase }

// Next gives the next decision; false: none is left.
func (o *Executor) Next() (Decision, bool) {
	if len(o.decisions) == 0 {
		return Decision{}, false
	}
	d := o.decisions[0]
	o.decisions = o.decisions[1:]
	return d, true
}

// OrderState is what a process keeps of a group's lease between orders, and between two spells of owning it under one fencing token: the rank that
// its steps have come to, which members remember, and the order that it ended last. Its zero is of one that never owned it.
type OrderState struct {
	token         lease.Token
	rank          uint64
	lastEnded     leasestate.Order // the order that was ended last, and how
	endUnreported bool             // the coordinator has yet to be told of that
}

// BeginLease begins a spell under a fencing token; under the one before, it goes on.
func (d *OrderState) BeginLease(fence lease.Token) {
	if fence != d.token {
		*d = OrderState{token: fence}
	}
}

// StartOrder gives an owner to the open order, where there is one to be carried out here; else nil. What the coordinator tells may come from a
// process of it that lags: orders up to the last that was ended are old.
func (d *OrderState) StartOrder(set Settings, open leasestate.Order, steps []leasestate.Step, now float64) (*Executor, error) {
	if open.Number <= d.lastEnded.Number {
		return nil, nil
	}
	o, err := NewExecutor(set, open.Text, steps, d.rank, now)
	if err != nil {
		d.lastEnded, d.endUnreported = leasestate.Order{Number: open.Number, Text: err.Error()}, true
	}
	return o, err
}

// Update notes how far an owner's steps have come, and whether its order is over here: ended, or another's.
func (d *OrderState) Update(o *Executor, number uint64) {
	if d.rank = max(d.rank, o.rank); o.Finished() {
		d.lastEnded, d.endUnreported = leasestate.Order{Number: number, Text: o.outcome}, o.outcome != ""
	}
}

// UnreportedEnd gives the order whose end the coordinator has yet to be told of: until it has been, nobody can give another.
func (d *OrderState) UnreportedEnd() (leasestate.Order, bool) { return d.lastEnded, d.endUnreported }

// EndReported says that the coordinator has taken it.
func (d *OrderState) EndReported(number uint64) {
	d.endUnreported = d.endUnreported && d.lastEnded.Number != number
}

// NeedsNewToken tells that another fencing token is needed before another order is taken up: few ranks are left under this one.
func (d *OrderState) NeedsNewToken() bool { return d.rank > 1<<RankBits-100 }

// WriteHolds is a router's part: which groups' writes wait, and until when. A switchover is named by its fencing token's epoch and its order's
// number; the same one never holds for longer than its bound, however often it asks.
type WriteHolds struct {
	maxHold float64
	holds   map[int]writeHold
}

type writeHold struct {
	epoch, number uint64
	until         float64
	released      bool
}

// NewWriteHolds makes a router's part; bound is the most, in ms, that it holds for one switchover.
func NewWriteHolds(bound float64) *WriteHolds {
	return &WriteHolds{maxHold: bound, holds: map[int]writeHold{}}
}

// Hold says until when writes of a group wait; 0: they don't.
func (g *WriteHolds) Hold(group int, fence lease.Token, number uint64, most, now float64) (until float64) {
	h, had := g.holds[group]
	if had && h.epoch == fence.Epoch && h.number == number {
		if h.released {
			return 0
		}
		return h.until
	}
	if math.IsNaN(most) || most < 0 {
		most = 0
	}
	g.holds[group] = writeHold{epoch: fence.Epoch, number: number, until: now + math.Min(most, g.maxHold)}
	return g.holds[group].until
}

// Release lets a group's writes go; what still asks to hold for the same switchover, later, asks in vain.
func (g *WriteHolds) Release(group int, fence lease.Token, number uint64) {
	g.holds[group] = writeHold{epoch: fence.Epoch, number: number, released: true}
}

// RetainGroups drops groups that are gone.
func (g *WriteHolds) RetainGroups(but map[int]bool) {
	maps.DeleteFunc(g.holds, func(group int, _ writeHold) bool { return !but[group] })
}
