package main

import (
	"fmt"
	"net"
	"os"
	"runtime/pprof"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"wayloft/internal/fakes/pgserver"
	"wayloft/internal/lab"
	"wayloft/internal/server"
)

type labFastCmd struct {
	For     time.Duration   `help:"How long each run counts." default:"2s"`
	Clients []int           `help:"Closed-loop clients." default:"1,16,64,200"`
	Takes   []time.Duration `help:"How long a member takes for an answer." default:"0ms,1ms,5ms,20ms,60ms"`
	Forms   []string        `help:"Of: direct, platform, plain (pooled by transaction), transaction, prepared." default:"direct,platform"`
	Members int             `help:"Members." default:"1"`
	Profile string          `help:"Write a CPU profile of the whole run there." type:"path" placeholder:"FILE"`
	Links   int             `help:"Connections to a member, in the pooled forms." default:"16"`
}

func (c *labFastCmd) Run() error {
	logrus.SetLevel(logrus.ErrorLevel)
	if c.Profile != "" {
		f, err := os.Create(c.Profile)
		if err != nil {
			return err
		}
		defer f.Close()
		if err := pprof.StartCPUProfile(f); err != nil {
			return err
		}
		defer pprof.StopCPUProfile()
	}
	for _, takes := range c.Takes {
		cluster, err := lab.StartCluster(c.Members, takes, func(s *pgserver.Server) { s.Lag = 0 })
		if err != nil {
			return err
		}
		for _, clients := range c.Clients {
			for _, form := range c.Forms {
				seen, err := c.one(cluster, form, clients)
				if err != nil {
					return fmt.Errorf("%s, %d clients: %w", form, clients, err)
				}
				fmt.Printf("answers take %-5s %4d clients  %-11s %s  cpu %s\n", takes, clients, form, seen, seen.CPU.Round(time.Microsecond/10))
			}
		}
		cluster.Close()
	}
	return nil
}

func (c *labFastCmd) one(cluster *lab.Cluster, form string, clients int) (lab.LoadResult, error) {
	load := lab.Load{Addr: cluster.Servers[0].Addr, Clients: clients, Duration: c.For, WarmUp: time.Second, Request: lab.StatementQuery}
	p := lab.Pool{Mode: "transaction", PerMember: c.Links, MaxConnections: 1000}
	switch form {
	case "direct":
		return load.Run()
	case "platform":
		p.Mode = "platform"
	case "plain":
		load.Request = lab.PlainQuery
	case "transaction":
		load.Request, load.ReadyCount = lab.TransactionQueries, 3
	case "prepared":
		load.Request = lab.PreparedQuery
	default:
		return lab.LoadResult{}, fmt.Errorf("no such form: %s", form)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return lab.LoadResult{}, err
	}
	load.Addr = listener.Addr().String()
	text := cluster.Configuration(load.Addr, p)
	if form == "plain" || form == "prepared" { // reads, that any member may answer
		text = strings.Replace(text, `write = "write"`, `write = "look"`, 1)
	}
	conf, err := server.DecodeTOML([]byte(text))
	if err != nil {
		return lab.LoadResult{}, err
	}
	signals, ended := make(chan os.Signal, 1), make(chan error, 1)
	go func() { ended <- server.Run(conf, listener, signals) }()
	seen, err := load.Run()
	signals <- os.Interrupt
	if e := <-ended; err == nil {
		err = e
	}
	return seen, err
}
