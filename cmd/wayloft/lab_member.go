package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"wayloft/internal/fakes/pgserver"
)

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
	server, err := pgserver.NewServer(cluster, func(s *pgserver.Server) {
		s.Lag, s.Listen = c.Lag, c.Listen
		if c.Takes > 0 {
			s.Delay = func() time.Duration { return c.Takes }
		}
	})
	if err != nil {
		return err
	}
	defer server.Close()
	logrus.WithFields(logrus.Fields{"name": c.Name, "listen": server.Addr}).Info("member")
	<-ctx.Done()
	return nil
}
