// Package leasestate decides what the fleet's small state becomes with each entry of the coordinator's log: sessions of
// processes, leases with their holders, queues and fencing tokens, the steps that an owner noted down, and the policy that is in force.
// It must never read a clock, draw chance or do I/O: the same entries give the same bytes of snapshot everywhere.
//
// Time enters only as what the leader put into the log: each entry says how many ms went by on the leader's clock since the
// one before. A new leader can't know how long the log stood still, so it gives every session its whole length again; a
// lease is its session's, and counts at its holder from before it was asked for, so it ends there first.
package leasestate

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
	formatVersion = 2     // 1 until something is proposed for the first time: what an earlier build can read it gets to read
	maxTextBytes  = 256   // bytes of a name or a note
	maxSteps      = 16    // notes kept of one lease: the latest
	maxEvents     = 1000  // kept for those who watch; who is further behind reads the whole state again
	maxNames      = 10000 // sessions, and leases: these stay for good, since their fencing tokens must
	maxElapsedMs  = 60000 // ms in one entry: more than that and the leader should have resigned
)

// Kind tells what an entry does.
type Kind string

const (
	BeginTerm     Kind = "lead"   // a new leader begins; all sessions get their whole length again
	AdvanceTime   Kind = "tick"   // time has passed
	OpenSession   Kind = "open"   // Session begins, or begins anew with a higher Incarnation; Is, Length
	KeepAlive     Kind = "beat"   // Session is heard from
	CloseSession  Kind = "end"    // Session ends by itself
	AcquireLease  Kind = "take"   // Session would hold Lease
	ReleaseLease  Kind = "free"   // Session gives Lease back, under Fence
	TransferLease Kind = "pass"   // Session gives Lease to the session named To, under Fence, if that is alive
	RecordStep    Kind = "note"   // Session notes down a step of Lease, under Fence, before it is taken
	ReportToken   Kind = "told"   // a receiver knows of a higher Fence of Lease than is kept here
	BeginEpoch    Kind = "ascend" // an operator began a new epoch
	KeepAliveAll  Kind = "beats"  // all of Names are heard from
	PlaceOrder    Kind = "order"  // an operator asks the owner of Lease for something: Text
	// ProposePolicy asks for a change of the policy: Proposal. Builds before it stop at one: all of the coordinator must know it first.
	ProposePolicy Kind = "propose"
	CompleteOrder Kind = "did" // Session ended order Number of Lease, under Fence; Text says how
)

// Entry is one entry of the log; only the fields of its kind are set.
type Entry struct {
	Kind         Kind        `cbor:"1,keyasint"`
	Elapsed      uint64      `cbor:"2,keyasint,omitempty"` // ms on the leader's clock since its entry before
	Session      string      `cbor:"3,keyasint,omitempty"`
	Incarnation  uint64      `cbor:"4,keyasint,omitempty"`
	Role         string      `cbor:"5,keyasint,omitempty"`
	Timeout      uint64      `cbor:"6,keyasint,omitempty"` // ms of silence that a session outlives
	Lease        string      `cbor:"7,keyasint,omitempty"`
	Token        lease.Token `cbor:"8,keyasint,omitzero"`
	To           string      `cbor:"9,keyasint,omitempty"`
	Text         string      `cbor:"10,keyasint,omitempty"`
	Epoch        uint64      `cbor:"11,keyasint,omitempty"`
	Address      string      `cbor:"12,keyasint,omitempty"` // where Session hears the fleet's orders
	Policy       uint64      `cbor:"13,keyasint,omitempty"` // mark of the policy's version that Session goes by
	Number       uint64      `cbor:"14,keyasint,omitempty"`
	Heartbeats   []Heartbeat `cbor:"15,keyasint,omitempty"`
	RejectedActs uint64      `cbor:"16,keyasint,omitempty"` // acts that Session rejected for their fencing token, since its start

	Proposal       *policy.Proposal `cbor:"17,keyasint,omitempty"`
	RejectedPolicy uint64           `cbor:"18,keyasint,omitempty"` // mark of a version that Session couldn't take
	Reason         string           `cbor:"19,keyasint,omitempty"` // for what reason
}

