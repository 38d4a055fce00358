package scale

import (
	"context"
	"fmt"
	"net"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"wayloft/internal/decide/healthshare"
	"wayloft/internal/decide/policy"
	"wayloft/internal/discovery"
	"wayloft/internal/fleet"
	"wayloft/internal/pg"
	"wayloft/router"
)

// routers are many hollow ones. Each has a mailbox in place of a router's loop; list, session, watch and health sharing are the real code's.
type routers struct {
	spec   ChildSpec
	all    []*one
	ear    *ear
	wire   *counter
	counts struct{ lists, entries, alive, sighted, looks, unanswered, failed, policies atomic.Int64 }
}

// one is one of them; what follows mailbox is its goroutine's alone.
type one struct {
	all     *routers
	link    *fleet.Node
	mailbox chan func()
	listed  map[string]discovery.Entry
	checks  map[string]chan bool // by member: a check is to be made
	heard   *Mark
}

const (
	waiting    = 256 // of a mailbox
	checkLimit = time.Second
)

func newRouters(s ChildSpec) (*routers, error) {
	logrus.SetLevel(logrus.WarnLevel) // one line for each router at each start is no part of what is measured
	r := &routers{spec: s, ear: &ear{}}
	if s.Mark != nil {
		r.ear.set(s.Mark)
	}
	r.wire = count()
	for _, name := range s.Names {
		o := &one{all: r, mailbox: make(chan func(), waiting), listed: map[string]discovery.Entry{}, checks: map[string]chan bool{}}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		o.link = fleet.New(fleet.Settings{Fleet: s.Fleet, Name: name, Kind: "router", Coordinators: s.Council, AddressOverrides: s.Via, Address: listener.Addr().String(),
			SessionTimeoutMs: s.SessionMs, SafetyMarginMs: s.SessionMs / 10, HealthSharePeriodMs: s.SightMs, MaxHoldMs: 5000}, o)
		r.all = append(r.all, o)
		if s.PaceMs > 0 {
			time.Sleep(time.Duration(s.PaceMs * float64(time.Millisecond)))
		}
		go o.loop()
		go o.link.Run(context.Background(), listener)
		w := discovery.NewWatcher(s.Discovery, 0, func(l *discovery.List) { o.Post(func() { o.list(l) }) }, func(err error) {
			r.counts.failed.Add(1)
			logrus.WithError(err).Warn("list")
		})
		go w.Watch(context.Background())
	}
	return r, nil
}

func (o *one) loop() {
	for f := range o.mailbox {
		f()
	}
}

// list keeps what discovery tells, as a router does for the fleet's part.
func (o *one) list(l *discovery.List) {
	c := &o.all.counts
	if len(l.Entries) == 0 && !l.Complete {
		c.alive.Add(1)
		return
	}
	if l.Complete {
		clear(o.listed)
	}
	for _, e := range l.Entries {
		if e.State == router.Up && (len(o.all.spec.Groups) == 0 || slices.Contains(o.all.spec.Groups, e.Group)) {
			o.listed[e.ID] = e
		} else {
			delete(o.listed, e.ID)
		}
	}
	for id, due := range o.checks {
		if _, there := o.listed[id]; !there {
			close(due)
			delete(o.checks, id)
		}
	}
	o.link.Changed()
	c.lists.Add(1)
	c.entries.Add(int64(len(l.Entries)))
	o.all.ear.list(l.Revision)
}

// What follows is what the fleet's part asks of a router.

func (o *one) Post(f func())           { o.mailbox <- f }
func (o *one) Now() float64            { return unixMs() }
func (o *one) HoldWrites(int, float64) {}
func (o *one) Writes(int) (int, int)   { return 0, 0 }
func (o *one) Groups() map[int][]fleet.Member {
	groups := map[int][]fleet.Member{}
	for _, e := range o.listed {
		groups[e.Group] = append(groups[e.Group], fleet.Member{ID: e.ID, Addr: e.Addr, Started: started(e.Started)})
	}
	return groups
}

