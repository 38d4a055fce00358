package router

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"

	"wayloft/internal/fakes/scenario"
)

// A scenario is a text file with one step per line; # starts a comment.
//
//	set routers=2 lag=answers ...      settings; "no-traffic": no requests before; then: class NAME level=write effect=non-idempotent ...
//	at 120                             sets the time of the steps that follow; "paused": the router was paused until then
//	turn t1 idle begun                 last attempt sent: it is idle, and part of the response has been passed to the client
//	list complete a/2 b:draining c@-5  members with optional group (/), state (:) and start time (@); "list changes": changes only
//	list failed
//	arrive t1 CLASS ttl=500 token-age=20 session=s tenant=n group=2 marked
//	ended t1 misrouted role=replica position=90 finished     last attempt sent
//	checked a ok role=primary position=100             or another outcome
//	client-gone t1
//	peer-report a started=-5 role=primary position=100       check by another router; started is Never by default
//	hold 2000 | hold none                          holds writes of group 1 until then
//	tenant n rate=10 over-quota=0.1                quota, and weight of requests over quota; before the first "at"
//	update CLASS weight=5 late=0.2 | update tenant n rate=20 | update tenant n gone     changed settings
//	want send t1 a|b                   this decision must be among those just returned; it is removed from them
//	never send t1                      no such decision may remain among them; rejections include the retry-after: reject t1 400
//
// Members are in group 1 by default, and in the zone named by the first letter of their name.
var (
	outcomeWords = map[string]Outcome{"ok": Succeeded, "error": ServerError, "overloaded": Overloaded, "timeout": TimedOut,
		"connect-failed": ConnectFailed, "reset": Reset, "canceled": Canceled, "not-sent": NotSent, "misrouted": Misrouted}
	effectWords = map[string]RetryEffect{"idempotent": Idempotent, "idempotent-with-key": IdempotentWithKey, "non-idempotent": NonIdempotent}
	levelWords  = map[string]ConsistencyLevel{"any": Any, "bounded": Bounded, "session": Session, "fresh": Fresh, "write": Write}
	scopeWords  = map[string]IdempotencyScope{"all": ScopeAll, "zone": ScopeZone, "group": ScopeGroup}
	lagWords    = map[string]LagBehavior{"answers": LagServes, "refuses": LagRejects, "waits": LagWaits}
	roleWords   = map[string]Role{"primary": Primary, "replica": Replica}
	stateWords  = map[string]State{"up": Up, "draining": Draining, "removed": Removed}
	actionWords = map[Action]string{SendAttempt: "send", CancelAttempt: "cancel", RejectRequest: "reject", FailRequest: "fail",
		HealthCheck: "check", RequestList: "request-list", CloseIdleConnections: "close-idle", SetTimer: "set-timer"}
)

const maxDecisionsAtOnce = 1000

func TestScenarios(t *testing.T) {
	scenario.Run(t, func() func(string) error {
		p := &scenarioRunner{settings: &Settings{Routers: 1, MaxAttempts: 6, CanHealthCheck: true, CanCancel: true, SlowStartFloor: 0.2,
			SlowStartDuration: 10000, OverloadMultiple: 2.5, OverloadWindow: 2000, ListPollTimeout: 10000,
			RequestClasses: map[string]*RequestClass{}, Tenants: map[string]float64{}},
			lastAttempt: map[string]Decision{}, attempts: map[string]int{}}
		return func(line string) error { return p.step(strings.Fields(line)) }
	})
}

// scenarioRunner runs one scenario against a router.
type scenarioRunner struct {
	settings      *Settings
	router        *Router
	now           float64
	noTraffic     bool // the group has had no requests before
	inputsPending bool // inputs have arrived since the last pull
	decisions     []string
	lastAttempt   map[string]Decision // by request
	attempts      map[string]int
}

// options holds the key=value words of a step; a word without = is a key without a value.
type options map[string]string

func parseOptions(words []string) options {
	parsed := options{}
	for _, word := range words {
		key, value, _ := strings.Cut(word, "=")
		parsed[key] = value
	}
	return parsed
}

func (o options) has(key string) bool {
	_, has := o[key]
	return has
}

func (o options) number(key string, fallback float64) float64 { return parseNumber(o[key], fallback) }

func parseNumber(text string, fallback float64) float64 {
	if x, err := strconv.ParseFloat(text, 64); err == nil {
		return x
	}
	return fallback
}

