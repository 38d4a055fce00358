package fleet

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"wayloft/internal/decide/leasestate"
	"wayloft/internal/decide/switchover"
	client "wayloft/internal/fleet"
	"wayloft/internal/fleetpb"
	"wayloft/internal/rpc"
)

// Scenario is what befalls a fleet, step by step. Each step does something or waits for something that processes report, never
// for a time, so that a script means the same whenever it is played.
//
//	stop X | wake X | term X | kill X | start X | small X BLOCKS     processes; start waits until it serves
//	dead X [WORDS]              until it has ended by itself, with these words in its log
//	runs X                      it hasn't ended
//	shut X                      until one of the coordinator whose folder has forgotten something is refused by the others, or has
//	                            noticed and ended; which comes first is chance
//	hole A B [there|back] | cut A B | heal A B                       links; A or B may be coordinator, routers, members, all
//	held A B [any]              until something waits on each of these links; any: on one
//	late N                      until N acts were refused for their fencing token
//	fault X POINT stop|kill     at a point inside, the next time; struck X POINT: until that has come to pass, and it stands still or is gone
//	caught POINT as V           until a router, whichever comes by first, stands still at a point inside; the others go on
//	endless X                   its orders wait for their answers from now on, however long that takes
//	lose X | keep X | restore X                                      the folder of one that is not running
//	owner DUTY as V [not W]     until a process acts for it by its record, and another than W
//	holder DUTY as V [not W]    until the coordinator has a holder, another than W
//	leader as V [not W]         until a process leads by its own record
//	line X WHAT [k=v ...]       until its record has such a line; "lines N X WHAT ...": N of them
//	none X WHAT [k=v ...]       it has none by now
//	heard V [but W]             until all routers but V itself and W have taken two acts of V's
//	sessions N | coordinator N      until the coordinator has so many
//	order MEMBER                a planned change of group 0; ended WORDS: until it has ended, as the words say
//	primary M                   until this member, and no other, takes writes
//	queue DUTY N                until so many wait for it
//	second                      until the clock has gone on by a second since the coordinator began: the next to begin is above it
//	barred DUTY                 until the coordinator says that it grants it no more
//	policy P FIELD=V ...        writes a policy's file; many=N: and so many tenants; {P.policy} is its path
//	propose P [ARGS]            "policy propose", which must succeed, and sets $P to the version
//	begin P [ARGS]              the same, not waited for; ends STATUS [WORDS]: until it has ended so, having printed the words
//	race P Q                    both made from the version in force, sent at once: one is agreed, the other is refused for it
//	row N                       so many proposals, one after the other, without waiting for any router
//	everywhere [but X ...]      until each router that runs says by its record that it goes by the version in force
//	goes X VERSION [anew]       until it says so of a version; anew: has taken it since its latest start, maybe from its folder
//	spoil X                     a bit of its stored policy, while it is not running
//	do ARGS                     the program with --coordinator and --fleet, which must succeed; fails WORDS: it failed so
//	writes                      until clients have had 40 more writes committed
//
// A name that begins with $ was set by "as" or "propose", also after k=; other words stand for themselves.
type Scenario struct {
	Name          string            `toml:"name"`
	Why           string            `toml:"why"`
	Coordinators  int               `toml:"council"`
	Routers       int               `toml:"routers"`
	Members       int               `toml:"members"`
	HealthSharing bool              `toml:"sight"`
	Switchover    bool              `toml:"handover"`
	Writers       int               `toml:"writers"`
	Probe         bool              `toml:"probe"` // a client whose history at the coordinator is checked
	Session       string            `toml:"session"`
	Unguarded     string            `toml:"unguarded"`
	Clocks        map[string]string `toml:"clocks"`    // by process: how far ahead
	Regressed     bool              `toml:"gone_back"` // the coordinator's state does: what its processes write before and after need not agree
	MinStaleActs  int               `toml:"late"`      // acts that must have been refused for their fencing token, at least
	Extra         []string          `toml:"extra"`     // routers that know a request class more, "extra"
	Steps         []string          `toml:"steps"`
}

// ReadScript decodes one.
func ReadScript(text []byte) (*Scenario, error) {
	s := &Scenario{Coordinators: 3, Routers: 3, Members: 3, Session: "1s"}
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(s); err != nil {
		return nil, err
	}
	return s, nil
}

// Outcome is what a script came to.
type Outcome struct {
	StaleActs, AcceptedActs int
	Succeeded               int
	Unresolved              int
	Duration                time.Duration
}

