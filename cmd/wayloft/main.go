// Command wayloft is the router, the coordinator node, the operator's commands and the laboratory in one program. This package is the
// command line alone: package server runs a router.
package main

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"strings"

	"github.com/alecthomas/kong"
	"github.com/sirupsen/logrus"

	"wayloft/internal/server"
)

// configFlag is the flag of the commands that read a router's configuration.
type configFlag struct {
	Config string `help:"Configuration file." env:"PROXY_CONFIG" required:"" type:"path" placeholder:"FILE"`
}

type checkCmd struct{ configFlag }

func (c *checkCmd) Run() error {
	conf, err := server.Load(c.Config)
	if err != nil {
		return err
	}
	fmt.Printf("%s: ok: %s listens on %s, %d members known, %d request classes\n", c.Config, conf.Name, conf.Listen,
		len(conf.Members.Entries), len(conf.Router.RequestClasses))
	return nil
}

type versionCmd struct{}

func (versionCmd) Run() error {
	version, commit := "unknown", ""
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				commit = " " + s.Value
			}
		}
	}
	fmt.Printf("wayloft %s%s\n", version, commit)
	return nil
}

var cli struct {
	Serve   serveCmd   `cmd:"" help:"Serve until SIGTERM, then answer all requests that were taken and exit."`
	Check   checkCmd   `cmd:"" help:"Read the configuration and say what is wrong with it."`
	Council councilCmd `cmd:"" name:"coordinator" aliases:"council" help:"The coordinator nodes, which keep the fleet's small state."`
	Fleet   fleetCmd   `cmd:"" help:"What processes of the fleet do as one."`
	Policy  policyCmd  `cmd:"" help:"What all routers agree on: change it, and see which router has applied it."`
	Lab     labCmd     `cmd:"" help:"Try a router out on loopback, with a cluster of fake members."`
	Version versionCmd `cmd:"" help:"Print the version."`
}

func main() {
	ctx := kong.Parse(&cli, kong.Name("wayloft"),
		kong.Description("A read/write splitter for database clusters."))
	logrus.SetOutput(os.Stderr)
	logrus.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, DisableColors: true,
		TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	if err := ctx.Run(); err != nil {
		status := 1
		var e exit
		if errors.As(err, &e) {
			status = e.status
		}
		for _, line := range strings.Split(err.Error(), "\n") { // a line each, also where several things are wrong
			if line != "" {
				logrus.Error(line)
			}
		}
		os.Exit(status)
	}
}
