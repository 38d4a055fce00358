package settings

import (
	"cmp"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"wayloft/internal/decide/connpool"
	"wayloft/internal/decide/session"
	"wayloft/router"
)

// File is our own form, TOML. Every key that it does not know is an error.
type File struct {
	Name           string         `toml:"name"`
	Listen         string         `toml:"listen"`
	Discovery      string         `toml:"discovery"`
	Seed           string         `toml:"seed"`
	Limits         Limits         `toml:"limits"`
	Fleet          Fleet          `toml:"fleet"`
	Members        []Member       `toml:"members"`
	RequestClasses []RequestClass `toml:"txn_types"`
	Tenants        []Tenant       `toml:"tenants"`
	Pools          []Pool         `toml:"pools"`
}

type Limits struct {
	Memory      Size `toml:"memory"`
	Descriptors int  `toml:"descriptors"`
	Sessions    int  `toml:"sessions"`    // of the descriptors
	Connections int  `toml:"connections"` // to members, in all
	PerMember   int  `toml:"connections_per_member"`
}

// Fleet is how members behave; what is not given has a value that harms nobody.
type Fleet struct {
	Routers           int      `toml:"routers"`
	Zone              string   `toml:"zone"`
	LaggingReads      string   `toml:"lagging_reads"`
	HealthReports     bool     `toml:"reports"`
	MaxAttempts       int      `toml:"submissions"`
	RetryAfter        Duration `toml:"retry_after"`
	ListTimeout       Duration `toml:"list_within"`
	ColdFrom          float64  `toml:"cold_from"`
	WarmUp            Duration `toml:"warm_up"`
	ColdMultiple      float64  `toml:"cold_multiple"`
	ColdWindow        Duration `toml:"cold_window"`
	ConnectTimeout    Duration `toml:"connect_within"`
	ServerIdleTimeout Duration `toml:"idle_close"`
	CheckUser         string   `toml:"check_user"`
	CheckDatabase     string   `toml:"check_database"`

	// The fleet's part is off unless coordinator is given.
	Name                string            `toml:"name"`
	Coordinators        []string          `toml:"council"` // addresses
	ReceiverListen      string            `toml:"orders"`  // where this process hears leases' owners
	ReceiverAddress     string            `toml:"orders_address"`
	SessionTimeout      Duration          `toml:"session"`
	SafetyMargin        Duration          `toml:"margin"`
	HealthShareInterval Duration          `toml:"sight"` // between two looks at a member, for who owns health sharing; 0: this process would not
	Switchover          *Switchover       `toml:"handover"`
	MaxWriteHold        Duration          `toml:"most_held"` // that writes wait here for a planned change
	PeerAddresses       map[string]string `toml:"via"`
	AuditLog            string            `toml:"record"`
	PolicyDir           string            `toml:"policy_folder"` // where the policy is kept for the next start; "": nowhere
	ClockOffset         Duration          `toml:"clock_ahead"`
}

// Switchover is how a planned change of a group's primary is done, for a process that would do it.
type Switchover struct {
	Hold     Duration `toml:"hold"` // that routers are asked to have writes wait
	Wait     Duration `toml:"wait"` // of it, for what runs
	Step     Duration `toml:"step"` // for one statement
	User     string   `toml:"user"`
	Database string   `toml:"database"`
	Primary  string   `toml:"primary"`
	Guard    string   `toml:"guard"`
	Seen     string   `toml:"seen"`
	StepDown string   `toml:"yield"`
	Promote  string   `toml:"take"`
}

type Member struct {
	ID      string `toml:"id"`
	Address string `toml:"address"`
	Zone    string `toml:"zone"`
	Group   int    `toml:"group"`
}

type RequestClass struct {
	Name              string   `toml:"name"`
	LatencyObjective  Duration `toml:"sla"`
	Deadline          Duration `toml:"expiry"`
	PriorityWeight    float64  `toml:"value"`
	LateWeight        float64  `toml:"late_value"`
	Effect            string   `toml:"effect"`
	Scope             string   `toml:"scope"`
	IdempotencyWindow Duration `toml:"window"`
	Level             string   `toml:"level"`
	StalenessBound    Duration `toml:"bound"`
}