// Heartbeat is one incarnation of a session.
type Heartbeat struct {
	Session        string `cbor:"1,keyasint"`
	Incarnation    uint64 `cbor:"2,keyasint"`
	RejectedActs   uint64 `cbor:"3,keyasint,omitempty"`
	Policy         uint64 `cbor:"4,keyasint,omitempty"`
	RejectedPolicy uint64 `cbor:"5,keyasint,omitempty"`
	Reason         string `cbor:"6,keyasint,omitempty"`
}

// Session is a process as the coordinator knows it.
type Session struct {
	Incarnation    uint64 `cbor:"1,keyasint"`
	Role           string `cbor:"2,keyasint"`
	Timeout        uint64 `cbor:"3,keyasint"`
	LastHeartbeat  uint64 `cbor:"4,keyasint"` // on the replicated state's time
	Address        string `cbor:"5,keyasint"`
	Policy         uint64 `cbor:"6,keyasint"` // mark of the version that it goes by, as it last said
	RejectedActs   uint64 `cbor:"7,keyasint"`
	RejectedPolicy uint64 `cbor:"8,keyasint,omitempty"` // mark of a version that it couldn't take
	Reason         string `cbor:"9,keyasint,omitempty"`
}

// Lease is something that one process at a time does for the fleet.
type Lease struct {
	Holder       string      `cbor:"1,keyasint"` // empty: nobody
	Token        lease.Token `cbor:"2,keyasint"` // of the latest grant, and never lower than any before
	Since        uint64      `cbor:"3,keyasint"`
	Queue        []string    `cbor:"4,keyasint"` // sessions that would hold it, the one that is next first
	ForeignToken lease.Token `cbor:"5,keyasint"` // a fencing token that some receiver has seen though it was never granted here
	Steps        []Step      `cbor:"6,keyasint"` // since the order that is open came, or the latest ended
	Open         Order       `cbor:"7,keyasint"` // what is asked of the owner
	Ended        Order       `cbor:"8,keyasint"` // the latest that was ended, and how
}

// Order is an operator's order, numbered within its lease from 1; 0: none.
type Order struct {
	Number uint64 `cbor:"1,keyasint" json:"number"`
	Text   string `cbor:"2,keyasint" json:"text"`
}

// Step is a note of an owner's, for itself and for who comes after it.
type Step struct {
	Token lease.Token `cbor:"1,keyasint"`
	Text  string      `cbor:"2,keyasint"`
}

// Event is one change that watchers may care for.
type Event struct {
	Index   uint64      `cbor:"1,keyasint"` // of the entry that brought it
	Session string      `cbor:"2,keyasint,omitempty"`
	Ended   bool        `cbor:"3,keyasint,omitempty"`
	Lease   string      `cbor:"4,keyasint,omitempty"`
	Token   lease.Token `cbor:"5,keyasint,omitzero"`
	Reason  string      `cbor:"6,keyasint,omitempty"` // silent, anew, left: how a session ended
	Policy  uint64      `cbor:"7,keyasint,omitempty"` // mark of the version that is in force now
}

type snapshot struct {
	Version      uint64              `cbor:"1,keyasint"`
	Fleet        string              `cbor:"2,keyasint"`
	Epoch        uint64              `cbor:"3,keyasint"`
	Now          uint64              `cbor:"4,keyasint"` // ms that have passed by the leaders' clocks
	Index        uint64              `cbor:"5,keyasint"`
	Sessions     map[string]*Session `cbor:"6,keyasint"`
	Leases       map[string]*Lease   `cbor:"7,keyasint"`
	Events       []Event             `cbor:"8,keyasint"`
	RejectedActs uint64              `cbor:"9,keyasint"`            // by sessions that are over
	Policy       *policy.History     `cbor:"10,keyasint,omitempty"` // nil: nothing was ever proposed
}

