package main

import (
	"cmp"
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"maps"
	"os"
	"os/user"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"wayloft/internal/decide/policy"
	"wayloft/internal/fleet"
	"wayloft/internal/fleetpb"
	"wayloft/internal/rpc"
	"wayloft/internal/server"
	"wayloft/internal/settings"
)

// lookEvery is how long propose and its wait rest between two looks at who goes by what.
const lookEvery = 200 * time.Millisecond

// notEverywhere is the exit status where a policy, or what became of a proposal, is not known to be in force everywhere.
const notEverywhere = 3

// exit is an error with a status of its own. Where what there is to say is printed already, its words are none.
type exit struct {
	error
	status int
}

// nowhere prints how far a policy came.
func nowhere(format string, args ...any) error {
	fmt.Printf("not everywhere: "+format+"\n", args...)
	return exit{errors.New(""), notEverywhere}
}

type policyCmd struct {
	Check   policyCheckCmd   `cmd:"" help:"Read a policy and say everything that is wrong with it; asks nobody."`
	Diff    policyDiffCmd    `cmd:"" help:"Print what a policy would change, and what of it can't be changed."`
	Propose policyProposeCmd `cmd:"" help:"Have a policy put in force at all routers."`
	Status  policyStatusCmd  `cmd:"" help:"Print the policy in force and which router goes by which."`
	History policyHistoryCmd `cmd:"" help:"Print the latest versions, with who proposed them and why."`
	Show    policyShowCmd    `cmd:"" help:"Print the policy in force, or an earlier version, as a file that can be proposed."`
}

type policyFile struct {
	File string `arg:"" help:"A policy, TOML." type:"existingfile"`
}

func (f *policyFile) read() (policy.Document, error) {
	text, err := os.ReadFile(f.File)
	if err != nil {
		return nil, err
	}
	d, err := settings.ReadPolicy(text)
	if err != nil {
		return nil, fmt.Errorf("%s: nothing was sent to anyone:\n%w", f.File, err)
	}
	return d, nil
}

// findings gives what keeps a change from being made, as one error.
func findings(all []policy.Violation) error {
	var errs []error
	for _, f := range all {
		if f.Field == "" {
			errs = append(errs, errors.New(f.Reason))
		} else {
			errs = append(errs, fmt.Errorf("%s: %s", f.Field, f.Reason))
		}
	}
	return errors.Join(errs...)
}

type policyCheckCmd struct {
	policyFile
	Config string `help:"A router's own file: could it take this policy?" type:"existingfile" placeholder:"FILE"`
}

func (c *policyCheckCmd) Run() error {
	d, err := c.read()
	if err != nil {
		return err
	}
	if err := findings(policy.ValidateChange(nil, d)); err != nil { // nothing strict was ever in force
		return fmt.Errorf("%s:\n%w", c.File, err)
	}
	if c.Config != "" {
		conf, err := server.Load(c.Config)
		if err != nil {
			return err
		}
		if _, err := settings.Overlay(conf.Router, d); err != nil {
			return fmt.Errorf("%s can't take it:\n%w", conf.Name, err)
		}
	}
	fmt.Printf("%s: ok: %d fields, all of which may change while routers run\n", c.File, len(d))
	return nil
}

// inForce asks for the policy in force; it waits for an answer as long as is said, or what an election may take.
func (a *at) inForce(client *fleet.Client, wait time.Duration) (fleet.Policies, error) {
	ctx, cancel := context.WithTimeout(context.Background(), max(patience, wait))
	defer cancel()
	all, err := client.Policy(ctx)
	if err != nil {
		return all, fmt.Errorf("the council gives no answer, what is in force stays: %w", err)
	}
	return all, nil
}

// printDifference prints a line for each field.
func printDifference(old policy.Document, x policy.Difference) {
	for _, field := range x.Fields() {
		class, _ := policy.Classify(field)
		was, had := old[field]
		value, set := x.Set[field]
		switch {
		case had && set:
			fmt.Printf("~ %s: %s -> %s (%s)\n", field, was, value, class)
		case set:
			fmt.Printf("+ %s: %s (%s)\n", field, value, class)
		default:
			fmt.Printf("- %s: %s -> each router's own (%s)\n", field, was, class)
		}
	}
}

