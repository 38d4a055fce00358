// Package register decides what the fleet's small state becomes with each entry of the council's log: sessions of
// processes, duties with their holders, queues and fences, the steps that an owner noted down, and the policy that is in force.
// It must never read a clock, draw chance or do I/O: the same entries give the same bytes of snapshot everywhere.
//
// Time enters only as what the leader put into the log: each entry says how many ms went by on the leader's clock since the
// one before. A new leader can't know how long the log stood still, so it gives every session its whole length again; a
// lease is its session's, and counts at its holder from before it was asked for, so it ends there first.
package register

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"wayloft/internal/decide/lease"
	"wayloft/internal/decide/policy"
)

const (
	version    = 2     // 1 until something is proposed for the first time: what an earlier build can read it gets to read
	longest    = 256   // bytes of a name or a note
	mostSteps  = 16    // notes kept of one duty: the latest
	mostEvents = 1000  // kept for those who watch; who is further behind reads the whole state again
	mostNames  = 10000 // sessions, and duties: these stay for good, since their fences must
	mostPassed = 60000 // ms in one entry: more than that and the leader should have resigned
)

// Kind tells what an entry does.
type Kind string

const (
	Lead   Kind = "lead"   // a new leader begins; all sessions get their whole length again
	Tick   Kind = "tick"   // time has passed
	Open   Kind = "open"   // Session begins, or begins anew with a higher Incarnation; Is, Length
	Beat   Kind = "beat"   // Session is heard from
	End    Kind = "end"    // Session ends by itself
	Take   Kind = "take"   // Session would hold Duty
	Free   Kind = "free"   // Session gives Duty back, under Fence
	Pass   Kind = "pass"   // Session gives Duty to the session named To, under Fence, if that is alive
	Note   Kind = "note"   // Session notes down a step of Duty, under Fence, before it is taken
	Told   Kind = "told"   // a receiver knows of a higher Fence of Duty than is kept here
	Ascend Kind = "ascend" // an operator began a new epoch
	Beats  Kind = "beats"  // all of Names are heard from
	Order  Kind = "order"  // an operator asks the owner of Duty for something: Text
	// Propose asks for a change of the policy: Proposal. Builds before it stop at one: all of the council must know it first.
	Propose Kind = "propose"
	Did     Kind = "did" // Session ended order Number of Duty, under Fence; Text says how
)

// Entry is one entry of the log; only the fields of its kind are set.
type Entry struct {
	Kind        Kind        `cbor:"1,keyasint"`
	Passed      uint64      `cbor:"2,keyasint,omitempty"` // ms on the leader's clock since its entry before
	Session     string      `cbor:"3,keyasint,omitempty"`
	Incarnation uint64      `cbor:"4,keyasint,omitempty"`
	Is          string      `cbor:"5,keyasint,omitempty"`
	Length      uint64      `cbor:"6,keyasint,omitempty"` // ms of silence that a session outlives
	Duty        string      `cbor:"7,keyasint,omitempty"`
	Fence       lease.Fence `cbor:"8,keyasint,omitzero"`
	To          string      `cbor:"9,keyasint,omitempty"`
	Text        string      `cbor:"10,keyasint,omitempty"`
	Epoch       uint64      `cbor:"11,keyasint,omitempty"`
	Address     string      `cbor:"12,keyasint,omitempty"` // where Session hears the fleet's orders
	Policy      uint64      `cbor:"13,keyasint,omitempty"` // mark of the policy's version that Session goes by
	Number      uint64      `cbor:"14,keyasint,omitempty"`
	Names       []Name      `cbor:"15,keyasint,omitempty"`
	Refused     uint64      `cbor:"16,keyasint,omitempty"` // acts that Session turned away for their fence, since its start

	Proposal *policy.Proposal `cbor:"17,keyasint,omitempty"`
	Wont     uint64           `cbor:"18,keyasint,omitempty"` // mark of a version that Session couldn't take
	Why      string           `cbor:"19,keyasint,omitempty"` // for what reason
}

