package lease

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"

	"wayloft/internal/fakes/scenario"
)

// A scenario plays one holder with a lease of 1,000 ms and a margin of 100, and one receiver.
//
//	advance 120 | acquire | release [SUCCESSOR] | request_now
//	granted REQUEST 1.2 | denied REQUEST | rejected 1.3 (by a receiver) | lost 1.3 (as the coordinator says)
//	want request [NUMBER] | start 1.2 | stop 1.2 | release 1.2 | transfer 1.2 SUCCESSOR      a decision, in any order
//	never ACTION                                                                             no such decision is left
//	valid 1.2 | invalid                                                                      whether the holder may act
//	learned LEASE 1.2 | act LEASE SUBJECT HOLDER 1.2 VERDICT [HIGHEST] | restart | close_scope LEASE SUBJECT
func TestScenarios(t *testing.T) {
	scenario.Play(t, func() func(string) error {
		p := &player{
			holder:   NewHolder(Settings{Duration: 1000, SafetyMargin: 100, Seed: 1}),
			receiver: NewReceiver(),
		}
		return func(line string) error { return p.step(strings.Fields(line)) }
	})
}

// player carries out the steps of one scenario.
type player struct {
	holder    *Holder
	receiver  *Receiver
	decisions []string // pulled, and not yet wanted by the scenario
}

var (
	actionNames = map[Action]string{RequestLease: "request", ReleaseLease: "release", TransferLease: "transfer", Stop: "stop",
		Start: "start"}
	verdictNames = map[Verdict]string{Accepted: "accepted", Stale: "stale", NotLearned: "not_learned", Conflicting: "conflicting"}
)

func parseNumber(text string) uint64 {
	number, _ := strconv.ParseUint(text, 10, 64)
	return number
}

func parseToken(text string) Token {
	epoch, count, _ := strings.Cut(text, ".")
	return Token{Epoch: parseNumber(epoch), Count: parseNumber(count)}
}

func (p *player) step(words []string) error {
	verb, args := words[0], words[1:]
	switch verb {
	case "advance":
		p.holder.Advance(float64(parseNumber(args[0])))
	case "acquire":
		p.holder.Acquire()
	case "release":
		p.holder.Release(strings.Join(args, ""))
	case "request_now":
		p.holder.RequestNow()
	case "granted":
		p.holder.Granted(parseNumber(args[0]), parseToken(args[1]))
	case "denied":
		p.holder.Denied(parseNumber(args[0]))
	case "lost":
		p.holder.Lost(parseToken(args[0]))
	case "rejected":
		p.holder.ActRejected(parseToken(args[0]))
	case "valid", "invalid":
		return p.expectValid(verb == "valid", args)
	case "want", "never":
		return p.expectDecision(verb == "want", strings.Join(args, " "))
	default:
		return p.receiverStep(verb, args)
	}
	return nil
}

func (p *player) receiverStep(verb string, args []string) error {
	switch verb {
	case "learned":
		p.receiver.TokenLearned(args[0], parseToken(args[1]))
	case "restart":
		p.receiver = NewReceiver()
	case "close_scope":
		p.receiver.CloseScope(Scope{args[0], args[1]})
	case "act":
		verdict, highest := p.receiver.Check(Scope{args[0], args[1]}, args[2], parseToken(args[3]))
		if verdictNames[verdict] != args[4] || len(args) > 5 && highest != parseToken(args[5]) {
			return fmt.Errorf("%s, highest %v", verdictNames[verdict], highest)
		}
	default:
		return fmt.Errorf("unknown step")
	}
	return nil
}

func (p *player) expectValid(want bool, args []string) error {
	token, valid := p.holder.Valid()
	if valid != want || want && token.String() != args[0] {
		return fmt.Errorf("valid %v under %v", valid, token)
	}
	return nil
}

// expectDecision looks for a decision among those that are pulled and not yet wanted.
func (p *player) expectDecision(want bool, decision string) error {
	for d, more := p.holder.Next(); more; d, more = p.holder.Next() {
		p.decisions = append(p.decisions, describe(d))
	}
	found := slices.IndexFunc(p.decisions, func(line string) bool { return strings.HasPrefix(line+" ", decision+" ") })
	switch {
	case found < 0 && want:
		return fmt.Errorf("left: %s", strings.Join(p.decisions, "; "))
	case found < 0:
		return nil
	case !want:
		return fmt.Errorf("there is %s", p.decisions[found])
	}
	p.decisions = slices.Delete(p.decisions, found, found+1)
	return nil
}

func describe(d Decision) string {
	if d.Action == RequestLease {
		return fmt.Sprint(actionNames[d.Action], " ", d.Request)
	}
	return strings.TrimRight(fmt.Sprint(actionNames[d.Action], " ", d.Token, " ", d.To), " ")
}
