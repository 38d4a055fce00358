package settings

import (
	"fmt"

	"github.com/valyala/fastjson"

	"wayloft/router"
)

// microsecondsPerMs converts the platform's times, in microseconds, to ms.
const microsecondsPerMs = 1000

// ConnectionSettings has the settings for connections and health checks, which the decision module doesn't need.
type ConnectionSettings struct {
	PositionOrigin      float64 // the time in ms from which the platform measures positions
	DialTimeoutMs       float64
	ServerIdleTimeoutMs float64 // after which a member closes an idle connection
	HealthReports       bool    // members report their role and position in health checks
}

// platformDecoder decodes settings in the platform's JSON. Their keys are translated only here.
type platformDecoder struct {
	settings *router.Settings
	runtime  *ConnectionSettings

	// Indexed like profiles, the array of request classes.
	levels          []*fastjson.Value
	stalenessBounds []*fastjson.Value
}

// DecodePlatform decodes settings in the platform's JSON. Its error names the field at fault.
func DecodePlatform(object *fastjson.Value) (*router.Settings, *ConnectionSettings, error) {
	f := &Fields{Value: object}
	d := &platformDecoder{
		settings: &router.Settings{RequestClasses: map[string]*router.RequestClass{}, Tenants: map[string]float64{}},
		runtime:  &ConnectionSettings{},
	}
	d.decodeFleet(f)
	f.Object("contract", d.decodeContract)
	f.Object("permissions", d.decodePermissions)
	f.OptionalObject("report", func(report *Fields) { d.runtime.HealthReports = len(report.Array("columns")) > 0 })
	f.Object("familyInfo", d.decodeConsistency)
	if err := d.decodeRequestClasses(f.Array("profiles")); err != nil {
		return nil, nil, err
	}
	if f.Get("orgs") != nil {
		if err := d.decodeTenants(f.Array("orgs")); err != nil {
			return nil, nil, err
		}
	}
	return d.settings, d.runtime, f.Err
}

// decodeFleet decodes the fields of the top-level object.
func (d *platformDecoder) decodeFleet(f *Fields) {
	d.settings.Routers = int(f.Number("balancers"))
	d.settings.Zone = f.OptionalText("locality")
	d.settings.OverQuotaWeight = f.OptionalNumber("overShareWorth")
	d.settings.PollsEndpointList = platformKeyword(f, "discovery", listPolling)
	f.OptionalObject("clientHabits", func(habits *Fields) { d.settings.ClientsMarkRetries = habits.Bool("marksRetry") })
}

// decodeContract decodes what a router may rely on about the endpoint list and about starting members.
func (d *platformDecoder) decodeContract(f *Fields) {
	d.settings.ListPollTimeout = f.OptionalNumber("askWithin") / microsecondsPerMs
	if d.settings.PollsEndpointList && d.settings.ListPollTimeout <= 0 {
		f.Fail("askWithin", "more than 0 where the endpoint list is polled")
	}
	d.settings.SoftRemoval = f.Bool("softRemoval")
	d.settings.SlowStartFloor = f.Number("coldFrom")
	d.settings.SlowStartDuration = f.Number("warmUp") / microsecondsPerMs
	d.settings.OverloadMultiple = f.Number("fallMultiple")
	d.settings.OverloadWindow = f.Number("overloadFor") / microsecondsPerMs
}

// decodePermissions decodes what a router may do.
func (d *platformDecoder) decodePermissions(f *Fields) {
	d.settings.MaxAttempts = int(f.Number("attemptsCap"))
	d.settings.CanHealthCheck = f.Bool("probes")
	d.settings.CanCancel = f.Bool("cancel")
	if f.Bool("retryAfter") {
		d.settings.RetryAfter = f.OptionalNumber("maxRetryAfter") / microsecondsPerMs
	}
	d.runtime.DialTimeoutMs = f.OptionalNumber("dialTimeout") / microsecondsPerMs
	d.runtime.ServerIdleTimeoutMs = f.OptionalNumber("idleClose") / microsecondsPerMs
}

// decodeConsistency decodes what lagging members do with reads, how commits are tracked, and the consistency of the request classes.
func (d *platformDecoder) decodeConsistency(f *Fields) {
	d.settings.LagBehavior = platformKeyword(f, "serverChecks", platformLags)
	d.settings.TracksSessionCommits = platformKeyword(f, "tokenMode", commitMemory)
	d.runtime.PositionOrigin = f.Number("countedFrom") / microsecondsPerMs
	d.levels = f.Array("readLevel")
	d.stalenessBounds = f.Array("classBound")
}

func (d *platformDecoder) decodeRequestClasses(profiles []*fastjson.Value) error {
	for n, profile := range profiles {
		f := &Fields{Value: profile}
		class := decodeRequestClass(f)
		if f.Err == nil {
			if err := d.setConsistency(class, n); err != nil {
				return err
			}
		}
		d.settings.RequestClasses[f.Text("name")] = class
		if f.Err != nil {
			return fmt.Errorf("profiles[%d].%w", n, f.Err)
		}
	}
	return nil
}

func decodeRequestClass(f *Fields) *router.RequestClass {
	class := &router.RequestClass{
		LatencyObjective:  f.Number("target") / microsecondsPerMs,
		Deadline:          f.Number("deadline") / microsecondsPerMs,
		PriorityWeight:    f.Number("worth"),
		LateWeightShare:   f.OptionalNumber("lateWorth"),
		IdempotencyWindow: f.OptionalNumber("window") / microsecondsPerMs,
		Effect:            platformKeyword(f, "idempotency", platformEffects),
	}
	if class.Effect == router.IdempotentWithKey {
		class.Scope = platformKeyword(f, "group", platformScopes)
	}
	return class
}

// setConsistency sets the consistency level and staleness bound of the request class at this index of profiles.
func (d *platformDecoder) setConsistency(class *router.RequestClass, index int) error {
	if index >= len(d.levels) || index >= len(d.stalenessBounds) {
		return fmt.Errorf("familyInfo.readLevel, classBound: no entry for profiles[%d]", index)
	}
	level, known := levels[string(d.levels[index].GetStringBytes())]
	if !known {
		return fmt.Errorf("familyInfo.readLevel: unknown value %s", d.levels[index])
	}
	class.Level = level
	class.StalenessBound = d.stalenessBounds[index].GetFloat64() / microsecondsPerMs
	return nil
}

func (d *platformDecoder) decodeTenants(orgs []*fastjson.Value) error {
	for n, org := range orgs {
		f := &Fields{Value: org}
		d.settings.Tenants[f.Text("name")] = f.Number("quotaRps")
		if f.Err != nil {
			return fmt.Errorf("orgs[%d].%w", n, f.Err)
		}
	}
	return nil
}
