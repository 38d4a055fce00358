package lease

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"wayloft/internal/fakes/scenario"
)

// A scenario plays one holder with a lease of 1,000 ms and a margin of 100, and one receiver.
//
//	at 120 | wants | leaves [SUCCESSOR] | turn
//	granted REQUEST 1.2 | denied REQUEST | refused 1.3 (by a receiver) | lost 1.3 (by the coordinator's word)
//	want ask | start 1.2 | stop 1.2 | give 1.2 | pass 1.2 SUCCESSOR      decisions, in any order; never VERB: none such
//	may 1.2 | may not
//	learned DUTY 1.2 | act DUTY ABOUT HOLDER 1.2 VERDICT [HIGHEST] | restarts | closes DUTY ABOUT
func TestScenarios(t *testing.T) {
	scenario.Play(t, func() func(string) error {
		p := &play{h: NewHolder(Settings{Duration: 1000, SafetyMargin: 100, Seed: 1}), r: NewReceiver()}
		return func(line string) error { return p.step(strings.Fields(line)) }
	})
}

type play struct {
	h    *Holder
	r    *Receiver
	left []string
}

var (
	verbs    = map[Action]string{RequestLease: "ask", ReleaseLease: "give", TransferLease: "pass", Stop: "stop", Start: "start"}
	verdicts = map[Verdict]string{Accepted: "taken", Stale: "old", NotLearned: "unknown", Conflicting: "broken"}
)

func fence(s string) (f Token) {
	a, b, _ := strings.Cut(s, ".")
	f.Epoch, _ = strconv.ParseUint(a, 10, 64)
	f.Count, _ = strconv.ParseUint(b, 10, 64)
	return f
}

func (p *play) step(w []string) error {
	number := func(n int) uint64 {
		x, _ := strconv.ParseUint(w[n], 10, 64)
		return x
	}
	switch w[0] {
	case "at":
		p.h.Advance(float64(number(1)))
	case "wants":
		p.h.Acquire()
	case "leaves":
		p.h.Release(strings.Join(w[1:], ""))
	case "turn":
		p.h.RequestNow()
	case "granted":
		p.h.Granted(number(1), fence(w[2]))
	case "denied":
		p.h.Denied(number(1))
	case "lost":
		p.h.Lost(fence(w[1]))
	case "refused":
		p.h.ActRejected(fence(w[1]))
	case "may":
		f, may := p.h.Valid()
		if got := map[bool]string{true: f.String(), false: "not"}[may]; got != w[1] {
			return fmt.Errorf("may %s", got)
		}
	case "want", "never":
		for d, more := p.h.Next(); more; d, more = p.h.Next() {
			line := verbs[d.Action]
			if d.Action == RequestLease {
				line += fmt.Sprint(" ", d.Request)
			} else {
				line += strings.TrimRight(" "+d.Token.String()+" "+d.To, " ")
			}
			p.left = append(p.left, line)
		}
		for n, line := range p.left {
			if strings.HasPrefix(line+" ", strings.Join(w[1:], " ")+" ") {
				p.left = append(p.left[:n], p.left[n+1:]...)
				if w[0] == "want" {
					return nil
				}
				return fmt.Errorf("there is %s", line)
			}
		}
		if w[0] == "want" {
			return fmt.Errorf("left: %s", strings.Join(p.left, "; "))
		}
	case "learned":
		p.r.TokenLearned(w[1], fence(w[2]))
	case "restarts":
		p.r = NewReceiver()
	case "closes":
		p.r.CloseScope(Scope{w[1], w[2]})
	case "act":
		v, highest := p.r.Check(Scope{w[1], w[2]}, w[3], fence(w[4]))
		if verdicts[v] != w[5] || len(w) > 6 && highest != fence(w[6]) {
			return fmt.Errorf("%s, highest %v", verdicts[v], highest)
		}
	default:
		return fmt.Errorf("unknown step")
	}
	return nil
}

// Requests that were never answered are forgotten after a lease's length, also while others are answered.
func TestForgetsRequests(t *testing.T) {
	h := NewHolder(Settings{Duration: 1000, SafetyMargin: 100, Seed: 1})
	h.Acquire()
	for at := 0.0; at < 100000; at += 50 {
		h.Advance(at)
		for d, more := h.Next(); more; d, more = h.Next() {
			if d.Action == RequestLease && d.Request%3 == 1 {
				h.Granted(d.Request, Token{1, 1})
			}
		}
		if _, may := h.Valid(); !may {
			t.Fatalf("%v: not acting", at)
		}
		if len(h.asked) > 10 {
			t.Fatalf("%v: %d requests are kept", at, len(h.asked))
		}
	}
}

// Guards against a word on one lease that costs by how many others there are: a beat asks for each of them.
func TestOneDutyIsLookedUpAlone(t *testing.T) {
	r := NewReceiver()
	for n := range 820 {
		duty := fmt.Sprint("sight/", n)
		r.TokenLearned(duty, Token{Epoch: 1})
		r.Check(Scope{Lease: duty, Subject: duty}, "a", Token{Epoch: 1, Count: uint64(n)})
	}
	for n := range 820 {
		if fence, holder := r.Highest(fmt.Sprint("sight/", n)); fence.Count != uint64(n) || holder != "a" {
			t.Fatalf("duty %d: %v of %q", n, fence, holder)
		}
	}
	if r.ScopesExamined != 820 {
		t.Errorf("%d scopes were gone over for 820 duties of one scope each", r.ScopesExamined)
	}
}