// Name is one incarnation of a session.
type Name struct {
	Session     string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Refused     uint64 `cbor:"3,keyasint,omitempty"`
	Policy      uint64 `cbor:"4,keyasint,omitempty"`
	Wont        uint64 `cbor:"5,keyasint,omitempty"`
	Why         string `cbor:"6,keyasint,omitempty"`
}

// Session is a process as the council knows it.
type Session struct {
	Incarnation uint64 `cbor:"1,keyasint"`
	Is          string `cbor:"2,keyasint"`
	Length      uint64 `cbor:"3,keyasint"`
	Heard       uint64 `cbor:"4,keyasint"` // on the register's time
	Address     string `cbor:"5,keyasint"`
	Policy      uint64 `cbor:"6,keyasint"` // mark of the version that it goes by, as it last said
	Refused     uint64 `cbor:"7,keyasint"`
	Wont        uint64 `cbor:"8,keyasint,omitempty"` // mark of a version that it couldn't take
	Why         string `cbor:"9,keyasint,omitempty"`
}

// Duty is something that one process at a time does for the fleet.
type Duty struct {
	Holder string      `cbor:"1,keyasint"` // empty: nobody
	Fence  lease.Fence `cbor:"2,keyasint"` // of the latest grant, and never lower than any before
	Since  uint64      `cbor:"3,keyasint"`
	Queue  []string    `cbor:"4,keyasint"` // sessions that would hold it, the one that is next first
	Barred lease.Fence `cbor:"5,keyasint"` // a fence that some receiver has seen though it was never granted here
	Steps  []Step      `cbor:"6,keyasint"` // since the order that is open came, or the latest ended
	Open   Wish        `cbor:"7,keyasint"` // what is asked of the owner
	Ended  Wish        `cbor:"8,keyasint"` // the latest that was ended, and how
}

// Wish is an operator's order, numbered within its duty from 1; 0: none.
type Wish struct {
	Number uint64 `cbor:"1,keyasint" json:"number"`
	Text   string `cbor:"2,keyasint" json:"text"`
}

// Step is a note of an owner's, for itself and for who comes after it.
type Step struct {
	Fence lease.Fence `cbor:"1,keyasint"`
	Text  string      `cbor:"2,keyasint"`
}

// Event is one change that watchers may care for.
type Event struct {
	Index   uint64      `cbor:"1,keyasint"` // of the entry that brought it
	Session string      `cbor:"2,keyasint,omitempty"`
	Ended   bool        `cbor:"3,keyasint,omitempty"`
	Duty    string      `cbor:"4,keyasint,omitempty"`
	Fence   lease.Fence `cbor:"5,keyasint,omitzero"`
	Why     string      `cbor:"6,keyasint,omitempty"` // silent, anew, left: how a session ended
	Policy  uint64      `cbor:"7,keyasint,omitempty"` // mark of the version that is in force now
}

type state struct {
	Version  uint64              `cbor:"1,keyasint"`
	Fleet    string              `cbor:"2,keyasint"`
	Epoch    uint64              `cbor:"3,keyasint"`
	Now      uint64              `cbor:"4,keyasint"` // ms that have passed by the leaders' clocks
	Index    uint64              `cbor:"5,keyasint"`
	Sessions map[string]*Session `cbor:"6,keyasint"`
	Duties   map[string]*Duty    `cbor:"7,keyasint"`
	Events   []Event             `cbor:"8,keyasint"`
	Refused  uint64              `cbor:"9,keyasint"`            // by sessions that are over
	Policy   *policy.Book        `cbor:"10,keyasint,omitempty"` // nil: nothing was ever proposed
}

// Register is the state after the entries so far.
type Register struct{ s state }

// New makes an empty one in the first epoch.
func New(fleet string) *Register {
	return &Register{state{Version: 1, Fleet: fleet, Epoch: 1, Sessions: map[string]*Session{}, Duties: map[string]*Duty{}}}
}

