package server

import (
	"cmp"
	"context"
	"encoding/hex"
	"fmt"
	"net"
	"os/signal"
	"syscall"

	"wayloft/internal/audit"
	"wayloft/internal/decide/healthshare"
	"wayloft/internal/decide/policy"
	"wayloft/internal/decide/switchover"
	"wayloft/internal/discovery"
	"wayloft/internal/eventloop"
	"wayloft/internal/fleet"
	"wayloft/internal/settings"
	"wayloft/router"
)

// auditPolicyApplied is the audit log event for a policy that the router has applied. Checkers read it.
const auditPolicyApplied = "takes"

// fleetNode connects a router to its fleet. It implements fleet.Router, whose methods other than Post are called on the event loop.
// Their times are on the cluster clock, because processes exchange them.
type fleetNode struct {
	driver      *eventloop.Driver
	startTimes  *eventloop.StartTimes
	node        *fleet.Node
	leave       context.CancelFunc         // starts leaving the fleet
	members     map[string]discovery.Entry // members that are up, by id
	ownSettings *router.Settings           // from the router's own file; the policy overrides them
	auditLog    *audit.Log
}

// joinFleet joins the fleet, if the configuration names one.
func (s *server) joinFleet() error {
	if s.config.fleet == nil {
		return nil
	}
	listener, err := net.Listen("tcp", s.config.fleet.ReceiverListen)
	if err != nil {
		return fmt.Errorf("fleet.orders: %w", err)
	}
	auditLog, err := audit.Open(s.config.fleet.AuditLog, s.config.Name)
	if err != nil {
		_ = listener.Close() // the error of audit.Open is the one to return
		return fmt.Errorf("fleet.record: %w", err)
	}
	ctx, leave := context.WithCancel(context.Background())
	f := &fleetNode{
		driver:      s.driver,
		startTimes:  s.startTimes,
		leave:       leave,
		members:     map[string]discovery.Entry{},
		ownSettings: s.config.Router,
		auditLog:    auditLog,
	}
	f.node = fleet.New(fleetSettings(s.config, listener.Addr().String(), auditLog), f)
	s.fleet = f
	s.driver.OnReport(f.report)
	go f.node.Run(ctx, listener)
	return nil
}

// fleetSettings returns the settings of the fleet node. listenAddress is the address on which it receives orders.
func fleetSettings(config *Config, listenAddress string, auditLog *audit.Log) fleet.Settings {
	f := config.fleet
	nodeSettings := fleet.Settings{
		Fleet:               f.Name,
		Name:                config.Name,
		Kind:                "router",
		Coordinators:        f.Coordinators,
		AddressOverrides:    f.PeerAddresses,
		ListenAddress:       f.ReceiverListen,
		Address:             cmp.Or(f.ReceiverAddress, listenAddress),
		SessionTimeoutMs:    float64(f.SessionTimeout),
		SafetyMarginMs:      float64(f.SafetyMargin),
		HealthSharePeriodMs: float64(f.HealthShareInterval),
		MaxHoldMs:           float64(f.MaxWriteHold),
		ClockOffsetMs:       float64(f.ClockOffset),
		AuditLog:            auditLog,
	}
	if f.Switchover != nil {
		nodeSettings.SwitchoverEnabled = true
		nodeSettings.Switchover = switchover.Settings{
			MaxHoldMs:      float64(f.Switchover.MaxHold),
			DrainTimeoutMs: float64(f.Switchover.DrainTimeout),
			StepTimeoutMs:  float64(f.Switchover.StepTimeout),
		}
		nodeSettings.Adapter = switchoverAdapter(f.Switchover)
	}
	if f.PolicyDir != "" {
		signal.Ignore(syscall.SIGXFSZ) // a write beyond the file size limit then returns an error instead of ending the process
		nodeSettings.Store = &fleet.PolicyStore{Dir: f.PolicyDir, Fleet: f.Name}
	}
	return nodeSettings
}

func switchoverAdapter(s *settings.Switchover) *fleet.Adapter {
	return &fleet.Adapter{
		User:              s.User,
		Database:          s.Database,
		PrimaryQuery:      s.Primary,
		GuardStatement:    s.Guard,
		GuardQuery:        s.Seen,
		StepDownStatement: s.StepDown,
		PromoteStatement:  s.Promote,
		StepTimeoutMs:     float64(s.StepTimeout),
	}
}

// close leaves the fleet, waits for the node to end and closes the audit log.
func (f *fleetNode) close() {
	f.leave()
	<-f.node.Done()
	f.auditLog.Close()
}

// updateMembers records which members of an endpoint list are up.
func (f *fleetNode) updateMembers(list *discovery.List) {
	if list.Complete {
		clear(f.members)
	}
	for _, entry := range list.Entries {
		if entry.State == router.Up {
			f.members[entry.ID] = entry
		} else {
			delete(f.members, entry.ID)
		}
	}
	f.node.GroupsChanged()
}

// report passes the result of a member's health check to the node.
func (f *fleetNode) report(member string, role router.Role, position float64) {
	report := healthshare.Report{
		Member:  member,
		Started: encodeStart(f.members[member].Started),
		Primary: role == router.Primary,
		Replica: role == router.Replica,
		At:      f.driver.ClusterNow(),
	}
	if position != router.Never {
		report.Position = position
	}
	f.node.HealthCheckReported(report)
}

// encodeStart returns a member's start time as it is exchanged within the fleet: 0 stands for long ago.
func encodeStart(start float64) float64 {
	if start == router.Never {
		return 0
	}
	return start
}

// Post implements fleet.Router.
func (f *fleetNode) Post(call func()) { f.driver.Post(call) }

// Now implements fleet.Router.
func (f *fleetNode) Now() float64 { return f.driver.ClusterNow() }

// Groups implements fleet.Router.
func (f *fleetNode) Groups() map[int][]fleet.Member {
	groups := map[int][]fleet.Member{}
	for _, entry := range f.members {
		member := fleet.Member{ID: entry.ID, Addr: entry.Addr, Started: encodeStart(entry.Started)}
		groups[entry.Group] = append(groups[entry.Group], member)
	}
	return groups
}

// HealthCheck implements fleet.Router.
func (f *fleetNode) HealthCheck(member string) {
	if _, listed := f.members[member]; listed {
		f.driver.HealthCheck(member)
	}
}

// PeerReported implements fleet.Router.
func (f *fleetNode) PeerReported(report healthshare.Report) {
	role := router.RoleUnknown
	if report.Primary {
		role = router.Primary
	} else if report.Replica {
		role = router.Replica
	}
	position := report.Position
	if position == 0 {
		position = router.Never
	}
	start := f.startTimes.ConvertPeer(report.Member, report.Started)
	f.driver.PeerReported(report.Member, start, role, position)
}

// HoldWrites implements fleet.Router.
func (f *fleetNode) HoldWrites(group int, until float64) {
	f.driver.HoldWrites(group, f.driver.ToLoop(until))
}

// Writes implements fleet.Router.
func (f *fleetNode) Writes(group int) (running, waiting int) { return f.driver.CountWrites(group) }

// ApplyPolicy implements fleet.Router.
func (f *fleetNode) ApplyPolicy(version policy.Version, document policy.Document) error {
	merged, err := settings.Overlay(f.ownSettings, document)
	if err != nil {
		return err
	}
	f.driver.UpdateSettings(merged)
	f.auditLog.Add(auditPolicyApplied, audit.Fields{"version": version.String(), "hash": hex.EncodeToString(version.Hash[:])})
	return nil
}
