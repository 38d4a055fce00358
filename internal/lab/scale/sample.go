package scale

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/prometheus/procfs"
)

// sample is the state of all processes at one time. It doesn't have the traffic of connections that ended before.
type sample struct {
	at            time.Time
	cpuSeconds    map[int]float64 // by process
	memoryMB      map[int]float64 // resident, by process
	writtenBytes  map[int]int64   // passed to write calls, for sockets and files, by process
	traffic       map[endpoint]traffic
	endpointOwner map[endpoint]int // process
	counts        childCounts
}

// childCounts are the counts of hollow processes, by the names of these.
type childCounts map[string]map[string]int64

// takeSample samples some processes.
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
		if pid, ours := owners[end.inode]; ours {
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
	if io, err := process.IO(); err == nil { // some systems don't show it
		s.writtenBytes[pid] = int64(io.WChar)
	}
	return nil
}

// interval is what happened between two samples.
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

// totalTraffic is that of all connections of processes, both ways.
func (i interval) totalTraffic(pids ...int) traffic {
	return i.trafficOf(pids, func(endpoint) bool { return true })
}

// trafficTo is that of the connections that processes made to ports.
func (i interval) trafficTo(pids []int, ports []uint16) traffic {
	return i.trafficOf(pids, func(end endpoint) bool { return slices.Contains(ports, end.peerPort) })
}

// trafficOf is that of some connections of processes; of a connection that is new, all of it.
func (i interval) trafficOf(pids []int, counts func(endpoint) bool) (sum traffic) {
	ours := map[int]bool{}
	for _, pid := range pids {
		ours[pid] = true
	}
	for end, now := range i.after.traffic {
		if ours[i.after.endpointOwner[end]] && counts(end) {
			sum = sum.plus(now.minus(i.before.traffic[end]))
		}
	}
	return sum
}

// count is by how much a count of a hollow process grew.
func (i interval) count(child, name string) int64 {
	return i.after.counts[child][name] - i.before.counts[child][name]
}

// routerCounts is by how much the counts of routers and lease holders grew, all together.
func (i interval) routerCounts() map[string]int64 {
	growth := i.after.counts.ofRouters()
	for name, n := range i.before.counts.ofRouters() {
		growth[name] -= n
	}
	return growth
}

// ofRouters adds up the counts of routers and lease holders.
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

// sum adds up a count over the processes whose name has a prefix.
func (c childCounts) sum(prefix, name string) (total int64) {
	for child, counts := range c {
		if strings.HasPrefix(child, prefix) {
			total += counts[name]
		}
	}
	return total
}