// Unbegun makes one that grants nothing until its first leader has said in which epoch it begins. Guards against a council
// that is started anew by mistake: what it grants is above all that was granted before.
func Unbegun(fleet string) *Register {
	r := New(fleet)
	r.s.Epoch = 0
	return r
}

const behind = "a receiver knows a higher fence than this council"

// NoSession is why a session that must be opened first is refused.
const NoSession = "no such session"

var (
	// ErrUnknown is of an entry, or a snapshot, that a later build wrote: it must not be passed over.
	ErrUnknown = errors.New("written by a later version")
	// ErrUnsound is of bytes that no build writes.
	ErrUnsound = errors.New("unsound")
)

var coding = func() (m struct {
	cbor.EncMode
	cbor.DecMode
}) {
	var err, other error
	m.EncMode, err = cbor.CoreDetEncOptions().EncMode() // RFC 8949, 4.2.1: one form for each value
	m.DecMode, other = cbor.DecOptions{ExtraReturnErrors: cbor.ExtraDecErrorUnknownField, DupMapKey: cbor.DupMapKeyEnforcedAPF,
		IndefLength: cbor.IndefLengthForbidden, MaxNestedLevels: 8}.DecMode()
	if err := cmp.Or(err, other); err != nil {
		panic(err)
	}
	return m
}()

// Encode gives an entry's bytes for the log.
func Encode(e Entry) []byte {
	b, err := coding.EncMode.Marshal(e)
	if err != nil {
		panic(err) // strings and numbers alone
	}
	return b
}

// Decode reads an entry. What it doesn't know of it refuses as a whole.
func Decode(b []byte) (Entry, error) {
	var e Entry
	if err := coding.DecMode.Unmarshal(b, &e); err != nil {
		if unknown := (*cbor.UnknownFieldError)(nil); errors.As(err, &unknown) {
			return e, fmt.Errorf("entry: %w: %w", ErrUnknown, err)
		}
		return e, fmt.Errorf("entry: %w: %w", ErrUnsound, err)
	}
	switch e.Kind {
	case Lead, Tick, Open, Beat, End, Take, Free, Pass, Note, Told, Ascend, Beats, Order, Did, Propose:
	default:
		return e, fmt.Errorf("entry: %w: kind %.32q", ErrUnknown, e.Kind)
	}
	for _, text := range []string{e.Session, e.Is, e.Duty, e.To, e.Text, e.Address, e.Why} {
		if len(text) > longest {
			return e, fmt.Errorf("entry: %w: a text of %d bytes, %d at most", ErrUnsound, len(text), longest)
		}
	}
	for _, n := range e.Names {
		if n := max(len(n.Session), len(n.Why)); n > longest {
			return e, fmt.Errorf("entry: %w: a text of %d bytes, %d at most", ErrUnsound, n, longest)
		}
	}
	if (e.Kind == Propose) != (e.Proposal != nil) {
		return e, fmt.Errorf("entry: %w: %q with or without a proposal", ErrUnsound, e.Kind)
	}
	if e.Proposal != nil {
		if err := e.Proposal.Check(); err != nil {
			return e, fmt.Errorf("entry: %w: %w", ErrUnsound, err)
		}
	}
	if e.Passed > mostPassed || e.Length > mostPassed {
		return e, fmt.Errorf("entry: %w: %d ms passed, a length of %d ms, %d at most", ErrUnsound, e.Passed, e.Length, mostPassed)
	}
	return e, nil
}

// Snapshot gives the whole state as bytes, the same for the same entries.
func (r *Register) Snapshot() []byte {
	b, err := coding.EncMode.Marshal(r.s)
	if err != nil {
		panic(err)
	}
	return b
}

