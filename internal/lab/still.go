package lab

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"wayloft/internal/pg"
)

// IdleRouter is a router that nothing is asked of, as a process of its own: members are listed that nobody calls, sessions are
// let in and rest.
type IdleRouter struct {
	Program           string // wayloft, as built
	Members, Sessions int
	Groups            int  // that the members are of
	Fleet             bool // with a coordinator of one process, of which the router hears
	Memory            string
	SettleTime        time.Duration
	SampleDuration    time.Duration // of one look
	Samples           int
}

// IdleResult is what such a router took, look by look.
type IdleResult struct {
	IdleRouter
	CPU         []float64 // % of a core
	Bytes       []float64 // that its calls read and wrote, in a second
	Resident    float64   // MiB, at the end
	Peak        float64   // MiB
	Descriptors int
}

const stillSessions, stillLinks, stillDescriptors = 7500, 512, 16384

// Configuration is the router's, with the bounds of the size that is looked at.
func (s IdleRouter) Configuration(listen, council, orders, record string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "name = \"still\"\nlisten = %q\nseed = \"8c1f30d27a5be964\"\n\n[limits]\nmemory = %q\ndescriptors = %d\n"+
		"sessions = %d\nconnections = %d\n\n[fleet]\nreports = true\nwarm_up = \"1s\"\n", listen, cmp.Or(s.Memory, "512MiB"), stillDescriptors, stillSessions, stillLinks)
	if s.Fleet {
		fmt.Fprintf(&b, "name = \"still\"\ncouncil = [%q]\norders = %q\nrecord = %q\n", council, orders, record)
	}
	b.WriteString("\n[[pools]]\nuser = \"api\"\ndatabase = \"ledger\"\nform = \"transaction\"\nconnections_per_member = 16\nwait = \"5s\"\n")
	for n := range s.Members {
		fmt.Fprintf(&b, "\n[[members]]\nid = \"m%d\"\naddress = \"127.0.0.1:1\"\ngroup = %d\n", n, n%max(1, s.Groups))
	}
	return b.String()
}

