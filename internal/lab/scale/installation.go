package scale

import (
	"context"
	"fmt"
	"maps"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"wayloft/internal/decide/healthshare"
	client "wayloft/internal/fleet"
	"wayloft/internal/fleetpb"
	"wayloft/internal/lab/fleet"
)

// settleLimit is how long a start may take until all have a session and nothing but beats is said; a larger one takes longer.
const settleLimit = 4 * time.Minute

// Installation is all that was started.
type Installation struct {
	Options
	fleet     *fleet.Fleet // coordinator and real routers
	directory *Child
	databases []*Child // by zone; nil where it has none
	routers   []*Child // by zone; nil where it has none
	owners    []*Child
	members   []Entry
	client    *client.Client
	switches  []*fleet.Link // between regions
	Settled   time.Duration // what the start took
}

// Start starts all but holders of the health-share lease and waits until it has settled.
func Start(o Options) (in *Installation, err error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return nil, err
	}
	in = &Installation{Options: o, databases: make([]*Child, zones), routers: make([]*Child, zones)}
	defer func() {
		if err != nil {
			in.Close()
			in = nil
		}
	}()
	begun := time.Now()
	if err := in.startMembers(); err != nil {
		return in, err
	}
	if in.fleet, err = fleet.New(fleet.Options{Binary: o.Binary, Dir: filepath.Join(o.Dir, "fleet"), Coordinators: councils, Routers: o.RealRouters, SessionTimeout: o.SessionTimeout,
		Links: o.Regions, SnapshotInterval: 10000, NoAuditLog: true, RouterKeys: in.real}); err != nil {
		return in, err
	}
	for _, p := range in.fleet.Processes() {
		if p.Kind == "council" {
			if err := p.Start(); err != nil {
				return in, err
			}
		}
	}
	for _, p := range in.fleet.Processes() {
		if p.Kind == "council" {
			if err := p.WaitReady(); err != nil {
				return in, err
			}
		}
	}
	in.client = client.NewClient(in.fleet.FleetName, in.fleet.CoordinatorAddresses(), nil)
	if err := fleet.WaitUntil("the council has a leader", func() (bool, error) {
		_, err := in.state()
		return err == nil, nil
	}); err != nil {
		return in, err
	}
	for _, p := range in.fleet.Processes() {
		if p.Kind == "router" {
			if err := p.Start(); err != nil {
				return in, err
			}
			if err := p.WaitReady(); err != nil {
				return in, err
			}
			if err := o.wait(o.pace()); err != nil {
				return in, err
			}
		}
	}
	var all sync.WaitGroup
	errs := make([]error, zones)
	for z := range zones {
		spec, err := in.zone(z)
		if err != nil {
			return in, err
		}
		if len(spec.Names) > 0 {
			all.Go(func() { in.routers[z], errs[z] = StartChild(o.Binary, o.Dir, fmt.Sprint("routers-", z), spec) })
		}
	}
	all.Wait()
	for _, err := range errs {
		if err != nil {
			return in, err
		}
	}
	err = in.settle(o.Routers + o.RealRouters)
	in.Settled = time.Since(begun)
	return in, err
}

func (in *Installation) startMembers() error {
	o := in.Options
	for n := range o.Members {
		in.members = append(in.members, Entry{ID: fmt.Sprint("m", n), Zone: fmt.Sprint("zone", zone(n, o.Members)), Group: n % o.groups(), Phase: "in_service", Started: 1})
	}
	for z := range zones {
		from, to := share(z, o.Members)
		if from == to {
			continue
		}
		s := ChildSpec{Role: "databases"}
		for n := from; n < to; n++ {
			if s.Names = append(s.Names, in.members[n].ID); n < o.groups() {
				s.Primaries = append(s.Primaries, in.members[n].ID)
			}
		}
		c, err := StartChild(o.Binary, o.Dir, fmt.Sprint("databases-", z), s)
		if err != nil {
			return err
		}
		in.databases[z] = c
		for n := from; n < to; n++ {
			in.members[n].Addr = c.Addrs[n-from]
		}
	}
	var err error
	in.directory, err = StartChild(o.Binary, o.Dir, "discovery", ChildSpec{Role: "discovery", Entries: in.members})
	return err
}