type run struct {
	s      *Scenario
	f      *Fleet
	vars   map[string]string
	client *client.Client
	load   *WriteLoad
	probe  *Probe
	kept   string
	last   struct {
		out string
		err error
	}
	faults map[[2]string]string // by process and point: what it does there
	order  uint64
	begun  chan ended // of the command that was begun
	agreed []string   // versions that operators were told are agreed
}

// ended is how a command ended.
type ended struct {
	out    string
	status int
}

// RunScenario plays a script in a folder and checks what the processes wrote.
func RunScenario(s *Scenario, binary, dir string) (o Outcome, err error) {
	begun := time.Now()
	session, err := time.ParseDuration(s.Session)
	if err != nil {
		return o, err
	}
	opt := Options{Binary: binary, Dir: dir, Coordinators: s.Coordinators, Routers: s.Routers, Members: s.Members, Links: true, SessionTimeout: session,
		Switchover: s.Switchover, UnguardedMember: s.Unguarded, CoordinatorKeys: "tick = \"20ms\"\n", RouterKeys: func(name string) (fleet, top string) {
			if a := s.Clocks[name]; a != "" {
				fleet = fmt.Sprintf("clock_ahead = %q\n", a)
			}
			if slices.Contains(s.Extra, name) {
				top = "[[txn_types]]\nname = \"extra\"\nsla = \"1s\"\nexpiry = \"2s\"\n"
			}
			return fleet, top
		}}
	if s.HealthSharing {
		opt.HealthShareInterval = 100 * time.Millisecond
	}
	f, err := New(opt)
	if err != nil {
		return o, err
	}
	defer f.Close()
	if err := f.Start(); err != nil {
		return o, err
	}
	r := &run{s: s, f: f, vars: map[string]string{}, faults: map[[2]string]string{}, client: client.NewClient(f.FleetName, f.CoordinatorAddresses(), nil)}
	defer r.client.Close()
	if s.Writers > 0 {
		var addrs []string
		for _, p := range f.kind("router") {
			addrs = append(addrs, p.Addr)
		}
		r.load = NewWriteLoad(addrs, s.Writers)
		defer r.load.Stop()
	}
	if s.Probe {
		r.probe = NewProbe(f.FleetName, f.CoordinatorAddresses())
		defer r.probe.Stop()
	}
	for n, step := range s.Steps {
		if err := r.step(strings.Fields(step)); err != nil {
			return o, fmt.Errorf("step %d, %s: %w", n+1, step, err)
		}
	}
	if r.probe != nil {
		if err := r.probe.WaitForRequests(); err != nil {
			return o, err
		}
	}
	if r.load != nil {
		r.load.Stop()
		o.Succeeded, o.Unresolved = len(r.load.Succeeded), len(r.load.Unresolved)
	}
	for _, p := range f.Processes() { // all that is still on its way comes to an end
		p.Resume()
	}
	f.healAll()
	if err := f.settle(); err != nil {
		return o, err
	}
	wrong := append(CheckLeases(f, s.Regressed), CheckPolicy(f, r.agreed, func(p *Process) bool { return p.Pid() > 0 })...)
	if r.load != nil {
		wrong = append(wrong, CheckWrites(filepath.Join(dir, "members"), r.load)...)
	}
	if r.probe != nil {
		r.probe.Stop()
		wrong = append(wrong, r.probe.Check()...)
	}
	o.StaleActs, o.AcceptedActs, o.Duration = f.count("late"), f.count("taken"), time.Since(begun)
	if o.StaleActs < s.MinStaleActs {
		wrong = append(wrong, fmt.Sprintf("%d late acts were refused, %d wanted at least", o.StaleActs, s.MinStaleActs))
	}
	if len(wrong) > 0 {
		return o, fmt.Errorf("%s", strings.Join(wrong, "\n"))
	}
	return o, nil
}

func (f *Fleet) count(what string) (n int) {
	for _, p := range f.kind("router") {
		k, _, _ := f.CountEvents(p.Name, what, nil)
		n += k
	}
	return n
}

func (f *Fleet) healAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.switches {
		s.Heal()
	}
}

// names gives the processes that a word stands for.
func (r *run) names(word string) (all []string) {
	kinds := map[string]string{"council": "council", "routers": "router", "members": "member"}
	for _, p := range r.f.Processes() {
		if p.Kind == kinds[word] || word == "all" {
			all = append(all, p.Name)
		}
	}
	if len(all) == 0 {
		all = append(all, word)
	}
	return all
}

