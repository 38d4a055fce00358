package main

import (
	"net"

	"wayloft/internal/server"
)

type serveCmd struct{ configFlag }

// Help implements kong.HelpProvider.
func (*serveCmd) Help() string { return "Example: wayloft serve --config wayloft.toml" }

func (c *serveCmd) Run() error {
	signals := server.NotifySignals() // before the configuration is read, so that from here on SIGHUP doesn't end the process
	conf, err := server.Load(c.Config)
	if err != nil {
		return err
	}
	if err := conf.ApplyProcessLimits(); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", conf.Listen)
	if err != nil {
		return err
	}
	return server.Run(conf, listener, signals)
}
