package lease_test

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"wayloft/internal/decide/lease"
	"wayloft/internal/decide/leasestate"
)

// defects are the seeded defects that the checks of the model must find.
type defects struct {
	receiverAcceptsAll bool    // the receiver accepts every operation
	receiverForgets    bool    // a restarted receiver accepts operations without having queried the coordinator
	epochReused        bool    // a coordinator that lost its state restarts in the same epoch
	reportsLatestGrant bool    // a restarted receiver learns the token of the latest grant; a new epoch may not have one yet
	overrunMs          float64 // ms by which a holder acts beyond the end of its lease
}

// Times in ms.
const (
	duration = 3
	margin   = 1
	tickMs   = 2
)

const leaseName = "d"

var scope = lease.Scope{Lease: leaseName, Subject: "g"}

// messageKind is the kind of a message on the model's network.
type messageKind string

const (
	requestMessage   messageKind = "request"   // from a holder to the coordinator, for the lease
	responseMessage  messageKind = "response"  // from the coordinator to the holder
	operationMessage messageKind = "operation" // an operation, from a holder to the receiver
	queryMessage     messageKind = "query"     // from a receiver to the coordinator for the token in force, and the response
)

type message struct {
	kind     messageKind
	holder   int
	number   uint64
	token    lease.Token
	answered bool // of a response: granted; of a query: this is its response
}

// stepKind is the kind of a step of the model.
type stepKind string

const (
	stepTick        stepKind = "tick"         // time passes
	stepPause       stepKind = "pause"        // a holder is paused
	stepResume      stepKind = "resume"       // a paused holder resumes
	stepCheck       stepKind = "check"        // a holder finds its lease valid
	stepSend        stepKind = "send"         // a holder sends the operation for which it checked
	stepDeliver     stepKind = "deliver"      // a message arrives
	stepLoseMessage stepKind = "lose_message" // a message is lost
	stepRestart     stepKind = "restart"      // the receiver restarts
	stepLoseState   stepKind = "lose_state"   // the coordinator's state is lost
	stepElectLeader stepKind = "elect_leader" // the coordinator has a new leader
)

// step is one transition of the model. index is of the holder, or of the message on the network, that it concerns.
type step struct {
	kind  stepKind
	index int
}

func (s step) String() string { return fmt.Sprint(string(s.kind), " ", s.index) }

// maxOccurrences bounds the number of steps by kind; other kinds are unbounded.
var maxOccurrences = map[stepKind]int{stepTick: 3, stepPause: 1, stepSend: 3, stepLoseMessage: 1, stepRestart: 1, stepLoseState: 1,
	stepElectLeader: 1}

// model is a small model of two holders, a receiver and a coordinator, with a network that delays, reorders and loses messages, pauses of
// the holders, restarts of the receiver, and one loss of the coordinator's state.
type model struct {
	defects
	now             float64
	holders         [2]*lease.Holder
	paused          [2]bool
	checkedTokens   [2]lease.Token // by holder: the token of a check after which the operation has not yet been sent
	state           *leasestate.State
	logIndex        uint64
	epoch           uint64
	receiver        *lease.Receiver
	restarts        int
	network         []message
	occurrences     map[stepKind]int
	highestAccepted lease.Token // over all incarnations of the receiver
	lateRejected    int
	violation       string
}

func newModel(d defects) *model {
	m := &model{defects: d, state: leasestate.New("f"), epoch: 1, receiver: lease.NewReceiver(), occurrences: map[stepKind]int{}}
	m.receiver.TokenLearned(leaseName, m.state.LatestToken(leaseName))
	for n := range m.holders {
		m.holders[n] = lease.NewHolder(lease.Settings{Duration: duration, SafetyMargin: margin - d.overrunMs, Seed: uint64(n)})
		m.holders[n].Acquire()
		m.executeDecisions(n)
	}
	return m
}

func holderName(holder int) string { return fmt.Sprint(holder) }

func (m *model) apply(entry leasestate.Entry) leasestate.Result {
	m.logIndex++
	return m.state.Apply(m.logIndex, entry)
}