// real gives the settings of a real router that the lab's fleet doesn't: the list and its members.
func (in *Installation) real(string) (inFleet, above string) {
	var b strings.Builder
	fmt.Fprintf(&b, "discovery = %q\n", in.directory.Addrs[0])
	for _, m := range in.members {
		fmt.Fprintf(&b, "[[members]]\nid = %q\naddress = %q\nzone = %q\ngroup = %d\n", m.ID, m.Addr, m.Zone, m.Group)
	}
	return fmt.Sprintf("routers = %d\n", in.Routers+in.RealRouters), b.String()
}

func region(z int) byte { return "ab"[2*z/zones] }

// zoneNames begin the names of a zone's routers.
func zoneNames(z int) string { return fmt.Sprintf("%c%d-", region(z), z) }

// zone gives what the process of a zone's routers is to be. Two coordinator nodes are in region a, one is in region b.
func (in *Installation) zone(z int) (ChildSpec, error) {
	s := ChildSpec{Role: "routers", Fleet: in.fleet.FleetName, Discovery: in.directory.Addrs[0], SessionMs: float64(in.SessionTimeout.Milliseconds()),
		PaceMs: float64(in.pace().Microseconds()) / 1000 * zones, Via: map[string]string{}}
	from, to := share(z, in.Routers)
	for n := from; n < to; n++ {
		s.Names = append(s.Names, fmt.Sprint(zoneNames(z), n))
	}
	if len(s.Names) == 0 {
		return s, nil
	}
	for n, p := range in.council() {
		addr := p.Addr
		if of := "aab"[n]; in.Regions && of != region(z) {
			w, err := fleet.NewLink(zoneNames(z), p.Name, p.Addr)
			if err != nil {
				return s, err
			}
			in.switches = append(in.switches, w)
			addr = w.Addr
			s.Via[p.Name] = addr
		}
		s.Council = append(s.Council, addr)
	}
	return s, nil
}

func (in *Installation) kind(kind string) (all []*fleet.Process) {
	for _, p := range in.fleet.Processes() {
		if p.Kind == kind {
			all = append(all, p)
		}
	}
	return all
}

func (in *Installation) council() []*fleet.Process { return in.kind("council") }

// Close ends all that was started.
func (in *Installation) Close() {
	if in.client != nil {
		in.client.Close()
	}
	for _, c := range in.children() {
		c.Kill()
	}
	if in.fleet != nil {
		in.fleet.Close()
	}
	for _, s := range in.switches {
		s.Close()
	}
}

// children gives all processes of hollow ones, by name.
func (in *Installation) children() map[string]*Child {
	all := map[string]*Child{}
	for z := range zones {
		if c := in.routers[z]; c != nil {
			all[fmt.Sprint("routers-", z)] = c
		}
		if c := in.databases[z]; c != nil {
			all[fmt.Sprint("databases-", z)] = c
		}
	}
	for n, c := range in.owners {
		all[fmt.Sprint("owner-", n)] = c
	}
	if in.directory != nil {
		all["discovery"] = in.directory
	}
	return all
}

func pids(all []*Child) (out []int) {
	for _, c := range all {
		if c != nil {
			out = append(out, c.Pid())
		}
	}
	return out
}

func ports(addrs ...string) (out []uint16) {
	for _, a := range addrs {
		if _, port, err := net.SplitHostPort(a); err == nil {
			if n, err := strconv.ParseUint(port, 10, 16); err == nil {
				out = append(out, uint16(n))
			}
		}
	}
	return out
}

// councilPorts are all at which its processes are reached, by switches too.
func (in *Installation) councilPorts() []uint16 {
	out := ports(in.fleet.CoordinatorAddresses()...)
	for _, s := range in.switches {
		out = append(out, ports(s.Addr)...)
	}
	for _, r := range in.fleet.Processes() {
		for _, p := range in.council() {
			if s := in.fleet.Link(r.Name, p.Name); s != nil {
				out = append(out, ports(s.Addr)...)
			}
		}
	}
	return out
}

// state asks the coordinator.
func (in *Installation) state() (*fleetpb.State, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return in.client.State(ctx)
}

// look looks at all processes, and asks those of hollow ones for their counts.
func (in *Installation) look() (*look, error) {
	children := in.children()
	var all []int
	for _, c := range children {
		all = append(all, c.Pid())
	}
	for _, p := range in.fleet.Processes() {
		if pid := p.Pid(); pid > 0 {
			all = append(all, pid)
		}
	}
	l, err := see(all)
	if err != nil {
		return nil, err
	}
	l.counts, err = in.counts()
	return l, err
}