func (r *run) links(a, b string, f func(*Link)) error {
	any := false
	for _, from := range r.names(a) {
		for _, to := range r.names(b) {
			if s := r.f.Link(from, to); s != nil {
				any = true
				f(s)
			}
		}
	}
	if !any {
		return fmt.Errorf("no link from %s to %s", a, b)
	}
	return nil
}

func fields(words []string) map[string]string {
	m := map[string]string{}
	for _, w := range words {
		k, v, _ := strings.Cut(w, "=")
		m[k] = v
	}
	return m
}

// as sets the variable of "... as V [not W]" once f gives a value other than W's.
func (r *run) as(words []string, what string, f func() (string, error)) error {
	if len(words) < 2 || words[0] != "as" {
		return fmt.Errorf("as V is missing")
	}
	not := ""
	if len(words) == 4 && words[2] == "not" {
		not = words[3]
	}
	return WaitUntil(what, func() (bool, error) {
		name, err := f()
		if err != nil || name == "" || name == not {
			return false, err
		}
		r.vars["$"+words[1]] = name
		return true, nil
	})
}

func (r *run) look() (*fleetpb.State, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return r.client.State(ctx)
}

// sees waits until the coordinator's state is so.
func (r *run) sees(what string, f func(*fleetpb.State) bool) error {
	return WaitUntil(what, func() (bool, error) {
		s, err := r.look()
		return err == nil && f(s), nil // a coordinator without a leader has one later
	})
}

