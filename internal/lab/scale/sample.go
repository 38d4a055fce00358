package scale

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/prometheus/procfs"
)

// sample is the state of all processes at one time. It lacks the traffic of connections that closed before.
type sample struct {
	at            time.Time
	cpuSeconds    map[int]float64 // by process ID
	memoryMB      map[int]float64 // resident, by process ID
	writtenBytes  map[int]int64   // passed to write calls, for sockets and files, by process ID
	traffic       map[endpoint]traffic
	endpointOwner map[endpoint]int // process ID
	counts        childCounts
}

// childCounts are the counts of hollow processes, by process name and key.
type childCounts map[string]map[string]int64

// takeSample samples processes. It doesn't set counts.
func takeSample(pids []int) (*sample, error) {
	s := &sample{
		cpuSeconds:    map[int]float64{},
		memoryMB:      map[int]float64{},
		writtenBytes:  map[int]int64{},
		traffic:       map[endpoint]traffic{},
		endpointOwner: map[endpoint]int{},
	}
	all, err := readTraffic()
	if err != nil {
		return nil, err
	}
	owners := socketOwners(pids)
	for end, t := range all {
		if pid, owned := owners[end.inode]; owned {
			s.traffic[end], s.endpointOwner[end] = t, pid
		}
	}
	for _, pid := range pids {
		if err := s.addProcess(pid); err != nil {
			return nil, fmt.Errorf("process %d: %w", pid, err)
		}
	}
	s.at = time.Now()
	return s, nil
}

func (s *sample) addProcess(pid int) error {
	process, err := procfs.NewProc(pid)
	if err != nil {
		return err
	}
	stat, err := process.Stat()
	if err != nil {
		return err
	}
	s.cpuSeconds[pid], s.memoryMB[pid] = stat.CPUTime(), float64(stat.ResidentMemory())/1e6
	if io, err := process.IO(); err == nil { // not readable on some systems
		s.writtenBytes[pid] = int64(io.WChar)
	}
	return nil
}

// interval is the time between two samples.
type interval struct {
	seconds       float64
	before, after *sample
}

func newInterval(before, after *sample) interval {
	return interval{after.at.Sub(before.at).Seconds(), before, after}
}

func (i interval) cpuPercent(pids ...int) (percent float64) {
	for _, pid := range pids {
		percent += 100 * (i.after.cpuSeconds[pid] - i.before.cpuSeconds[pid]) / i.seconds
	}
	return percent
}

func (i interval) memoryMB(pids ...int) (mb float64) {
	for _, pid := range pids {
		mb += i.after.memoryMB[pid]
	}
	return mb
}

// totalTraffic returns the traffic of all connections of processes, in both directions.
func (i interval) totalTraffic(pids ...int) traffic {
	return i.trafficOf(pids, func(endpoint) bool { return true })
}

// trafficTo returns the traffic of processes' connections to peer ports.
func (i interval) trafficTo(pids []int, ports []uint16) traffic {
	return i.trafficOf(pids, func(end endpoint) bool { return slices.Contains(ports, end.peerPort) })
}

// trafficOf returns the traffic of processes' connections for which include returns true. A connection that opened during the interval
// counts in full, one that closed not at all.
func (i interval) trafficOf(pids []int, include func(endpoint) bool) (sum traffic) {
	selected := map[int]bool{}
	for _, pid := range pids {
		selected[pid] = true
	}
	for end, now := range i.after.traffic {
		if selected[i.after.endpointOwner[end]] && include(end) {
			sum = sum.plus(now.minus(i.before.traffic[end]))
		}
	}
	return sum
}

// count returns the growth of a count of a hollow process.
func (i interval) count(child, name string) int64 {
	return i.after.counts[child][name] - i.before.counts[child][name]
}

// routerCounts returns the growth of the counts of routers and lease holders, summed over all of them.
func (i interval) routerCounts() map[string]int64 {
	growth := i.after.counts.ofRouters()
	for name, n := range i.before.counts.ofRouters() {
		growth[name] -= n
	}
	return growth
}

// ofRouters returns the counts summed over routers and lease holders.
func (c childCounts) ofRouters() map[string]int64 {
	total := map[string]int64{}
	for child, counts := range c {
		if !strings.HasPrefix(child, routersPrefix) && !strings.HasPrefix(child, holderPrefix) {
			continue
		}
		for name, n := range counts {
			total[name] += n
		}
	}
	return total
}

// sum returns a count summed over the processes whose name has a prefix.
func (c childCounts) sum(prefix, name string) (total int64) {
	for child, counts := range c {
		if strings.HasPrefix(child, prefix) {
			total += counts[name]
		}
	}
	return total
}
