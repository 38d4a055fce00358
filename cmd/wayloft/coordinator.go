package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"wayloft/internal/audit"
	"wayloft/internal/coordinator"
	"wayloft/internal/decide/leasestate"
	decide "wayloft/internal/decide/raftnode"
	"wayloft/internal/fleet"
	"wayloft/internal/fleetpb"
	"wayloft/internal/rpc"
	"wayloft/internal/settings"
	"wayloft/internal/storage"
)

// at names a coordinator, for the commands that ask it.
type at struct {
	Council []string `name:"coordinator" aliases:"council" help:"Addresses of the coordinator nodes." required:"" placeholder:"ADDR" env:"WAYLOFT_COUNCIL"`
	Fleet   string   `help:"The fleet's name." default:"fleet" env:"WAYLOFT_FLEET"`
}

func (a *at) client() *fleet.Client { return fleet.NewClient(a.Fleet, a.Council, nil) }

type councilCmd struct {
	Run     councilRunCmd     `cmd:"" default:"withargs" help:"Serve as one coordinator node, until SIGTERM."`
	Add     councilAddCmd     `cmd:"" help:"Have a node join the coordinator cluster; start it with join = true."`
	Remove  councilRemoveCmd  `cmd:"" help:"Have a node leave the coordinator cluster."`
	Status  councilStatusCmd  `cmd:"" help:"Print the coordinator nodes."`
	Recover councilRecoverCmd `cmd:"" help:"Begin a new epoch, or begin again from one data directory where the quorum is lost."`
}

type councilRunCmd struct {
	Config string `help:"Settings, TOML." required:"" type:"existingfile" placeholder:"FILE"`
	Above  uint64 `help:"An epoch known to have been: a coordinator that begins takes a later one, whatever the wall clock says." placeholder:"EPOCH"`
}

