package lease_test

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"wayloft/internal/decide/lease"
	"wayloft/internal/decide/leasestate"
)

// defects are seeded in the world, each to be found.
type defects struct {
	acceptsAll       bool    // the receiver accepts whatever comes
	forgets          bool    // a receiver that restarted accepts acts without having asked
	sameEpoch        bool    // a coordinator that lost its state begins again in the same epoch
	tellsLatestGrant bool    // a restarted receiver learns the latest grant's token, which a new epoch may not have
	overstayMs       float64 // ms that a holder acts beyond its lease
}

// Of the world's lease, in ms.
const (
	duration = 3
	margin   = 1
	tickMs   = 2
)

const leaseName = "d"

var scope = lease.Scope{Lease: leaseName, Subject: "g"}

// messageKind is what a message of the world's network is.
type messageKind string

const (
	requestMessage  messageKind = "request"  // of a holder for the lease
	responseMessage messageKind = "response" // of the coordinator to it
	actMessage      messageKind = "act"      // of a holder, to the receiver
	queryMessage    messageKind = "query"    // of a receiver for the token in force, and its answer
)

type message struct {
	kind     messageKind
	holder   int
	number   uint64
	token    lease.Token
	answered bool // granted, or the answer of a query
}

// stepKind is what may happen in the world.
type stepKind string

const (
	stepTick    stepKind = "tick"    // time passes
	stepSleep   stepKind = "sleep"   // a holder is stopped
	stepWake    stepKind = "wake"    // it runs on
	stepCheck   stepKind = "check"   // it finds that it may act
	stepSend    stepKind = "send"    // it sends the act for which it checked
	stepDeliver stepKind = "deliver" // a message arrives
	stepLose    stepKind = "lose"    // a message is lost
	stepRestart stepKind = "restart" // the receiver restarts
	stepWipe    stepKind = "wipe"    // the coordinator's state is lost
	stepLead    stepKind = "lead"    // the coordinator has a new leader
)

// step is one thing that happens, to a holder or to a message of the network by index.
type step struct {
	kind  stepKind
	index int
}

func (s step) String() string { return fmt.Sprint(string(s.kind), " ", s.index) }

// most is how often each of these may happen.
var most = map[stepKind]int{stepTick: 3, stepSleep: 1, stepSend: 3, stepLose: 1, stepRestart: 1, stepWipe: 1, stepLead: 1}

// world is two holders, a receiver and a coordinator, with a network that delays and loses, pauses, restarts and one loss of
// the coordinator's state.
type world struct {
	defects
	now      float64
	holders  [2]*lease.Holder
	asleep   [2]bool
	checked  [2]lease.Token // under which the holder has found that it may act, and has not yet sent the act
	state    *leasestate.State
	index    uint64
	epoch    uint64
	receiver *lease.Receiver
	restarts int
	network  []message
	done     map[stepKind]int
	accepted lease.Token // the highest, by any incarnation of the receiver
	rejected int
	wrong    string
}

func newWorld(d defects) *world {
	w := &world{defects: d, state: leasestate.New("f"), epoch: 1, receiver: lease.NewReceiver(), done: map[stepKind]int{}}
	w.receiver.TokenLearned(leaseName, w.state.LatestToken(leaseName))
	for n := range w.holders {
		w.holders[n] = lease.NewHolder(lease.Settings{Duration: duration, SafetyMargin: margin - d.overstayMs, Seed: uint64(n)})
		w.holders[n].Acquire()
		w.pull(n)
	}
	return w
}

func holderName(holder int) string { return fmt.Sprint(holder) }

func (w *world) apply(entry leasestate.Entry) leasestate.Result {
	w.index++
	return w.state.Apply(w.index, entry)
}

func (w *world) send(m message) { w.network = append(w.network, m) }

// pull carries out a holder's decisions.
func (w *world) pull(holder int) {
	for d, more := w.holders[holder].Next(); more; d, more = w.holders[holder].Next() {
		switch d.Action {
		case lease.RequestLease: // one goes in place of the one before, if that is still on its way
			w.network = slices.DeleteFunc(w.network, func(m message) bool { return m.kind == requestMessage && m.holder == holder })
			w.send(message{kind: requestMessage, holder: holder, number: d.Request})
		case lease.Stop:
			w.checked[holder] = lease.Token{} // it ends what it was about to do, if it is awake to hear of it
		}
	}
}

// may reports whether something may happen once more.
func (w *world) may(kind stepKind) bool { return w.done[kind] < most[kind] }

// steps returns what may happen next.
func (w *world) steps() (all []step) {
	if w.may(stepTick) {
		all = append(all, step{kind: stepTick})
	}
	for holder := range w.holders {
		all = append(all, w.holderSteps(holder)...)
	}
	for n, m := range w.network {
		if m.kind == responseMessage && w.asleep[m.holder] {
			continue
		}
		all = append(all, step{stepDeliver, n})
		if m.kind != actMessage && w.may(stepLose) {
			all = append(all, step{stepLose, n})
		}
	}
	for _, kind := range []stepKind{stepRestart, stepWipe, stepLead} {
		if w.may(kind) {
			all = append(all, step{kind: kind})
		}
	}
	return all
}

func (w *world) holderSteps(holder int) (all []step) {
	if w.asleep[holder] {
		return []step{{stepWake, holder}}
	}
	if w.may(stepSleep) {
		all = append(all, step{stepSleep, holder})
	}
	hasChecked := w.checked[holder] != lease.Token{}
	if _, valid := w.holders[holder].Valid(); valid && !hasChecked {
		all = append(all, step{stepCheck, holder})
	} else if hasChecked && w.may(stepSend) {
		all = append(all, step{stepSend, holder})
	}
	return all
}

