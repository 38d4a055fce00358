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
	hold    = "hold"    // FROM TO: routers hold new writes, what runs ends
	yield   = "yield"   // FROM TO: the old primary takes no more writes
	take    = "take"    // FROM TO: the new one does
	release = "release" // FROM TO: routers let go
	back    = "back"    // FROM TO: nothing comes of it: the new one takes none, the old one does again, routers let go
	leave   = "leave"   // FROM TO: nothing comes of it, and nothing was begun at the members: routers let go
)

// lookAgain is how long, in ms, a router whose writes run is left alone before it is asked again.
const lookAgain = 10

// Settings are given once. Times are ms.
type Settings struct {
	Hold float64 // the most that a router holds
	Wait float64 // for what runs, of that
	Step float64 // for one step at a member, or one word to a router
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
	Action Action
	Text   string
	To     string
	Word   RouterCommand
	Step   string
	Rank   uint64  // Do: of this step among those under one fencing token; the member refuses a lower one, as it does a lower fencing token
	Most   float64 // Hold: for so many ms at most
}

// Executor carries one order out.
type Executor struct {
	set      Settings
	now      float64
	begun    float64
	from, to string
	phase    string // "": the primary is looked for
	at       int    // how far within the phase
	waits    bool   // for the host's answer
	since    float64
	routers  map[string]*guest
	held     bool // some router was told to hold
	why      string
	out      []Decision
	over     bool
	how      string // it ended; empty: it is another's
	tries    int
	rank     uint64
	yields   bool // a member may have been asked to yield, by this owner or one before
}

type guest struct {
	told    RouterCommand
	waits   bool
	holds   bool
	running int
	failed  int
	at      float64 // when it was told last
}

// Order is the text of an operator's order.
func Order(to string) string { return "to " + to }