type policyDiffCmd struct {
	at
	policyFile
}

func (c *policyDiffCmd) Run() error {
	d, err := c.read()
	if err != nil {
		return err
	}
	client := c.client()
	defer client.Close()
	now, err := c.inForce(client, 0)
	if err != nil {
		return err
	}
	fmt.Printf("version %s is in force\n", now.Version)
	x := policy.Diff(now.Document, d)
	if x.Empty() {
		fmt.Println("nothing changes")
	}
	printDifference(now.Document, x)
	return findings(x.Validate())
}

// many is how many routers there are: one that lost the coordinator before is not among the sessions, and would not be missed.
type many struct {
	Routers int `help:"How many routers there must be; fewer, and the rest is waited for." placeholder:"N" default:"0"`
}

type policyProposeCmd struct {
	at
	policyFile
	Expect string        `help:"Only if this version is in force, as status prints it; none: only if there is none yet." placeholder:"VERSION"`
	Reason string        `help:"For the history."`
	Author string        `help:"For the history; who runs this, if not given." env:"WAYLOFT_AUTHOR"`
	Wait   time.Duration `help:"How long to wait until it is in force everywhere; 0: not at all." default:"0s"`
	many
}

func (c *policyProposeCmd) Run() error {
	d, err := c.read()
	if err != nil {
		return err
	}
	if c.Author == "" {
		if u, err := user.Current(); err == nil {
			c.Author = u.Username
		}
	}
	client := c.client()
	defer client.Close()
	now, err := c.inForce(client, c.Wait)
	if err != nil {
		return err
	}
	if c.Expect != "" {
		mark, err := policy.ParsePacked(c.Expect)
		if err != nil {
			return fmt.Errorf("--expect: %w", err)
		}
		if mark != now.Version.Packed() {
			return fmt.Errorf("version %s is in force, not %s: nothing was changed", now.Version, c.Expect)
		}
	}
	x := policy.Diff(now.Document, d)
	if x.Empty() {
		if now.Version.Number == 0 {
			return errors.New("it says nothing, and no policy is in force: nothing was changed")
		}
		fmt.Printf("version %s, which is in force, says the same\n", now.Version)
		return c.wait(client, now.Version, time.Now())
	}
	if err := findings(x.Validate()); err != nil {
		return fmt.Errorf("nothing was changed, version %s stays in force:\n%w", now.Version, err)
	}
	p := policy.Propose(now.Version, now.Document, d, c.Author, c.Reason)
	if err := p.Check(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), max(patience, c.Wait))
	defer cancel()
	a, err := client.Propose(ctx, p)
	if err != nil {
		return exit{fmt.Errorf("it is not known whether this was agreed (policy history tells, and asking again does no harm): %w", err), notEverywhere}
	}
	if !a.Held {
		return fmt.Errorf("nothing was changed: %s", a.Refusal)
	}
	agreed := time.Now()
	all, err := c.inForce(client, c.Wait)
	if err != nil {
		return exit{fmt.Errorf("it is agreed as number %d: %w", a.Number, err), notEverywhere}
	}
	v := all.Version
	for _, was := range all.History {
		if was.Version.Base == p.Base && was.Version.Hash == p.Hash {
			v = was.Version
		}
	}
	printDifference(now.Document, x)
	fmt.Printf("version %s is agreed\n", v)
	return c.wait(client, v, agreed)
}

// goer is one router, as a look at the coordinator tells it.
type goer struct {
	name, state, why string
	mark             uint64
	silent           uint64 // ms
}

const (
	stateThere  = "in force"
	stateWaits  = "waits"
	stateCouldn = "couldn't"
	stateSilent = "silent"
)

// quietFor is a silence, in ms, that an operator should be told of: routers say something several times a second.
const quietFor = 1000

// goers gives what each router goes by; known are those that had a session before, which may be gone.
func goers(s *fleetpb.State, want uint64, known map[string]bool) (all []goer) {
	there := map[string]bool{}
	for _, one := range s.State.Sessions {
		if one.Kind != "router" {
			continue
		}
		g := goer{name: one.Name, mark: one.Policy, silent: one.SilentMs, state: stateWaits}
		switch {
		case one.Policy >= want:
			g.state = stateThere
		case one.Wont >= want && want > 0:
			g.state, g.why = stateCouldn, one.Why
		case one.SilentMs >= quietFor:
			g.state = stateSilent
		}
		there[one.Name] = true
		all = append(all, g)
	}
	for name := range known {
		if !there[name] {
			all = append(all, goer{name: name, state: stateSilent, why: "its session has ended"})
		}
	}
	slices.SortFunc(all, func(a, b goer) int { return cmp.Compare(a.name, b.name) })
	return all
}

