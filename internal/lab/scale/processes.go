package scale

import (
	"fmt"
	"net"
	"strconv"

	"wayloft/internal/lab/fleet"
)

// Names of hollow processes: a prefix and the number of a zone or of a lease holder.
const (
	routersPrefix   = "routers-"
	databasesPrefix = "databases-"
	holderPrefix    = "owner-" // as reports have it
	discoveryName   = "discovery"
)

// Values of fleet.Process.Kind.
const (
	coordinatorKind = "council"
	routerKind      = "router"
)

func zoneName(prefix string, zone int) string { return fmt.Sprint(prefix, zone) }

// children returns all hollow processes, by name.
func (in *Installation) children() map[string]*Child {
	all := map[string]*Child{}
	for zone := range zones {
		if child := in.routers[zone]; child != nil {
			all[zoneName(routersPrefix, zone)] = child
		}
		if child := in.databases[zone]; child != nil {
			all[zoneName(databasesPrefix, zone)] = child
		}
	}
	for n, child := range in.holders {
		all[holderName(n)] = child
	}
	if in.discovery != nil {
		all[discoveryName] = in.discovery
	}
	return all
}

func (in *Installation) processesOf(kind string) (all []*fleet.Process) {
	for _, p := range in.fleet.Processes() {
		if p.Kind == kind {
			all = append(all, p)
		}
	}
	return all
}

func (in *Installation) coordinatorNodes() []*fleet.Process { return in.processesOf(coordinatorKind) }
func (in *Installation) realRouters() []*fleet.Process      { return in.processesOf(routerKind) }

// coordinatorPorts returns the ports of coordinator nodes, and of links to them.
func (in *Installation) coordinatorPorts() []uint16 {
	all := ports(in.fleet.CoordinatorAddresses()...)
	for _, link := range in.regionLinks {
		all = append(all, ports(link.Addr)...)
	}
	for _, from := range in.fleet.Processes() {
		for _, to := range in.coordinatorNodes() {
			if link := in.fleet.Link(from.Name, to.Name); link != nil {
				all = append(all, ports(link.Addr)...)
			}
		}
	}
	return all
}

func ports(addrs ...string) (all []uint16) {
	for _, addr := range addrs {
		_, text, err := net.SplitHostPort(addr)
		if err != nil {
			continue
		}
		if port, err := strconv.ParseUint(text, 10, 16); err == nil {
			all = append(all, uint16(port))
		}
	}
	return all
}

func childPids(children []*Child) (pids []int) {
	for _, child := range children {
		if child != nil {
			pids = append(pids, child.Pid())
		}
	}
	return pids
}

func processPids(processes []*fleet.Process) (pids []int) {
	for _, p := range processes {
		if pid := p.Pid(); pid > 0 {
			pids = append(pids, pid)
		}
	}
	return pids
}
