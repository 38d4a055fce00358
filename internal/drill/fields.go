package drill

import (
	"fmt"

	"github.com/valyala/fastjson"

	"wayloft/router"
)

// fields reads the fields of one object and keeps the first thing found wrong.
type fields struct {
	v   *fastjson.Value
	err error
}

func (f *fields) fail(key, want string) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: must be %s", key, want)
	}
}

func (f *fields) get(key string) *fastjson.Value {
	v := f.v.Get(key)
	if v != nil && v.Type() == fastjson.TypeNull {
		return nil
	}
	return v
}

func (f *fields) text(key string) string {
	v := f.get(key)
	if v == nil || v.Type() != fastjson.TypeString {
		f.fail(key, "text")
		return ""
	}
	return string(v.GetStringBytes())
}

// maybe reads text that may be absent or 0.
func (f *fields) maybe(key string) string {
	if v := f.get(key); v == nil || v.Type() == fastjson.TypeNumber && v.GetFloat64() == 0 {
		return ""
	}
	return f.text(key)
}

func (f *fields) number(key string) float64 {
	v := f.get(key)
	if v == nil || v.Type() != fastjson.TypeNumber {
		f.fail(key, "a number")
		return 0
	}
	return v.GetFloat64()
}

func (f *fields) orZero(key string) float64 {
	if f.get(key) == nil {
		return 0
	}
	return f.number(key)
}

func (f *fields) flag(key string) bool {
	v := f.get(key)
	if v == nil {
		return false
	}
	if t := v.Type(); t != fastjson.TypeTrue && t != fastjson.TypeFalse {
		f.fail(key, "true or false")
	}
	return v.GetBool()
}

// inner reads an object within the object; its own failures are kept with f's under its key.
func (f *fields) inner(key string, read func(*fields)) {
	v := f.get(key)
	if v == nil || v.Type() != fastjson.TypeObject {
		f.fail(key, "an object")
		return
	}
	in := &fields{v: v}
	read(in)
	if f.err == nil && in.err != nil {
		f.err = fmt.Errorf("%s.%w", key, in.err)
	}
}

func (f *fields) array(key string) []*fastjson.Value {
	v := f.get(key)
	if v == nil || v.Type() != fastjson.TypeArray {
		f.fail(key, "an array")
		return nil
	}
	return v.GetArray()
}

// choice reads a word that decisions rest on.
func choice[T any](f *fields, key string, of map[string]T) T {
	word := f.text(key)
	x, known := of[word]
	if !known && f.err == nil {
		f.err = fmt.Errorf("%s: unknown value %q", key, word)
	}
	return x
}

var (
	effects = map[string]router.Effect{"retryable": router.Repeatable, "dedup": router.Referenced,
		"fragile": router.OnceOnly}
	scopes = map[string]router.Scope{"all": router.ScopeAll, "zone": router.ScopeZone, "cell": router.ScopeGroup}
	levels = map[string]router.Level{"any": router.Any, "bounded": router.Bounded, "session": router.Session,
		"fresh": router.Fresh, "write": router.Write}
	lags = map[string]router.Lag{"silent": router.LagAnswers, "refuse": router.LagRefuses,
		"wait": router.LagWaits}
	asks = map[string]bool{"push": false, "ask": true}
	own  = map[string]bool{"carried": false, "remembered": true}
)

// settings decodes what an instance is born with, and the clock time from which positions are counted.
func settings(facts *fastjson.Value) (*router.Settings, float64, error) {
	f := &fields{v: facts}
	set := &router.Settings{Routers: int(f.number("balancers")), Zone: f.maybe("locality"),
		OverShareValue: f.orZero("overShareWorth"), TxnTypes: map[string]*router.TxnType{},
		Tenants: map[string]float64{}}
	set.Ask = choice(f, "discovery", asks)
	if f.get("clientHabits") != nil {
		f.inner("clientHabits", func(c *fields) { set.MarksRepeats = c.flag("marksRetry") })
	}
	f.inner("contract", func(c *fields) {
		set.AskWithin = c.orZero("askWithin") / 1000
		set.SoftRemoval = c.flag("softRemoval")
		set.ColdFrom = c.number("coldFrom")
		set.WarmUp = c.number("warmUp") / 1000
		set.FallMultiple = c.number("fallMultiple")
		set.FallWindow = c.number("overloadFor") / 1000
	})
	f.inner("permissions", func(c *fields) {
		set.Submissions = int(c.number("attemptsCap"))
		set.CanCheck, set.CanRevoke = c.flag("probes"), c.flag("cancel")
		if c.flag("retryAfter") {
			set.RetryAfter = c.orZero("maxRetryAfter") / 1000
		}
	})
	zero := 0.0
	var reads, bounds []*fastjson.Value
	f.inner("familyInfo", func(c *fields) {
		set.Lag = choice(c, "serverChecks", lags)
		set.Remembered = choice(c, "tokenMode", own)
		zero = c.number("countedFrom") / 1000
		reads, bounds = c.array("readLevel"), c.array("classBound")
	})
	for n, row := range f.array("profiles") {
		c := &fields{v: row}
		kind := &router.TxnType{SLA: c.number("target") / 1000, Expiry: c.number("deadline") / 1000,
			Value: c.number("worth"), LateValue: c.orZero("lateWorth"), Window: c.orZero("window") / 1000}
		if kind.Effect = choice(c, "idempotency", effects); kind.Effect == router.Referenced {
			kind.Scope = choice(c, "group", scopes)
		}
		if c.err == nil && (n >= len(reads) || n >= len(bounds)) {
			return nil, 0, fmt.Errorf("familyInfo.readLevel, classBound: nothing for profiles[%d]", n)
		}
		if c.err == nil {
			level, known := levels[string(reads[n].GetStringBytes())]
			if !known {
				return nil, 0, fmt.Errorf("familyInfo.readLevel: unknown value %s", reads[n])
			}
			kind.Level, kind.Bound = level, bounds[n].GetFloat64()/1000
		}
		set.TxnTypes[c.text("name")] = kind
		if c.err != nil {
			return nil, 0, fmt.Errorf("profiles[%d].%w", n, c.err)
		}
	}
	if f.get("orgs") != nil {
		for n, row := range f.array("orgs") {
			c := &fields{v: row}
			set.Tenants[c.text("name")] = c.number("quotaRps")
			if c.err != nil {
				return nil, 0, fmt.Errorf("orgs[%d].%w", n, c.err)
			}
		}
	}
	return set, zero, f.err
}
