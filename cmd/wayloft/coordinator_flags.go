package main

import (
	"context"
	"time"

	"wayloft/internal/fleet"
	"wayloft/internal/fleetpb"
)

// coordinatorTimeout limits how long a command waits for the coordinator. It is longer than an election takes.
const coordinatorTimeout = 5 * time.Second

// coordinatorFlags are the flags of commands that call a coordinator cluster.
type coordinatorFlags struct {
	Coordinators []string `name:"coordinator" aliases:"council" help:"Addresses of the coordinator nodes." required:"" placeholder:"ADDR" env:"WAYLOFT_COUNCIL"`
	Fleet        string   `help:"Name of the fleet." default:"fleet" env:"WAYLOFT_FLEET"`
}

func (f *coordinatorFlags) client() *fleet.Client {
	return fleet.NewClient(f.Fleet, f.Coordinators, nil)
}

// state fetches the coordinator's state.
func (f *coordinatorFlags) state() (*fleetpb.State, error) {
	client := f.client()
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), coordinatorTimeout)
	defer cancel()
	return client.State(ctx)
}
