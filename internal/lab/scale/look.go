package scale

import (
	"fmt"
	"slices"
	"time"

	"github.com/prometheus/procfs"
)

// look is what there was to see of all processes at one time. Whatever came of a connection that ended before is lost to it.
type look struct {
	at     time.Time
	cpu    map[int]float64 // seconds, by process
	memory map[int]float64 // resident, MB
	disk   map[int]int64   // bytes handed to write calls in all, sockets and files, by process
	flows  map[end]flow    // of these processes' ends of connections
	of     map[end]int     // process
	counts map[string]map[string]int64
}

// see looks at some processes now.
func see(pids []int) (*look, error) {
	l := &look{cpu: map[int]float64{}, memory: map[int]float64{}, disk: map[int]int64{}, flows: map[end]flow{}, of: map[end]int{}}
	all, err := sockets()
	if err != nil {
		return nil, err
	}
	of := owners(pids)
	for e, f := range all {
		if pid, ours := of[e.inode]; ours {
			l.flows[e], l.of[e] = f, pid
		}
	}
	for _, pid := range pids {
		p, err := procfs.NewProc(pid)
		if err != nil {
			return nil, fmt.Errorf("process %d: %w", pid, err)
		}
		stat, err := p.Stat()
		if err != nil {
			return nil, fmt.Errorf("process %d: %w", pid, err)
		}
		l.cpu[pid], l.memory[pid] = stat.CPUTime(), float64(stat.ResidentMemory())/1e6
		if io, err := p.IO(); err == nil {
			l.disk[pid] = int64(io.WChar)
		}
	}
	l.at = time.Now()
	return l, nil
}

// between is what went on between two looks.
type between struct {
	seconds      float64
	before, then *look
}

func (b between) cpu(pids ...int) (percent float64) {
	for _, pid := range pids {
		percent += 100 * (b.then.cpu[pid] - b.before.cpu[pid]) / b.seconds
	}
	return percent
}

func (b between) memory(pids ...int) (mb float64) {
	for _, pid := range pids {
		mb += b.then.memory[pid]
	}
	return mb
}

// flow is what went over connections that processes made to ports, from their view; of one made meanwhile all of it.
func (b between) flow(pids []int, ports []uint16) (f flow) {
	for e, now := range b.then.flows {
		if slices.Contains(pids, b.then.of[e]) && slices.Contains(ports, e.peer) {
			f = f.plus(now.minus(b.before.flows[e]))
		}
	}
	return f
}

func (b between) count(child, what string) int64 {
	return b.then.counts[child][what] - b.before.counts[child][what]
}
