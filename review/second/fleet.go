package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// wayloftPath is the program that the deploy file builds, from the root, where run.sh starts this one.
const wayloftPath = "bin/wayloft"

// process is one of the project's own programs.
type process struct {
	b       *bench
	name    string
	command *exec.Cmd
	done    chan struct{} // closed at its end
}

// start starts a process. Its output goes to a file, and from there into the record.
func (b *bench) start(name string, command *exec.Cmd) (*process, error) {
	p := &process{b: b, name: name, command: command, done: make(chan struct{})}
	log, err := os.Create(p.logPath())
	if err != nil {
		return nil, err
	}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = command.Wait()
		close(p.done)
	}()
	b.processes = append(b.processes, p)
	b.record(name, "started: %s", strings.Join(command.Args, " "))
	return p, nil
}

func (p *process) logPath() string { return filepath.Join(p.b.dir, p.name+".log") }

func (p *process) log() []byte {
	text, _ := os.ReadFile(p.logPath())
	return text
}

func (p *process) kill() {
	_ = p.command.Process.Signal(syscall.SIGKILL)
	<-p.done
	p.b.record(p.name, "its log:\n%s", p.log())
}

// startCoordinators starts a coordinator cluster of three nodes, and returns their addresses.
func (b *bench) startCoordinators() (addresses []string, err error) {
	var peers strings.Builder
	for n := range 3 {
		addr, err := freeAddress()
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, addr)
		fmt.Fprintf(&peers, "[[council.peers]]\nname = \"c%d\"\naddress = %q\n", n+1, addr)
	}
	for n, addr := range addresses {
		name := fmt.Sprintf("c%d", n+1)
		path := filepath.Join(b.dir, name+".toml")
		text := fmt.Sprintf("[council]\nfleet = \"fleet\"\nname = %q\nlisten = %q\nfolder = %q\n%s", name, addr, filepath.Join(b.dir, name), peers.String())
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return nil, err
		}
		if _, err := b.start(name, exec.Command(wayloftPath, "coordinator", "run", "--config", path)); err != nil {
			return nil, err
		}
	}
	return addresses, nil
}

// switchover runs the operator's command, and calls onStep with each line that it prints.
func (b *bench) switchover(ctx context.Context, coordinator, to string, onStep func(line string)) error {
	command := exec.CommandContext(ctx, wayloftPath, "fleet", "switchover", "0", "--to", to, "--coordinator", coordinator)
	out, err := command.StdoutPipe()
	if err != nil {
		return err
	}
	command.Stderr = command.Stdout
	if err := command.Start(); err != nil {
		return err
	}
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		b.record("operator", "%s", lines.Text())
		onStep(lines.Text())
	}
	return command.Wait()
}

// awaitLease waits until the lease for switchovers has a holder.
func (b *bench) awaitLease(ctx context.Context, coordinator string) error {
	for ctx.Err() == nil {
		text, err := exec.CommandContext(ctx, wayloftPath, "fleet", "status", "--json", "--coordinator", coordinator).CombinedOutput()
		if err == nil && strings.Contains(string(text), "handover/0") {
			b.record("operator", "fleet status: %s", text)
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return errors.New("nobody holds the lease for switchovers")
}