// left names the routers that a policy is not in force at, and why; "": none. Who has no session is not known by name: least is
// how many there must be.
func left(all []goer, least int) string {
	var out []string
	if n := max(1, least) - len(all); n > 0 {
		out = append(out, fmt.Sprintf("%d more (no session with the council)", n))
	}
	for _, g := range all {
		why := g.state
		switch g.state {
		case stateThere:
			continue
		case stateCouldn:
			why = "couldn't: " + strings.ReplaceAll(g.why, "\n", "; ")
		case stateWaits:
			why = "goes by " + policy.FormatPacked(g.mark)
		}
		out = append(out, fmt.Sprintf("%s (%s)", g.name, why))
	}
	return strings.Join(out, ", ")
}

// latest gives the version in force, as a look tells it.
func latest(s *fleetpb.State) policy.Version {
	if n := len(s.State.Policies); n > 0 {
		if v, _, err := rpc.DecodePolicy(s.State.Policies[n-1]); err == nil {
			return v
		}
	}
	return policy.Version{}
}

// wait prints whom a version waits for, each time that changes, until it is in force everywhere or the time is over.
func (c *policyProposeCmd) wait(client *fleet.Client, v policy.Version, agreed time.Time) error {
	if c.Wait <= 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Wait)
	defer cancel()
	known, told, missing, tick := map[string]bool{}, "", "the council gave no answer yet", time.NewTicker(lookEvery)
	defer tick.Stop()
	for {
		one, stop := context.WithTimeout(ctx, patience)
		s, err := client.State(one)
		stop()
		switch {
		case err != nil && ctx.Err() == nil:
			missing = "the council gives no answer: " + err.Error()
		case err == nil:
			if now := latest(s); now.Packed() > v.Packed() {
				return nowhere("version %s followed and is in force, by %s: %s", now, now.Author, now.Reason)
			}
			all := goers(s, v.Packed(), known)
			for _, g := range all {
				known[g.name] = true
			}
			if missing = left(all, c.Routers); missing == "" {
				since := time.Now()
				fmt.Printf("in force everywhere since %s: version %s at %d routers, seen %.2f s after it was agreed\n",
					since.UTC().Format("2006-01-02T15:04:05.000Z"), v, len(all), since.Sub(agreed).Seconds())
				return nil
			}
		}
		if told != missing && ctx.Err() == nil {
			told = missing
			fmt.Printf("waits for %s\n", missing)
		}
		select {
		case <-ctx.Done():
			return nowhere("%s", missing)
		case <-tick.C:
		}
	}
}

type policyStatusCmd struct {
	at
	many
	JSON bool `help:"As JSON."`
}

func (c *policyStatusCmd) Run() error {
	client := c.client()
	defer client.Close()
	now, err := c.inForce(client, 0)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	s, err := client.State(ctx)
	if err != nil {
		return err
	}
	v := now.Version
	all := goers(s, v.Packed(), nil)
	missing := left(all, c.Routers)
	if c.JSON {
		rows := []map[string]any{}
		for _, g := range all {
			rows = append(rows, map[string]any{"name": g.name, "version": policy.FormatPacked(g.mark), "state": g.state, "why": g.why, "silent_ms": g.silent})
		}
		return printJSON(map[string]any{"version": v.String(), "hash": hash(v), "fields": len(now.Document), "author": v.Author,
			"reason": v.Reason, "everywhere": missing == "", "routers": rows})
	}
	if v.Number == 0 {
		fmt.Println("no policy is in force: each router goes by its own file")
	} else {
		fmt.Printf("version %s is in force: %d fields, %d bytes, hash %.12s, by %s: %s\n", v, len(now.Document), v.Size, hash(v), cmp.Or(v.Author, "nobody"),
			cmp.Or(v.Reason, "no reason given"))
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "\nrouter\tgoes by\tsilent\tstate")
	for _, g := range all {
		state := g.state
		if g.why != "" {
			state += ": " + strings.ReplaceAll(g.why, "\n", "; ")
		}
		fmt.Fprintf(w, "%s\t%s\t%d ms\t%s\n", g.name, policy.FormatPacked(g.mark), g.silent, state)
	}
	w.Flush()
	if missing == "" {
		fmt.Printf("\neverywhere: all %d routers that have a session\n", len(all))
	} else {
		fmt.Printf("\nnot everywhere: %s\n", missing)
	}
	return nil
}

