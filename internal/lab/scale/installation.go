package scale

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	client "wayloft/internal/fleet"
	"wayloft/internal/fleetpb"
	"wayloft/internal/lab/fleet"
)

const (
	directoryMode    = 0o700
	stateTimeout     = 10 * time.Second
	snapshotInterval = 10000 // in entries of the coordinator's log
)

// Installation is a running installation: the coordinator, routers, databases and the discovery service.
type Installation struct {
	Options
	Settled time.Duration // time from the start until the installation had settled

	startedAt   time.Time
	fleet       *fleet.Fleet // coordinator and real routers
	discovery   *Child
	databases   []*Child // by zone; nil if the zone has none
	routers     []*Child // by zone; nil if the zone has none
	holders     []*Child // of health-share leases, by group
	members     []Entry
	client      *client.Client
	regionLinks []*fleet.Link // between hollow routers and coordinator nodes of the other region
}

// Start starts an installation without its health-share lease holders, and waits until it has settled.
func Start(options Options) (*Installation, error) {
	if err := options.Check(); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(options.Dir, directoryMode); err != nil {
		return nil, err
	}
	in := &Installation{Options: options, startedAt: time.Now(), databases: make([]*Child, zones), routers: make([]*Child, zones)}
	if err := in.startAll(); err != nil {
		in.Close()
		return nil, err
	}
	in.Settled = time.Since(in.startedAt)
	return in, nil
}

func (in *Installation) startAll() error {
	for _, start := range []func() error{in.startMembers, in.startCoordinator, in.startRealRouters, in.startHollowRouters} {
		if err := start(); err != nil {
			return err
		}
	}
	return in.settle(in.Routers + in.RealRouters)
}

// startCoordinator configures the coordinator and the real routers, starts the coordinator and waits until it has a leader.
func (in *Installation) startCoordinator() (err error) {
	in.fleet, err = fleet.New(fleet.Options{
		Binary:           in.Binary,
		Dir:              filepath.Join(in.Dir, "fleet"),
		Coordinators:     coordinators,
		Routers:          in.RealRouters,
		SessionTimeout:   in.SessionTimeout,
		Links:            in.Regions,
		SnapshotInterval: snapshotInterval,
		NoAuditLog:       true,
		RouterKeys:       in.realRouterKeys,
	})
	if err != nil {
		return err
	}
	for _, p := range in.coordinatorNodes() {
		if err := p.Start(); err != nil {
			return err
		}
	}
	for _, p := range in.coordinatorNodes() {
		if err := p.WaitReady(); err != nil {
			return err
		}
	}
	in.client = client.NewClient(in.fleet.FleetName, in.fleet.CoordinatorAddresses(), nil)
	return fleet.WaitUntil("the coordinator has a leader", func() (bool, error) {
		_, err := in.state()
		return err == nil, nil
	})
}

func (in *Installation) startRealRouters() error {
	for _, p := range in.realRouters() {
		if err := p.Start(); err != nil {
			return err
		}
		if err := p.WaitReady(); err != nil {
			return err
		}
		if err := in.wait(in.startInterval()); err != nil {
			return err
		}
	}
	return nil
}

// startHollowRouters starts the processes of all zones in parallel.
func (in *Installation) startHollowRouters() error {
	var all sync.WaitGroup
	defer all.Wait()
	errs := make([]error, zones)
	for zone := range zones {
		spec, err := in.routersSpec(zone)
		if err != nil {
			return err
		}
		if len(spec.Names) > 0 {
			all.Go(func() { in.routers[zone], errs[zone] = in.startChild(zoneName(routersPrefix, zone), spec) })
		}
	}
	all.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (in *Installation) startChild(name string, spec ChildSpec) (*Child, error) {
	return StartChild(in.Binary, in.Dir, name, spec)
}

// startMembers starts the databases and the discovery service.
func (in *Installation) startMembers() (err error) {
	for n := range in.Members {
		in.members = append(in.members, Entry{
			ID:      fmt.Sprint("m", n),
			Zone:    fmt.Sprint("zone", zoneOf(n, in.Members)),
			Group:   n % in.groups(),
			Phase:   "in_service",
			Started: 1,
		})
	}
	for zone := range zones {
		if err := in.startDatabases(zone); err != nil {
			return err
		}
	}
	in.discovery, err = in.startChild(discoveryName, ChildSpec{Role: RoleDiscovery, Entries: in.members})
	return err
}

// startDatabases starts a zone's databases. The first member of each group is its primary.
func (in *Installation) startDatabases(zone int) error {
	first, end := zoneShare(zone, in.Members)
	if first == end {
		return nil
	}
	spec := ChildSpec{Role: RoleDatabases}
	for n := first; n < end; n++ {
		spec.Names = append(spec.Names, in.members[n].ID)
		if n < in.groups() {
			spec.Primaries = append(spec.Primaries, in.members[n].ID)
		}
	}
	child, err := in.startChild(zoneName(databasesPrefix, zone), spec)
	if err != nil {
		return err
	}
	in.databases[zone] = child
	for n := first; n < end; n++ {
		in.members[n].Addr = child.Addrs[n-first]
	}
	return nil
}

// Close stops all processes and closes the links.
func (in *Installation) Close() {
	if in.client != nil {
		in.client.Close()
	}
	for _, child := range in.children() {
		child.Kill()
	}
	if in.fleet != nil {
		in.fleet.Close()
	}
	for _, link := range in.regionLinks {
		link.Close()
	}
}

// state returns the coordinator's state: sessions, leases and nodes.
func (in *Installation) state() (*fleetpb.State, error) {
	ctx, cancel := context.WithTimeout(context.Background(), stateTimeout)
	defer cancel()
	return in.client.State(ctx)
}

// leader returns the name of the coordinator's leader, or an empty string if it is unknown.
func (in *Installation) leader() string {
	state, err := in.state()
	if err != nil {
		return ""
	}
	for _, p := range state.Council {
		if p.Leader {
			return p.Name
		}
	}
	return ""
}