// Restore reads a snapshot of the fleet's. Nothing is taken over from one that is unsound, later or another fleet's.
func Restore(fleet string, b []byte) (*Register, error) {
	var head struct {
		Version uint64 `cbor:"1,keyasint"`
		Fleet   string `cbor:"2,keyasint"`
	}
	if err := cbor.Unmarshal(b, &head); err != nil {
		return nil, fmt.Errorf("snapshot: %w: %w", ErrUnsound, err)
	}
	if head.Version > version {
		return nil, fmt.Errorf("snapshot: %w: version %d, this build knows %d", ErrUnknown, head.Version, version)
	}
	if head.Fleet != fleet {
		return nil, fmt.Errorf("snapshot: of fleet %.64q, not of %q", head.Fleet, fleet)
	}
	r := New(fleet)
	if err := coding.DecMode.Unmarshal(b, &r.s); err != nil {
		return nil, fmt.Errorf("snapshot: %w: %w", ErrUnsound, err)
	}
	for name, d := range r.s.Duties {
		if d == nil || d.Holder != "" && r.s.Sessions[d.Holder] == nil {
			return nil, fmt.Errorf("snapshot: %w: the holder of %q has no session", ErrUnsound, name)
		}
	}
	for name, s := range r.s.Sessions {
		if s == nil {
			return nil, fmt.Errorf("snapshot: %w: session %q is empty", ErrUnsound, name)
		}
	}
	if b := r.s.Policy; b != nil {
		if err := b.Check(); err != nil {
			return nil, fmt.Errorf("snapshot: %w: %w", ErrUnsound, err)
		}
	}
	return r, nil
}

// Answer is what the process that brought an entry hears.
type Answer struct {
	Held   bool        // it holds the duty, under Fence
	Fence  lease.Fence // of its grant; else the highest known
	Why    string      // where it was refused
	Number uint64      // of the order; of a session that was refused: the incarnation that has its name
}

// Apply takes one entry in. index is its place in the log; one that is in already is passed over.
func (r *Register) Apply(index uint64, e Entry) Answer {
	if index <= r.s.Index {
		return Answer{Why: "applied before"}
	}
	r.s.Index = index
	r.s.Now += e.Passed
	if e.Kind == Lead {
		if r.s.Epoch == 0 {
			r.s.Epoch = e.Epoch
		}
		for _, s := range r.s.Sessions {
			s.Heard = r.s.Now
		}
	}
	r.expire()
	switch e.Kind {
	case Open:
		return r.open(e)
	case Beat, End, Take, Free, Pass, Note, Did:
		return r.of(e)
	case Beats:
		for _, n := range e.Names {
			if s := r.s.Sessions[n.Session]; s != nil && s.Incarnation == n.Incarnation {
				s.Heard, s.Refused = r.s.Now, max(s.Refused, n.Refused)
				r.goesBy(s, n.Policy, n.Wont, n.Why)
			}
		}
	case Propose:
		return r.propose(e)
	case Order:
		return r.order(e)
	case Told:
		return r.told(e)
	case Ascend:
		if e.Epoch <= r.s.Epoch {
			return Answer{Why: fmt.Sprintf("epoch %d has begun already", r.s.Epoch)}
		}
		r.s.Epoch = e.Epoch
		for _, name := range slices.Sorted(maps.Keys(r.s.Duties)) {
			r.free(name)
		}
		if r.s.Policy != nil && r.s.Policy.Ascend(e.Epoch) {
			r.tell(Event{Policy: r.s.Policy.Version.Mark()})
		}
	}
	return Answer{}
}

// propose takes in a change of the policy. Whether its fields may change is asked before it gets into the log (Policy.Judge): a
// build with another table would make another state of the same entry.
func (r *Register) propose(e Entry) Answer {
	b := r.book()
	was := b.Version
	v, why := b.Propose(r.s.Epoch, *e.Proposal)
	if why != "" {
		return Answer{Why: why, Number: was.Number}
	}
	if v != was {
		r.tell(Event{Policy: v.Mark()})
	}
	return Answer{Held: true, Number: v.Number}
}