type Tenant struct {
	Name string  `toml:"name"`
	Rate float64 `toml:"rate"`
}

type Pool struct {
	User              string   `toml:"user"`
	Database          string   `toml:"database"`
	Mode              string   `toml:"form"`
	Read              string   `toml:"read"`
	Write             string   `toml:"write"`
	Group             int      `toml:"group"`
	PerMember         int      `toml:"connections_per_member"`
	Total             int      `toml:"connections"`
	MinIdle           int      `toml:"warm"`
	WaitTimeout       Duration `toml:"wait"`
	IdleTimeout       Duration `toml:"idle"`
	MaxAge            Duration `toml:"age"`
	MaxUses           int      `toml:"uses"`
	IdleInTransaction Duration `toml:"idle_in_transaction"`
	AllowSticky       *bool    `toml:"pins"`
	MaxStatements     int      `toml:"statements"`
	MaxSettings       Size     `toml:"settings"`
}

// Duration is a text like 250ms.
type Duration float64 // ms

func (d *Duration) UnmarshalText(b []byte) error {
	x, err := time.ParseDuration(string(b))
	if err != nil || x < 0 {
		return fmt.Errorf("must be a time like 250ms or 2s, not %q", b)
	}
	*d = Duration(float64(x) / float64(time.Millisecond))
	return nil
}

// Size is a text like 64MiB.
type Size int

