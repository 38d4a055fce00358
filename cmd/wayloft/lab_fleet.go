package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"wayloft/internal/fakes/pgserver"
	"wayloft/internal/lab/fleet"
)

type labFleetCmd struct {
	Council int    `help:"Processes of the council: three or five." default:"3"`
	Routers int    `help:"Routers." default:"4"`
	Members int    `help:"Stand-in members of the one group; the first is the primary." default:"3"`
	Policy  string `help:"A policy that it begins under: written to its folder, named, and in force everywhere before it is ready." type:"existingfile" placeholder:"FILE"`
	Dir     string `help:"Folder for settings, logs, records and what the processes store; a temporary one if not given." type:"path"`
}

func (c *labFleetCmd) Run() error {
	if c.Council < 1 || c.Routers < 1 || c.Members < 1 {
		return errors.New("one process of each kind at least")
	}
	if c.Policy != "" { // before anything is started
		if _, err := (&policyFile{File: c.Policy}).read(); err != nil {
			return err
		}
	}
	dir := c.Dir
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "wayloft-fleet-"); err != nil {
			return err
		}
		defer os.RemoveAll(dir)
	} else if names, err := filepath.Glob(filepath.Join(dir, "*")); err != nil || len(names) > 0 {
		return fmt.Errorf("%s: must be empty, or not be there yet", dir)
	}
	binary, err := os.Executable()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	f, err := fleet.New(fleet.Options{Binary: binary, Dir: dir, Coordinators: c.Council, Routers: c.Routers, Members: c.Members, FleetName: "fleet",
		HealthShareInterval: 250 * time.Millisecond, Switchover: true})
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.Start(); err != nil {
		return err
	}
	path, err := c.under(f)
	if err != nil {
		return err
	}
	for _, p := range f.Processes() {
		fmt.Printf("%s %s %s pid %d\n", p.Kind, p.Name[1:], p.Addr, p.Pid())
	}
	if path != "" {
		fmt.Printf("policy %s\n", path)
	}
	fmt.Println("ready")
	// Members that fail are replaced, as a cluster's own manager would.
	f.ManageMembers(ctx)
	return nil
}

// under puts the policy in force and gives the path of its file; "": there is none.
func (c *labFleetCmd) under(f *fleet.Fleet) (string, error) {
	if c.Policy == "" {
		return "", nil
	}
	d, err := (&policyFile{File: c.Policy}).read()
	if err != nil {
		return "", err
	}
	path, err := f.WritePolicy("policy", d)
	if err != nil {
		return "", err
	}
	out, err := f.RunCommand("policy", "propose", path, "--reason", "the fleet begins", "--wait", fleet.WaitLimit.String(), "--routers", fmt.Sprint(c.Routers))
	if err != nil {
		return "", fmt.Errorf("%s: %w: %s", path, err, out)
	}
	return path, nil
}

type labMemberCmd struct {
	Folder  string        `help:"The cluster's folder." required:"" type:"path"`
	Name    string        `help:"The member's name." required:""`
	Listen  string        `help:"Address." required:""`
	Primary bool          `help:"It begins as the primary."`
	NoGuard bool          `help:"It has no guard row."`
	Lag     time.Duration `help:"Of a replica." default:"5ms"`
	Takes   time.Duration `help:"What a statement takes." default:"0s"`
}

func (c *labMemberCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	cluster, err := pgserver.OpenShared(c.Folder, c.Name)
	if err != nil {
		return err
	}
	if err := cluster.Initialize(c.Primary, !c.NoGuard); err != nil {
		return err
	}
	s, err := pgserver.NewServer(cluster, func(s *pgserver.Server) {
		s.Lag, s.Listen = c.Lag, c.Listen
		if c.Takes > 0 {
			s.Delay = func() time.Duration { return c.Takes }
		}
	})
	if err != nil {
		return err
	}
	defer s.Close()
	logrus.WithFields(logrus.Fields{"name": c.Name, "listen": s.Addr}).Info("member")
	<-ctx.Done()
	return nil
}