// State is the state after the entries so far.
type State struct{ data snapshot }

// New makes an empty one in the first epoch.
func New(fleet string) *State {
	return &State{snapshot{Version: 1, Fleet: fleet, Epoch: 1, Sessions: map[string]*Session{}, Leases: map[string]*Lease{}}}
}

// NewUninitialized makes one that grants nothing until its first leader has said in which epoch it begins. Guards against a coordinator
// that is started anew by mistake: what it grants is above all that was granted before.
func NewUninitialized(fleet string) *State {
	r := New(fleet)
	r.data.Epoch = 0
	return r
}

const refusedStateBehind = "a receiver knows a higher fence than this council"

// RefusedNoSession is why a session that must be opened first is refused.
const RefusedNoSession = "no such session"

var (
	// ErrNewerVersion is of an entry, or a snapshot, that a later build wrote: it must not be passed over.
	ErrNewerVersion = errors.New("written by a later version")
	// ErrMalformed is of bytes that no build writes.
	ErrMalformed = errors.New("unsound")
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
			return e, fmt.Errorf("entry: %w: %w", ErrNewerVersion, err)
		}
		return e, fmt.Errorf("entry: %w: %w", ErrMalformed, err)
	}
	switch e.Kind {
	case BeginTerm, AdvanceTime, OpenSession, KeepAlive, CloseSession, AcquireLease, ReleaseLease, TransferLease, RecordStep, ReportToken, BeginEpoch, KeepAliveAll, PlaceOrder, CompleteOrder, ProposePolicy:
	default:
		return e, fmt.Errorf("entry: %w: kind %.32q", ErrNewerVersion, e.Kind)
	}
	for _, text := range []string{e.Session, e.Role, e.Lease, e.To, e.Text, e.Address, e.Reason} {
		if len(text) > maxTextBytes {
			return e, fmt.Errorf("entry: %w: a text of %d bytes, %d at most", ErrMalformed, len(text), maxTextBytes)
		}
	}
	for _, n := range e.Heartbeats {
		if n := max(len(n.Session), len(n.Reason)); n > maxTextBytes {
			return e, fmt.Errorf("entry: %w: a text of %d bytes, %d at most", ErrMalformed, n, maxTextBytes)
		}
	}
	if (e.Kind == ProposePolicy) != (e.Proposal != nil) {
		return e, fmt.Errorf("entry: %w: %q with or without a proposal", ErrMalformed, e.Kind)
	}
	if e.Proposal != nil {
		if err := e.Proposal.Check(); err != nil {
			return e, fmt.Errorf("entry: %w: %w", ErrMalformed, err)
		}
	}
	if e.Elapsed > maxElapsedMs || e.Timeout > maxElapsedMs {
		return e, fmt.Errorf("entry: %w: %d ms passed, a length of %d ms, %d at most", ErrMalformed, e.Elapsed, e.Timeout, maxElapsedMs)
	}
	return e, nil
}

// Snapshot gives the whole state as bytes, the same for the same entries.
func (r *State) Snapshot() []byte {
	b, err := coding.EncMode.Marshal(r.data)
	if err != nil {
		panic(err)
	}
	return b
}

