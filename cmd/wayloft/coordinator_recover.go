package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"wayloft/internal/coordinator"
	"wayloft/internal/decide/leasestate"
	"wayloft/internal/decide/raftnode"
	"wayloft/internal/fleet"
	"wayloft/internal/fleetpb"
	"wayloft/internal/rpc"
	"wayloft/internal/storage"
)

type coordinatorRecoverCmd struct {
	Config       string   `help:"Settings of the one remaining node, which must not be running." type:"existingfile" placeholder:"FILE" xor:"how"`
	Coordinators []string `name:"council" aliases:"coordinator" help:"Addresses of a coordinator that is running but has lost its state." placeholder:"ADDR" xor:"how"`
	Fleet        string   `help:"Name of the fleet, with --council." default:"fleet"`
	KnownEpoch   uint64   `name:"above" help:"Highest epoch that any receiver has seen."`
	Confirmation string   `name:"word" help:"Confirmation word, instead of the prompt." placeholder:"WORD"`
}

// Help implements kong.HelpProvider.
func (*coordinatorRecoverCmd) Help() string {
	return "Example: wayloft coordinator recover --config c1.toml"
}

// confirmationWord must be typed to confirm a recovery, which can't be undone.
const confirmationWord = "give up"

var (
	errNotConfirmed    = errors.New("not confirmed: nothing was changed")
	errNoRecoverSource = errors.New("--config (the one remaining node) or --council (a running coordinator) is required")
)

func (c *coordinatorRecoverCmd) Run(out *printer) error {
	switch {
	case c.Config != "":
		return c.recoverFromDirectory(out)
	case len(c.Coordinators) > 0:
		return c.beginEpoch(out)
	}
	return errNoRecoverSource
}

// confirm prompts for the confirmation word unless it was passed as a flag.
func (c *coordinatorRecoverCmd) confirm(out *printer) error {
	word := c.Confirmation
	if word == "" {
		out.printf("Type %q to continue: ", confirmationWord)
		var err error
		if word, err = bufio.NewReader(os.Stdin).ReadString('\n'); err != nil && !errors.Is(err, io.EOF) {
			return err
		}
	}
	if strings.TrimSpace(word) != confirmationWord {
		return errNotConfirmed
	}
	return nil
}

// beginEpoch begins a new epoch in a running coordinator.
func (c *coordinatorRecoverCmd) beginEpoch(out *printer) error {
	client := fleet.NewClient(c.Fleet, c.Coordinators, nil)
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), coordinatorTimeout)
	defer cancel()
	s, err := client.State(ctx)
	if err != nil {
		return err
	}
	epoch := nextEpoch(s, c.KnownEpoch)
	out.printf("Epoch %d will replace epoch %d. Every lease holder loses its leases; operations that they still have in flight will be rejected.\n", epoch, s.Epoch)
	if err := c.confirm(out); err != nil {
		return err
	}
	ctx, cancel = context.WithTimeout(context.Background(), coordinatorTimeout) // a new timeout: the prompt may have outlasted the first
	defer cancel()
	result, err := client.ProposeEntry(ctx, leasestate.Entry{Kind: leasestate.BeginEpoch, Epoch: epoch})
	if err != nil {
		return err
	}
	if result.Rejection != "" {
		return result.Rejection
	}
	out.printf("epoch %d has begun\n", epoch)
	return nil
}

// nextEpoch returns an epoch above every one that the coordinator, a receiver or the operator knows.
func nextEpoch(s *fleetpb.State, known uint64) uint64 {
	epoch := max(s.Epoch, known)
	for _, lease := range s.State.Duties {
		epoch = max(epoch, lease.Barred.GetEpoch(), lease.Fence.GetEpoch())
	}
	return epoch + 1
}

// recoverFromDirectory makes a single-node coordinator cluster from the remaining data directory.
func (c *coordinatorRecoverCmd) recoverFromDirectory(out *printer) (err error) {
	conf, err := readCoordinatorFile(c.Config)
	if err != nil {
		return err
	}
	if _, err := os.Stat(conf.Dir); err != nil {
		return fmt.Errorf("no data directory to recover from: %w; start a new coordinator: its epoch is above the old one's unless the wall clock was stepped back, in which case pass --above EPOCH to run", err)
	}
	store, err := storage.Open(conf.Dir, conf.Fleet, conf.Name, rpc.UniqueID)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, store.Close()) }()
	stored, _, err := coordinator.ReadStored(store)
	if err != nil {
		return err
	}
	recovery, err := raftnode.Recover(conf.Fleet, conf.Name, advertisedAddress(conf), stored, c.KnownEpoch)
	if err != nil {
		return fmt.Errorf("%s: %w", conf.Dir, err)
	}
	out.printf("%s becomes a single-node coordinator cluster, with entries up to %d (known to be committed: up to %d), in epoch %d, which replaces epoch %d.\n",
		conf.Name, recovery.LastIndex, recovery.CommittedIndex, recovery.Epoch, recovery.PreviousEpoch)
	for _, peer := range recovery.RemovedPeers {
		out.printf("Abandoned: %s at %s, with all data that only it had. It must not be started again; add nodes under new names.\n", peer.Name, peer.Addr)
	}
	out.println("Every lease holder loses its leases; operations that they still have in flight will be rejected.")
	if err := c.confirm(out); err != nil {
		return err
	}
	if err := coordinator.WriteDecision(store, recovery.Decision); err != nil {
		return err
	}
	out.printf("epoch %d begins when %s is started\n", recovery.Epoch, conf.Name)
	return nil
}