func started(at float64) float64 {
	if at == router.Never {
		return 0
	}
	return at
}

func (o *one) ApplyPolicy(policy.Version, policy.Document) error {
	o.all.counts.policies.Add(1)
	o.all.ear.policy()
	return nil
}

func (o *one) PeerReported(r healthshare.Report) {
	o.all.counts.sighted.Add(1)
	if r.Primary {
		o.heard = o.all.ear.primary(r.Member, o.heard)
	}
}

// HealthCheck has a member checked on a connection that is kept, as a router keeps it. One that has yet to answer is passed over.
func (o *one) HealthCheck(member string) {
	e, there := o.listed[member]
	if !there {
		return
	}
	due := o.checks[member]
	if due == nil {
		due = make(chan bool, 1)
		o.checks[member] = due
		go o.check(e, due)
	}
	select {
	case due <- true:
		o.all.counts.looks.Add(1)
	default:
		o.all.counts.unanswered.Add(1)
	}
}

// check makes the checks of one member until it is listed no more.
func (o *one) check(e discovery.Entry, due <-chan bool) {
	var c net.Conn
	var in *pg.Reader
	defer func() {
		if c != nil {
			c.Close()
		}
	}()
	for range due {
		if c == nil {
			var err error
			if c, err = net.DialTimeout("tcp", e.Addr, checkLimit); err != nil {
				c = nil
				continue
			}
			in = pg.NewReader(true, longestAsk)
			if _, err = c.Write(pg.AppendStartup(nil, "api", "ledger")); err == nil {
				_, err = o.hear(c, in, e)
			}
			if err != nil {
				c.Close()
				c = nil
				continue
			}
		}
		_, err := c.Write(pg.AppendQuery(nil, ""))
		var r healthshare.Report
		if err == nil {
			r, err = o.hear(c, in, e)
		}
		if err != nil {
			c.Close()
			c = nil
			continue
		}
		o.link.Reported(r)
	}
}

// hear reads up to the end of an answer.
func (o *one) hear(c net.Conn, in *pg.Reader, e discovery.Entry) (healthshare.Report, error) {
	r := healthshare.Report{Member: e.ID, Started: started(e.Started)}
	buf := make([]byte, 512)
	c.SetReadDeadline(time.Now().Add(checkLimit))
	for {
		m, ok, err := in.Next()
		switch {
		case err != nil:
			return r, err
		case !ok:
			n, err := c.Read(buf)
			if err != nil {
				return r, err
			}
			in.Feed(buf[:n])
		case m.Kind == pg.ParameterStatus && m.Name == "rank":
			r.Primary, r.Replica = m.Text == "source", m.Text == "copy"
		case m.Kind == pg.ParameterStatus && m.Name == "as_of":
			r.Position, _ = strconv.ParseFloat(m.Text, 64)
		case m.Kind == pg.ReadyForQuery:
			r.At = o.Now()
			return r, nil
		}
	}
}

func (r *routers) answer(q ChildRequest) (ChildResponse, error) {
	switch q.Do {
	case "count":
		c := map[string]int64{"lists": r.counts.lists.Load(), "entries": r.counts.entries.Load(), "list_alive": r.counts.alive.Load(),
			"sighted": r.counts.sighted.Load(), "looks": r.counts.looks.Load(), "looks_passed_over": r.counts.unanswered.Load(),
			"list_failed": r.counts.failed.Load(), "policies": r.counts.policies.Load()}
		r.wire.counts(c)
		return ChildResponse{Counts: c}, nil
	case "mark":
		r.ear.set(q.Mark)
		return ChildResponse{}, nil
	case "heard":
		return ChildResponse{Heard: r.ear.tell()}, nil
	}
	return ChildResponse{}, fmt.Errorf("do: unknown value %q", q.Do)
}