// book gives what is kept of policies. From the first on that concerns them, the snapshot is one that earlier builds refuse.
func (r *Register) book() *policy.Book {
	if r.s.Policy == nil {
		r.s.Policy, r.s.Version = &policy.Book{}, version
	}
	return r.s.Policy
}

// goesBy notes down by which version a session goes. Nobody is told: hundreds would hear of hundreds; who wants to know looks.
func (r *Register) goesBy(s *Session, mark, wont uint64, why string) {
	s.Policy, s.Wont, s.Why = mark, wont, why
	if mark > 0 {
		r.book().Acknowledged(mark)
	}
}

// expire ends the sessions that have been silent for longer than their length.
func (r *Register) expire() {
	var over []string
	for name, s := range r.s.Sessions {
		if r.s.Now-s.Heard > s.Length {
			over = append(over, name)
		}
	}
	slices.Sort(over)
	for _, name := range over {
		r.end(name, "silent")
	}
}

// Left is how many ms of the leader's time may go by until some session ends, if none is heard from; false: there is none.
func (r *Register) Left() (ms uint64, any bool) {
	for _, s := range r.s.Sessions {
		if left := s.Heard + s.Length - min(r.s.Now, s.Heard+s.Length); !any || left < ms {
			ms, any = left, true
		}
	}
	return ms, any
}

func (r *Register) open(e Entry) Answer {
	s := r.s.Sessions[e.Session]
	switch {
	case e.Session == "" || e.Length == 0:
		return Answer{Why: "a session needs a name and a length"}
	case s == nil && len(r.s.Sessions) >= mostNames:
		return Answer{Why: "too many sessions"}
	case s != nil && e.Incarnation < s.Incarnation:
		return Answer{Why: "a later incarnation has this name", Number: s.Incarnation}
	case s != nil && e.Incarnation == s.Incarnation:
		s.Heard = r.s.Now // the same request once more
		r.goesBy(s, e.Policy, e.Wont, e.Why)
		return Answer{Held: true}
	case s != nil:
		r.end(e.Session, "anew") // its process started anew and knows nothing of what it held
	}
	s = &Session{Incarnation: e.Incarnation, Is: e.Is, Length: e.Length, Heard: r.s.Now, Address: e.Address}
	r.s.Sessions[e.Session] = s
	r.goesBy(s, e.Policy, e.Wont, e.Why)
	r.tell(Event{Session: e.Session})
	return Answer{Held: true}
}

// of takes in what a session does. One that is not there, or of another incarnation, hears that it must open one first.
func (r *Register) of(e Entry) Answer {
	s := r.s.Sessions[e.Session]
	if s == nil || s.Incarnation != e.Incarnation {
		return Answer{Why: NoSession}
	}
	s.Heard, s.Refused = r.s.Now, max(s.Refused, e.Refused)
	switch e.Kind {
	case Beat:
		r.goesBy(s, e.Policy, e.Wont, e.Why)
		return Answer{Held: true}
	case End:
		r.end(e.Session, "left")
		return Answer{}
	case Take:
		return r.take(e)
	}
	d := r.s.Duties[e.Duty]
	if d == nil || d.Holder != e.Session || d.Fence != e.Fence {
		a := Answer{Why: "not the holder"}
		if d != nil {
			a.Fence = d.Fence
		}
		return a
	}
	switch e.Kind {
	case Free:
		r.free(e.Duty)
	case Pass:
		if r.s.Sessions[e.To] == nil {
			return Answer{Held: true, Fence: d.Fence, Why: "the successor has no session"}
		}
		d.Queue = append([]string{e.To}, slices.DeleteFunc(d.Queue, func(q string) bool { return q == e.To })...)
		r.free(e.Duty)
	case Note:
		if d.Steps = append(d.Steps, Step{d.Fence, e.Text}); len(d.Steps) > mostSteps {
			d.Steps = slices.Delete(d.Steps, 0, len(d.Steps)-mostSteps)
		}
		r.tell(Event{Duty: e.Duty, Fence: d.Fence, Session: d.Holder})
		return Answer{Held: true, Fence: d.Fence}
	case Did:
		if e.Number == d.Open.Number && e.Number > 0 {
			d.Ended, d.Open, d.Steps = Wish{e.Number, e.Text}, Wish{}, nil
			r.tell(Event{Duty: e.Duty, Fence: d.Fence, Session: d.Holder})
		}
		return Answer{Held: true, Fence: d.Fence, Number: d.Ended.Number}
	}
	return Answer{Fence: d.Fence}
}