// Restore reads a snapshot of the fleet's. Nothing is taken over from one that is unsound, later or another fleet's.
func Restore(fleet string, b []byte) (*State, error) {
	var head struct {
		Version uint64 `cbor:"1,keyasint"`
		Fleet   string `cbor:"2,keyasint"`
	}
	if err := cbor.Unmarshal(b, &head); err != nil {
		return nil, fmt.Errorf("snapshot: %w: %w", ErrMalformed, err)
	}
	if head.Version > formatVersion {
		return nil, fmt.Errorf("snapshot: %w: version %d, this build knows %d", ErrNewerVersion, head.Version, formatVersion)
	}
	if head.Fleet != fleet {
		return nil, fmt.Errorf("snapshot: of fleet %.64q, not of %q", head.Fleet, fleet)
	}
	r := New(fleet)
	if err := coding.DecMode.Unmarshal(b, &r.data); err != nil {
		return nil, fmt.Errorf("snapshot: %w: %w", ErrMalformed, err)
	}
	for name, d := range r.data.Leases {
		if d == nil || d.Holder != "" && r.data.Sessions[d.Holder] == nil {
			return nil, fmt.Errorf("snapshot: %w: the holder of %q has no session", ErrMalformed, name)
		}
	}
	for name, s := range r.data.Sessions {
		if s == nil {
			return nil, fmt.Errorf("snapshot: %w: session %q is empty", ErrMalformed, name)
		}
	}
	if b := r.data.Policy; b != nil {
		if err := b.Check(); err != nil {
			return nil, fmt.Errorf("snapshot: %w: %w", ErrMalformed, err)
		}
	}
	return r, nil
}

// Result is what the process that brought an entry hears.
type Result struct {
	Held    bool        // it holds the lease, under Fence
	Token   lease.Token // of its grant; else the highest known
	Refusal string      // where it was refused
	Number  uint64      // of the order; of a session that was refused: the incarnation that has its name
}

// Apply takes one entry in. index is its place in the log; one that is in already is passed over.
func (r *State) Apply(index uint64, e Entry) Result {
	if index <= r.data.Index {
		return Result{Refusal: "applied before"}
	}
	r.data.Index = index
	r.data.Now += e.Elapsed
	if e.Kind == BeginTerm {
		if r.data.Epoch == 0 {
			r.data.Epoch = e.Epoch
		}
		for _, s := range r.data.Sessions {
			s.LastHeartbeat = r.data.Now
		}
	}
	r.expire()
	switch e.Kind {
	case OpenSession:
		return r.open(e)
	case KeepAlive, CloseSession, AcquireLease, ReleaseLease, TransferLease, RecordStep, CompleteOrder:
		return r.of(e)
	case KeepAliveAll:
		for _, n := range e.Heartbeats {
			if s := r.data.Sessions[n.Session]; s != nil && s.Incarnation == n.Incarnation {
				s.LastHeartbeat, s.RejectedActs = r.data.Now, max(s.RejectedActs, n.RejectedActs)
				r.goesBy(s, n.Policy, n.RejectedPolicy, n.Reason)
			}
		}
	case ProposePolicy:
		return r.propose(e)
	case PlaceOrder:
		return r.order(e)
	case ReportToken:
		return r.told(e)
	case BeginEpoch:
		if e.Epoch <= r.data.Epoch {
			return Result{Refusal: fmt.Sprintf("epoch %d has begun already", r.data.Epoch)}
		}
		r.data.Epoch = e.Epoch
		for _, name := range slices.Sorted(maps.Keys(r.data.Leases)) {
			r.free(name)
		}
		if r.data.Policy != nil && r.data.Policy.BeginEpoch(e.Epoch) {
			r.tell(Event{Policy: r.data.Policy.Version.Number64()})
		}
	}
	return Result{}
}

// propose takes in a change of the policy. Whether its fields may change is asked before it gets into the log (Policy.Judge): a
// build with another table would make another state of the same entry.
func (r *State) propose(e Entry) Result {
	b := r.book()
	was := b.Version
	v, why := b.Propose(r.data.Epoch, *e.Proposal)
	if why != "" {
		return Result{Refusal: why, Number: was.Number}
	}
	if v != was {
		r.tell(Event{Policy: v.Number64()})
	}
	return Result{Held: true, Number: v.Number}
}

// book gives what is kept of policies. From the first on that concerns them, the snapshot is one that earlier builds refuse.
func (r *State) book() *policy.History {
	if r.data.Policy == nil {
		r.data.Policy, r.data.Version = &policy.History{}, formatVersion
	}
	return r.data.Policy
}