func readCouncil(path string) (*settings.Coordinator, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	c, err := settings.ReadCoordinator(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

func (c *councilRunCmd) Run() error {
	set, err := readCouncil(c.Config)
	if err != nil {
		return err
	}
	signal.Ignore(syscall.SIGXFSZ) // a file that may grow no further is an error of the write, not the end
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	rec, err := audit.Open(set.AuditLog, set.Name)
	if err != nil {
		return fmt.Errorf("record: %w", err)
	}
	defer rec.Close()
	var peers []decide.Peer
	addr := set.Listen
	for _, p := range set.Peers {
		if p.Name == set.Name {
			addr = p.Address
		}
		peers = append(peers, decide.Peer{Name: p.Name, Addr: p.Address})
	}
	process, err := coordinator.Open(coordinator.Settings{Fleet: set.Fleet, Name: set.Name, Dir: set.Dir, Address: addr, Peers: peers, PeerAddresses: set.PeerAddresses,
		Tick: float64(set.Tick), SnapshotInterval: uint64(set.SnapshotInterval), MaxConnections: set.MaxConnections, ClockOffset: float64(set.ClockOffset),
		KnownEpoch: c.Above, AuditLog: rec})
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", set.Listen)
	if err != nil {
		return err
	}
	return process.Run(ctx, listener)
}

type councilAddCmd struct {
	at
	Process []string `arg:"" help:"NAME=ADDR of each."`
}

func (c *councilAddCmd) Run() error {
	m := &fleetpb.Members{}
	for _, p := range c.Process {
		name, addr, ok := strings.Cut(p, "=")
		if !ok {
			return fmt.Errorf("%q: must be NAME=ADDR", p)
		}
		m.Add = append(m.Add, &fleetpb.Peer{Name: name, Address: addr})
	}
	return c.change(m)
}

type councilRemoveCmd struct {
	at
	Process []string `arg:"" help:"Names."`
}

func (c *councilRemoveCmd) Run() error { return c.change(&fleetpb.Members{Remove: c.Process}) }

func (a *at) change(m *fleetpb.Members) error {
	client := a.client()
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	ans, err := client.ChangeMembership(ctx, m)
	if err != nil {
		return err
	}
	if !ans.Held {
		return ans.Refusal
	}
	fmt.Println("agreed")
	return nil
}

type councilStatusCmd struct {
	at
	JSON bool `help:"As JSON."`
}

func (c *councilStatusCmd) Run() error {
	s, err := c.look()
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(map[string]any{"council": councilRows(s), "epoch": s.Epoch})
	}
	printCouncil(s)
	return nil
}

type councilRecoverCmd struct {
	Config  string   `help:"Settings of the one process that is left; it must not run." type:"existingfile" placeholder:"FILE" xor:"how"`
	Council []string `help:"Addresses of a council that runs but has lost its state." placeholder:"ADDR" xor:"how"`
	Fleet   string   `help:"The fleet's name, with --council." default:"fleet"`
	Above   uint64   `help:"The highest epoch that any receiver has seen."`
	Word    string   `help:"The word that says you mean it, in place of being asked." placeholder:"WORD"`
}

const recoverWord = "give up"

// meant asks for the word.
func (c *councilRecoverCmd) meant() error {
	word := c.Word
	if word == "" {
		fmt.Printf("Type %q to go on: ", recoverWord)
		word, _ = bufio.NewReader(os.Stdin).ReadString('\n')
	}
	if strings.TrimSpace(word) != recoverWord {
		return errors.New("nothing was changed")
	}
	return nil
}

func (c *councilRecoverCmd) Run() error {
	switch {
	case c.Config != "":
		return c.fromFolder()
	case len(c.Council) > 0:
		return c.running()
	}
	return errors.New("--config, of the one process that is left, or --council, of one that runs, must be given")
}

// running begins a new epoch in a coordinator that runs.
func (c *councilRecoverCmd) running() error {
	client := fleet.NewClient(c.Fleet, c.Council, nil)
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	s, err := client.State(ctx)
	if err != nil {
		return err
	}
	epoch := max(s.Epoch, c.Above)
	for _, d := range s.State.Duties {
		epoch = max(epoch, d.Barred.GetEpoch(), d.Fence.GetEpoch())
	}
	epoch++
	fmt.Printf("Epoch %d begins in place of %d. Every owner loses its duties; acts of theirs that are still on their way will be refused.\n", epoch, s.Epoch)
	if err := c.meant(); err != nil {
		return err
	}
	ctx, cancel = context.WithTimeout(context.Background(), patience)
	defer cancel()
	ans, err := client.ProposeEntry(ctx, leasestate.Entry{Kind: leasestate.BeginEpoch, Epoch: epoch})
	if err != nil {
		return err
	}
	if ans.Refusal != "" {
		return ans.Refusal
	}
	fmt.Printf("epoch %d has begun\n", epoch)
	return nil
}

// fromFolder begins a coordinator of one from what is left.
func (c *councilRecoverCmd) fromFolder() error {
	set, err := readCouncil(c.Config)
	if err != nil {
		return err
	}
	if _, err := os.Stat(set.Dir); err != nil {
		return fmt.Errorf("no folder is left to recover from: %w; start the council anew, its epoch is above the old one's unless the wall clock was stepped back: then give run --above EPOCH", err)
	}
	l, err := storage.Open(set.Dir, set.Fleet, set.Name, rpc.UniqueID)
	if err != nil {
		return err
	}
	defer l.Close()
	had, _, err := coordinator.ReadStored(l)
	if err != nil {
		return err
	}
	addr := set.Listen
	for _, p := range set.Peers {
		if p.Name == set.Name {
			addr = p.Address
		}
	}
	r, err := decide.Recover(set.Fleet, set.Name, addr, had, c.Above)
	if err != nil {
		return fmt.Errorf("%s: %w", set.Dir, err)
	}
	fmt.Printf("%s becomes a council of its own, with entries up to %d (agreed for sure: %d), in epoch %d in place of %d.\n", set.Name, r.LastIndex, r.CommittedIndex, r.Epoch, r.PreviousEpoch)
	for _, p := range r.RemovedPeers {
		fmt.Printf("Given up: %s at %s, and whatever only it knew. It must not be started again; add processes under new names.\n", p.Name, p.Addr)
	}
	fmt.Println("Every owner loses its duties; acts of theirs that are still on their way will be refused.")
	if err := c.meant(); err != nil {
		return err
	}
	if err := coordinator.WriteDecision(l, r.Decision); err != nil {
		return err
	}
	fmt.Printf("epoch %d begins when %s is started\n", r.Epoch, set.Name)
	return nil
}
