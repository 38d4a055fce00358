// Command wayloft is the router, the coordinator node, the operator commands and the lab in one binary. This package holds only the
// command line, with a file for each command; package server runs a router, package coordinator a coordinator node, package lab the lab.
package main

import (
	"errors"
	"os"
	"runtime/debug"
	"strings"

	"github.com/alecthomas/kong"
	"github.com/sirupsen/logrus"

	"wayloft/internal/server"
)

// configFlag is embedded in commands that read a router's configuration.
type configFlag struct {
	Config string `help:"Configuration file." env:"PROXY_CONFIG" required:"" type:"path" placeholder:"FILE"`
}

type checkCmd struct{ configFlag }

// Help implements kong.HelpProvider.
func (*checkCmd) Help() string { return "Example: wayloft check --config wayloft.toml" }

func (c *checkCmd) Run(out *printer) error {
	conf, err := server.Load(c.Config)
	if err != nil {
		return err
	}
	out.printf("%s: ok: %s listens on %s, %d members known, %d request classes\n", c.Config, conf.Name, conf.Listen,
		len(conf.Members.Entries), len(conf.Router.RequestClasses))
	return nil
}

type versionCmd struct{}

// Help implements kong.HelpProvider.
func (versionCmd) Help() string { return "Example: wayloft version" }

func (versionCmd) Run(out *printer) error {
	version, commit := "unknown", ""
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				commit = " " + s.Value
			}
		}
	}
	out.printf("wayloft %s%s\n", version, commit)
	return out.err
}

var cli struct {
	Serve       serveCmd       `cmd:"" help:"Run a router until SIGTERM, then finish accepted requests and exit."`
	Check       checkCmd       `cmd:"" help:"Validate a router's configuration."`
	Coordinator coordinatorCmd `cmd:"" name:"coordinator" aliases:"council" help:"Run and manage coordinator nodes, which store the fleet's shared state."`
	Fleet       fleetCmd       `cmd:"" help:"Inspect leases and sessions, release leases and switch primaries."`
	Policy      policyCmd      `cmd:"" help:"Change the policy of all routers and see which routers apply it."`
	Lab         labCmd         `cmd:"" help:"Run and measure routers on loopback, with fake members."`
	Version     versionCmd     `cmd:"" help:"Print the version."`
}

func main() {
	ctx := kong.Parse(&cli, kong.Name("wayloft"),
		kong.Description("A read/write splitter for database clusters."))
	logrus.SetOutput(os.Stderr)
	logrus.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, DisableColors: true,
		TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	out := &printer{out: os.Stdout}
	ctx.Bind(out)
	if err := errors.Join(ctx.Run(), out.err); err != nil {
		status := 1
		var e statusError
		if errors.As(err, &e) {
			status = e.status
		}
		for _, line := range strings.Split(err.Error(), "\n") { // one log line for each of several errors
			if line != "" {
				logrus.Error(line)
			}
		}
		os.Exit(status)
	}
}