func (w *world) step(s step) {
	if _, bounded := most[s.kind]; bounded {
		w.done[s.kind]++
	}
	switch s.kind {
	case stepTick:
		w.tick()
	case stepSleep:
		w.asleep[s.index] = true
	case stepWake:
		w.wake(s.index)
	case stepCheck:
		w.check(s.index)
	case stepSend:
		w.send(message{kind: actMessage, holder: s.index, token: w.checked[s.index]})
		w.checked[s.index] = lease.Token{}
	case stepLose:
		w.takeMessage(s.index)
	case stepRestart:
		w.restartReceiver()
	case stepWipe:
		w.wipe()
	case stepLead:
		w.apply(leasestate.Entry{Kind: leasestate.BeginTerm})
	case stepDeliver:
		w.deliver(w.takeMessage(s.index))
	}
}

func (w *world) takeMessage(n int) message {
	m := w.network[n]
	w.network = append(w.network[:n:n], w.network[n+1:]...)
	return m
}

func (w *world) tick() {
	w.now += tickMs
	w.apply(leasestate.Entry{Kind: leasestate.AdvanceTime, Elapsed: tickMs})
	for holder := range w.holders {
		if !w.asleep[holder] {
			w.holders[holder].Advance(w.now)
			w.pull(holder)
		}
	}
}

// wake has a holder go on where it stood: what it has checked may go out before it looks at its clock.
func (w *world) wake(holder int) {
	w.asleep[holder] = false
	if w.checked[holder] != (lease.Token{}) {
		w.send(message{kind: actMessage, holder: holder, token: w.checked[holder]})
	}
	w.holders[holder].Advance(w.now)
	w.pull(holder)
}

func (w *world) check(holder int) {
	w.checked[holder], _ = w.holders[holder].Valid()
	if held, _ := w.state.Lease(leaseName); held.Holder != holderName(holder) && w.done[stepWipe] == 0 {
		w.wrong = fmt.Sprintf("holder %d may act under %v while the coordinator has %q at %v", holder, w.checked[holder], held.Holder, held.Token)
	}
}

func (w *world) restartReceiver() {
	w.receiver = lease.NewReceiver()
	w.restarts++
	if w.forgets {
		w.receiver.TokenLearned(leaseName, lease.Token{})
		return
	}
	w.send(message{kind: queryMessage, number: uint64(w.restarts)})
}

func (w *world) wipe() {
	w.state = leasestate.New("f")
	if w.sameEpoch {
		return
	}
	w.epoch++
	w.apply(leasestate.Entry{Kind: leasestate.BeginEpoch, Epoch: w.epoch})
}

func (w *world) deliver(m message) {
	switch m.kind {
	case requestMessage:
		w.answerRequest(m)
	case responseMessage:
		if m.answered {
			w.holders[m.holder].Granted(m.number, m.token)
		} else {
			w.holders[m.holder].Denied(m.number)
		}
		w.pull(m.holder)
	case queryMessage:
		w.answerQuery(m)
	case actMessage:
		w.judge(m)
	}
}

func (w *world) answerRequest(m message) {
	name := holderName(m.holder)
	if _, open := w.state.Session(name); !open {
		w.apply(leasestate.Entry{Kind: leasestate.OpenSession, Session: name, Incarnation: 1, Timeout: duration})
	}
	result := w.apply(leasestate.Entry{Kind: leasestate.AcquireLease, Session: name, Incarnation: 1, Lease: leaseName})
	w.send(message{kind: responseMessage, holder: m.holder, number: m.number, token: result.Token, answered: result.Held})
}

// answerQuery has the coordinator answer a query, or the receiver learn from the answer.
func (w *world) answerQuery(m message) {
	if m.answered {
		w.receiver.TokenLearned(leaseName, m.token)
		return
	}
	m.answered, m.token = true, w.state.LatestToken(leaseName)
	if w.tellsLatestGrant {
		held, _ := w.state.Lease(leaseName)
		m.token = held.Token
	}
	w.send(m)
}

// judge has the receiver decide on an act, and the world on the decision.
func (w *world) judge(m message) {
	verdict, highest := lease.Accepted, m.token
	if !w.acceptsAll {
		verdict, highest = w.receiver.Check(scope, holderName(m.holder), m.token)
	}
	switch {
	case verdict == lease.Stale:
		w.rejected++
		w.holders[m.holder].ActRejected(highest)
		if !w.asleep[m.holder] {
			w.pull(m.holder)
		}
	case verdict == lease.Conflicting:
		w.wrong = "one fencing token, one holder"
	case verdict == lease.Accepted && m.token.Compare(w.accepted) < 0:
		w.wrong = fmt.Sprintf("an act under %v was accepted after one under %v", m.token, w.accepted)
	case verdict == lease.Accepted:
		w.accepted = m.token
	}
}

// key returns a hash by which states of the world are distinguished.
func (w *world) key() uint64 {
	network := slices.SortedFunc(slices.Values(w.network), func(a, b message) int {
		return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.holder, b.holder), cmp.Compare(a.number, b.number), a.token.Compare(b.token))
	})
	state := fmt.Sprintf("%v %+v %+v %v %v %v %v %v %+v %v", w.now, *w.holders[0], *w.holders[1], w.asleep, w.checked, w.epoch, network,
		w.done, *w.receiver, w.accepted)
	return xxhash.Sum64(append([]byte(state), w.state.Snapshot()...))
}
