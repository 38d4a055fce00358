// Package settings decodes what a router is born with, for the bench's wire and for the real router alike. It owns
// the reading of JSON fields and the names and units in which settings come; it must never decide anything nor
// supply a value that was not given.
package settings

import (
	"fmt"

	"github.com/valyala/fastjson"

	"wayloft/router"
)

// Fields reads the fields of one object and keeps the first thing found wrong.
type Fields struct {
	Value *fastjson.Value
	Err   error
}

func (f *Fields) Fail(key, want string) {
	if f.Err == nil {
		f.Err = fmt.Errorf("%s: must be %s", key, want)
	}
}

func (f *Fields) Get(key string) *fastjson.Value {
	v := f.Value.Get(key)
	if v != nil && v.Type() == fastjson.TypeNull {
		return nil
	}
	return v
}

func (f *Fields) Text(key string) string {
	v := f.Get(key)
	if v == nil || v.Type() != fastjson.TypeString {
		f.Fail(key, "text")
		return ""
	}
	return string(v.GetStringBytes())
}

// OptionalText reads text that may be absent or 0.
func (f *Fields) OptionalText(key string) string {
	if v := f.Get(key); v == nil || v.Type() == fastjson.TypeNumber && v.GetFloat64() == 0 {
		return ""
	}
	return f.Text(key)
}

func (f *Fields) Number(key string) float64 {
	v := f.Get(key)
	if v == nil || v.Type() != fastjson.TypeNumber {
		f.Fail(key, "a number")
		return 0
	}
	return v.GetFloat64()
}

func (f *Fields) OptionalNumber(key string) float64 {
	if f.Get(key) == nil {
		return 0
	}
	return f.Number(key)
}

func (f *Fields) Bool(key string) bool {
	v := f.Get(key)
	if v == nil {
		return false
	}
	if t := v.Type(); t != fastjson.TypeTrue && t != fastjson.TypeFalse {
		f.Fail(key, "true or false")
	}
	return v.GetBool()
}

// Object reads an object within the object; its own failures are kept with f's under its key.
func (f *Fields) Object(key string, read func(*Fields)) {
	v := f.Get(key)
	if v == nil || v.Type() != fastjson.TypeObject {
		f.Fail(key, "an object")
		return
	}
	in := &Fields{Value: v}
	read(in)
	if f.Err == nil && in.Err != nil {
		f.Err = fmt.Errorf("%s.%w", key, in.Err)
	}
}

func (f *Fields) Array(key string) []*fastjson.Value {
	v := f.Get(key)
	if v == nil || v.Type() != fastjson.TypeArray {
		f.Fail(key, "an array")
		return nil
	}
	return v.GetArray()
}

// choice reads a word that decisions rest on.
func choice[T any](f *Fields, key string, of map[string]T) T {
	word := f.Text(key)
	x, known := of[word]
	if !known && f.Err == nil {
		f.Err = fmt.Errorf("%s: unknown value %q", key, word)
	}
	return x
}

var (
	effects = map[string]router.Effect{"retryable": router.Idempotent, "dedup": router.IdempotentWithKey,
		"fragile": router.NonIdempotent}
	scopes = map[string]router.Scope{"all": router.ScopeAll, "zone": router.ScopeZone, "cell": router.ScopeGroup}
	levels = map[string]router.Level{"any": router.Any, "bounded": router.Bounded, "session": router.Session,
		"fresh": router.Fresh, "write": router.Write}
	lags = map[string]router.Lag{"silent": router.LagAnswers, "refuse": router.LagRefuses,
		"wait": router.LagWaits}
	asks = map[string]bool{"push": false, "ask": true}
	own  = map[string]bool{"carried": false, "remembered": true}
)

// Runtime is what the settings hold for the host alone; times are milliseconds.
type Runtime struct {
	PositionOrigin      float64 // the bench's clock time from which positions are counted
	DialTimeoutMs       float64
	ServerIdleTimeoutMs float64 // when a member closes an idle connection
	HealthReports       bool    // members report on themselves when checked
}