// goesBy notes down by which version a session goes. Nobody is told: hundreds would hear of hundreds; who wants to know looks.
func (r *State) goesBy(s *Session, mark, wont uint64, why string) {
	s.Policy, s.RejectedPolicy, s.Reason = mark, wont, why
	if mark > 0 {
		r.book().Acknowledged(mark)
	}
}

// expire ends the sessions that have been silent for longer than their length.
func (r *State) expire() {
	var over []string
	for name, s := range r.data.Sessions {
		if r.data.Now-s.LastHeartbeat > s.Timeout {
			over = append(over, name)
		}
	}
	slices.Sort(over)
	for _, name := range over {
		r.end(name, "silent")
	}
}

// UntilExpiry is how many ms of the leader's time may go by until some session ends, if none is heard from; false: there is none.
func (r *State) UntilExpiry() (ms uint64, any bool) {
	for _, s := range r.data.Sessions {
		if left := s.LastHeartbeat + s.Timeout - min(r.data.Now, s.LastHeartbeat+s.Timeout); !any || left < ms {
			ms, any = left, true
		}
	}
	return ms, any
}

func (r *State) open(e Entry) Result {
	s := r.data.Sessions[e.Session]
	switch {
	case e.Session == "" || e.Timeout == 0:
		return Result{Refusal: "a session needs a name and a length"}
	case s == nil && len(r.data.Sessions) >= maxNames:
		return Result{Refusal: "too many sessions"}
	case s != nil && e.Incarnation < s.Incarnation:
		return Result{Refusal: "a later incarnation has this name", Number: s.Incarnation}
	case s != nil && e.Incarnation == s.Incarnation:
		s.LastHeartbeat = r.data.Now // the same request once more
		r.goesBy(s, e.Policy, e.RejectedPolicy, e.Reason)
		return Result{Held: true}
	case s != nil:
		r.end(e.Session, "anew") // its process started anew and knows nothing of what it held
	}
	s = &Session{Incarnation: e.Incarnation, Role: e.Role, Timeout: e.Timeout, LastHeartbeat: r.data.Now, Address: e.Address}
	r.data.Sessions[e.Session] = s
	r.goesBy(s, e.Policy, e.RejectedPolicy, e.Reason)
	r.tell(Event{Session: e.Session})
	return Result{Held: true}
}

// of takes in what a session does. One that is not there, or of another incarnation, hears that it must open one first.
func (r *State) of(e Entry) Result {
	s := r.data.Sessions[e.Session]
	if s == nil || s.Incarnation != e.Incarnation {
		return Result{Refusal: RefusedNoSession}
	}
	s.LastHeartbeat, s.RejectedActs = r.data.Now, max(s.RejectedActs, e.RejectedActs)
	switch e.Kind {
	case KeepAlive:
		r.goesBy(s, e.Policy, e.RejectedPolicy, e.Reason)
		return Result{Held: true}
	case CloseSession:
		r.end(e.Session, "left")
		return Result{}
	case AcquireLease:
		return r.take(e)
	}
	d := r.data.Leases[e.Lease]
	if d == nil || d.Holder != e.Session || d.Token != e.Token {
		a := Result{Refusal: "not the holder"}
		if d != nil {
			a.Token = d.Token
		}
		return a
	}
	switch e.Kind {
	case ReleaseLease:
		r.free(e.Lease)
	case TransferLease:
		if r.data.Sessions[e.To] == nil {
			return Result{Held: true, Token: d.Token, Refusal: "the successor has no session"}
		}
		d.Queue = append([]string{e.To}, slices.DeleteFunc(d.Queue, func(q string) bool { return q == e.To })...)
		r.free(e.Lease)
	case RecordStep:
		if d.Steps = append(d.Steps, Step{d.Token, e.Text}); len(d.Steps) > maxSteps {
			d.Steps = slices.Delete(d.Steps, 0, len(d.Steps)-maxSteps)
		}
		r.tell(Event{Lease: e.Lease, Token: d.Token, Session: d.Holder})
		return Result{Held: true, Token: d.Token}
	case CompleteOrder:
		if e.Number == d.Open.Number && e.Number > 0 {
			d.Ended, d.Open, d.Steps = Order{e.Number, e.Text}, Order{}, nil
			r.tell(Event{Lease: e.Lease, Token: d.Token, Session: d.Holder})
		}
		return Result{Held: true, Token: d.Token, Number: d.Ended.Number}
	}
	return Result{Token: d.Token}
}