func (r *run) step(w []string) error {
	for n := range w {
		key, value, pair := strings.Cut(w[n], "=")
		if v, set := r.vars[w[n]]; set {
			w[n] = v
		} else if v, set := r.vars[value]; pair && set {
			w[n] = key + "=" + v
		} else if strings.HasPrefix(w[n], "$") {
			return fmt.Errorf("%s is not set", w[n])
		}
	}
	for n := range w { // {c1} is its settings, {c1.addr} its address; a space within a word is written ~
		if inner, ok := strings.CutPrefix(strings.TrimSuffix(w[n], "}"), "{"); ok {
			name, addr := strings.CutSuffix(inner, ".addr")
			if policy, is := strings.CutSuffix(inner, ".policy"); is {
				w[n] = r.f.policyFile(policy)
			} else if p := r.f.Process(name); p != nil && addr {
				w[n] = p.Addr
			} else if p != nil {
				w[n] = p.Config
			}
		}
		w[n] = strings.ReplaceAll(w[n], "~", " ")
	}
	verb, w := w[0], w[1:]
	var p *Process
	if len(w) > 0 {
		p = r.f.Process(w[0])
	}
	needs := map[string]bool{"stop": true, "wake": true, "term": true, "kill": true, "start": true, "small": true, "dead": true, "runs": true, "lose": true,
		"keep": true, "restore": true, "shut": true, "line": true, "none": true, "fault": true, "struck": true, "endless": true, "goes": true, "spoil": true}
	if needs[verb] && p == nil {
		return fmt.Errorf("no process %v", w)
	}
	switch verb {
	case "stop":
		p.Stop()
	case "wake":
		p.Resume()
	case "term":
		p.Terminate()
		if !p.WaitExit(WaitLimit) {
			return fmt.Errorf("it does not end")
		}
	case "kill":
		p.Kill()
	case "start":
		if err := p.Start(); err != nil {
			return err
		}
		return p.WaitReady()
	case "small":
		n, err := strconv.Atoi(w[1])
		if err != nil {
			return err
		}
		return p.StartWithFileLimit(n)
	case "dead":
		if !p.WaitExit(WaitLimit) {
			return fmt.Errorf("it runs on")
		}
		b, err := os.ReadFile(p.LogPath())
		if words := strings.Join(w[1:], " "); err == nil && !strings.Contains(string(b), words) {
			return fmt.Errorf("its log has no %q: %s", words, lastLines(b))
		}
		return err
	case "runs":
		if p.Pid() == 0 {
			return fmt.Errorf("%s has ended", p.Name)
		}
	case "shut":
		return WaitUntil("it is shut out", func() (bool, error) {
			n, _, err := r.f.CountEvents(w[0], "refused", nil)
			if n > 0 || err != nil {
				return n > 0, err
			}
			b, err := os.ReadFile(p.LogPath())
			return p.Pid() == 0 && strings.Contains(string(b), "lost what was acknowledged"), err
		})
	case "hole":
		there, back := true, true
		if len(w) > 2 {
			there, back = w[2] == "there", w[2] == "back"
		}
		return r.links(w[0], w[1], func(s *Link) { s.Hole(there, back) })
	case "cut":
		return r.links(w[0], w[1], func(s *Link) { s.Cut() })
	case "heal":
		return r.links(w[0], w[1], func(s *Link) { s.Heal() })
	case "held":
		return WaitUntil("something is held back", func() (bool, error) {
			all, any := true, false
			err := r.links(w[0], w[1], func(s *Link) {
				held := s.Held()[0] > 0
				all, any = all && held, any || held
			})
			return all || any && len(w) > 2 && w[2] == "any", err
		})
	case "late":
		n, err := strconv.Atoi(w[0])
		if err != nil {
			return err
		}
		return WaitUntil("late acts", func() (bool, error) { return r.f.count("late") >= n, nil })
	case "fault":
		r.faults[[2]string{w[0], w[1]}] = w[2]
		return r.f.SetFailpoint(w[0], w[1], w[2])
	case "struck":
		return WaitUntil("fault", func() (bool, error) {
			if !r.f.FailpointHit(w[0], w[1]) {
				return false, nil
			}
			// Guards against a wake before the stop: the point is passed right before the process stands still.
			return r.faults[[2]string{w[0], w[1]}] != "stop" || p.Stopped(), nil
		})
	case "caught":
		return r.caught(w[0], w[1:])
	case "endless":
		return r.f.SetFailpoint(w[0], "order.ends", "endless")
	case "lose":
		return os.RemoveAll(p.DataDir)
	case "keep":
		return os.CopyFS(p.DataDir+".kept", os.DirFS(p.DataDir))
	case "restore":
		if err := os.RemoveAll(p.DataDir); err != nil {
			return err
		}
		return os.CopyFS(p.DataDir, os.DirFS(p.DataDir+".kept"))
	case "owner":
		return r.as(w[1:], "an owner of "+w[0], func() (string, error) {
			name, _, err := r.f.LeaseHolder(w[0])
			return name, err
		})
	case "holder":
		return r.as(w[1:], "a holder of "+w[0], func() (string, error) {
			s, err := r.look()
			if err != nil {
				return "", nil
			}
			for _, d := range s.State.Duties {
				if d.Name == w[0] {
					return d.Holder, nil
				}
			}
			return "", nil
		})
	case "leader":
		return r.as(w, "a leader", r.leader)
	case "line", "lines":
		least := 1
		if verb == "lines" {
			n, err := strconv.Atoi(w[0])
			if err != nil {
				return err
			}
			least, w = n, w[1:]
		}
		return WaitUntil("a line of its record", func() (bool, error) {
			n, _, err := r.f.CountEvents(w[0], w[1], fields(w[2:]))
			return n >= least, err
		})
	case "heard":
		for _, o := range r.f.kind("router") {
			if o.Name == w[0] || len(w) > 2 && o.Name == w[2] {
				continue
			}
			if err := WaitUntil(o.Name+" takes its acts", func() (bool, error) {
				n, _, err := r.f.CountEvents(o.Name, "taken", map[string]string{"holder": w[0]})
				return n >= 2, err
			}); err != nil {
				return err
			}
		}
	case "none":
		n, last, err := r.f.CountEvents(w[0], w[1], fields(w[2:]))
		if err == nil && n > 0 {
			err = fmt.Errorf("there are %d, the last %v", n, last)
		}
		return err
	case "sessions", "council":
		n, err := strconv.Atoi(w[0])
		if err != nil {
			return err
		}
		return r.sees(fmt.Sprint(n, " ", verb), func(s *fleetpb.State) bool {
			if verb == "council" {
				return len(s.Council) == n
			}
			return len(slices.DeleteFunc(s.State.Sessions, func(s *fleetpb.Session) bool { return s.Kind != "router" })) == n
		})
	case "order":
		ctx, cancel := context.WithTimeout(context.Background(), WaitLimit)
		defer cancel()
		a, err := r.client.ProposeEntry(ctx, leasestate.Entry{Kind: leasestate.PlaceOrder, Lease: switchover.LeaseName(0), Text: switchover.FormatOrder(w[0])})
		if err == nil && !a.Held {
			err = fmt.Errorf("%s", a.Refusal)
		}
		r.order = a.Number
		return err
	case "ended":
		text := ""
		if err := r.sees("the order ends", func(s *fleetpb.State) bool {
			for _, d := range s.State.Duties {
				if d.Name == switchover.LeaseName(0) && d.Ended.GetNumber() == r.order {
					text = d.Ended.Text
					return true
				}
			}
			return false
		}); err != nil {
			return err
		}
		if want := strings.Join(w, " "); !strings.Contains(text, want) {
			return fmt.Errorf("it ended %q", text)
		}
	case "primary":
		return WaitUntil("the primary", func() (bool, error) { return slices.Equal(r.f.Primaries(), w), nil })
	case "queue":
		n, err := strconv.Atoi(w[1])
		if err != nil {
			return err
		}
		return r.sees("the queue", func(s *fleetpb.State) bool {
			return slices.ContainsFunc(s.State.Duties, func(d *fleetpb.Duty) bool { return d.Name == w[0] && len(d.Queue) == n })
		})
	case "second":
		return r.sees("the clock goes on", func(s *fleetpb.State) bool { return s.Epoch < rpc.EpochAt(time.Now()) })
	case "barred":
		return r.sees("the duty is barred", func(s *fleetpb.State) bool {
			return slices.ContainsFunc(s.State.Duties, func(d *fleetpb.Duty) bool {
				return d.Name == w[0] && d.Holder == "" && d.Barred.GetEpoch() >= s.Epoch
			})
		})
	case "do":
		if r.last.out, r.last.err = r.f.RunCommand(w...); r.last.err != nil {
			return fmt.Errorf("%w: %s", r.last.err, r.last.out)
		}
	case "fails":
		for n, word := range w {
			if word == "--" {
				out, err := r.f.RunCommand(slices.Clone(w[:n])...)
				if words := strings.Join(w[n+1:], " "); err == nil || !strings.Contains(out, words) {
					return fmt.Errorf("%v: %s", err, out)
				}
				return nil
			}
		}
		return fmt.Errorf("-- WORDS is missing")
	case "join":
		p, err := r.f.AddCoordinator(w[0])
		if err != nil {
			return err
		}
		if err := p.Start(); err != nil {
			return err
		}
		if err := p.WaitReady(); err != nil {
			return err
		}
		return r.change("add", w[0]+"="+p.Addr)
	case "remove":
		return r.change("remove", w[0])
	case "policy", "propose", "begin", "ends", "race", "row", "everywhere", "goes", "spoil":
		return r.policy(verb, w)
	case "writes":
		return r.load.WaitForWrites(40)
	default:
		return fmt.Errorf("unknown step")
	}
	return nil
}

