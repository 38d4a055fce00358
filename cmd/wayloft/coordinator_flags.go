package main

import (
	"context"
	"time"

	"wayloft/internal/fleet"
	"wayloft/internal/fleetpb"
)

// coordinatorTimeout is how long a command waits for the coordinator: longer than an election takes.
const coordinatorTimeout = 5 * time.Second

// coordinatorFlags name a coordinator cluster, for the commands that ask it.
type coordinatorFlags struct {
	Coordinators []string `name:"coordinator" aliases:"council" help:"Addresses of the coordinator nodes." required:"" placeholder:"ADDR" env:"WAYLOFT_COUNCIL"`
	Fleet        string   `help:"The fleet's name." default:"fleet" env:"WAYLOFT_FLEET"`
}

func (f *coordinatorFlags) client() *fleet.Client {
	return fleet.NewClient(f.Fleet, f.Coordinators, nil)
}

// state asks for the coordinator's state once.
func (f *coordinatorFlags) state() (*fleetpb.State, error) {
	client := f.client()
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), coordinatorTimeout)
	defer cancel()
	return client.State(ctx)
}