// take grants a duty that nobody holds, to the first of its queue; a holder's repeat gets the same fence.
func (r *Register) take(e Entry) Answer {
	d, why := r.duty(e.Duty)
	if d == nil {
		return Answer{Why: why}
	}
	if d.Holder != e.Session && !slices.Contains(d.Queue, e.Session) {
		d.Queue = append(d.Queue, e.Session)
	}
	if d.Holder == "" {
		r.grant(e.Duty)
	}
	if d.Holder == e.Session {
		return Answer{Held: true, Fence: d.Fence}
	}
	if why = "held by " + d.Holder; d.Holder == "" {
		why = behind
	}
	return Answer{Fence: d.Fence, Why: why}
}

// order notes down what an operator wants; the same words again, while it is open, are the same order.
func (r *Register) order(e Entry) Answer {
	d, why := r.duty(e.Duty)
	switch {
	case d == nil:
		return Answer{Why: why}
	case e.Text == "":
		return Answer{Why: "an order needs words"}
	case d.Open.Number == 0:
		d.Open, d.Steps = Wish{d.Ended.Number + 1, e.Text}, nil
		r.tell(Event{Duty: e.Duty, Fence: d.Fence, Session: d.Holder})
	case d.Open.Text != e.Text:
		return Answer{Why: fmt.Sprintf("order %d is open: %s", d.Open.Number, d.Open.Text), Number: d.Open.Number}
	}
	return Answer{Held: true, Fence: d.Fence, Number: d.Open.Number}
}

// duty finds a duty, or makes one that nobody holds yet.
func (r *Register) duty(name string) (d *Duty, why string) {
	if d = r.s.Duties[name]; d != nil {
		return d, ""
	}
	if name == "" || len(r.s.Duties) >= mostNames {
		return nil, "no duty named, or too many"
	}
	d = &Duty{}
	r.s.Duties[name] = d
	return d, ""
}

// grant gives a free duty to the first of its queue. Guards against fences that go back, after state was lost: while a
// receiver has seen a fence that this state knows nothing of, there may have been more in that epoch: nobody gets the
// duty until an operator has begun another.
func (r *Register) grant(name string) {
	d := r.s.Duties[name]
	if len(d.Queue) == 0 || d.Holder != "" {
		return
	}
	next := lease.Fence{Epoch: r.s.Epoch, Count: 1}
	if d.Fence.Epoch == r.s.Epoch {
		next.Count = d.Fence.Count + 1
	}
	if next.Count > lease.Most {
		r.s.Epoch++
		next = lease.Fence{Epoch: r.s.Epoch, Count: 1}
	}
	if next.Epoch <= d.Barred.Epoch {
		return
	}
	d.Holder, d.Fence, d.Since = d.Queue[0], next, r.s.Now
	d.Queue = slices.Delete(d.Queue, 0, 1)
	r.tell(Event{Duty: name, Fence: next, Session: d.Holder})
}

// free takes a duty from its holder; the next of the queue gets it at once.
func (r *Register) free(name string) {
	d := r.s.Duties[name]
	if d.Holder != "" {
		r.tell(Event{Duty: name, Fence: d.Fence, Session: d.Holder, Ended: true})
		d.Holder, d.Since = "", r.s.Now
	}
	r.grant(name)
}