// lookUpWord returns the meaning of a word; an empty word stands for the zero value.
func lookUpWord[T any](meanings map[string]T, word string) (meaning T, err error) {
	meaning, known := meanings[word]
	if !known && word != "" {
		err = fmt.Errorf("unknown word %q", word)
	}
	return meaning, err
}

func (p *scenarioRunner) step(words []string) error {
	o := parseOptions(words[1:])
	switch words[0] {
	case "set":
		return p.set(o)
	case "class":
		return p.class(words[1], o)
	case "tenant":
		p.settings.Tenants[words[1]], p.settings.OverQuotaWeight = o.number("rate", 0), o.number("over-quota", 0)
		return nil
	case "at":
		p.at(parseNumber(words[1], 0), o.has("paused"))
		return nil
	case "want", "never":
		return p.expect(words[0] == "want", words[1:])
	}
	p.inputsPending = true
	switch words[0] {
	case "list":
		return p.list(words[1:])
	case "arrive":
		return p.arrive(words[1], words[2], o)
	case "ended":
		return p.ended(words[1], words[2], o)
	case "turn":
		p.router.AttemptIdleChanged(words[1], p.lastAttempt[words[1]].Attempt, o.has("idle"), o.has("begun"))
	case "checked":
		return p.checked(words[1], words[2], o)
	case "client-gone":
		p.router.ClientGone(words[1])
	case "peer-report":
		role, err := lookUpWord(roleWords, o["role"])
		p.router.PeerReported(words[1], o.number("started", Never), role, o.number("position", Never))
		return err
	case "hold":
		p.router.HoldWrites(1, parseNumber(words[1], 0))
	case "update":
		return p.update(words[1:], o)
	default:
		return fmt.Errorf("unknown step")
	}
	return nil
}

func (p *scenarioRunner) set(o options) (err error) {
	s := p.settings
	s.Routers = int(o.number("routers", float64(s.Routers)))
	s.MaxAttempts = int(o.number("attempts", float64(s.MaxAttempts)))
	s.RetryAfter = o.number("retry-after", 0)
	s.PollsEndpointList, s.TracksSessionCommits = o.has("polls"), o.has("remembers-commits")
	s.ClientsMarkRetries, s.SoftRemoval = o.has("marks-retries"), o.has("soft-removal")
	s.CanHealthCheck = !o.has("no-checks")
	p.noTraffic = o.has("no-traffic")
	s.LagBehavior, err = lookUpWord(lagWords, o["lag"])
	return err
}

func (p *scenarioRunner) class(name string, o options) error {
	effect, err := lookUpWord(effectWords, o["effect"])
	if err != nil {
		return err
	}
	level, err := lookUpWord(levelWords, o["level"])
	if err != nil {
		return err
	}
	scope, err := lookUpWord(scopeWords, o["scope"])
	p.settings.RequestClasses[name] = &RequestClass{
		LatencyObjective: o.number("objective", 500), Deadline: o.number("deadline", 3000), PriorityWeight: o.number("weight", 1),
		LateWeightShare: o.number("late", 0), Effect: effect, Scope: scope, IdempotencyWindow: o.number("window", 5000),
		Level: level, StalenessBound: o.number("bound", 0)}
	return err
}

func (p *scenarioRunner) at(now float64, paused bool) {
	p.now = now
	if p.router == nil {
		p.router = New(p.settings, 1)
		if !p.noTraffic {
			p.router.activate(p.router.findGroup(1, true))
		}
	}
	if due := p.router.timerDeadline; due < p.now { // the timer fired on time, unless the step says that the router was paused
		if paused {
			due = p.now
		}
		p.router.Advance(due)
	}
	p.router.TimerFired()
	p.router.Advance(p.now)
	p.inputsPending = true
}

func (p *scenarioRunner) arrive(id, class string, o options) error {
	if !p.router.RequestArrived(id, o["tenant"], o["session"], class, int(o.number("group", 1)), o.number("token-age", 0),
		o.number("ttl", 1000), o.has("marked")) {
		return fmt.Errorf("unknown request class")
	}
	if o.has("pinned") {
		p.router.Pin(id, o["pinned"])
	}
	if o.has("members-not-told") {
		p.router.MembersNotTold(id)
	}
	if waited := o.number("waited", 0); waited > 0 {
		p.router.RequestQueued(id, waited)
	}
	return nil
}