func (m *model) send(msg message) { m.network = append(m.network, msg) }

// executeDecisions carries out the pending decisions of a holder.
func (m *model) executeDecisions(holder int) {
	for d, more := m.holders[holder].Next(); more; d, more = m.holders[holder].Next() {
		switch d.Action {
		case lease.RequestLease: // replaces the previous request if that is still in flight
			m.network = slices.DeleteFunc(m.network, func(msg message) bool { return msg.kind == requestMessage && msg.holder == holder })
			m.send(message{kind: requestMessage, holder: holder, number: d.Request})
		case lease.Stop:
			m.checkedTokens[holder] = lease.Token{} // the holder cancels its unsent operation, unless it is paused
		}
	}
}

// canOccur reports whether another step of this kind is within its bound.
func (m *model) canOccur(kind stepKind) bool { return m.occurrences[kind] < maxOccurrences[kind] }

// steps returns all possible next steps.
func (m *model) steps() (all []step) {
	if m.canOccur(stepTick) {
		all = append(all, step{kind: stepTick})
	}
	for holder := range m.holders {
		all = append(all, m.holderSteps(holder)...)
	}
	for n, msg := range m.network {
		if msg.kind == responseMessage && m.paused[msg.holder] {
			continue
		}
		all = append(all, step{stepDeliver, n})
		if msg.kind != operationMessage && m.canOccur(stepLoseMessage) {
			all = append(all, step{stepLoseMessage, n})
		}
	}
	for _, kind := range []stepKind{stepRestart, stepLoseState, stepElectLeader} {
		if m.canOccur(kind) {
			all = append(all, step{kind: kind})
		}
	}
	return all
}

func (m *model) holderSteps(holder int) (all []step) {
	if m.paused[holder] {
		return []step{{stepResume, holder}}
	}
	if m.canOccur(stepPause) {
		all = append(all, step{stepPause, holder})
	}
	hasChecked := m.checkedTokens[holder] != lease.Token{}
	if _, valid := m.holders[holder].Valid(); valid && !hasChecked {
		all = append(all, step{stepCheck, holder})
	} else if hasChecked && m.canOccur(stepSend) {
		all = append(all, step{stepSend, holder})
	}
	return all
}

func (m *model) step(s step) {
	if _, bounded := maxOccurrences[s.kind]; bounded {
		m.occurrences[s.kind]++
	}
	switch s.kind {
	case stepTick:
		m.tick()
	case stepPause:
		m.paused[s.index] = true
	case stepResume:
		m.resume(s.index)
	case stepCheck:
		m.checkValid(s.index)
	case stepSend:
		m.send(message{kind: operationMessage, holder: s.index, token: m.checkedTokens[s.index]})
		m.checkedTokens[s.index] = lease.Token{}
	case stepLoseMessage:
		m.removeMessage(s.index)
	case stepRestart:
		m.restartReceiver()
	case stepLoseState:
		m.loseCoordinatorState()
	case stepElectLeader:
		m.apply(leasestate.Entry{Kind: leasestate.BeginTerm})
	case stepDeliver:
		m.deliver(m.removeMessage(s.index))
	}
}

func (m *model) removeMessage(n int) message {
	msg := m.network[n]
	m.network = append(m.network[:n:n], m.network[n+1:]...)
	return msg
}

func (m *model) tick() {
	m.now += tickMs
	m.apply(leasestate.Entry{Kind: leasestate.AdvanceTime, Elapsed: tickMs})
	for holder := range m.holders {
		if !m.paused[holder] {
			m.holders[holder].Advance(m.now)
			m.executeDecisions(holder)
		}
	}
}

// resume lets a paused holder continue where it was interrupted: after its check, it sends the operation before it reads the clock.
func (m *model) resume(holder int) {
	m.paused[holder] = false
	if m.checkedTokens[holder] != (lease.Token{}) {
		m.send(message{kind: operationMessage, holder: holder, token: m.checkedTokens[holder]})
	}
	m.holders[holder].Advance(m.now)
	m.executeDecisions(holder)
}

