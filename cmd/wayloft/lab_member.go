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
	ClusterDir    string        `name:"folder" help:"Directory shared by the members of the cluster." required:"" type:"path"`
	Name          string        `help:"Name of the member." required:""`
	Listen        string        `help:"Listen address." required:""`
	Primary       bool          `help:"Start as the primary."`
	NoGuardRow    bool          `name:"no-guard" help:"Start without a guard row."`
	Lag           time.Duration `help:"Replication lag as a replica." default:"5ms"`
	StatementTime time.Duration `name:"takes" help:"Time that each statement takes." default:"0s"`
}

func (c *labMemberCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	cluster, err := pgserver.OpenShared(c.ClusterDir, c.Name)
	if err != nil {
		return err
	}
	if err := cluster.Initialize(c.Primary, !c.NoGuardRow); err != nil {
		return err
	}
	server, err := pgserver.NewServer(cluster, func(s *pgserver.Server) {
		s.Lag, s.ListenAddress = c.Lag, c.Listen
		if c.StatementTime > 0 {
			s.Delay = func() time.Duration { return c.StatementTime }
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