// NewExecutor takes an order up where the steps say that it stands.
// rank is that of the last step under this fencing token: a step that was sent and not answered may still arrive after later ones of the
// same owner, and must be refused as one of a former owner is.
func NewExecutor(set Settings, order string, steps []leasestate.Step, rank uint64, now float64) (*Executor, error) {
	to, ok := strings.CutPrefix(order, "to ")
	if !ok || to == "" {
		return nil, fmt.Errorf("the order %q is none that this build knows", order)
	}
	o := &Executor{set: set, now: now, begun: now, to: to, rank: rank, routers: map[string]*guest{}}
	if len(steps) == 0 {
		o.out = append(o.out, Decision{Action: FindPrimary})
		o.waits = true
		return o, nil
	}
	last := strings.Fields(steps[len(steps)-1].Text)
	if len(last) != 3 || last[2] != to {
		return nil, fmt.Errorf("the step %q is none that this build knows", steps[len(steps)-1].Text)
	}
	o.from, o.held = last[1], true
	switch last[0] {
	case hold: // nothing was asked of the members
		o.why = "its owner was lost while writes were held"
		o.begin(leave)
	case yield, take, release, back, leave:
		o.yields = last[0] != leave
		if last[0] == back || last[0] == leave {
			o.why = "taken back"
		}
		o.begin(last[0])
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

// begin notes a phase down, and enters it once that is noted.
func (o *Executor) begin(phase string) {
	o.phase, o.at, o.waits, o.tries = phase, -1, true, 0
	o.out = append(o.out, Decision{Action: RecordStep, Text: phase + " " + o.from + " " + o.to})
}

// PrimaryFound says which member takes writes, or why nobody can tell.
func (o *Executor) PrimaryFound(member string, err error) {
	if o.phase != "" || !o.waits {
		return
	}
	o.waits = false
	switch {
	case err != nil:
		o.end("nothing was changed: " + err.Error())
	case member == o.to:
		o.end("done: " + o.to + " is the primary already")
	default:
		o.from = member
		o.begin(hold)
	}
}

// StepRecorded says that a step is noted, or that it can't be: then this process owns nothing any more.
func (o *Executor) StepRecorded(ok bool) {
	if o.at != -1 {
		return
	}
	if !ok {
		o.over = true
		return
	}
	o.at, o.waits, o.since = 0, false, o.now
	o.step()
}

// Routers says who has a session now; those that come late are told to hold too, those that went are not waited for.
func (o *Executor) Routers(names []string) {
	for _, name := range names {
		if o.routers[name] == nil {
			o.routers[name] = &guest{}
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
	if g == nil || !g.waits || g.told != word {
		return
	}
	g.waits = false
	if !ok {
		g.failed++
	} else {
		g.failed = 0
		g.holds, g.running = word != ReleaseWrites, running
	}
	o.step()
}

// StepDone says how a step at a member ended.
func (o *Executor) StepDone(how Outcome, why string) {
	if !o.waits || o.at < 0 {
		return
	}
	o.waits = false
	switch {
	case how == Fenced:
		o.over = true // somebody else owns this now
	case how == Succeeded:
		o.at, o.tries = o.at+1, 0
	case how == Failed && (o.phase == yield || o.phase == take):
		o.undo(why)
	case o.phase == take && o.now-o.begun > 4*o.set.Hold, o.phase == yield && o.now-o.begun > o.set.Hold:
		o.undo("not done in time: " + why)
	case o.phase == back && o.at == 0 && o.now-o.begun > 8*o.set.Hold:
		// Whether it took over, only it can say: that the old one takes writes again might make two that do.
		o.end("stuck: nobody can tell whether " + o.to + " takes writes, and " + o.from + " takes none; an operator must look: " + why)
	case o.phase == back && o.at == 1 && o.tries >= 3: // all that can be done has been
		o.why += "; " + why
		o.at, o.tries = o.at+1, 0
	default:
		o.tries++ // asked again, which does no harm
		o.since = o.now
	}
	o.step()
}

// undo takes back what was begun, if anything was.
func (o *Executor) undo(why string) {
	if o.why = why; o.yields {
		o.begin(back)
	} else {
		o.begin(leave)
	}
}

func (o *Executor) end(how string) {
	if !o.over {
		o.over, o.how = true, how
		o.out = append(o.out, Decision{Action: EndOrder, Text: how})
	}
}

// step goes on as far as it can.
func (o *Executor) step() {
	if o.over || o.waits && (o.phase == yield || o.phase == take) || o.at < 0 {
		return
	}
	switch o.phase {
	case hold:
		o.quiet()
	case yield:
		switch o.at {
		case 0: // the next: an owner of before may have a step on its way there
			o.do(o.to, FenceMember)
		case 1:
			o.do(o.from, StepDown)
		default:
			o.begin(take)
		}
	case take:
		switch o.at {
		case 0:
			o.do(o.from, StepDown) // again, for who takes over here: it does no harm
		case 1:
			o.do(o.to, Promote)
		default:
			o.begin(release)
		}
	case release:
		if o.letGo() {
			o.end("done: " + o.to + " is the primary in place of " + o.from)
		}
	case leave:
		if o.letGo() {
			o.end("taken back, " + o.from + " is the primary: " + o.why)
		}
	case back:
		switch {
		case o.at == 0: // it may have taken over, by this owner's word or one's before that is still on its way
			o.do(o.to, StepDown)
		case o.at == 1:
			o.do(o.from, Promote)
		case o.letGo():
			o.end("taken back, " + o.from + " is the primary: " + o.why)
		}
	}
}

// quiet has all routers hold, and goes on once nothing runs, or it has taken long enough: what still runs then is turned
// away by the member itself.
func (o *Executor) quiet() {
	still, late := 0, o.now-o.since > o.set.Wait
	for _, name := range slices.Sorted(maps.Keys(o.routers)) {
		g := o.routers[name]
		switch {
		case g.waits:
			still++
		case !g.holds && g.failed < 3:
			still++
			o.tell(name, g, HoldWrites)
		case g.holds && g.running > 0 && !late:
			if still++; o.now-g.at >= lookAgain {
				o.tell(name, g, CountWrites)
			}
		}
	}
	if still == 0 || late {
		o.begin(yield)
	}
}

// letGo tells all routers to let go, and tells whether each has heard, or can't be reached: it lets go by itself.
func (o *Executor) letGo() bool {
	still := 0
	for _, name := range slices.Sorted(maps.Keys(o.routers)) {
		g := o.routers[name]
		switch {
		case g.waits:
			still++
		case g.told != ReleaseWrites && g.failed < 6 || g.told == ReleaseWrites && g.failed > 0 && g.failed < 3:
			still++
			o.tell(name, g, ReleaseWrites)
		}
	}
	return still == 0
}

func (o *Executor) tell(name string, g *guest, w RouterCommand) {
	if g.told != w {
		g.failed = 0
	}
	g.told, g.waits, g.at = w, true, o.now
	o.out = append(o.out, Decision{Action: CommandRouter, To: name, Word: w, Most: o.set.Hold})
}

func (o *Executor) do(member, step string) {
	if o.waits || o.tries > 0 && o.now-o.since < o.set.Step/4 {
		return
	}
	o.waits = true
	o.yields = o.yields || step == StepDown
	if o.tries == 0 {
		o.rank++
	}
	o.out = append(o.out, Decision{Action: CommandMember, To: member, Step: step, Rank: o.rank})
}

// Over tells whether nothing is left to do, whether the order has ended or another owns it.
func (o *Executor) Over() bool { return o.over && len(o.out) == 0 }

// RankBits are those below a fencing token's number in a guard row; an owner that has used most of them gives its lease back.
const RankBits = 10

// Phase tells where it stands, for people.
func (o *Executor) Phase() string { return o.phase }

// Next gives the next decision; false: none is left.
func (o *Executor) Next() (Decision, bool) {
	if len(o.out) == 0 {
		return Decision{}, false
	}
	d := o.out[0]
	o.out = o.out[1:]
	return d, true
}

// OrderState is what a process keeps of a group's lease between orders, and between two spells of owning it under one fencing token: the rank that
// its steps have come to, which members remember, and the order that it ended last. Its zero is of one that never owned it.
type OrderState struct {
	fence lease.Token
	rank  uint64
	ended leasestate.Order // the order that was ended last, and how
	owes  bool             // the coordinator has yet to be told of that
}

// BeginLease begins a spell under a fencing token; under the one before, it goes on.
func (d *OrderState) BeginLease(fence lease.Token) {
	if fence != d.fence {
		*d = OrderState{fence: fence}
	}
}

// Take gives an owner to the open order, where there is one to be carried out here; else nil. What the coordinator tells may come from a
// process of it that lags: orders up to the last that was ended are old.
func (d *OrderState) Take(set Settings, open leasestate.Order, steps []leasestate.Step, now float64) (*Executor, error) {
	if open.Number <= d.ended.Number {
		return nil, nil
	}
	o, err := NewExecutor(set, open.Text, steps, d.rank, now)
	if err != nil {
		d.ended, d.owes = leasestate.Order{Number: open.Number, Text: err.Error()}, true
	}
	return o, err
}

// Update notes how far an owner's steps have come, and whether its order is over here: ended, or another's.
func (d *OrderState) Update(o *Executor, number uint64) {
	if d.rank = max(d.rank, o.rank); o.Over() {
		d.ended, d.owes = leasestate.Order{Number: number, Text: o.how}, o.how != ""
	}
}

// UnreportedEnd gives the order whose end the coordinator has yet to be told of: until it has been, nobody can give another.
func (d *OrderState) UnreportedEnd() (leasestate.Order, bool) { return d.ended, d.owes }

// EndReported says that the coordinator has taken it.
func (d *OrderState) EndReported(number uint64) { d.owes = d.owes && d.ended.Number != number }

// NeedsNewToken tells that another fencing token is needed before another order is taken up: few ranks are left under this one.
func (d *OrderState) NeedsNewToken() bool { return d.rank > 1<<RankBits-100 }

// WriteHolds is a router's part: which groups' writes wait, and until when. A switchover is named by its fencing token's epoch and its order's
// number; the same one never holds for longer than its bound, however often it asks.
type WriteHolds struct {
	bound float64
	holds map[int]holding
}

type holding struct {
	epoch, number uint64
	until         float64
	over          bool
}

// NewWriteHolds makes a router's part; bound is the most, in ms, that it holds for one switchover.
func NewWriteHolds(bound float64) *WriteHolds {
	return &WriteHolds{bound: bound, holds: map[int]holding{}}
}

// Hold says until when writes of a group wait; 0: they don't.
func (g *WriteHolds) Hold(group int, fence lease.Token, number uint64, most, now float64) (until float64) {
	h, had := g.holds[group]
	if had && h.epoch == fence.Epoch && h.number == number {
		if h.over {
			return 0
		}
		return h.until
	}
	if math.IsNaN(most) || most < 0 {
		most = 0
	}
	g.holds[group] = holding{epoch: fence.Epoch, number: number, until: now + math.Min(most, g.bound)}
	return g.holds[group].until
}

// Release lets a group's writes go; what still asks to hold for the same switchover, later, asks in vain.
func (g *WriteHolds) Release(group int, fence lease.Token, number uint64) {
	g.holds[group] = holding{epoch: fence.Epoch, number: number, over: true}
}

// Forget drops groups that are gone.
func (g *WriteHolds) Forget(but map[int]bool) {
	maps.DeleteFunc(g.holds, func(group int, _ holding) bool { return !but[group] })
}