// Decode decodes what an instance is born with.
func Decode(facts *fastjson.Value) (*router.Settings, *Runtime, error) {
	f := &Fields{Value: facts}
	host := &Runtime{}
	set := &router.Settings{Routers: int(f.Number("balancers")), Zone: f.OptionalText("locality"),
		OverQuotaWeight: f.OptionalNumber("overShareWorth"), RequestClasses: map[string]*router.RequestClass{},
		Tenants: map[string]float64{}}
	set.PollsList = choice(f, "discovery", asks)
	if f.Get("clientHabits") != nil {
		f.Object("clientHabits", func(c *Fields) { set.ClientsMarkRetries = c.Bool("marksRetry") })
	}
	f.Object("contract", func(c *Fields) {
		if set.ListPollTimeout = c.OptionalNumber("askWithin") / 1000; set.PollsList && set.ListPollTimeout <= 0 {
			c.Fail("askWithin", "more than 0 where lists are asked for")
		}
		set.SoftRemoval = c.Bool("softRemoval")
		set.SlowStartFloor = c.Number("coldFrom")
		set.SlowStartDuration = c.Number("warmUp") / 1000
		set.OverloadMultiple = c.Number("fallMultiple")
		set.OverloadWindow = c.Number("overloadFor") / 1000
	})
	f.Object("permissions", func(c *Fields) {
		set.MaxAttempts = int(c.Number("attemptsCap"))
		set.CanHealthCheck, set.CanCancel = c.Bool("probes"), c.Bool("cancel")
		if c.Bool("retryAfter") {
			set.RetryAfter = c.OptionalNumber("maxRetryAfter") / 1000
		}
		host.DialTimeoutMs, host.ServerIdleTimeoutMs = c.OptionalNumber("dialTimeout")/1000, c.OptionalNumber("idleClose")/1000
	})
	if f.Get("report") != nil {
		f.Object("report", func(c *Fields) { host.HealthReports = len(c.Array("columns")) > 0 })
	}
	var reads, bounds []*fastjson.Value
	f.Object("familyInfo", func(c *Fields) {
		set.Lag = choice(c, "serverChecks", lags)
		set.RemembersCommits = choice(c, "tokenMode", own)
		host.PositionOrigin = c.Number("countedFrom") / 1000
		reads, bounds = c.Array("readLevel"), c.Array("classBound")
	})
	for n, row := range f.Array("profiles") {
		c := &Fields{Value: row}
		kind := &router.RequestClass{LatencyObjective: c.Number("target") / 1000, Deadline: c.Number("deadline") / 1000,
			PriorityWeight: c.Number("worth"), LateWeightShare: c.OptionalNumber("lateWorth"), IdempotencyWindow: c.OptionalNumber("window") / 1000}
		if kind.Effect = choice(c, "idempotency", effects); kind.Effect == router.IdempotentWithKey {
			kind.Scope = choice(c, "group", scopes)
		}
		if c.Err == nil && (n >= len(reads) || n >= len(bounds)) {
			return nil, nil, fmt.Errorf("familyInfo.readLevel, classBound: nothing for profiles[%d]", n)
		}
		if c.Err == nil {
			level, known := levels[string(reads[n].GetStringBytes())]
			if !known {
				return nil, nil, fmt.Errorf("familyInfo.readLevel: unknown value %s", reads[n])
			}
			kind.Level, kind.StalenessBound = level, bounds[n].GetFloat64()/1000
		}
		set.RequestClasses[c.Text("name")] = kind
		if c.Err != nil {
			return nil, nil, fmt.Errorf("profiles[%d].%w", n, c.Err)
		}
	}
	if f.Get("orgs") != nil {
		for n, row := range f.Array("orgs") {
			c := &Fields{Value: row}
			set.Tenants[c.Text("name")] = c.Number("quotaRps")
			if c.Err != nil {
				return nil, nil, fmt.Errorf("orgs[%d].%w", n, c.Err)
			}
		}
	}
	return set, host, f.Err
}