func (in *Installation) counts() (map[string]map[string]int64, error) {
	all := map[string]map[string]int64{}
	for name, c := range in.children() {
		a, err := c.Ask(ChildRequest{Do: "count"})
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		all[name] = a.Counts
	}
	return all, nil
}

// sum adds up a count over all processes whose name begins so.
func sum(counts map[string]map[string]int64, begin, what string) (n int64) {
	for name, c := range counts {
		if strings.HasPrefix(name, begin) {
			n += c[what]
		}
	}
	return n
}

// during looks, waits, and looks again.
func (in *Installation) during(d time.Duration) (between, error) {
	before, err := in.look()
	if err != nil {
		return between{}, err
	}
	if err := in.wait(d); err != nil {
		return between{}, err
	}
	then, err := in.look()
	if err != nil {
		return between{}, err
	}
	return between{then.at.Sub(before.at).Seconds(), before, then}, nil
}

// asking is what hollow routers ask of the coordinator in all, so far.
func asking(counts map[string]map[string]int64) int64 {
	return sum(counts, "routers", "stand_out") + sum(counts, "routers", "call_out")
}

const quiet = 10 // calls a second that are no sign of a start: few routers' beats come together now and then

// settle waits until so many have a session, and hollow ones ask no more than a beat takes: at most six come in a session's length.
func (in *Installation) settle(sessions int) error {
	late := time.Now().Add(settleLimit)
	last, at := int64(-1), time.Now()
	why := ""
	for calm := 0; ; {
		if err := in.wait(time.Second); err != nil {
			return err
		}
		if time.Now().After(late) {
			return fmt.Errorf("not settled after %s: %s", settleLimit, why)
		}
		s, err := in.state()
		if err != nil {
			why, calm = err.Error(), 0
			continue
		}
		counts, err := in.counts()
		if err != nil {
			return err
		}
		n, now := asking(counts), time.Now()
		rate := float64(n-last) / now.Sub(at).Seconds()
		known := last >= 0
		last, at = n, now
		lists := sum(counts, "routers", "lists")
		why = fmt.Sprintf("%d of %d sessions, %d of %d lists, %.0f calls/s", len(s.State.Sessions), sessions, lists, in.Routers, rate)
		if in.Progress != nil {
			in.Progress(why)
		}
		if len(s.State.Sessions) < sessions ||
			lists < int64(in.Routers) || !known || rate > quiet+6*float64(in.Routers)/in.SessionTimeout.Seconds() {
			calm = 0
			continue
		}
		if calm++; calm == 2 {
			return nil
		}
	}
}

// StartHolders starts holders of the health-share lease, a process and a group each, and waits until each has told all others.
func (in *Installation) StartHolders() error {
	for n := range in.Holders {
		s, err := in.zone(0)
		if err != nil {
			return err
		}
		if in.Routers == 0 {
			s.Council = in.fleet.CoordinatorAddresses()
		}
		s.Names, s.Groups, s.SightMs, s.PaceMs = []string{fmt.Sprint("o", n)}, []int{n}, float64(in.HealthShareInterval.Microseconds())/1000, 0
		c, err := StartChild(in.Binary, in.Dir, fmt.Sprint("owner-", n), s)
		if err != nil {
			return err
		}
		in.owners = append(in.owners, c)
	}
	return fleet.WaitUntil("owners of sight have told all others", func() (bool, error) {
		counts, err := in.counts()
		if err != nil {
			return false, err
		}
		for n := range in.owners {
			if counts[fmt.Sprint("owner-", n)]["verdict_in"] < int64(in.Routers+in.RealRouters) {
				return false, nil
			}
		}
		return true, nil
	})
}

// holders tells who holds health sharing of the owned groups.
func (in *Installation) holders() (map[string]string, error) {
	s, err := in.state()
	if err != nil {
		return nil, err
	}
	out := map[string]string{}
	for n := range in.owners {
		for _, d := range s.State.Duties {
			if d.Name == healthshare.LeaseName(n) {
				out[d.Name] = d.Holder
			}
		}
	}
	return out, nil
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
