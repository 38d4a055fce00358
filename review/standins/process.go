package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

var runLine = regexp.MustCompile(`(?m)^run *= *"(.*)"`)

// started are the processes that this one has started.
var started struct {
	mu  sync.Mutex
	all []*process
}

// stopAll ends all processes that were started and still run.
func stopAll() {
	started.mu.Lock()
	defer started.mu.Unlock()
	for _, p := range started.all {
		p.stop()
	}
}

// process is a router, started by the line run of the deploy file.
type process struct {
	command *exec.Cmd
	log     string
	exited  chan struct{}
}

// startRouter starts a router with a configuration file, and waits until it answers an empty query.
func startRouter(root, dir, config, listen string, env ...string) (*process, error) {
	deploy, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return nil, err
	}
	line := runLine.FindSubmatch(deploy)
	if line == nil {
		return nil, errors.New("the deploy file has no line run")
	}
	p := &process{log: filepath.Join(dir, "router.log"), exited: make(chan struct{})}
	log, err := os.Create(p.log)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	p.command = exec.Command("/bin/sh", "-c", string(line[1]))
	p.command.Dir = root
	p.command.Env = append(append(os.Environ(), "PROXY_CONFIG="+config, "TMPDIR="+dir), env...)
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.start(); err != nil {
		return nil, err
	}
	go func() {
		_ = p.command.Wait() // how it ended is in its log
		close(p.exited)
	}()
	if err := p.awaitReady(listen); err != nil {
		p.stop()
		return nil, err
	}
	return p, nil
}

func (p *process) start() error {
	started.mu.Lock()
	defer started.mu.Unlock()
	if err := p.command.Start(); err != nil {
		return err
	}
	started.all = append(started.all, p)
	return nil
}

func (p *process) awaitReady(listen string) error {
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		select {
		case <-p.exited:
			text, _ := os.ReadFile(p.log) // may be missing
			return fmt.Errorf("the router has ended: %s", text)
		default:
		}
		c, err := dialClient(listen)
		if err != nil {
			continue
		}
		_, err = c.query("")
		c.terminate()
		if err == nil {
			return nil
		}
	}
	return errors.New("the router is not ready after 15 s")
}

func (p *process) pid() int { return p.command.Process.Pid }

// running reports whether the process has not ended.
func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// stop ends the process: SIGTERM, and SIGKILL where that is not enough.
func (p *process) stop() {
	if !p.running() {
		return
	}
	_ = p.command.Process.Signal(syscall.SIGTERM) // fails only if it has ended
	select {
	case <-p.exited:
	case <-time.After(4 * time.Second):
		_ = p.command.Process.Kill() // fails only if it has ended
		<-p.exited
	}
}

// freeAddress returns a loopback address with a port that is free now.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }() // nothing was accepted
	return l.Addr().String(), nil
}

var (
	listenLine      = regexp.MustCompile(`(?m)^listen *= *".*"`)
	descriptorsLine = regexp.MustCompile(`(?m)^descriptors *= *[0-9]+`)
	sessionsLine    = regexp.MustCompile(`(?m)^sessions *= *[0-9]+`)
	membersPart     = regexp.MustCompile(`(?s)\n\[\[members\]\].*`)
)

// shippedDescriptors is the number of descriptors in the shipped configuration.
const shippedDescriptors = 4096

// shippedConfig is the shipped configuration for routers with pools, with this listen address and these members. Where a process may
// open fewer descriptors than it asks for, it has fewer sessions.
func shippedConfig(root, listen string, members ...string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "wayloft.toml"))
	if err != nil {
		return "", err
	}
	config := listenLine.ReplaceAllString(string(text), `listen = "`+listen+`"`)
	config = membersPart.ReplaceAllString(config, "\n")
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil && limit.Max < shippedDescriptors {
		config = descriptorsLine.ReplaceAllString(config, fmt.Sprintf("descriptors = %d", limit.Max))
		config = sessionsLine.ReplaceAllString(config, fmt.Sprintf("sessions = %d", limit.Max/2))
	}
	var out strings.Builder
	out.WriteString(config)
	for n, address := range members {
		fmt.Fprintf(&out, "\n[[members]]\nid = \"m%d\"\naddress = %q\n", n, address)
	}
	return out.String(), nil
}
