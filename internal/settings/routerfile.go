package settings

import (
	"cmp"
	"errors"
	"fmt"

	"wayloft/router"
)

// RouterFile is the TOML file of a router. Unknown keys are errors.
type RouterFile struct {
	Name           string         `toml:"name"`
	Listen         string         `toml:"listen"`
	Discovery      string         `toml:"discovery"` // address; empty: the members are those in the file
	Seed           string         `toml:"seed"`      // hexadecimal
	Limits         Limits         `toml:"limits"`
	Fleet          Fleet          `toml:"fleet"`
	Members        []Member       `toml:"members"`
	RequestClasses []RequestClass `toml:"txn_types"`
	Tenants        []Tenant       `toml:"tenants"`
	Pools          []Pool         `toml:"pools"`
}

// Limits are the resource limits of one router process.
type Limits struct {
	Memory      Size `toml:"memory"`
	Descriptors int  `toml:"descriptors"`
	Sessions    int  `toml:"sessions"`               // client sessions, one descriptor each
	Connections int  `toml:"connections"`            // connections to members, one descriptor each
	PerMember   int  `toml:"connections_per_member"` // 0: unlimited
}

// Member is a member in the endpoint list that a router starts with.
type Member struct {
	ID      string `toml:"id"`
	Address string `toml:"address"`
	Zone    string `toml:"zone"`
	Group   int    `toml:"group"`
}

// Defaults of a router's file.
const (
	defaultRouters             = 1
	defaultListPollTimeoutMs   = 10_000.
	defaultSlowStartFloor      = 0.2
	defaultSlowStartMs         = 10_000.
	defaultOverloadMultiple    = 2.5
	defaultOverloadWindowMs    = 2000.
	defaultMaxAttempts         = 6
	defaultRetryAfterMs        = 1000.
	defaultDialTimeoutMs       = 1000.
	defaultServerIdleTimeoutMs = 600_000.
)

// ReadRouter decodes and checks a router's file. Its error names the line and key at fault.
func ReadRouter(text []byte) (*RouterFile, error) {
	f := &RouterFile{}
	if err := decodeStrict(text, f); err != nil {
		return nil, err
	}
	return f, f.check()
}

// check applies the defaults of the fleet section, and returns an error if the file is invalid or contradicts itself.
func (f *RouterFile) check() error {
	if err := f.Fleet.complete(); err != nil {
		return err
	}
	if err := f.Limits.check(); err != nil {
		return err
	}
	classes, err := checkRequestClasses(f.RequestClasses)
	if err != nil {
		return err
	}
	if err := checkMembers(f.Members); err != nil {
		return err
	}
	return checkPools(f.Pools, classes)
}

func (l *Limits) check() error {
	if l.Descriptors <= 0 || l.Memory <= 0 {
		return errors.New("limits: memory and descriptors must be given")
	}
	if l.Sessions <= 0 || l.Connections <= 0 || l.Sessions+l.Connections > l.Descriptors {
		return errors.New("limits: sessions and connections must be given, and together fit the descriptors")
	}
	return nil
}

func checkMembers(members []Member) error {
	ids := map[string]bool{}
	for n, member := range members {
		if member.ID == "" || ids[member.ID] || member.Address == "" {
			return fmt.Errorf("members[%d]: id and address must be given, an id only once", n)
		}
		ids[member.ID] = true
	}
	return nil
}

// Settings returns the settings of the decision module, and those for connections and health checks.
func (f *RouterFile) Settings() (*router.Settings, *ConnectionSettings, error) {
	set := &router.Settings{
		Routers:           cmp.Or(f.Fleet.Routers, defaultRouters),
		Zone:              f.Fleet.Zone,
		ListPollTimeout:   cmp.Or(float64(f.Fleet.ListTimeout), defaultListPollTimeoutMs),
		SlowStartFloor:    cmp.Or(f.Fleet.ColdFrom, defaultSlowStartFloor),
		SlowStartDuration: cmp.Or(float64(f.Fleet.WarmUp), defaultSlowStartMs),
		OverloadMultiple:  cmp.Or(f.Fleet.ColdMultiple, defaultOverloadMultiple),
		OverloadWindow:    cmp.Or(float64(f.Fleet.ColdWindow), defaultOverloadWindowMs),
		MaxAttempts:       cmp.Or(f.Fleet.MaxAttempts, defaultMaxAttempts),
		CanHealthCheck:    true,
		CanCancel:         true,
		RetryAfter:        cmp.Or(float64(f.Fleet.RetryAfter), defaultRetryAfterMs),
		RequestClasses:    map[string]*router.RequestClass{},
		Tenants:           map[string]float64{},
	}
	runtime := &ConnectionSettings{
		DialTimeoutMs:       cmp.Or(float64(f.Fleet.ConnectTimeout), defaultDialTimeoutMs),
		ServerIdleTimeoutMs: f.serverIdleTimeoutMs(),
		HealthReports:       f.Fleet.HealthReports,
	}
	var err error
	if set.LagBehavior, err = keyword(fileLags, "fleet.lagging_reads", f.Fleet.LaggingReads, "answers"); err != nil {
		return nil, nil, err
	}
	for _, class := range f.RequestClasses {
		if set.RequestClasses[class.Name], err = class.settings(); err != nil {
			return nil, nil, err
		}
	}
	if needsUnlabelledClass(f.Pools) && set.RequestClasses[UnlabelledClass] == nil {
		set.RequestClasses[UnlabelledClass] = newUnlabelledClass()
	}
	for _, tenant := range f.Tenants {
		set.Tenants[tenant.Name] = tenant.Rate
	}
	return set, runtime, nil
}

// serverIdleTimeoutMs is the time in ms after which a member closes an idle connection.
func (f *RouterFile) serverIdleTimeoutMs() float64 {
	return cmp.Or(float64(f.Fleet.ServerIdleTimeout), defaultServerIdleTimeoutMs)
}
