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
	Config       string   `help:"Settings of the one process that is left; it must not run." type:"existingfile" placeholder:"FILE" xor:"how"`
	Coordinators []string `name:"council" aliases:"coordinator" help:"Addresses of a coordinator that runs but has lost its state." placeholder:"ADDR" xor:"how"`
	Fleet        string   `help:"The fleet's name, with --council." default:"fleet"`
	KnownEpoch   uint64   `name:"above" help:"The highest epoch that any receiver has seen."`
	Confirmation string   `name:"word" help:"The word that says you mean it, in place of being asked." placeholder:"WORD"`
}

// Help gives an example.
func (*coordinatorRecoverCmd) Help() string {
	return "Example: wayloft council recover --config c1.toml"
}

// confirmationWord is what an operator types to confirm a recovery, since it can't be undone.
const confirmationWord = "give up"

var (
	errNotConfirmed    = errors.New("nothing was changed")
	errNoRecoverSource = errors.New("--config, of the one process that is left, or --council, of one that runs, must be given")
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

// confirm asks for the confirmation word, unless it was given as a flag.
func (c *coordinatorRecoverCmd) confirm(out *printer) error {
	word := c.Confirmation
	if word == "" {
		out.printf("Type %q to go on: ", confirmationWord)
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

// beginEpoch begins a new epoch in a coordinator that runs.
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
	out.printf("Epoch %d begins in place of %d. Every lease holder loses its leases; acts of theirs that are still on their way will be rejected.\n", epoch, s.Epoch)
	if err := c.confirm(out); err != nil {
		return err
	}
	ctx, cancel = context.WithTimeout(context.Background(), coordinatorTimeout) // anew: the operator has taken time to answer
	defer cancel()
	result, err := client.ProposeEntry(ctx, leasestate.Entry{Kind: leasestate.BeginEpoch, Epoch: epoch})
	if err != nil {
		return err
	}
	if result.Refusal != "" {
		return result.Refusal
	}
	out.printf("epoch %d has begun\n", epoch)
	return nil
}

// nextEpoch is above each epoch that the coordinator, a receiver or the operator knows of.
func nextEpoch(s *fleetpb.State, known uint64) uint64 {
	epoch := max(s.Epoch, known)
	for _, lease := range s.State.Duties {
		epoch = max(epoch, lease.Barred.GetEpoch(), lease.Fence.GetEpoch())
	}
	return epoch + 1
}

// recoverFromDirectory begins a coordinator of one node from the data directory that is left.
func (c *coordinatorRecoverCmd) recoverFromDirectory(out *printer) (err error) {
	conf, err := readCoordinatorFile(c.Config)
	if err != nil {
		return err
	}
	if _, err := os.Stat(conf.Dir); err != nil {
		return fmt.Errorf("no data directory is left to recover from: %w; start the coordinator anew, its epoch is above the old one's unless the wall clock was stepped back: then give run --above EPOCH", err)
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
	out.printf("%s becomes a coordinator cluster of its own, with entries up to %d (committed for sure: %d), in epoch %d in place of %d.\n",
		conf.Name, recovery.LastIndex, recovery.CommittedIndex, recovery.Epoch, recovery.PreviousEpoch)
	for _, peer := range recovery.RemovedPeers {
		out.printf("Given up: %s at %s, and whatever only it knew. It must not be started again; add nodes under new names.\n", peer.Name, peer.Addr)
	}
	out.println("Every lease holder loses its leases; acts of theirs that are still on their way will be rejected.")
	if err := c.confirm(out); err != nil {
		return err
	}
	if err := coordinator.WriteDecision(store, recovery.Decision); err != nil {
		return err
	}
	out.printf("epoch %d begins when %s is started\n", recovery.Epoch, conf.Name)
	return nil
}