func hash(v policy.Version) string { return hex.EncodeToString(v.Hash[:]) }

type policyHistoryCmd struct {
	at
	JSON bool `help:"As JSON."`
}

func (c *policyHistoryCmd) Run() error {
	client := c.client()
	defer client.Close()
	all, err := c.inForce(client, 0)
	if err != nil {
		return err
	}
	if c.JSON {
		rows := []map[string]any{}
		for _, one := range all.History {
			v := one.Version
			rows = append(rows, map[string]any{"version": v.String(), "base": policy.FormatPacked(v.Base), "hash": hash(v), "author": v.Author, "reason": v.Reason,
				"set": one.Difference.Set, "gone": append([]string{}, one.Difference.Removed...)})
		}
		return printJSON(rows)
	}
	for _, one := range all.History {
		v := one.Version
		fmt.Printf("%s after %s, by %s: %s\n", v, policy.FormatPacked(v.Base), cmp.Or(v.Author, "nobody"), cmp.Or(v.Reason, "no reason given"))
		for _, field := range one.Difference.Fields() {
			if value, set := one.Difference.Set[field]; set {
				fmt.Printf("    %s = %s\n", field, value)
			} else {
				fmt.Printf("    %s is each router's own again\n", field)
			}
		}
	}
	if len(all.History) == 0 {
		fmt.Println("no policy was ever proposed")
	}
	return nil
}

type policyShowCmd struct {
	at
	Version string `arg:"" optional:"" help:"As history prints it; the one in force, if not given."`
}

func (c *policyShowCmd) Run() error {
	client := c.client()
	defer client.Close()
	all, err := c.inForce(client, 0)
	if err != nil {
		return err
	}
	v, d := all.Version, all.Document
	if c.Version != "" {
		mark, err := policy.ParsePacked(c.Version)
		if err != nil {
			return err
		}
		if v, d, err = earlier(all, mark); err != nil {
			return err
		}
	}
	text, err := settings.WritePolicy(d)
	if err != nil {
		return err
	}
	fmt.Printf("# version %s, by %s: %s\n%s", v, cmp.Or(v.Author, "nobody"), strings.ReplaceAll(cmp.Or(v.Reason, "no reason given"), "\n", " "), text)
	return nil
}

// earlier gives the document of an earlier version, as far as the history that is kept tells it: a change says what a field
// became, and not what it was.
func earlier(all fleet.Policies, mark uint64) (policy.Version, policy.Document, error) {
	if mark == all.Version.Packed() {
		return all.Version, all.Document, nil
	}
	at := slices.IndexFunc(all.History, func(c policy.Change) bool { return c.Version.Packed() == mark })
	if at < 0 {
		return policy.Version{}, nil, fmt.Errorf("there is no version %s among the latest %d", policy.FormatPacked(mark), len(all.History))
	}
	v := all.History[at].Version
	// What no later change touched is as it is now; the rest is as the changes up to it say.
	d, touched := maps.Clone(all.Document), map[string]bool{}
	for _, c := range all.History[at+1:] {
		for _, field := range c.Difference.Fields() {
			touched[field] = true
			delete(d, field)
		}
	}
	for _, c := range all.History[:at+1] {
		for field, value := range c.Difference.Set {
			if touched[field] {
				d[field] = value
			}
		}
		for _, field := range c.Difference.Removed {
			if touched[field] {
				delete(d, field)
			}
		}
	}
	if d.Hash() != v.Hash {
		return v, nil, fmt.Errorf("version %s can't be told any more: only the latest %d changes are kept; propose the file that it was made from", v,
			len(all.History))
	}
	return v, d, nil
}