func (m *model) checkValid(holder int) {
	m.checkedTokens[holder], _ = m.holders[holder].Valid()
	if held, _ := m.state.Lease(leaseName); held.Holder != holderName(holder) && m.occurrences[stepLoseState] == 0 {
		m.violation = fmt.Sprintf("holder %d may act under %v while the coordinator has holder %q under %v", holder,
			m.checkedTokens[holder], held.Holder, held.Token)
	}
}

func (m *model) restartReceiver() {
	m.receiver = lease.NewReceiver()
	m.restarts++
	if m.receiverForgets {
		m.receiver.TokenLearned(leaseName, lease.Token{})
		return
	}
	m.send(message{kind: queryMessage, number: uint64(m.restarts)})
}

func (m *model) loseCoordinatorState() {
	m.state = leasestate.New("f")
	if m.epochReused {
		return
	}
	m.epoch++
	m.apply(leasestate.Entry{Kind: leasestate.BeginEpoch, Epoch: m.epoch})
}

func (m *model) deliver(msg message) {
	switch msg.kind {
	case requestMessage:
		m.answerRequest(msg)
	case responseMessage:
		if msg.answered {
			m.holders[msg.holder].Granted(msg.number, msg.token)
		} else {
			m.holders[msg.holder].Denied(msg.number)
		}
		m.executeDecisions(msg.holder)
	case queryMessage:
		m.answerQuery(msg)
	case operationMessage:
		m.deliverOperation(msg)
	}
}

func (m *model) answerRequest(msg message) {
	name := holderName(msg.holder)
	if _, open := m.state.Session(name); !open {
		m.apply(leasestate.Entry{Kind: leasestate.OpenSession, Session: name, Incarnation: 1, Timeout: duration})
	}
	result := m.apply(leasestate.Entry{Kind: leasestate.AcquireLease, Session: name, Incarnation: 1, Lease: leaseName})
	m.send(message{kind: responseMessage, holder: msg.holder, number: msg.number, token: result.Token, answered: result.Held})
}

// answerQuery has the coordinator answer a query, or the receiver process the response.
func (m *model) answerQuery(msg message) {
	if msg.answered {
		m.receiver.TokenLearned(leaseName, msg.token)
		return
	}
	msg.answered, msg.token = true, m.state.LatestToken(leaseName)
	if m.reportsLatestGrant {
		held, _ := m.state.Lease(leaseName)
		msg.token = held.Token
	}
	m.send(msg)
}

// deliverOperation has the receiver decide on an operation, and checks the verdict.
func (m *model) deliverOperation(msg message) {
	verdict, highest := lease.Accepted, msg.token
	if !m.receiverAcceptsAll {
		verdict, highest = m.receiver.Check(scope, holderName(msg.holder), msg.token)
	}
	switch {
	case verdict == lease.Stale:
		m.lateRejected++
		m.holders[msg.holder].OperationRejected(highest)
		if !m.paused[msg.holder] {
			m.executeDecisions(msg.holder)
		}
	case verdict == lease.Conflicting:
		m.violation = "one fencing token, one holder"
	case verdict == lease.Accepted && msg.token.Compare(m.highestAccepted) < 0:
		m.violation = fmt.Sprintf("an operation under %v was accepted after one under %v", msg.token, m.highestAccepted)
	case verdict == lease.Accepted:
		m.highestAccepted = msg.token
	}
}

// stateHash returns a hash that identifies the state of the model.
func (m *model) stateHash() uint64 {
	network := slices.SortedFunc(slices.Values(m.network), func(a, b message) int {
		return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.holder, b.holder), cmp.Compare(a.number, b.number), a.token.Compare(b.token))
	})
	state := fmt.Sprintf("%v %+v %+v %v %v %v %v %v %+v %v", m.now, *m.holders[0], *m.holders[1], m.paused, m.checkedTokens, m.epoch, network,
		m.occurrences, *m.receiver, m.highestAccepted)
	return xxhash.Sum64(append([]byte(state), m.state.Snapshot()...))
}