func (p *scenarioRunner) ended(id, outcomeWord string, o options) error {
	attempt, sent := p.lastAttempt[id]
	outcome, known := outcomeWords[outcomeWord]
	if !sent || !known {
		return fmt.Errorf("request was not sent, or unknown outcome")
	}
	role, err := lookUpWord(roleWords, o["role"])
	p.router.AttemptEnded(id, attempt.Attempt, outcome, p.now-attempt.Time, o.has("finished") || outcome == Succeeded, role,
		o.number("position", Never))
	return err
}

func (p *scenarioRunner) checked(id, outcomeWord string, o options) error {
	outcome, known := outcomeWords[outcomeWord]
	if !known {
		return fmt.Errorf("unknown outcome")
	}
	p.router.HealthChecked(id, outcome)
	role, err := lookUpWord(roleWords, o["role"])
	if role != RoleUnknown {
		p.router.MemberReported(id, role, o.number("position", Never))
	}
	return err
}

func (p *scenarioRunner) update(words []string, o options) error {
	next := *p.router.settings
	next.RequestClasses, next.Tenants = maps.Clone(next.RequestClasses), maps.Clone(next.Tenants)
	class := next.RequestClasses[words[0]]
	switch {
	case class != nil:
		changed := *class
		changed.PriorityWeight = o.number("weight", class.PriorityWeight)
		changed.LateWeightShare = o.number("late", class.LateWeightShare)
		next.RequestClasses[words[0]] = &changed
	case words[0] != "tenant":
		return fmt.Errorf("unknown request class")
	case o.has("gone"):
		delete(next.Tenants, words[1])
	default:
		next.Tenants[words[1]] = o.number("rate", 0)
	}
	p.router.UpdateSettings(&next)
	return nil
}

func (p *scenarioRunner) list(words []string) error {
	switch words[0] {
	case "failed":
		p.router.ListFailed()
		return nil
	case "complete", "changes":
	default:
		return fmt.Errorf("unknown list %q", words[0])
	}
	p.router.BeginList()
	for _, word := range words[1:] {
		word, started, _ := strings.Cut(word, "@")
		id, stateWord, _ := strings.Cut(word, ":")
		id, group, _ := strings.Cut(id, "/")
		state, err := lookUpWord(stateWords, stateWord)
		if err != nil {
			return err
		}
		p.router.ListMember(id, id[:1], int(parseNumber(group, 1)), state, parseNumber(started, Never))
	}
	p.router.EndList(words[0] == "complete")
	if !p.noTraffic { // as if earlier requests had caused checks of all listed members
		for _, m := range p.router.findGroup(1, true).members {
			m.checkRequested = m.checkRequested || m.lastCheckSent == Never
		}
	}
	return nil
}

// expect searches for a decision with these words, each of which may be a list of alternatives.
func (p *scenarioRunner) expect(want bool, words []string) error {
	for _, action := range strings.Split(words[0], "|") {
		if !slices.Contains(slices.Collect(maps.Values(actionWords)), action) {
			return fmt.Errorf("unknown action %q", action)
		}
	}
	if err := p.pull(); err != nil {
		return err
	}
	found := slices.IndexFunc(p.decisions, func(decision string) bool {
		got := strings.Fields(decision)
		for n, word := range words {
			if n >= len(got) || !slices.Contains(strings.Split(word, "|"), got[n]) {
				return false
			}
		}
		return true
	})
	if want != (found >= 0) {
		return fmt.Errorf("remaining decisions: %s", strings.Join(p.decisions, "; "))
	}
	if want {
		p.decisions = slices.Delete(p.decisions, found, found+1)
	}
	return nil
}

// pull fetches all decisions if inputs have arrived since the last call.
func (p *scenarioRunner) pull() error {
	if !p.inputsPending {
		return nil
	}
	p.inputsPending = false
	p.decisions = p.decisions[:0]
	for n := 0; ; n++ {
		decision, more := p.router.Next()
		if !more {
			return nil
		}
		if n > maxDecisionsAtOnce {
			return fmt.Errorf("more decisions at once than the limit")
		}
		if decision.Action == SendAttempt {
			decision.Attempt, decision.Time = p.attempts[decision.RequestID], p.now
			p.attempts[decision.RequestID]++
			p.lastAttempt[decision.RequestID] = decision
		}
		line := strings.Join(strings.Fields(actionWords[decision.Action]+" "+decision.RequestID+" "+decision.Member), " ")
		if decision.Action == RejectRequest {
			line += fmt.Sprintf(" %.0f", decision.Wait)
		}
		p.decisions = append(p.decisions, line)
	}
}