// take grants a lease that nobody holds, to the first of its queue; a holder's repeat gets the same fencing token.
func (r *State) take(e Entry) Result {
	d, why := r.duty(e.Lease)
	if d == nil {
		return Result{Refusal: why}
	}
	if d.Holder != e.Session && !slices.Contains(d.Queue, e.Session) {
		d.Queue = append(d.Queue, e.Session)
	}
	if d.Holder == "" {
		r.grant(e.Lease)
	}
	if d.Holder == e.Session {
		return Result{Held: true, Token: d.Token}
	}
	if why = "held by " + d.Holder; d.Holder == "" {
		why = refusedStateBehind
	}
	return Result{Token: d.Token, Refusal: why}
}

// order notes down what an operator wants; the same words again, while it is open, are the same order.
func (r *State) order(e Entry) Result {
	d, why := r.duty(e.Lease)
	switch {
	case d == nil:
		return Result{Refusal: why}
	case e.Text == "":
		return Result{Refusal: "an order needs words"}
	case d.Open.Number == 0:
		d.Open, d.Steps = Order{d.Ended.Number + 1, e.Text}, nil
		r.tell(Event{Lease: e.Lease, Token: d.Token, Session: d.Holder})
	case d.Open.Text != e.Text:
		return Result{Refusal: fmt.Sprintf("order %d is open: %s", d.Open.Number, d.Open.Text), Number: d.Open.Number}
	}
	return Result{Held: true, Token: d.Token, Number: d.Open.Number}
}

// lease finds a lease, or makes one that nobody holds yet.
func (r *State) duty(name string) (d *Lease, why string) {
	if d = r.data.Leases[name]; d != nil {
		return d, ""
	}
	if name == "" || len(r.data.Leases) >= maxNames {
		return nil, "no duty named, or too many"
	}
	d = &Lease{}
	r.data.Leases[name] = d
	return d, ""
}

// grant gives a free lease to the first of its queue. Guards against fencing tokens that go back, after state was lost: while a
// receiver has seen a fencing token that this state knows nothing of, there may have been more in that epoch: nobody gets the
// lease until an operator has begun another.
func (r *State) grant(name string) {
	d := r.data.Leases[name]
	if len(d.Queue) == 0 || d.Holder != "" {
		return
	}
	next := lease.Token{Epoch: r.data.Epoch, Count: 1}
	if d.Token.Epoch == r.data.Epoch {
		next.Count = d.Token.Count + 1
	}
	if next.Count > lease.MaxCount {
		r.data.Epoch++
		next = lease.Token{Epoch: r.data.Epoch, Count: 1}
	}
	if next.Epoch <= d.ForeignToken.Epoch {
		return
	}
	d.Holder, d.Token, d.Since = d.Queue[0], next, r.data.Now
	d.Queue = slices.Delete(d.Queue, 0, 1)
	r.tell(Event{Lease: name, Token: next, Session: d.Holder})
}

// free takes a lease from its holder; the next of the queue gets it at once.
func (r *State) free(name string) {
	d := r.data.Leases[name]
	if d.Holder != "" {
		r.tell(Event{Lease: name, Token: d.Token, Session: d.Holder, Ended: true})
		d.Holder, d.Since = "", r.data.Now
	}
	r.grant(name)
}

