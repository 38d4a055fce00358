package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"wayloft/internal/decide/policy"
	"wayloft/internal/lab/fleet"
)

type labFleetCmd struct {
	Coordinators int    `name:"council" aliases:"coordinators" help:"Number of coordinator nodes: three or five." default:"3"`
	Routers      int    `help:"Number of routers." default:"4"`
	Members      int    `help:"Number of fake members, all in one group; the first is the primary." default:"3"`
	Policy       string `help:"Initial policy: copied to the directory, its path printed, and in force at all routers before the fleet is ready." type:"existingfile" placeholder:"FILE"`
	Dir          string `help:"Directory for settings, logs, audit logs and stored data; by default a temporary one." type:"path"`
}

// labHealthShareInterval is the interval of shared health checks of a member in lab fleets.
const labHealthShareInterval = 250 * time.Millisecond

var errEmptyFleet = errors.New("at least one process of each kind is required")

// Help implements kong.HelpProvider.
func (*labFleetCmd) Help() string { return "Example: wayloft lab fleet --council 3 --routers 4" }

func (c *labFleetCmd) Run(out *printer) (err error) {
	if c.Coordinators < 1 || c.Routers < 1 || c.Members < 1 {
		return errEmptyFleet
	}
	document, err := c.readPolicy() // before any process is started
	if err != nil {
		return err
	}
	dir, remove, err := prepareDir(c.Dir, "wayloft-fleet-")
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, remove()) }()
	binary, err := os.Executable()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	f, err := fleet.New(fleet.Options{Binary: binary, Dir: dir, Coordinators: c.Coordinators, Routers: c.Routers, Members: c.Members, FleetName: "fleet",
		HealthShareInterval: labHealthShareInterval, Switchover: true})
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.Start(); err != nil {
		return err
	}
	path, err := c.applyPolicy(f, document)
	if err != nil {
		return err
	}
	for _, p := range f.Processes() {
		out.printf("%s %s %s pid %d\n", p.Kind, p.Name[1:], p.Addr, p.Pid())
	}
	if path != "" {
		out.printf("policy %s\n", path)
	}
	out.println("ready")
	// Fails over to another member when the primary's process is gone, as a cluster manager would.
	f.ManageMembers(ctx)
	return nil
}

// prepareDir returns a working directory and a function that removes it if it is temporary. A requested directory must be empty or missing.
func prepareDir(requested, pattern string) (dir string, remove func() error, err error) {
	if requested == "" {
		dir, err = os.MkdirTemp("", pattern)
		return dir, func() error { return os.RemoveAll(dir) }, err
	}
	names, err := filepath.Glob(filepath.Join(requested, "*"))
	if err != nil || len(names) > 0 {
		return "", nil, fmt.Errorf("%s: must be empty or must not exist", requested)
	}
	return requested, func() error { return nil }, nil
}

// readPolicy reads the initial policy; it returns nil if none was given.
func (c *labFleetCmd) readPolicy() (policy.Document, error) {
	if c.Policy == "" {
		return nil, nil
	}
	return (&policyFile{File: c.Policy}).read()
}

// applyPolicy puts the initial policy in force at all routers and returns the path of its file, or "" if none was given.
func (c *labFleetCmd) applyPolicy(f *fleet.Fleet, document policy.Document) (string, error) {
	if c.Policy == "" {
		return "", nil
	}
	path, err := f.WritePolicy("policy", document)
	if err != nil {
		return "", err
	}
	text, err := f.RunCommand("policy", "propose", path, "--reason", "the fleet begins", "--wait", fleet.WaitLimit.String(),
		"--routers", strconv.Itoa(c.Routers))
	if err != nil {
		return "", fmt.Errorf("%s: %w: %s", path, err, text)
	}
	return path, nil
}
