// Package server joins the parts of one router and runs it: configuration, start, signals, drain.
package server

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"runtime/debug"
	"strings"
	"syscall"

	iradix "github.com/hashicorp/go-immutable-radix/v2"
	"github.com/sirupsen/logrus"

	"wayloft/internal/audit"
	"wayloft/internal/backend"
	"wayloft/internal/decide/connpool"
	"wayloft/internal/decide/session"
	"wayloft/internal/discovery"
	"wayloft/internal/eventloop"
	"wayloft/internal/failpoint"
	"wayloft/internal/fleet"
	"wayloft/internal/frontend"
	"wayloft/internal/invariant"
	"wayloft/internal/settings"
	"wayloft/router"
)

const (
	ownSockets = 64     // descriptors for all but clients and members, and for those just being made
	everyNow   = 60000. // ms between two lines on how it goes
)

// system is how many descriptors the system lets this process have; the runtime has raised that as far as it may.
func system() uint64 {
	var r syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r); err != nil {
		return math.MaxUint64
	}
	return r.Cur
}

// ApplyProcessLimits checks the descriptor limit of this process and sets its memory limit by the configuration.
func (c *Config) ApplyProcessLimits() error {
	if err := enough(c, system()); err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(c.memory) / 10 * 7) // the rest is for stacks, and the system's share
	return nil
}

// enough tells whether what is configured fits the descriptors that the system gives. Guards against a router that takes what
// it was told to, and long after its start lets clients wait and loses members. On the platform its own limit is what binds.
func enough(conf *Config, given uint64) error {
	if !strings.HasSuffix(conf.path, ".toml") {
		return nil
	}
	if given < uint64(conf.sockets) {
		return fmt.Errorf("%s: limits.descriptors: %d, the system gives this process %d: raise its limit (ulimit -n, LimitNOFILE= of "+
			"systemd) or lower the setting", conf.path, conf.sockets, given)
	}
	if all := conf.sessions + conf.links + ownSockets; all > conf.sockets {
		logrus.Warnf("limits.descriptors: %d is less than sessions, connections and %d of the router's own, %d: the last of them will not "+
			"be had", conf.sockets, ownSockets, all)
	}
	return nil
}

// service is the parts of one router.
type service struct {
	host    *eventloop.Driver
	front   *frontend.Frontend
	side    *backend.Backend
	watcher *discovery.Watcher
	lost    string // why the watch on the list is down
	link    *fleet.Node
	resign  func()                     // ends its part in the fleet
	listed  map[string]discovery.Entry // the list, kept for the fleet's part; nil without one
	own     *router.Settings           // of the router's own file, over which a policy lies
	record  *audit.Log

	starts  *eventloop.StartTimes
	entries map[string]discovery.Entry // those with a start, until starts can be translated; then nil
}

// serve runs a router on a listener until a signal but SIGHUP comes and all that was taken is answered.
func Run(conf *Config, listener net.Listener, signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	asked := make(chan struct{}, 1)
	s := &service{resign: func() {}, entries: map[string]discovery.Entry{}}
	var err error
	loop := eventloop.NewLoopAt(conf.sockets, conf.wallNow())
	s.starts = eventloop.NewStartTimes(loop)
	s.host = eventloop.New(loop, router.New(conf.Router, conf.seed), conf.Router.RequestClasses, func() {
		select {
		case asked <- struct{}{}:
		default: // one is asked for already
		}
	})
	longest := conf.memory / 32 // bytes of one message of either side
	s.front = frontend.New(s.host, conf.sessions, conf.memory/6, longest)
	limits := backend.Limits{DialTimeout: conf.host.DialTimeoutMs, HealthReports: conf.host.HealthReports, MaxResponse: longest,
		ResponseBudget: conf.memory / 6, KeepRemoved: conf.Router.SoftRemoval, MaxPrepared: session.MaxPreparedPerConnection, PrimaryClasses: map[string]bool{},
		Logins: map[string]backend.Login{backend.PlatformPool: {User: conf.user, Database: conf.database}}}
	bounds := map[string]connpool.Bounds{backend.PlatformPool: connpool.StatementBounds(conf.host.ServerIdleTimeoutMs),
		backend.CancelPool: connpool.CancelBounds(conf.host.DialTimeoutMs)}
	if conf.sessions > conf.links { // not on the platform: there each session has a connection for its statement
		limits.QueueStatements = true
		b := bounds[backend.PlatformPool]
		b.WaitTimeoutMs = conf.host.DialTimeoutMs
		bounds[backend.PlatformPool] = b
	}
	pooling := &frontend.Pooling{Seed: conf.seed, IdempotentClasses: map[string]bool{}, PrimaryClasses: limits.PrimaryClasses}
	for name, kind := range conf.Router.RequestClasses {
		limits.PrimaryClasses[name] = kind.Level == router.Write || kind.Level == router.Fresh
		pooling.IdempotentClasses[name] = kind.Effect == router.Idempotent
	}
	for _, p := range conf.pools {
		limits.Logins[p.Name] = backend.Login{User: p.User, Database: p.Database}
		bounds[p.Name] = p.Bounds
		pooling.Pools = append(pooling.Pools, &frontend.Pool{Name: p.Name, User: p.User, Database: p.Database, StatementMode: p.StatementMode,
			Policy: p.Policy, Group: p.Group, DefaultClass: settings.UnlabelledClass,
			KnownParameters: func() *iradix.Tree[string] { return s.side.KnownParameters(p.Name) }})
	}
	if conf.pools != nil {
		s.front.SetPooling(pooling)
	}
	s.side = backend.New(s.host, limits, connpool.New(connpool.Settings{MaxTotal: conf.links, MaxPerMember: conf.perMember, Seed: conf.seed, Pools: bounds}))
	s.host.SetBackend(s.side)
	s.host.OnClockSettled(s.translateStarts)
	if conf.Router.CanHealthCheck && conf.host.HealthReports {
		s.host.EnablePositionChecks()
	}
	if conf.Router.Lag != router.LagAnswers {
		s.host.MembersCheckStaleness()
	}
	known := *conf.Members
	known.Complete = true
	// The first in the mailbox: guards against a list that the watch brings before the loop's first turn, which the older one would undo.
	s.host.Post(func() { s.list(&known) })
	if conf.Discovery != "" {
		s.watcher = discovery.NewWatcher(conf.Discovery, conf.Members.Revision,
			func(l *discovery.List) {
				s.host.Post(func() { s.heard(l) })
				failpoint.Hit("serve.list_posted")
			},
			func(err error) { s.host.Post(func() { s.failed(err) }) })
	}

	leave := func() {}
	if conf.fleet != nil {
		if leave, err = s.join(conf); err != nil {
			return err
		}
	}
	if err := s.host.Listen(s.front.Gate(listener), 2*longest, s.front.Accept); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	logrus.WithFields(logrus.Fields{"name": conf.Name, "listen": conf.Listen, "revision": known.Revision,
		"members": len(known.Entries)}).Info("serving")
	if s.watcher == nil {
		logrus.Info("no list is watched: the members are those of the configuration")
	} else if conf.Router.PollsList {
		go s.watcher.Poll(ctx, asked)
	} else {
		go s.watcher.Watch(ctx)
	}
	go s.follow(ctx, conf, signals)
	s.host.After(everyNow, s.now)
	s.host.Run()
	leave()
	s.status("ended")
	return nil
}