func (r *State) end(session, why string) {
	r.data.RejectedActs += r.data.Sessions[session].RejectedActs
	delete(r.data.Sessions, session)
	r.tell(Event{Session: session, Ended: true, Reason: why})
	for _, name := range slices.Sorted(maps.Keys(r.data.Leases)) {
		d := r.data.Leases[name]
		d.Queue = slices.DeleteFunc(d.Queue, func(q string) bool { return q == session })
		if d.Holder == session {
			r.free(name)
		}
	}
}

// told takes in that a receiver has seen a fencing token that was never granted here, or one that was granted here to somebody
// else than Session, if it says who acted under it: this state is older than what the fleet has been through. The lease is taken away, since who holds it
// can't act, and granted again only in a later epoch.
func (r *State) told(e Entry) Result {
	d, why := r.duty(e.Lease)
	if d == nil {
		return Result{Refusal: why}
	}
	order := e.Token.Compare(d.Token)
	known := order < 0 || order == 0 && (d.Holder == "" || e.Session == "" || d.Holder == e.Session)
	if known || e.Token.Compare(d.ForeignToken) <= 0 {
		return Result{Token: d.Token}
	}
	d.ForeignToken = e.Token
	r.tell(Event{Lease: e.Lease, Token: d.Token})
	r.free(e.Lease)
	return Result{Token: d.Token, Refusal: refusedStateBehind}
}

func (r *State) tell(e Event) {
	e.Index = r.data.Index
	if r.data.Events = append(r.data.Events, e); len(r.data.Events) > maxEvents {
		r.data.Events = slices.Delete(r.data.Events, 0, len(r.data.Events)-maxEvents)
	}
}

// Since gives the events after an index, or false where some of them are no longer kept: then all must be read anew.
func (r *State) Since(index uint64) ([]Event, bool) {
	if len(r.data.Events) == maxEvents && index < r.data.Events[0].Index {
		return nil, false
	}
	n, _ := slices.BinarySearchFunc(r.data.Events, index+1, func(e Event, at uint64) int { return cmp.Compare(e.Index, at) })
	return slices.Clone(r.data.Events[n:]), true
}

// Lease and Session give what is kept of one; false: nothing. Leases and Sessions name them, in order.
func (r *State) Lease(name string) (Lease, bool) {
	d := r.data.Leases[name]
	if d == nil {
		return Lease{}, false
	}
	c := *d
	c.Queue, c.Steps = slices.Clone(d.Queue), slices.Clone(d.Steps)
	return c, true
}

// LatestToken is the fencing token under which nothing of a lease is in force any more: what a receiver that knows nothing learns. In an
// epoch without a grant so far that is the epoch's beginning, since those before it are over.
func (r *State) LatestToken(name string) lease.Token {
	stands := lease.Token{Epoch: r.data.Epoch}
	if d := r.data.Leases[name]; d != nil && d.Token.Compare(stands) > 0 {
		stands = d.Token
	}
	return stands
}

// Policy gives what is kept of policies; it must not be changed, nor kept. Before the first proposal it is empty.
func (r *State) Policy() *policy.History {
	if r.data.Policy == nil {
		return &policy.History{}
	}
	return r.data.Policy
}

func (r *State) Session(name string) (Session, bool) {
	s := r.data.Sessions[name]
	if s == nil {
		return Session{}, false
	}
	return *s, true
}

func (r *State) Leases() []string     { return slices.Sorted(maps.Keys(r.data.Leases)) }
func (r *State) Sessions() []string   { return slices.Sorted(maps.Keys(r.data.Sessions)) }
func (r *State) Index() uint64        { return r.data.Index }
func (r *State) Now() uint64          { return r.data.Now }
func (r *State) RejectedActs() uint64 { return r.data.RejectedActs }
func (r *State) Fleet() string        { return r.data.Fleet }
func (r *State) Epoch() uint64        { return r.data.Epoch }
