package main

import (
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"

	"wayloft/internal/lab"
	"wayloft/internal/server"
)

type labCmd struct {
	Up     labUpCmd     `cmd:"" help:"Start a cluster of fake members and a router before it, until interrupted."`
	Fleet  labFleetCmd  `cmd:"" help:"Start a fleet of processes, coordinator, routers and fake members, until interrupted."`
	Owners labOwnersCmd `cmd:"" name:"leases" aliases:"owners" help:"Print what leases cost and save: time without a holder, the coordinator's work, health checks, service."`
	Member labMemberCmd `cmd:"" hidden:"" help:"One fake member, as a process."`
	Idle   labIdleCmd   `cmd:"" name:"idle-sessions" aliases:"idle" help:"Print what an idle session costs in memory."`
	Still  labStillCmd  `cmd:"" name:"idle-router" aliases:"still" help:"Print what an idle router costs, by members listed and idle sessions."`
	Fast   labFastCmd   `cmd:"" name:"latency" aliases:"fast" help:"Print what a router costs where members answer fast: direct and through it, in one run."`
	Size   labSizeCmd   `cmd:"" name:"scale" aliases:"size" help:"Print what each role of an installation costs, at a size: coordinator, routers, shared health checks, discovery, databases."`
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
	cluster, err := lab.StartCluster(c.Members, 0, nil)
	if err != nil {
		return err
	}
	defer cluster.Close()
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	addr := listener.Addr().String()
	conf, err := server.DecodeTOML([]byte(cluster.Configuration(addr, lab.Pool{Mode: "transaction"})))
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	fmt.Println("router " + addr)
	return server.Run(conf, listener, signals)
}
