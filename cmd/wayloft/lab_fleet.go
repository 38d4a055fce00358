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
	Coordinators int    `name:"council" aliases:"coordinators" help:"Coordinator nodes: three or five." default:"3"`
	Routers      int    `help:"Routers." default:"4"`
	Members      int    `help:"Fake members of the one group; the first is the primary." default:"3"`
	Policy       string `help:"A policy that it begins under: written to its directory, named, and in force everywhere before it is ready." type:"existingfile" placeholder:"FILE"`
	Dir          string `help:"Directory for settings, logs, audit logs and what the processes store; a temporary one if not given." type:"path"`
}

// labHealthShareInterval is the time between two shared health checks of a member in the laboratory's fleets.
const labHealthShareInterval = 250 * time.Millisecond

var errEmptyFleet = errors.New("one process of each kind at least")

// Help gives an example.
func (*labFleetCmd) Help() string { return "Example: wayloft lab fleet --council 3 --routers 4" }

func (c *labFleetCmd) Run(out *printer) (err error) {
	if c.Coordinators < 1 || c.Routers < 1 || c.Members < 1 {
		return errEmptyFleet
	}
	document, err := c.readPolicy() // before anything is started
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
	// Members that fail are replaced, as a cluster's own manager would.
	f.ManageMembers(ctx)
	return nil
}

// prepareDir gives a directory to work in, and what removes it if it is a temporary one. One that is named must be empty.
func prepareDir(requested, pattern string) (dir string, remove func() error, err error) {
	if requested == "" {
		dir, err = os.MkdirTemp("", pattern)
		return dir, func() error { return os.RemoveAll(dir) }, err
	}
	names, err := filepath.Glob(filepath.Join(requested, "*"))
	if err != nil || len(names) > 0 {
		return "", nil, fmt.Errorf("%s: must be empty, or not be there yet", requested)
	}
	return requested, func() error { return nil }, nil
}

// readPolicy reads the policy that the fleet begins under; nil: none is given.
func (c *labFleetCmd) readPolicy() (policy.Document, error) {
	if c.Policy == "" {
		return nil, nil
	}
	return (&policyFile{File: c.Policy}).read()
}

// applyPolicy puts the policy in force at all routers and gives the path of its file; "": there is none.
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