// reload reads the file that the router was started with once more. Only discovery's address can change while it
// runs; a file that is wrong changes nothing.
func (s *service) reload(old *Config) {
	conf, err := Load(old.path)
	if err != nil {
		logrus.WithError(err).Error("the new configuration is wrong, the old one stays")
		return
	}
	if s.watcher != nil {
		s.watcher.ChangeAddress(conf.Discovery)
	}
	entry := logrus.WithField("discovery", conf.Discovery)
	if wait := old.differs(conf); len(wait) > 0 {
		entry = entry.WithField("restart_for", strings.Join(wait, ","))
	}
	entry.Info("configuration read again")
}

// list tells the module and the members' side of a list.
func (s *service) list(l *discovery.List) {
	s.side.List(l)
	s.keep(l)
	s.keepStarts(l)
	r := s.host.List()
	r.BeginList()
	for _, e := range l.Entries {
		r.ListMember(e.ID, e.Zone, e.Group, e.State, s.starts.Of(e.ID, e.Started))
	}
	r.EndList(l.Complete)
}

// keepStarts drops the starts of members that are gone, and notes entries to be listed once more when starts can be
// translated.
func (s *service) keepStarts(l *discovery.List) {
	if l.Complete {
		s.starts.Retain(l.IDs())
		if s.entries != nil {
			clear(s.entries)
		}
	}
	for _, e := range l.Entries {
		if e.State == router.Removed {
			s.starts.Forget(e.ID)
		}
		if s.entries == nil {
			continue
		}
		if e.State == router.Removed || e.Started == router.Never {
			delete(s.entries, e.ID)
		} else {
			s.entries[e.ID] = e
		}
	}
}

// translateStarts lists the members that have a start once more, now that the cluster's clock is known.
func (s *service) translateStarts() {
	entries := s.entries
	s.entries = nil
	if s.host.FromLoop(0) == 0 || len(entries) == 0 { // they were translated rightly
		return
	}
	r := s.host.List()
	// The module keeps the latest start that it was told of a member. Guards against one that was told too late by a clock that
	// is behind, and would be warming up for no reason: its record, which is new, begins anew.
	r.BeginList()
	for _, e := range entries {
		if s.host.FromLoop(0) > 0 {
			r.ListMember(e.ID, e.Zone, e.Group, router.Removed, router.Never)
		}
	}
	r.EndList(false)
	r.BeginList()
	for _, e := range entries {
		r.ListMember(e.ID, e.Zone, e.Group, e.State, s.starts.Of(e.ID, e.Started))
	}
	r.EndList(false)
	r.ListFailed() // where lists are polled: this was no answer, and the next poll must stay due
}

func (s *service) heard(l *discovery.List) {
	if s.lost != "" {
		s.lost = ""
		logrus.WithField("revision", l.Revision).Info("the list is back")
	}
	s.list(l)
}

func (s *service) failed(err error) {
	var unsound discovery.InvalidListError // is named also where the list was out of reach before
	if why := err.Error(); s.lost == "" || errors.As(err, &unsound) && s.lost != why {
		s.lost = why
		logrus.WithError(err).Warn("the list is out of reach, the last one stays in force")
	}
	s.host.List().ListFailed()
}

func (s *service) now() {
	s.status("now")
	s.host.After(everyNow, s.now)
}

// status logs counts; all but the first three are since the start.
func (s *service) status(what string) {
	all, busy := s.front.SessionCounts()
	entry := logrus.WithFields(logrus.Fields{"sessions": all, "busy": busy, "links": s.side.Connections(),
		"bad": s.front.ProtocolErrors, "refused": s.front.Rejected, "unsent": s.side.NoConnection,
		"unheld": s.side.OverBudget, "waiting": s.side.Waiting(), "waited": s.side.QueueTimeouts, "idle_ended": s.side.IdleTransactions, "spoilt": s.side.ProtocolErrors, "late": s.front.TimedOut, "crowded": s.front.NoSessionSlot})
	if broken := invariant.Violations(); len(broken) > 0 {
		entry.WithField("broken", broken).Error(what)
		return
	}
	entry.Info(what)
}