var units = []struct {
	name string
	size int
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

func (s *Size) UnmarshalText(b []byte) error {
	for _, u := range units {
		if number, ok := strings.CutSuffix(string(b), u.name); ok {
			if n, err := strconv.Atoi(strings.TrimSpace(number)); err == nil && n >= 0 && n <= 1<<40/u.size {
				*s = Size(n * u.size)
				return nil
			}
			break
		}
	}
	return fmt.Errorf("must be a size like 64MiB or 16KiB, not %q", b)
}

// PoolSettings are a file's pools, as the parts of a router need them.
type PoolSettings struct {
	Name, User, Database string
	StatementMode        bool // the platform's form
	Policy               session.Policy
	Bounds               connpool.Bounds
	Group                int
}

// UnlabelledClass is the request class of what nothing tells: once-only, and for the primary.
const UnlabelledClass = "unlabelled"

// wrong names the place of a mistake in a file.
func wrong(err error) error {
	var unknown *toml.StrictMissingError
	var bad *toml.DecodeError
	switch {
	case errors.As(err, &unknown) && len(unknown.Errors) > 0:
		line, _ := unknown.Errors[0].Position()
		return fmt.Errorf("line %d: %s: no such key", line, strings.Join(unknown.Errors[0].Key(), "."))
	case errors.As(err, &bad):
		line, _ := bad.Position()
		if key := strings.Join(bad.Key(), "."); key != "" {
			return fmt.Errorf("line %d: %s: %s", line, key, strings.TrimPrefix(bad.Error(), "toml: "))
		}
		return fmt.Errorf("line %d: %s", line, strings.TrimPrefix(bad.Error(), "toml: "))
	}
	return err
}

// Read decodes a file and says what is wrong with it.
func Read(text []byte) (*File, error) {
	f := &File{}
	d := toml.NewDecoder(strings.NewReader(string(text)))
	d.DisallowUnknownFields()
	if err := d.Decode(f); err != nil {
		return nil, wrong(err)
	}
	return f, f.check()
}

func word[T any](of map[string]T, key, value, otherwise string) (T, error) {
	x, known := of[cmp.Or(value, otherwise)]
	if !known {
		return x, fmt.Errorf("%s: unknown value %q", key, value)
	}
	return x, nil
}

var (
	fileEffects = map[string]router.Effect{"repeatable": router.Idempotent, "referenced": router.IdempotentWithKey,
		"once-only": router.NonIdempotent}
	fileScopes = map[string]router.Scope{"all": router.ScopeAll, "zone": router.ScopeZone, "group": router.ScopeGroup}
	fileLags   = map[string]router.Lag{"answers": router.LagAnswers, "refuses": router.LagRefuses, "waits": router.LagWaits}
	forms      = map[string]bool{"transaction": false, "session": true, "platform": false}
)

// fleet fills in what is not given of the fleet's part, and says what is wrong with it.
func (f *Fleet) check() error {
	if len(f.Coordinators) == 0 {
		if f.ReceiverListen != "" || f.HealthShareInterval > 0 || f.Switchover != nil || f.Name != "" || f.PolicyDir != "" {
			return errors.New("fleet.council: must be given where any of name, orders, sight, handover and policy_folder is")
		}
		return nil
	}
	for n, a := range f.Coordinators {
		if err := address(fmt.Sprintf("fleet.council[%d]", n), a); err != nil {
			return err
		}
	}
	for name, a := range f.PeerAddresses {
		if err := address("fleet.via."+name, a); err != nil {
			return err
		}
	}
	if err := address("fleet.orders", f.ReceiverListen); err != nil {
		return err
	}
	or := func(d *Duration, otherwise float64) { *d = Duration(cmp.Or(float64(*d), otherwise)) }
	f.Name = cmp.Or(f.Name, "fleet")
	or(&f.SessionTimeout, 2000)
	or(&f.SafetyMargin, float64(f.SessionTimeout)/10)
	or(&f.MaxWriteHold, 5000)
	if f.SessionTimeout < 200 || f.SessionTimeout > 60000 || f.SafetyMargin >= f.SessionTimeout/2 {
		return errors.New("fleet: session must be from 200ms to 1m, margin less than half of it")
	}
	h := f.Switchover
	if h == nil {
		return nil
	}
	or(&h.Hold, 3000)
	or(&h.Wait, float64(h.Hold)/3)
	or(&h.Step, 1000)
	h.User, h.Database = cmp.Or(h.User, f.CheckUser), cmp.Or(h.Database, f.CheckDatabase)
	for key, text := range map[string]string{"primary": h.Primary, "guard": h.Guard, "seen": h.Seen, "yield": h.StepDown, "take": h.Promote} {
		if text == "" {
			return fmt.Errorf("fleet.handover.%s: the statement must be given", key)
		}
	}
	if !strings.Contains(h.Guard, "$1") {
		return errors.New("fleet.handover.guard: must name $1, the fence: without it nothing keeps a former owner's step from running late")
	}
	return nil
}

func (f *File) check() error {
	if err := f.Fleet.check(); err != nil {
		return err
	}
	if f.Limits.Descriptors <= 0 || f.Limits.Memory <= 0 {
		return errors.New("limits: memory and descriptors must be given")
	}
	if f.Limits.Sessions <= 0 || f.Limits.Connections <= 0 || f.Limits.Sessions+f.Limits.Connections > f.Limits.Descriptors {
		return errors.New("limits: sessions and connections must be given, and together fit the descriptors")
	}
	types := map[string]bool{UnlabelledClass: true}
	for n, t := range f.RequestClasses {
		if t.Name == "" || types[t.Name] {
			return fmt.Errorf("txn_types[%d]: name: must be given, and only once", n)
		}
		types[t.Name] = true
		if t.LatencyObjective <= 0 || t.Deadline < t.LatencyObjective {
			return fmt.Errorf("txn_types[%d]: %s: sla must be more than 0, expiry not less", n, t.Name)
		}
	}
	ids := map[string]bool{}
	for n, m := range f.Members {
		if m.ID == "" || ids[m.ID] || m.Address == "" {
			return fmt.Errorf("members[%d]: id and address must be given, an id only once", n)
		}
		ids[m.ID] = true
	}
	names := map[string]bool{}
	for n, p := range f.Pools {
		name := p.User + "/" + p.Database
		if p.Database == "" || names[name] {
			return fmt.Errorf("pools[%d]: database: must be given, and once for a user", n)
		}
		names[name] = true
		if _, err := word(forms, "form", p.Mode, "transaction"); err != nil {
			return fmt.Errorf("pools[%d]: %s: %w", n, name, err)
		}
		for _, t := range []string{p.Read, p.Write} {
			if t != "" && !types[t] {
				return fmt.Errorf("pools[%d]: %s: no txn type %q", n, name, t)
			}
		}
		if p.Mode != "platform" && (p.PerMember <= 0 || p.WaitTimeout <= 0) {
			return fmt.Errorf("pools[%d]: %s: connections_per_member and wait must be more than 0", n, name)
		}
		if p.MinIdle > p.PerMember {
			return fmt.Errorf("pools[%d]: %s: warm: no more than connections_per_member", n, name)
		}
	}
	return nil
}

// Settings gives what the module and the host are born with.
func (f *File) Settings() (*router.Settings, *Runtime, error) {
	fl := f.Fleet
	or := func(x, otherwise float64) float64 { return cmp.Or(x, otherwise) }
	set := &router.Settings{Routers: cmp.Or(fl.Routers, 1), Zone: fl.Zone, ListPollTimeout: or(float64(fl.ListTimeout), 10000),
		SlowStartFloor: or(fl.ColdFrom, 0.2), SlowStartDuration: or(float64(fl.WarmUp), 10000), OverloadMultiple: or(fl.ColdMultiple, 2.5),
		OverloadWindow: or(float64(fl.ColdWindow), 2000), MaxAttempts: cmp.Or(fl.MaxAttempts, 6), CanHealthCheck: true, CanCancel: true,
		RetryAfter: or(float64(fl.RetryAfter), 1000), RequestClasses: map[string]*router.RequestClass{}, Tenants: map[string]float64{}}
	host := &Runtime{DialTimeoutMs: or(float64(fl.ConnectTimeout), 1000), ServerIdleTimeoutMs: or(float64(fl.ServerIdleTimeout), 600000), HealthReports: fl.HealthReports}
	var err error
	if set.Lag, err = word(fileLags, "fleet.lagging_reads", fl.LaggingReads, "answers"); err != nil {
		return nil, nil, err
	}
	for _, t := range f.RequestClasses {
		kind := &router.RequestClass{LatencyObjective: float64(t.LatencyObjective), Deadline: float64(t.Deadline), PriorityWeight: or(t.PriorityWeight, 1), LateWeightShare: t.LateWeight,
			IdempotencyWindow: float64(t.IdempotencyWindow), StalenessBound: float64(t.StalenessBound)}
		var errs [3]error
		kind.Effect, errs[0] = word(fileEffects, "effect", t.Effect, "once-only")
		kind.Scope, errs[1] = word(fileScopes, "scope", t.Scope, "all")
		kind.Level, errs[2] = word(levels, "level", t.Level, "write")
		if err := errors.Join(errs[:]...); err != nil {
			return nil, nil, fmt.Errorf("txn_types: %s: %w", t.Name, err)
		}
		set.RequestClasses[t.Name] = kind
	}
	for _, p := range f.Pools {
		if p.Mode != "platform" && p.Write == "" && set.RequestClasses[UnlabelledClass] == nil {
			set.RequestClasses[UnlabelledClass] = &router.RequestClass{LatencyObjective: 1000, Deadline: 60000, PriorityWeight: 1, LateWeightShare: 0.5, Effect: router.NonIdempotent,
				Level: router.Write}
		}
	}
	for _, t := range f.Tenants {
		set.Tenants[t.Name] = t.Rate
	}
	return set, host, nil
}

// PoolSettings gives the pools.
func (f *File) PoolSettings() (out []PoolSettings) {
	for _, p := range f.Pools {
		one := PoolSettings{Name: p.User + "/" + p.Database, User: p.User, Database: p.Database, StatementMode: p.Mode == "platform", Group: p.Group}
		one.Policy = session.Policy{ReadClass: p.Read, WriteClass: p.Write, AllowSticky: p.AllowSticky == nil || *p.AllowSticky, AlwaysSticky: p.Mode == "session",
			MaxSettingsBytes: cmp.Or(int(p.MaxSettings), 8<<10), MaxStatements: cmp.Or(p.MaxStatements, 1000)}
		one.Bounds = connpool.Bounds{PerMember: p.PerMember, Total: p.Total, MinIdle: p.MinIdle, WaitTimeoutMs: float64(p.WaitTimeout),
			IdleTimeoutMs: cmp.Or(float64(p.IdleTimeout), connpool.StatementBounds(cmp.Or(float64(f.Fleet.ServerIdleTimeout), 600000)).IdleTimeoutMs), MaxAgeMs: float64(p.MaxAge), MaxUses: p.MaxUses,
			IdleInTransactionTimeoutMs: float64(p.IdleInTransaction)}
		out = append(out, one)
	}
	return out
}
