package scale

import (
	"fmt"
	"strings"

	"wayloft/internal/lab/fleet"
)

// The first region has the first half of the zones and two coordinator nodes, the second region the rest.
const (
	firstRegion        = 'a'
	secondRegion       = 'b'
	coordinatorRegions = "aab" // the region of each node
)

func regionOf(zone int) byte {
	if zone < zones/2 {
		return firstRegion
	}
	return secondRegion
}

// routerNamePrefix returns the prefix of the names of a zone's routers.
func routerNamePrefix(zone int) string { return fmt.Sprintf("%c%d-", regionOf(zone), zone) }

// routersSpec returns the specification of a zone's hollow router process. With regions it also creates the links to coordinator nodes of
// the other region.
func (in *Installation) routersSpec(zone int) (ChildSpec, error) {
	spec := ChildSpec{
		Role:             RoleRouters,
		Fleet:            in.fleet.FleetName,
		Discovery:        in.discovery.Addrs[0],
		SessionMs:        float64(in.SessionTimeout.Milliseconds()),
		StartIntervalMs:  float64(in.startInterval().Microseconds()) / 1000 * zones, // the zones start in parallel
		AddressOverrides: map[string]string{},
	}
	first, end := zoneShare(zone, in.Routers)
	for n := first; n < end; n++ {
		spec.Names = append(spec.Names, fmt.Sprint(routerNamePrefix(zone), n))
	}
	if len(spec.Names) == 0 {
		return spec, nil
	}
	for n, p := range in.coordinatorNodes() {
		addr := p.Addr
		if in.Regions && coordinatorRegions[n] != regionOf(zone) {
			link, err := fleet.NewLink(routerNamePrefix(zone), p.Name, p.Addr)
			if err != nil {
				return spec, err
			}
			in.regionLinks = append(in.regionLinks, link)
			addr = link.Addr
			spec.AddressOverrides[p.Name] = addr
		}
		spec.Coordinators = append(spec.Coordinators, addr)
	}
	return spec, nil
}

// realRouterKeys returns additional settings of a real router: the number of routers for the [fleet] table, and for the part above it the
// address of the discovery service and the members.
func (in *Installation) realRouterKeys(string) (inFleet, above string) {
	var keys strings.Builder
	fmt.Fprintf(&keys, "discovery = %q\n", in.discovery.Addrs[0])
	for _, m := range in.members {
		fmt.Fprintf(&keys, "[[members]]\nid = %q\naddress = %q\nzone = %q\ngroup = %d\n", m.ID, m.Addr, m.Zone, m.Group)
	}
	return fmt.Sprintf("routers = %d\n", in.Routers+in.RealRouters), keys.String()
}
