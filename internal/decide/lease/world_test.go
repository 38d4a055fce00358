package lease_test

import (
	"cmp"
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"

	"wayloft/internal/decide/lease"
	"wayloft/internal/decide/leasestate"
)

var deep = flag.Int("deep", 7, "steps that the small world is explored for")

// defects are seeded in the world, each to be found.
type defects struct {
	unchecked  bool    // the receiver takes whatever comes
	forgets    bool    // a receiver that restarted takes orders without having asked
	sameEpoch  bool    // a coordinator that lost its state begins again in the same epoch
	epochless  bool    // a restarted receiver learns the latest grant, which a new epoch may not have
	overstayed float64 // ms that a holder acts beyond its lease
}

// world is two owners, a receiver and a coordinator, with a network that delays and loses, pauses, restarts and one loss of
// the coordinator's state. Times are ms; a lease is 3 long and its margin 1.
type world struct {
	defects
	now      float64
	owners   [2]*lease.Holder
	asleep   [2]bool
	checked  [2]lease.Token // what the owner has found that it may do, and not yet sent
	council  *leasestate.State
	index    uint64
	epoch    uint64
	receiver *lease.Receiver
	restarts int
	net      []message
	done     map[string]int // how often what happens once or twice has happened
	accepted lease.Token    // the highest, by any incarnation of the receiver
	refused  int
	wrong    string
}

type message struct {
	kind   string // ask, answer, act, stand
	owner  int
	number uint64
	fence  lease.Token
	held   bool
}

const duty = "d"

var scope = lease.Scope{Lease: duty, Subject: "g"}

func begin(d defects) *world {
	w := &world{defects: d, council: leasestate.New("f"), epoch: 1, receiver: lease.NewReceiver(), done: map[string]int{}}
	w.receiver.TokenLearned(duty, w.council.LatestToken(duty))
	for n := range w.owners {
		w.owners[n] = lease.NewHolder(lease.Settings{Duration: 3, SafetyMargin: 1 - d.overstayed, Seed: uint64(n)})
		w.owners[n].Acquire()
		w.pull(n)
	}
	return w
}

func (w *world) apply(e leasestate.Entry) leasestate.Result {
	w.index++
	return w.council.Apply(w.index, e)
}

func (w *world) pull(n int) {
	for d, more := w.owners[n].Next(); more; d, more = w.owners[n].Next() {
		switch d.Action {
		case lease.RequestLease: // one goes in place of the one before, if that is still on its way
			w.net = slices.DeleteFunc(w.net, func(m message) bool { return m.kind == "ask" && m.owner == n })
			w.net = append(w.net, message{kind: "ask", owner: n, number: d.Request})
		case lease.Stop:
			w.checked[n] = lease.Token{} // it ends what it was about to do, if it is awake to hear of it
		}
	}
}

// bounded is how often each of these may happen.
var bounded = map[string]int{"tick": 3, "sleep": 1, "send": 3, "lose": 1, "restart": 1, "wiped": 1, "lead": 1}

// once tells whether something may happen once more.
func (w *world) once(what string) bool { return w.done[what] < bounded[what] }

// steps names what may happen next.
func (w *world) steps() (s []string) {
	if w.once("tick") {
		s = append(s, "tick")
	}
	for n := range w.owners {
		name := fmt.Sprint(" ", n)
		if w.asleep[n] {
			s = append(s, "wake"+name)
			continue
		}
		if w.once("sleep") {
			s = append(s, "sleep"+name)
		}
		if _, may := w.owners[n].Valid(); may && w.checked[n] == (lease.Token{}) {
			s = append(s, "check"+name)
		} else if w.checked[n] != (lease.Token{}) && w.once("send") {
			s = append(s, "send"+name)
		}
	}
	for n, m := range w.net {
		if (m.kind == "answer") && w.asleep[m.owner] {
			continue
		}
		s = append(s, fmt.Sprint("deliver ", n))
		if m.kind != "act" && w.once("lose") {
			s = append(s, fmt.Sprint("lose ", n))
		}
	}
	for _, what := range []string{"restart", "wiped", "lead"} {
		if w.once(what) {
			s = append(s, what)
		}
	}
	return s
}

