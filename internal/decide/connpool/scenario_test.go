package connpool

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"

	"wayloft/internal/fakes/scenario"
)

// TestScenarios runs the scenarios in testdata/*.txt. A scenario has one step per line; # starts a comment.
//
//	settings maxtotal=9 maxpermember=4
//	pool x permember=2 total=4 minidle=1 wait=100 idle=1000 maxage=9000 maxuses=5 reusedelay=2 idleintransaction=500
//	at 120                                 sets the time of the following steps
//	listed a / unlisted a / retire a       input for a member
//	request 1 a/x tenant=t affinity=s      input for a request, by ID
//	cancel 1
//	opened 1 / unreachable 1 / toomanyconnections 1 / nolocalresources 1 / closed 1    input for a connection, by ID
//	release 1 affinity=s / turn 1 client / turn 1 member / responded 1
//	settled 1 / unsettled 1                checks whether more of the last response may arrive
//	expect open 1 a/x 1                    checks for a decision since the last input; each decision matches once
//	expect assign 1 1 unsettled
//	expect reject 1 nocapacity
//	nothing                                checks that no decision is left
func TestScenarios(t *testing.T) {
	scenario.Run(t, func() func(string) error {
		player := &scenarioPlayer{settings: Settings{MaxTotal: 100, Pools: map[string]Bounds{}}}
		return func(line string) error { return player.step(strings.Fields(line)) }
	})
}

type scenarioPlayer struct {
	settings  Settings
	pool      *Pool
	now       float64
	decisions []string // pulled but not yet matched by an expect step
	pulled    bool     // decisions have been pulled since the last input
}

var (
	actionNames = map[Action]string{Open: "open", Assign: "assign", Close: "close", Reject: "reject",
		CloseIdleInTransaction: "closeidleintransaction"}
	reasonNames = map[RejectReason]string{NoCapacity: "nocapacity", WaitTimedOut: "waittimedout", ConnectFailed: "connectfailed"}
	causes      = map[string]FailureCause{"unreachable": Unreachable, "toomanyconnections": TooManyConnections,
		"nolocalresources": NoLocalResources}
)

// describe formats a decision as in scenarios.
func describe(d Decision) string {
	name := actionNames[d.Action]
	if d.Action == Reject {
		return strings.Join([]string{name, d.RequestID, reasonNames[d.Reason]}, " ")
	}
	words := []string{name, strconv.Itoa(d.Conn)}
	if d.Action == Open {
		words = append(words, d.Key.Member+"/"+d.Key.Pool)
	}
	if d.RequestID != "" {
		words = append(words, d.RequestID)
	}
	if d.Unsettled {
		words = append(words, "unsettled")
	}
	return strings.Join(words, " ")
}

func (s *scenarioPlayer) step(words []string) error {
	verb, arguments := words[0], words[1:]
	switch verb {
	case "settings", "pool":
		return s.configure(verb, arguments)
	case "at":
		return s.advance(arguments[0])
	case "expect":
		return s.expect(strings.Join(arguments, " "))
	case "nothing":
		if s.pull(); len(s.decisions) > 0 {
			return fmt.Errorf("unexpected decisions: %s", strings.Join(s.decisions, "; "))
		}
		return nil
	}
	s.pulled = false
	s.pool.Advance(s.now)
	return s.input(verb, arguments)
}

func (s *scenarioPlayer) configure(verb string, arguments []string) error {
	if verb == "settings" {
		return setOptions(arguments, map[string]any{"maxtotal": &s.settings.MaxTotal, "maxpermember": &s.settings.MaxPerMember})
	}
	var b Bounds
	err := setOptions(arguments[1:], map[string]any{"permember": &b.PerMember, "total": &b.Total, "minidle": &b.MinIdle,
		"wait": &b.WaitTimeoutMs, "idle": &b.IdleTimeoutMs, "maxage": &b.MaxAgeMs, "maxuses": &b.MaxUses, "reusedelay": &b.ReuseDelayMs,
		"idleintransaction": &b.IdleInTransactionTimeoutMs})
	s.settings.Pools[arguments[0]] = b
	return err
}

// setOptions sets fields from options of the form name=value.
func setOptions(options []string, fields map[string]any) error {
	for _, option := range options {
		name, value, _ := strings.Cut(option, "=")
		if fields[name] == nil {
			return fmt.Errorf("unknown option %q", name)
		}
		if _, err := fmt.Sscan(value, fields[name]); err != nil {
			return fmt.Errorf("option %q: %w", option, err)
		}
	}
	return nil
}

func (s *scenarioPlayer) advance(time string) (err error) {
	if s.now, err = strconv.ParseFloat(time, 64); err != nil {
		return err
	}
	if s.pool == nil {
		s.pool = New(s.settings)
	}
	s.pool.Advance(s.now)
	s.pulled = false
	return nil
}

func (s *scenarioPlayer) pull() {
	if s.pulled {
		return
	}
	s.pulled = true
	s.decisions = nil
	for d, ok := s.pool.Next(); ok; d, ok = s.pool.Next() {
		s.decisions = append(s.decisions, describe(d))
	}
}

func (s *scenarioPlayer) expect(decision string) error {
	s.pull()
	position := slices.Index(s.decisions, decision)
	if position < 0 {
		return fmt.Errorf("no such decision; remaining decisions: %s", strings.Join(s.decisions, "; "))
	}
	s.decisions = slices.Delete(s.decisions, position, position+1)
	return nil
}

func (s *scenarioPlayer) input(verb string, arguments []string) error {
	switch subject := arguments[0]; verb {
	case "listed", "unlisted":
		s.pool.MemberListed(subject, verb == "listed")
	case "retire":
		s.pool.RetireConnections(subject)
	case "request":
		return s.request(subject, arguments[1], arguments[2:])
	case "cancel":
		s.pool.Cancel(subject)
	default:
		return s.connInput(verb, arguments)
	}
	return nil
}

func (s *scenarioPlayer) request(id, key string, options []string) error {
	r := Request{ID: id}
	r.Key.Member, r.Key.Pool, _ = strings.Cut(key, "/")
	var affinity string
	if err := setOptions(options, map[string]any{"tenant": &r.Tenant, "affinity": &affinity}); err != nil {
		return err
	}
	if affinity != "" {
		r.Affinity = affinity
	}
	s.pool.Request(r)
	return nil
}

func (s *scenarioPlayer) connInput(verb string, arguments []string) error {
	connID, err := strconv.Atoi(arguments[0])
	if err != nil {
		return err
	}
	switch verb {
	case "opened":
		s.pool.Opened(connID)
	case "unreachable", "toomanyconnections", "nolocalresources":
		s.pool.OpenFailed(connID, causes[verb])
	case "release":
		var affinity string
		if err := setOptions(arguments[1:], map[string]any{"affinity": &affinity}); err != nil {
			return err
		}
		if affinity == "" {
			s.pool.Release(connID, nil)
			return nil
		}
		s.pool.Release(connID, affinity)
	case "closed":
		s.pool.ConnectionClosed(connID)
	case "responded":
		s.pool.ResponseEnded(connID)
	case "settled", "unsettled":
		if s.pool.Unsettled(connID) != (verb == "unsettled") {
			return fmt.Errorf("connection %d is not %s", connID, verb)
		}
	case "turn":
		s.pool.SetAwaitingClient(connID, arguments[1] == "client")
	default:
		return fmt.Errorf("unknown step %q", verb)
	}
	return nil
}
