package lease

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"

	"wayloft/internal/fakes/scenario"
)

// A scenario runs one holder, with a lease duration of 1,000 ms and a safety margin of 100 ms, and one receiver.
//
//	advance 120 | acquire | release [SUCCESSOR] | request_now
//	granted REQUEST 1.2 | denied REQUEST | rejected 1.3 (by a receiver) | lost 1.3 (reported by the coordinator)
//	want request [NUMBER] | start 1.2 | stop 1.2 | release 1.2 | transfer 1.2 SUCCESSOR      an expected decision, in any order
//	never ACTION                                                                             no such decision is pending
//	valid 1.2 | invalid                                                                      whether the holder's lease is valid
//	learned LEASE 1.2 | act LEASE SUBJECT HOLDER 1.2 VERDICT [HIGHEST] | restart | close_scope LEASE SUBJECT
func TestScenarios(t *testing.T) {
	scenario.Run(t, func() func(string) error {
		r := &scenarioRunner{
			holder:   NewHolder(Settings{Duration: 1000, SafetyMargin: 100, Seed: 1}),
			receiver: NewReceiver(),
		}
		return func(line string) error { return r.step(strings.Fields(line)) }
	})
}

// scenarioRunner runs the steps of one scenario.
type scenarioRunner struct {
	holder    *Holder
	receiver  *Receiver
	decisions []string // returned by Next, and not yet expected by a step
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

func (r *scenarioRunner) step(words []string) error {
	verb, args := words[0], words[1:]
	switch verb {
	case "advance":
		r.holder.Advance(float64(parseNumber(args[0])))
	case "acquire":
		r.holder.Acquire()
	case "release":
		r.holder.Release(strings.Join(args, ""))
	case "request_now":
		r.holder.RequestNow()
	case "granted":
		r.holder.Granted(parseNumber(args[0]), parseToken(args[1]))
	case "denied":
		r.holder.Denied(parseNumber(args[0]))
	case "lost":
		r.holder.Lost(parseToken(args[0]))
	case "rejected":
		r.holder.OperationRejected(parseToken(args[0]))
	case "valid", "invalid":
		return r.expectValid(verb == "valid", args)
	case "want", "never":
		return r.expectDecision(verb == "want", strings.Join(args, " "))
	default:
		return r.receiverStep(verb, args)
	}
	return nil
}

func (r *scenarioRunner) receiverStep(verb string, args []string) error {
	switch verb {
	case "learned":
		r.receiver.TokenLearned(args[0], parseToken(args[1]))
	case "restart":
		r.receiver = NewReceiver()
	case "close_scope":
		r.receiver.CloseScope(Scope{args[0], args[1]})
	case "act":
		verdict, highest := r.receiver.Check(Scope{args[0], args[1]}, args[2], parseToken(args[3]))
		if verdictNames[verdict] != args[4] || len(args) > 5 && highest != parseToken(args[5]) {
			return fmt.Errorf("verdict %s, highest token %v", verdictNames[verdict], highest)
		}
	default:
		return fmt.Errorf("unknown step")
	}
	return nil
}

func (r *scenarioRunner) expectValid(want bool, args []string) error {
	token, valid := r.holder.Valid()
	if valid != want || want && token.String() != args[0] {
		return fmt.Errorf("valid %v, token %v", valid, token)
	}
	return nil
}

// expectDecision checks whether a decision is pending, and removes it if it is expected.
func (r *scenarioRunner) expectDecision(want bool, decision string) error {
	for d, more := r.holder.Next(); more; d, more = r.holder.Next() {
		r.decisions = append(r.decisions, formatDecision(d))
	}
	found := slices.IndexFunc(r.decisions, func(line string) bool { return strings.HasPrefix(line+" ", decision+" ") })
	switch {
	case found < 0 && want:
		return fmt.Errorf("not found; pending decisions: %s", strings.Join(r.decisions, "; "))
	case found < 0:
		return nil
	case !want:
		return fmt.Errorf("unexpected decision: %s", r.decisions[found])
	}
	r.decisions = slices.Delete(r.decisions, found, found+1)
	return nil
}

func formatDecision(d Decision) string {
	if d.Action == RequestLease {
		return fmt.Sprint(actionNames[d.Action], " ", d.Request)
	}
	return strings.TrimRight(fmt.Sprint(actionNames[d.Action], " ", d.Token, " ", d.To), " ")
}