func (w *world) step(what string) {
	var n int
	verb, arg, _ := strings.Cut(what, " ")
	fmt.Sscan(arg, &n)
	if _, most := bounded[verb]; most {
		w.done[verb]++
	}
	switch verb {
	case "tick":
		w.now += 2
		w.apply(leasestate.Entry{Kind: leasestate.AdvanceTime, Elapsed: 2})
		for n := range w.owners {
			if !w.asleep[n] {
				w.owners[n].Advance(w.now)
				w.pull(n)
			}
		}
	case "sleep":
		w.asleep[n] = true
	case "wake": // it goes on where it stood: what it has checked may go out before it looks at its clock
		w.asleep[n] = false
		if w.checked[n] != (lease.Token{}) {
			w.net = append(w.net, message{kind: "act", owner: n, fence: w.checked[n]})
		}
		w.owners[n].Advance(w.now)
		w.pull(n)
	case "check":
		w.checked[n], _ = w.owners[n].Valid()
		if d, _ := w.council.Lease(duty); d.Holder != fmt.Sprint(n) && w.done["wiped"] == 0 {
			w.wrong = fmt.Sprintf("owner %d may act under %v while the council has %q at %v", n, w.checked[n], d.Holder, d.Token)
		}
	case "send":
		w.net = append(w.net, message{kind: "act", owner: n, fence: w.checked[n]})
		w.checked[n] = lease.Token{}
	case "lose":
		w.net = append(w.net[:n:n], w.net[n+1:]...)
	case "restart":
		w.receiver = lease.NewReceiver()
		if w.restarts++; w.forgets {
			w.receiver.TokenLearned(duty, lease.Token{})
		} else {
			w.net = append(w.net, message{kind: "stand", number: uint64(w.restarts)})
		}
	case "wiped":
		w.council = leasestate.New("f")
		if w.epoch++; w.sameEpoch {
			w.epoch--
		} else {
			w.apply(leasestate.Entry{Kind: leasestate.BeginEpoch, Epoch: w.epoch})
		}
	case "lead":
		w.apply(leasestate.Entry{Kind: leasestate.BeginTerm})
	case "deliver":
		m := w.net[n]
		w.net = append(w.net[:n:n], w.net[n+1:]...)
		w.deliver(m)
	}
}

func (w *world) deliver(m message) {
	name := fmt.Sprint(m.owner)
	switch m.kind {
	case "ask":
		if _, open := w.council.Session(name); !open {
			w.apply(leasestate.Entry{Kind: leasestate.OpenSession, Session: name, Incarnation: 1, Timeout: 3})
		}
		a := w.apply(leasestate.Entry{Kind: leasestate.AcquireLease, Session: name, Incarnation: 1, Lease: duty})
		w.net = append(w.net, message{kind: "answer", owner: m.owner, number: m.number, fence: a.Token, held: a.Held})
	case "answer":
		if m.held {
			w.owners[m.owner].Granted(m.number, m.fence)
		} else {
			w.owners[m.owner].Denied(m.number)
		}
		w.pull(m.owner)
	case "stand":
		if m.held {
			w.receiver.TokenLearned(duty, m.fence)
			return
		}
		if m.held, m.fence = true, w.council.LatestToken(duty); w.epochless {
			d, _ := w.council.Lease(duty)
			m.fence = d.Token
		}
		w.net = append(w.net, m)
	case "act":
		verdict, highest := lease.Accepted, m.fence
		if !w.unchecked {
			verdict, highest = w.receiver.Check(scope, name, m.fence)
		}
		switch {
		case verdict == lease.Stale:
			w.refused++
			w.owners[m.owner].ActRejected(highest)
			if !w.asleep[m.owner] {
				w.pull(m.owner)
			}
		case verdict == lease.Conflicting:
			w.wrong = "one fence, one holder"
		case verdict == lease.Accepted && m.fence.Compare(w.accepted) < 0:
			w.wrong = fmt.Sprintf("an act under %v was taken after one under %v", m.fence, w.accepted)
		case verdict == lease.Accepted:
			w.accepted = m.fence
		}
	}
}

func (w *world) key() uint64 {
	h := xxhash.New()
	net := slices.SortedFunc(slices.Values(w.net), func(a, b message) int {
		return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.owner, b.owner), cmp.Compare(a.number, b.number), a.fence.Compare(b.fence))
	})
	fmt.Fprintf(h, "%v %+v %+v %v %v %v %v %v %+v %v", w.now, *w.owners[0], *w.owners[1], w.asleep, w.checked, w.epoch, net, w.done,
		*w.receiver, w.accepted)
	h.Write(w.council.Snapshot())
	return h.Sum64()
}

