package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"

	"wayloft/internal/audit"
	"wayloft/internal/coordinator"
	"wayloft/internal/decide/raftnode"
	"wayloft/internal/settings"
)

type coordinatorRunCmd struct {
	Config     string `help:"Settings file, TOML." required:"" type:"existingfile" placeholder:"FILE"`
	KnownEpoch uint64 `name:"above" help:"An epoch known to have been used: a new cluster takes a later one, whatever the wall clock says." placeholder:"EPOCH"`
}

// Help implements kong.HelpProvider.
func (*coordinatorRunCmd) Help() string { return "Example: wayloft coordinator --config c1.toml" }

func (c *coordinatorRunCmd) Run() error {
	conf, err := readCoordinatorFile(c.Config)
	if err != nil {
		return err
	}
	signal.Ignore(syscall.SIGXFSZ) // at a file size limit the write fails instead of ending the process
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	log, err := audit.Open(conf.AuditLog, conf.Name)
	if err != nil {
		return fmt.Errorf("audit log: %w", err)
	}
	defer log.Close()
	node, err := coordinator.Open(c.coordinatorSettings(conf, log))
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", conf.Listen)
	if err != nil {
		return err
	}
	return node.Run(ctx, listener)
}

func (c *coordinatorRunCmd) coordinatorSettings(conf *settings.Coordinator, log *audit.Log) coordinator.Settings {
	var peers []raftnode.Peer
	for _, peer := range conf.Peers {
		peers = append(peers, raftnode.Peer{Name: peer.Name, Addr: peer.Address})
	}
	return coordinator.Settings{
		Fleet:            conf.Fleet,
		Name:             conf.Name,
		Dir:              conf.Dir,
		Address:          advertisedAddress(conf),
		Peers:            peers,
		PeerAddresses:    conf.PeerAddresses,
		TickMs:           float64(conf.Tick),
		SnapshotInterval: uint64(conf.SnapshotInterval),
		MaxConnections:   conf.MaxConnections,
		ClockOffsetMs:    float64(conf.ClockOffset),
		KnownEpoch:       c.KnownEpoch,
		AuditLog:         log,
	}
}
