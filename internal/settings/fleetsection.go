package settings

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Fleet is the section of a router's file for what concerns all routers, and for the coordinator.
type Fleet struct {
	Routers           int      `toml:"routers"`
	Zone              string   `toml:"zone"`
	LaggingReads      string   `toml:"lagging_reads"` // what a member does with a read for which its replication lag is too large
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
	CheckUser         string   `toml:"check_user"`     // of health checks
	CheckDatabase     string   `toml:"check_database"` // of health checks

	// The fields below need the coordinator.
	Name                string            `toml:"name"`
	Coordinators        []string          `toml:"council"` // addresses; without any, the router works without a coordinator
	ReceiverListen      string            `toml:"orders"`  // address on which orders of lease holders are received
	ReceiverAddress     string            `toml:"orders_address"`
	SessionTimeout      Duration          `toml:"session"`
	SafetyMargin        Duration          `toml:"margin"`
	HealthShareInterval Duration          `toml:"sight"` // between two health checks of a member by the lease holder; 0: the router acquires no such lease
	Switchover          *Switchover       `toml:"handover"`
	MaxWriteHold        Duration          `toml:"most_held"` // longest write hold at this router for one switchover
	PeerAddresses       map[string]string `toml:"via"`       // by process name, in place of the addresses that the cluster knows
	AuditLog            string            `toml:"record"`
	PolicyDir           string            `toml:"policy_folder"` // where the policy is stored for the next start; empty: not stored
	ClockOffset         Duration          `toml:"clock_ahead"`   // added to this process's clock, for tests
}

// Switchover configures how the holder of a switchover lease changes a group's primary.
type Switchover struct {
	MaxHold      Duration `toml:"hold"` // longest write hold at the routers
	DrainTimeout Duration `toml:"wait"` // part of MaxHold in which running writes may end
	StepTimeout  Duration `toml:"step"` // time limit of one statement
	User         string   `toml:"user"`
	Database     string   `toml:"database"`
	Primary      string   `toml:"primary"`
	Guard        string   `toml:"guard"`
	Seen         string   `toml:"seen"`
	StepDown     string   `toml:"yield"`
	Promote      string   `toml:"take"`
}

// Defaults and bounds of a section that names the coordinator.
const (
	defaultFleetName                    = "fleet"
	defaultSessionTimeoutMs    Duration = 2000
	defaultMaxWriteHoldMs      Duration = 5000
	defaultSwitchoverHoldMs    Duration = 3000
	defaultSwitchoverStepMs    Duration = 1000
	sessionTimeoutPerMargin             = 10
	switchoverHoldPerWait               = 3
	minSessionTimeoutMs        Duration = 200
	maxSessionTimeoutMs        Duration = 60_000
	minSessionTimeoutPerMargin          = 2
)

// guardTokenParameter is the parameter of the guard statement that stands for the fencing token.
const guardTokenParameter = "$1"

// complete applies the defaults, and returns an error if the section contradicts itself.
func (f *Fleet) complete() error {
	if len(f.Coordinators) == 0 {
		if f.ReceiverListen != "" || f.HealthShareInterval > 0 || f.Switchover != nil || f.Name != "" || f.PolicyDir != "" {
			return errors.New("fleet.council: must be given where any of name, orders, sight, handover and policy_folder is")
		}
		return nil
	}
	if err := f.checkAddresses(); err != nil {
		return err
	}
	f.Name = cmp.Or(f.Name, defaultFleetName)
	f.SessionTimeout.setDefault(defaultSessionTimeoutMs)
	f.SafetyMargin.setDefault(f.SessionTimeout / sessionTimeoutPerMargin)
	f.MaxWriteHold.setDefault(defaultMaxWriteHoldMs)
	if f.SessionTimeout < minSessionTimeoutMs || f.SessionTimeout > maxSessionTimeoutMs ||
		f.SafetyMargin >= f.SessionTimeout/minSessionTimeoutPerMargin {
		return errors.New("fleet: session must be from 200ms to 1m, margin less than half of it")
	}
	if f.Switchover == nil {
		return nil
	}
	f.Switchover.setDefaults(f.CheckUser, f.CheckDatabase)
	return f.Switchover.check()
}

func (f *Fleet) checkAddresses() error {
	for n, address := range f.Coordinators {
		if err := CheckAddress(fmt.Sprintf("fleet.council[%d]", n), address); err != nil {
			return err
		}
	}
	if err := checkPeerAddresses("fleet.via", f.PeerAddresses); err != nil {
		return err
	}
	return CheckAddress("fleet.orders", f.ReceiverListen)
}

// checkPeerAddresses checks a table of addresses by process name.
func checkPeerAddresses(table string, addresses map[string]string) error {
	for _, name := range slices.Sorted(maps.Keys(addresses)) {
		if err := CheckAddress(table+"."+name, addresses[name]); err != nil {
			return err
		}
	}
	return nil
}

func (s *Switchover) setDefaults(user, database string) {
	s.MaxHold.setDefault(defaultSwitchoverHoldMs)
	s.DrainTimeout.setDefault(s.MaxHold / switchoverHoldPerWait)
	s.StepTimeout.setDefault(defaultSwitchoverStepMs)
	s.User = cmp.Or(s.User, user)
	s.Database = cmp.Or(s.Database, database)
}

func (s *Switchover) check() error {
	for _, statement := range []struct{ key, text string }{
		{"primary", s.Primary},
		{"guard", s.Guard},
		{"seen", s.Seen},
		{"yield", s.StepDown},
		{"take", s.Promote},
	} {
		if statement.text == "" {
			return fmt.Errorf("fleet.handover.%s: the statement must be given", statement.key)
		}
	}
	if !strings.Contains(s.Guard, guardTokenParameter) {
		return errors.New("fleet.handover.guard: must name $1, the fence: without it nothing keeps a former owner's step from running late")
	}
	return nil
}
