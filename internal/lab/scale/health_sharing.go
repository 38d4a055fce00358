package scale

import (
	"fmt"

	"wayloft/internal/decide/healthshare"
	"wayloft/internal/lab/fleet"
)

func holderName(n int) string { return fmt.Sprint(holderPrefix, n) }

// StartHolders starts the holders of health-share leases, each in its own process and for one group, and waits until each has notified
// all hollow and real routers.
func (in *Installation) StartHolders() error {
	for n := range in.Holders {
		spec, err := in.holderSpec(n)
		if err != nil {
			return err
		}
		child, err := in.startChild(holderName(n), spec)
		if err != nil {
			return err
		}
		in.holders = append(in.holders, child)
	}
	return fleet.WaitUntil("the holders of health-share leases have notified all routers", in.allNotified)
}

func (in *Installation) holderSpec(group int) (ChildSpec, error) {
	spec, err := in.routersSpec(0)
	if err != nil {
		return spec, err
	}
	if in.Routers == 0 {
		spec.Coordinators = in.fleet.CoordinatorAddresses()
	}
	spec.Names = []string{fmt.Sprint("o", group)}
	spec.Groups = []int{group}
	spec.HealthShareIntervalMs = float64(in.HealthShareInterval.Microseconds()) / 1000
	spec.StartIntervalMs = 0
	return spec, nil
}

// allNotified reports whether each holder has received at least as many responses as there are routers.
func (in *Installation) allNotified() (bool, error) {
	counts, err := in.counts()
	if err != nil {
		return false, err
	}
	for n := range in.holders {
		if counts[holderName(n)]["verdict_in"] < int64(in.Routers+in.RealRouters) {
			return false, nil
		}
	}
	return true, nil
}

// leaseHolders returns the holder of each health-share lease that StartHolders started a process for, by lease name.
func (in *Installation) leaseHolders() (map[string]string, error) {
	state, err := in.state()
	if err != nil {
		return nil, err
	}
	expected := map[string]bool{}
	for n := range in.holders {
		expected[healthshare.LeaseName(n)] = true
	}
	holders := map[string]string{}
	for _, lease := range state.State.Duties {
		if expected[lease.Name] {
			holders[lease.Name] = lease.Holder
		}
	}
	return holders, nil
}