// caught sets a point for all routers, since on a busy machine a lease may pass on between a look at who owns it and the point. One
// that has come by as well by the time the first stands still is woken.
func (r *run) caught(point string, words []string) error {
	for _, p := range r.f.kind("router") {
		if err := r.f.SetFailpoint(p.Name, point, "stop"); err != nil {
			return err
		}
	}
	name := ""
	if err := r.as(words, "one comes by "+point, func() (string, error) {
		for _, p := range r.f.kind("router") {
			if r.f.FailpointHit(p.Name, point) && p.Stopped() {
				name = p.Name
				break
			}
		}
		return name, nil
	}); err != nil {
		return err
	}
	for _, p := range r.f.kind("router") {
		if p.Name == name {
			continue
		}
		err := os.Remove(filepath.Join(r.f.Dir, "faults", p.Name, point))
		if errors.Is(err, os.ErrNotExist) {
			err = WaitUntil(p.Name+" stands", func() (bool, error) { return p.Stopped(), nil })
			p.Resume()
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// change is the operator's command, again while the coordinator elects or another change is on. Where it took effect and its answer got
// lost, the next is told that there is nothing to change: then the coordinator's own state says that it is done.
func (r *run) change(verb, what string) error {
	name, _, _ := strings.Cut(what, "=")
	out, err := "", error(nil)
	if late := WaitUntil(verb+" "+what, func() (bool, error) {
		if out, err = r.f.RunCommand("council", verb, what); err == nil {
			return true, nil
		}
		s, lost := r.look()
		return lost == nil && verb == "remove" && !slices.ContainsFunc(s.Council, func(c *fleetpb.Peer) bool { return c.Name == name }), nil
	}); late != nil {
		return fmt.Errorf("%w; the last answer: %v: %s", late, err, out)
	}
	return nil
}

// leader gives who leads by the records of those that run: the latest term counts.
func (r *run) leader() (string, error) {
	name, top := "", 0.0
	for _, p := range r.f.kind("council") {
		lines, err := r.f.AuditEvents(p.Name)
		if err != nil {
			return "", err
		}
		for _, l := range lines {
			if term, _ := l["term"].(float64); l.Text("what") == "leads" && l.Text("leader") != "" && term > top {
				name, top = l.Text("leader"), term
			}
		}
	}
	return name, nil
}
