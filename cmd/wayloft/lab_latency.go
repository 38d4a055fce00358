package main

import (
	"errors"
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

type labLatencyCmd struct {
	RunDuration   time.Duration   `name:"for" help:"Measured duration of each run." default:"2s"`
	Clients       []int           `help:"Numbers of closed-loop clients." default:"1,16,64,200"`
	ResponseTimes []time.Duration `name:"takes" help:"Response times of the members." default:"0ms,1ms,5ms,20ms,60ms"`
	Modes         []string        `name:"forms" aliases:"modes" help:"Modes to measure: direct, platform, plain (transaction pooling), transaction, prepared." default:"direct,platform"`
	Members       int             `help:"Number of members." default:"1"`
	Profile       string          `help:"Write a CPU profile of the whole run to this file." type:"path" placeholder:"FILE"`
	Connections   int             `name:"links" aliases:"connections" help:"Connections per member, in the pooled modes." default:"16"`
}

// latencyWarmUp is how long each run lasts before measurement starts.
const latencyWarmUp = time.Second

// Help implements kong.HelpProvider.
func (*labLatencyCmd) Help() string {
	return "Example: wayloft lab latency --forms direct,platform,plain --clients 16 --takes 5ms"
}

func (c *labLatencyCmd) Run(out *printer) (err error) {
	logrus.SetLevel(logrus.ErrorLevel)
	if c.Profile != "" {
		file, err := os.Create(c.Profile)
		if err != nil {
			return err
		}
		defer func() { err = errors.Join(err, file.Close()) }()
		if err := pprof.StartCPUProfile(file); err != nil {
			return err
		}
		defer pprof.StopCPUProfile()
	}
	for _, responseTime := range c.ResponseTimes {
		if err := c.runCluster(out, responseTime); err != nil {
			return err
		}
	}
	return nil
}

// runCluster runs each load against members with a given response time.
func (c *labLatencyCmd) runCluster(out *printer, responseTime time.Duration) error {
	cluster, err := lab.StartCluster(c.Members, responseTime, func(s *pgserver.Server) { s.Lag = 0 })
	if err != nil {
		return err
	}
	defer cluster.Close()
	for _, clients := range c.Clients {
		for _, mode := range c.Modes {
			result, err := c.runLoad(cluster, mode, clients)
			if err != nil {
				return fmt.Errorf("%s, %d clients: %w", mode, clients, err)
			}
			out.printf("response time %-5s %4d clients  %-11s %s  cpu %s\n", responseTime, clients, mode, result, result.CPU.Round(time.Microsecond/10))
		}
	}
	return nil
}

// runLoad runs one load, directly or through a router in this process.
func (c *labLatencyCmd) runLoad(cluster *lab.Cluster, mode string, clients int) (result lab.LoadResult, err error) {
	load := lab.Load{Addr: cluster.Servers[0].Addr, Clients: clients, Duration: c.RunDuration, WarmUp: latencyWarmUp, Request: lab.CommentedQuery}
	if mode == "direct" {
		return load.Run()
	}
	pool := lab.Pool{Mode: "transaction", PerMember: c.Connections, MaxConnections: 1000}
	if err := setMode(mode, &load, &pool); err != nil {
		return lab.LoadResult{}, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return lab.LoadResult{}, err
	}
	load.Addr = listener.Addr().String()
	text := cluster.Configuration(load.Addr, pool)
	if mode == "plain" || mode == "prepared" { // their requests are reads, which any member may serve
		text = strings.Replace(text, `write = "write"`, `write = "look"`, 1)
	}
	conf, err := server.DecodeTOML([]byte(text))
	if err != nil {
		return lab.LoadResult{}, err
	}
	signals, ended := make(chan os.Signal, 1), make(chan error, 1)
	go func() { ended <- server.Run(conf, listener, signals) }()
	result, err = load.Run()
	signals <- os.Interrupt
	return result, errors.Join(err, <-ended)
}

// setMode configures a load and the router's pool for a mode.
func setMode(mode string, load *lab.Load, pool *lab.Pool) error {
	switch mode {
	case "platform":
		pool.Mode = "platform"
	case "plain":
		load.Request = lab.PlainQuery
	case "transaction":
		load.Request, load.ReadyCount = lab.TransactionQueries, 3
	case "prepared":
		load.Request = lab.PreparedQuery
	default:
		return fmt.Errorf("--forms: unknown mode %s", mode)
	}
	return nil
}
