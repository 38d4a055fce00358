package main

import (
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"

	"wayloft/internal/lab"
)

type labCmd struct {
	Up     labUpCmd     `cmd:"" help:"Start a stand-in cluster and a router before it, until interrupted."`
	Fleet  labFleetCmd  `cmd:"" help:"Start a fleet of processes, council, routers and stand-in members, until interrupted."`
	Owners labOwnersCmd `cmd:"" help:"Print what owners cost and save: time without one, the council's work, checks, service."`
	Member labMemberCmd `cmd:"" hidden:"" help:"One stand-in member, as a process."`
	Idle   labIdleCmd   `cmd:"" help:"Print what a resting session costs in memory."`
	Still  labStillCmd  `cmd:"" help:"Print what a router costs that nothing is asked of, by members listed and sessions resting."`
	Fast   labFastCmd   `cmd:"" help:"Print what a router costs where members answer fast: direct and through it, in one run."`
	Size   labSizeCmd   `cmd:"" help:"Print what each role of an installation costs, at a size: council, routers, sight, discovery, databases."`
	Hollow labHollowCmd `cmd:"" hidden:"" help:"Many hollow routers or databases, as one process."`
}

type labUpCmd struct {
	Members int    `help:"Members of the cluster; the first is the primary." default:"3"`
	Listen  string `help:"Address for clients." default:"127.0.0.1:0"`
}

func (c *labUpCmd) Run() error {
	if c.Members < 1 {
		return fmt.Errorf("--members: one at least, not %d", c.Members)
	}
	cluster, err := lab.Start(c.Members, 0, nil)
	if err != nil {
		return err
	}
	defer cluster.Close()
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	addr := listener.Addr().String()
	conf, err := decodeTOML([]byte(cluster.Configuration(addr, lab.Pool{Form: "transaction"})))
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	fmt.Println("router " + addr)
	return serve(conf, listener, signals)
}
