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

type labUpCmd struct {
	Members int    `help:"Number of members; the first is the primary." default:"3"`
	Listen  string `help:"Listen address for clients." default:"127.0.0.1:0"`
}

// Help implements kong.HelpProvider.
func (*labUpCmd) Help() string { return "Example: wayloft lab up --listen 127.0.0.1:6432" }

func (c *labUpCmd) Run(out *printer) error {
	if c.Members < 1 {
		return fmt.Errorf("--members: must be at least 1, not %d", c.Members)
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
	out.println("router " + addr)
	return server.Run(conf, listener, signals)
}
