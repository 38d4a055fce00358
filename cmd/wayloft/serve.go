package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/lesismal/nbio/logging"
	"github.com/sirupsen/logrus"

	"wayloft/internal/clients"
	"wayloft/internal/discovery"
	"wayloft/internal/host"
	"wayloft/internal/members"
	"wayloft/internal/must"
	"wayloft/router"
)

const (
	ownSockets = 24 // descriptors for all but clients and members
)

type serveCmd struct{ where }

func (c *serveCmd) Run() error {
	conf, err := load(c.Config)
	if err != nil {
		return err
	}
	return serve(conf)
}

func serve(conf *config) error {
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM, os.Interrupt)
	debug.SetMemoryLimit(int64(conf.memory) / 10 * 7) // the rest is for stacks, and the system's share
	logging.SetLevel(logging.LevelNone)

	loop := host.NewLoop(conf.sockets)
	each := (conf.sockets - ownSockets) / 2 // a txn takes a session and a connection to a member
	r := router.New(conf.set, conf.seed)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var (
		h       *host.Host
		side    *members.Members
		watcher *discovery.Watcher
	)
	h = host.New(loop, r, func() { go watcher.Ask(ctx) })
	side = members.New(h, members.Limits{DialTimeout: conf.host.DialTimeout, IdleClose: conf.host.IdleClose,
		Reports: conf.host.Reports, Links: each})
	h.Use(side)
	list := func(l *discovery.List) {
		side.List(l)
		to := h.List()
		to.ListStart()
		for _, e := range l.Entries {
			to.Listed(e.ID, e.Zone, e.Group, e.State, e.Started)
		}
		to.ListEnd(l.Whole)
	}
	watcher = discovery.New(conf.discovery, conf.known.Revision,
		func(l *discovery.List) { loop.Post(func() { list(l) }) },
		func(err error) {
			logrus.WithError(err).Warn("the watch on the list ended")
			loop.Post(func() { h.List().ListFailed() })
		})
	front := clients.New(h, each, conf.memory/6)
	listener, err := net.Listen("tcp", conf.listen)
	if err != nil {
		return err
	}
	loop.Soon(func() {
		conf.known.Whole = true
		list(conf.known)
	})
	if err := loop.Listen(front.Gate(listener), front.Accept); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	logrus.WithFields(logrus.Fields{"name": conf.name, "listen": conf.listen, "revision": conf.known.Revision,
		"members": len(conf.known.Entries)}).Info("serving")
	if !conf.set.Ask {
		go watcher.Keep(ctx)
	}
	go func() {
		s := <-term
		logrus.WithField("signal", s).Info("draining")
		loop.Post(front.Drain)
	}()
	h.Run()
	logrus.WithFields(logrus.Fields{"broken": must.Broken(), "bad": front.Bad, "refused": front.Refused,
		"full": side.Full}).Info("ended")
	return nil
}