// explore plays every order of steps up to a depth and gives the first path to something wrong, how many states there
// were, and in how many a late act had been refused.
func explore(d defects, depth int) (path []string, wrong string, states, late int) {
	// It begins where the first owner has acted, has checked that it may act again, and the other has asked in vain.
	begin := func(d defects) *world {
		w := begin(d)
		w.granted()
		w.pass("ask", 1)
		w.pass("answer", 1)
		return w
	}
	seen := map[uint64]bool{}
	paths := [][]string{nil}
	for range depth {
		var next [][]string
		for _, path := range paths {
			w := begin(d)
			for _, s := range path {
				w.step(s)
			}
			for _, s := range w.steps() {
				w := begin(d)
				for _, before := range path {
					w.step(before)
				}
				w.step(s)
				to := append(path[:len(path):len(path)], s)
				if w.wrong != "" {
					return to, w.wrong, states, late
				}
				if k := w.key(); !seen[k] {
					seen[k] = true
					states++
					if w.refused > 0 {
						late++
					}
					next = append(next, to)
				}
			}
		}
		paths = next
	}
	return nil, "", states, late
}

// Every order of messages, losses, pauses, restarts and one loss of the coordinator's state, up to a depth: no act is taken
// under a fencing token lower than one that was taken before, and nobody may act while the coordinator has another.
func TestSmallWorld(t *testing.T) {
	path, wrong, states, late := explore(defects{}, *deep)
	if wrong != "" {
		t.Fatalf("%s\nafter %s", wrong, strings.Join(path, "; "))
	}
	t.Logf("%d states in %d steps, a late act refused in %d of them", states, *deep, late)
	if states < 1000 || late == 0 {
		t.Errorf("only %d states, %d with a late act", states, late)
	}
}

// pass delivers the latest message of a kind from or to an owner.
func (w *world) pass(kind string, owner int) {
	for n := len(w.net) - 1; n >= 0; n-- {
		if w.net[n].kind == kind && w.net[n].owner == owner {
			w.step(fmt.Sprint("deliver ", n))
			return
		}
	}
}

// granted has owner 0 granted the lease, act, and check that it may act again.
func (w *world) granted() {
	w.pass("ask", 0)
	w.pass("answer", 0)
	w.step("check 0")
	w.step("send 0")
	w.pass("act", 0)
	w.step("check 0")
}

// late plays the hard case: owner 0 has checked that it may act and is stopped; owner 1 is granted the lease and acts; the
// receiver restarts; owner 0 wakes and sends.
func late(d defects, between string) (wrong string, w *world) {
	defer func() {
		if p := recover(); p != nil { // must, in a debug build
			wrong = fmt.Sprint(p)
		}
	}()
	w = begin(d)
	w.granted()
	if d.overstayed == 0 {
		w.step("sleep 0")
	}
	if between == "wiped" {
		w.step("wiped")
	}
	w.step("tick")
	w.step("tick")
	if d.overstayed > 0 {
		w.step("check 0")
	}
	w.pass("ask", 1)
	w.pass("answer", 1)
	w.step("check 1")
	w.step("send 1")
	w.pass("act", 1)
	if between == "restart after a loss" {
		w.step("wiped")
	}
	if strings.HasPrefix(between, "restart") {
		w.step("restart")
		w.pass("stand", 0)
		w.pass("stand", 0)
	}
	if w.asleep[0] {
		w.step("wake 0")
	}
	w.pass("act", 0)
	return w.wrong, w
}

func TestPlanted(t *testing.T) {
	for name, c := range map[string]struct {
		d             defects
		between, want string
	}{
		"no check of the fence":                {defects{unchecked: true}, "", "was taken after one under"},
		"a receiver that forgets":              {defects{forgets: true}, "restart", "was taken after one under"},
		"a new epoch that nobody is told of":   {defects{epochless: true}, "restart after a loss", "was taken after one under"},
		"a lease that is counted for too long": {defects{overstayed: 4}, "", "may act under"},
		"the epoch is not raised":              {defects{sameEpoch: true}, "wiped", "one fence, one holder"},
	} {
		t.Run(name, func(t *testing.T) {
			if got, _ := late(c.d, c.between); !strings.Contains(got, c.want) {
				t.Errorf("not found: %q", got)
			}
			got, w := late(defects{}, c.between)
			if got != "" || w.refused != 1 {
				t.Errorf("without it: %q, %d late acts refused", got, w.refused)
			}
			if _, may := w.owners[0].Valid(); may {
				t.Error("the owner that woke up goes on")
			}
		})
	}
}
