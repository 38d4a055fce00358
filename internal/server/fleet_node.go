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
	"wayloft/internal/fleet"
	"wayloft/internal/settings"
	"wayloft/router"
)

// join has the router take part in its fleet; leave gives back what it holds there.
func (s *service) join(conf *Config) (leave func(), err error) {
	f := conf.fleet
	listener, err := net.Listen("tcp", f.ReceiverListen)
	if err != nil {
		return nil, fmt.Errorf("fleet.orders: %w", err)
	}
	rec, err := audit.Open(f.AuditLog, conf.Name)
	if err != nil {
		listener.Close()
		return nil, fmt.Errorf("fleet.record: %w", err)
	}
	s.listed = map[string]discovery.Entry{}
	set := fleet.Settings{Fleet: f.Name, Name: conf.Name, Kind: "router", Coordinators: f.Coordinators, AddressOverrides: f.PeerAddresses, ListenAddress: f.ReceiverListen,
		Address: cmp.Or(f.ReceiverAddress, listener.Addr().String()), SessionTimeoutMs: float64(f.SessionTimeout), SafetyMarginMs: float64(f.SafetyMargin), HealthSharePeriodMs: float64(f.HealthShareInterval),
		MaxHoldMs: float64(f.MaxWriteHold), ClockOffsetMs: float64(f.ClockOffset), AuditLog: rec}
	if h := f.Switchover; h != nil {
		set.SwitchoverEnabled = true
		set.Switchover = switchover.Settings{MaxHoldMs: float64(h.Hold), DrainTimeoutMs: float64(h.Wait), StepTimeoutMs: float64(h.Step)}
		set.Adapter = adapter(h)
	}
	if f.PolicyDir != "" {
		signal.Ignore(syscall.SIGXFSZ) // a file that may grow no further is an error of the write, not the end
		set.Store = &fleet.PolicyStore{Dir: f.PolicyDir, Fleet: f.Name}
	}
	s.own, s.record = conf.Router, rec
	s.link = fleet.New(set, s)
	s.host.OnReport(s.report)
	ctx, cancel := context.WithCancel(context.Background())
	s.resign = cancel
	go s.link.Run(ctx, listener)
	return func() {
		cancel()
		<-s.link.Ended()
		rec.Close()
	}, nil
}

func adapter(h *settings.Switchover) *fleet.Adapter {
	return &fleet.Adapter{User: h.User, Database: h.Database, PrimaryQuery: h.Primary, GuardStatement: h.Guard, GuardQuery: h.Seen, StepDownStatement: h.StepDown,
		PromoteStatement: h.Promote, StepTimeoutMs: float64(h.Step)}
}

// keep notes the list for the fleet's part.
func (s *service) keep(l *discovery.List) {
	if s.listed == nil {
		return
	}
	if l.Complete {
		clear(s.listed)
	}
	for _, e := range l.Entries {
		if e.State == router.Up {
			s.listed[e.ID] = e
		} else {
			delete(s.listed, e.ID)
		}
	}
	s.link.Changed()
}

// started gives a start as it goes between processes: 0 for long ago.
func started(at float64) float64 {
	if at == router.Never {
		return 0
	}
	return at
}

// report hands a member's report to the fleet's part.
func (s *service) report(member string, role router.Role, gtid float64) {
	r := healthshare.Report{Member: member, Started: started(s.listed[member].Started), Primary: role == router.Primary,
		Replica: role == router.Replica, At: s.host.ClusterNow()}
	if gtid != router.Never {
		r.Position = gtid
	}
	s.link.Reported(r)
}

// What follows is what the fleet's part asks of a router, on its loop but for Post. Times are on the cluster's clock there,
// since they go between processes.

func (s *service) Post(f func()) { s.host.Post(f) }
func (s *service) Now() float64  { return s.host.ClusterNow() }

func (s *service) Groups() map[int][]fleet.Member {
	groups := map[int][]fleet.Member{}
	for _, e := range s.listed {
		groups[e.Group] = append(groups[e.Group], fleet.Member{ID: e.ID, Addr: e.Addr, Started: started(e.Started)})
	}
	return groups
}

func (s *service) HealthCheck(member string) {
	if _, there := s.listed[member]; there {
		s.host.HealthCheck(member)
	}
}

func (s *service) PeerReported(r healthshare.Report) {
	since, role, position := s.starts.Compare(r.Member, r.Started), router.RoleUnknown, r.Position
	if r.Primary {
		role = router.Primary
	} else if r.Replica {
		role = router.Replica
	}
	if position == 0 {
		position = router.Never
	}
	s.host.PeerReported(r.Member, since, role, position)
}

func (s *service) HoldWrites(group int, until float64) {
	s.host.HoldWrites(group, s.host.ToLoop(until))
}

func (s *service) Writes(group int) (running, waiting int) { return s.host.Writes(group) }

// ApplyPolicy has the module go by a policy, laid over the settings of the router's own file; on an error it goes on as it was.
func (s *service) ApplyPolicy(v policy.Version, d policy.Document) error {
	set, err := settings.Overlay(s.own, d)
	if err != nil {
		return err
	}
	s.host.UpdateSettings(set)
	s.record.Add("takes", audit.Fields{"version": v.String(), "hash": hex.EncodeToString(v.Hash[:])})
	return nil
}
