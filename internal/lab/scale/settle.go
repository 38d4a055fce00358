package scale

import (
	"fmt"
	"time"
)

const (
	// settleTimeout limits the wait until an installation has settled.
	settleTimeout       = 4 * time.Minute
	settleCheckInterval = time.Second
	// requiredSettledChecks is how many consecutive checks must find it settled.
	requiredSettledChecks = 2
	// heartbeatsPerSession is the maximum number of heartbeats of a router per session timeout.
	heartbeatsPerSession = 6
	// extraCallsPerSecond is the tolerated call rate above that of heartbeats: with few routers, heartbeats sometimes coincide.
	extraCallsPerSecond = 10
)

// sampleAll samples all processes and reads the counts of the hollow ones.
func (in *Installation) sampleAll() (*sample, error) {
	var pids []int
	for _, child := range in.children() {
		pids = append(pids, child.Pid())
	}
	pids = append(pids, processPids(in.fleet.Processes())...)
	s, err := takeSample(pids)
	if err != nil {
		return nil, err
	}
	s.counts, err = in.counts()
	return s, err
}

func (in *Installation) counts() (childCounts, error) {
	all := childCounts{}
	for name, child := range in.children() {
		response, err := child.Ask(ChildRequest{Command: CommandCount})
		if err != nil {
			return nil, fmt.Errorf("counts of %s: %w", name, err)
		}
		all[name] = response.Counts
	}
	return all, nil
}

// measure takes a sample now and another one after a duration.
func (in *Installation) measure(duration time.Duration) (interval, error) {
	before, err := in.sampleAll()
	if err != nil {
		return interval{}, err
	}
	if err := in.wait(duration); err != nil {
		return interval{}, err
	}
	return in.since(before)
}

// since takes a sample and returns the interval since an earlier one.
func (in *Installation) since(before *sample) (interval, error) {
	after, err := in.sampleAll()
	if err != nil {
		return interval{}, err
	}
	return newInterval(before, after), nil
}

// settle waits until the coordinator has a number of sessions, all hollow routers have the endpoint list, and they send the coordinator
// little more than heartbeats.
func (in *Installation) settle(sessions int) error {
	deadline := time.Now().Add(settleTimeout)
	check := settleCheck{installation: in, sessions: sessions, at: time.Now()}
	for settled := 0; settled < requiredSettledChecks; {
		if err := in.wait(settleCheckInterval); err != nil {
			return err
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("installation not settled after %s: %s", settleTimeout, check.status)
		}
		ok, err := check.run()
		if err != nil {
			return err
		}
		if ok {
			settled++
		} else {
			settled = 0
		}
	}
	return nil
}

// settleCheck checks whether an installation has settled. It keeps the number of calls at the last check to compute their rate.
type settleCheck struct {
	installation *Installation
	sessions     int
	calls        int64 // total at the last check
	at           time.Time
	checked      bool // the first check has no rate to compare
	status       string
}

// run reports whether the installation appears settled. The coordinator's errors are not fatal.
func (c *settleCheck) run() (settled bool, err error) {
	in := c.installation
	state, err := in.state()
	if err != nil {
		c.status = err.Error()
		return false, nil // the coordinator may have no leader yet
	}
	counts, err := in.counts()
	if err != nil {
		return false, err
	}
	rate, known := c.callRate(counts), c.checked
	c.checked = true
	lists := counts.sum(routersPrefix, "lists")
	c.status = fmt.Sprintf("%d of %d sessions, %d of %d lists, %.0f calls/s", len(state.State.Sessions), c.sessions, lists, in.Routers, rate)
	if in.Progress != nil {
		in.Progress(c.status)
	}
	maxRate := extraCallsPerSecond + heartbeatsPerSession*float64(in.Routers)/in.SessionTimeout.Seconds()
	return len(state.State.Sessions) >= c.sessions && lists >= int64(in.Routers) && known && rate <= maxRate, nil
}

// callRate returns the calls per second of hollow routers since the last check.
func (c *settleCheck) callRate(counts childCounts) float64 {
	calls, now := counts.sum(routersPrefix, "stand_out")+counts.sum(routersPrefix, "call_out"), time.Now()
	rate := float64(calls-c.calls) / now.Sub(c.at).Seconds()
	c.calls, c.at = calls, now
	return rate
}