// Run starts the router, looks at it and ends it.
func (s IdleRouter) Run() (stood IdleResult, err error) {
	stood.IdleRouter = s
	dir, err := os.MkdirTemp("", "still-")
	if err != nil {
		return stood, err
	}
	defer os.RemoveAll(dir)
	var addr [3]string
	for n := range addr {
		if addr[n], err = unused(); err != nil {
			return stood, err
		}
	}
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		err = errors.Join(err, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	conf := file("still.toml", s.Configuration(addr[0], addr[1], addr[2], filepath.Join(dir, "record")))
	council := file("council.toml", fmt.Sprintf("[council]\nfleet = \"still\"\nname = \"c1\"\nlisten = %q\nfolder = %q\n"+
		"[[council.peers]]\nname = \"c1\"\naddress = %q\n", addr[1], filepath.Join(dir, "c1"), addr[1]))
	if err != nil {
		return stood, err
	}
	if s.Fleet {
		end, _, err := s.start(dir, "council", "run", "--config", council)
		if err != nil {
			return stood, err
		}
		defer end()
	}
	end, pid, err := s.start(dir, "serve", "--config", conf)
	if err != nil {
		return stood, err
	}
	defer end()
	if err := reach(addr[0]); err != nil {
		log, _ := os.ReadFile(filepath.Join(dir, "log"))
		return stood, fmt.Errorf("%w\n%s", err, log)
	}
	return stood, WithIdlePoolSessions(addr[0], s.Sessions, func() error {
		time.Sleep(s.SettleTime)
		for range s.Samples {
			cpu, bytes, err := spent(pid)
			if err != nil {
				return err
			}
			begun := time.Now()
			time.Sleep(s.SampleDuration)
			cpuNow, bytesNow, err := spent(pid)
			if err != nil {
				return err
			}
			took := time.Since(begun).Seconds()
			stood.CPU = append(stood.CPU, (cpuNow-cpu)/took*100)
			stood.Bytes = append(stood.Bytes, (bytesNow-bytes)/took)
		}
		stood.Resident, stood.Peak, err = memory(pid)
		fds, listing := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
		stood.Descriptors = len(fds)
		return errors.Join(err, listing)
	})
}

// start starts a process; end stops it and waits for its end.
func (s IdleRouter) start(dir string, args ...string) (end func(), pid int, err error) {
	log, err := os.OpenFile(filepath.Join(dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, 0, err
	}
	defer log.Close()
	p := exec.Command(s.Program, args...)
	p.Stdout, p.Stderr = log, log
	if err := p.Start(); err != nil {
		return nil, 0, err
	}
	return func() {
		p.Process.Signal(syscall.SIGKILL) // it owes nobody anything
		p.Wait()
	}, p.Process.Pid, nil
}

// unused gives an address of loopback that is free just now.
func unused() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

func reach(addr string) (err error) {
	for range 200 {
		var c net.Conn
		if c, err = net.Dial("tcp", addr); err == nil {
			return c.Close()
		}
		time.Sleep(50 * time.Millisecond)
	}
	return err
}

// WithIdlePoolSessions has so many sessions let in to a pool, which then ask nothing, while f runs.
func WithIdlePoolSessions(addr string, sessions int, f func() error) error {
	buf := make([]byte, 1<<12)
	for n := range sessions {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			return fmt.Errorf("session %d: %w", n, err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(30 * time.Second))
		if _, err := c.Write(pg.AppendStartup(nil, "api", "ledger")); err != nil {
			return err
		}
		r := pg.NewReader(true, 1<<20)
		r.EnableExtended()
		for ready := false; !ready; {
			m, ok, err := r.Next()
			if err != nil {
				return err
			}
			switch {
			case !ok:
				k, err := c.Read(buf)
				if err != nil {
					return fmt.Errorf("session %d: %w", n, err)
				}
				r.Feed(buf[:k])
			case m.Error != nil:
				return fmt.Errorf("session %d: %w", n, m.Error)
			default:
				ready = m.Kind == pg.ReadyForQuery
			}
		}
	}
	return f()
}

// spent is the processor time that a process's threads have had, in s, and the bytes that its calls have moved.
func spent(pid int) (cpu, bytes float64, err error) {
	tasks, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil || len(tasks) == 0 {
		return 0, 0, errors.Join(fmt.Errorf("process %d is gone", pid), err)
	}
	for _, t := range tasks {
		text, err := os.ReadFile(t)
		if err != nil {
			return 0, 0, err
		}
		ns, err := strconv.ParseFloat(strings.Fields(string(text))[0], 64)
		if err != nil {
			return 0, 0, err
		}
		cpu += ns / 1e9
	}
	err = lines(pid, "io", func(key string, x float64) {
		if key == "rchar" || key == "wchar" {
			bytes += x
		}
	})
	return cpu, bytes, err
}

// memory is a process's resident memory now and at most, in MiB.
func memory(pid int) (now, most float64, err error) {
	err = lines(pid, "status", func(key string, x float64) {
		switch key {
		case "VmRSS":
			now = x / 1024
		case "VmHWM":
			most = x / 1024
		}
	})
	return now, most, err
}

// lines reads a file of /proc that has a key and a number in each line; others are passed over.
func lines(pid int, name string, f func(key string, x float64)) error {
	file, err := os.Open(fmt.Sprintf("/proc/%d/%s", pid, name))
	if err != nil {
		return err
	}
	defer file.Close()
	scan := bufio.NewScanner(file)
	for scan.Scan() {
		key, rest, _ := strings.Cut(scan.Text(), ":")
		if words := strings.Fields(rest); len(words) > 0 {
			if x, err := strconv.ParseFloat(words[0], 64); err == nil {
				f(key, x)
			}
		}
	}
	return scan.Err()
}