func (r *Register) end(session, why string) {
	r.s.Refused += r.s.Sessions[session].Refused
	delete(r.s.Sessions, session)
	r.tell(Event{Session: session, Ended: true, Why: why})
	for _, name := range slices.Sorted(maps.Keys(r.s.Duties)) {
		d := r.s.Duties[name]
		d.Queue = slices.DeleteFunc(d.Queue, func(q string) bool { return q == session })
		if d.Holder == session {
			r.free(name)
		}
	}
}

// told takes in that a receiver has seen a fence that was never granted here, or one that was granted here to somebody
// else than Session, if it says who acted under it: this state is older than what the fleet has been through. The duty is taken away, since who holds it
// can't act, and granted again only in a later epoch.
func (r *Register) told(e Entry) Answer {
	d, why := r.duty(e.Duty)
	if d == nil {
		return Answer{Why: why}
	}
	order := e.Fence.Compare(d.Fence)
	known := order < 0 || order == 0 && (d.Holder == "" || e.Session == "" || d.Holder == e.Session)
	if known || e.Fence.Compare(d.Barred) <= 0 {
		return Answer{Fence: d.Fence}
	}
	d.Barred = e.Fence
	r.tell(Event{Duty: e.Duty, Fence: d.Fence})
	r.free(e.Duty)
	return Answer{Fence: d.Fence, Why: behind}
}

func (r *Register) tell(e Event) {
	e.Index = r.s.Index
	if r.s.Events = append(r.s.Events, e); len(r.s.Events) > mostEvents {
		r.s.Events = slices.Delete(r.s.Events, 0, len(r.s.Events)-mostEvents)
	}
}

// Since gives the events after an index, or false where some of them are no longer kept: then all must be read anew.
func (r *Register) Since(index uint64) ([]Event, bool) {
	if len(r.s.Events) == mostEvents && index < r.s.Events[0].Index {
		return nil, false
	}
	n, _ := slices.BinarySearchFunc(r.s.Events, index+1, func(e Event, at uint64) int { return cmp.Compare(e.Index, at) })
	return slices.Clone(r.s.Events[n:]), true
}

// Duty and Session give what is kept of one; false: nothing. Duties and Sessions name them, in order.
func (r *Register) Duty(name string) (Duty, bool) {
	d := r.s.Duties[name]
	if d == nil {
		return Duty{}, false
	}
	c := *d
	c.Queue, c.Steps = slices.Clone(d.Queue), slices.Clone(d.Steps)
	return c, true
}

// Stands is the fence under which nothing of a duty is in force any more: what a receiver that knows nothing learns. In an
// epoch without a grant so far that is the epoch's beginning, since those before it are over.
func (r *Register) Stands(name string) lease.Fence {
	stands := lease.Fence{Epoch: r.s.Epoch}
	if d := r.s.Duties[name]; d != nil && d.Fence.Compare(stands) > 0 {
		stands = d.Fence
	}
	return stands
}

// Policy gives what is kept of policies; it must not be changed, nor kept. Before the first proposal it is empty.
func (r *Register) Policy() *policy.Book {
	if r.s.Policy == nil {
		return &policy.Book{}
	}
	return r.s.Policy
}

func (r *Register) Session(name string) (Session, bool) {
	s := r.s.Sessions[name]
	if s == nil {
		return Session{}, false
	}
	return *s, true
}

func (r *Register) Duties() []string   { return slices.Sorted(maps.Keys(r.s.Duties)) }
func (r *Register) Sessions() []string { return slices.Sorted(maps.Keys(r.s.Sessions)) }
func (r *Register) Index() uint64      { return r.s.Index }
func (r *Register) Now() uint64        { return r.s.Now }
func (r *Register) Refused() uint64    { return r.s.Refused }
func (r *Register) Fleet() string      { return r.s.Fleet }
func (r *Register) Epoch() uint64      { return r.s.Epoch }
