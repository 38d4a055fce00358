package scale

import (
	"context"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"wayloft/internal/decide/healthshare"
	"wayloft/internal/decide/policy"
	"wayloft/internal/discovery"
	"wayloft/internal/fleet"
	"wayloft/router"
)

const (
	// eventQueueLength is the capacity of a router's event queue.
	eventQueueLength = 256
	// safetyMarginDivisor divides the session timeout to give the safety margin.
	safetyMarginDivisor = 10
	maxHoldMs           = 5000
)

// hollowRouters are the routers of one process. They run the real code for the endpoint list, session, watch and health sharing; each
// router has a goroutine in place of the event loop.
type hollowRouters struct {
	spec     ChildSpec
	arrivals *arrivals
	messages *messageCounter
	counts   routerCounts
}

// routerCounts are totals over all routers of the process.
type routerCounts struct {
	lists, entries, listKeepalives, listFailures atomic.Int64
	policies                                     atomic.Int64
	reportsReceived                              atomic.Int64
	checks, checksSkipped                        atomic.Int64
}

// hollowRouter is one router. Only its goroutine accesses the fields below events.
type hollowRouter struct {
	process *hollowRouters
	node    *fleet.Node
	events  chan func()

	listed       map[string]discovery.Entry
	checkers     map[string]chan<- struct{} // by member; a value requests a check
	lastReported *ReceptionFilter
}

func newHollowRouters(spec ChildSpec) (*hollowRouters, error) {
	logrus.SetLevel(logrus.WarnLevel) // logging each start of a router would add to the measured cost
	process := &hollowRouters{spec: spec, arrivals: &arrivals{}, messages: newMessageCounter()}
	process.arrivals.setFilter(spec.Filter)
	process.messages.register()
	for _, name := range spec.Names {
		if err := process.startRouter(name); err != nil {
			return nil, err
		}
	}
	return process, nil
}

// startRouter starts a router after the start interval of the specification.
func (p *hollowRouters) startRouter(name string) error {
	r := &hollowRouter{process: p, events: make(chan func(), eventQueueLength), listed: map[string]discovery.Entry{}, checkers: map[string]chan<- struct{}{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.node = fleet.New(fleet.Settings{
		Fleet:               p.spec.Fleet,
		Name:                name,
		Kind:                "router",
		Coordinators:        p.spec.Coordinators,
		AddressOverrides:    p.spec.AddressOverrides,
		Address:             listener.Addr().String(),
		SessionTimeoutMs:    p.spec.SessionMs,
		SafetyMarginMs:      p.spec.SessionMs / safetyMarginDivisor,
		HealthSharePeriodMs: p.spec.HealthShareIntervalMs,
		MaxHoldMs:           maxHoldMs,
	}, r)
	if p.spec.StartIntervalMs > 0 {
		time.Sleep(time.Duration(p.spec.StartIntervalMs * float64(time.Millisecond)))
	}
	go r.runEvents()
	go r.node.Run(context.Background(), listener)
	watcher := discovery.NewWatcher(p.spec.Discovery, 0,
		func(list *discovery.List) { r.Post(func() { r.listReceived(list) }) },
		func(err error) {
			p.counts.listFailures.Add(1)
			logrus.WithError(err).Warn("watch of the endpoint list failed")
		})
	go watcher.Watch(context.Background())
	return nil
}

func (r *hollowRouter) runEvents() {
	for event := range r.events {
		event()
	}
}

// listReceived updates the listed members: those in service, of the groups in the specification.
func (r *hollowRouter) listReceived(list *discovery.List) {
	counts := &r.process.counts
	if len(list.Entries) == 0 && !list.Complete {
		counts.listKeepalives.Add(1)
		return
	}
	if list.Complete {
		clear(r.listed)
	}
	groups := r.process.spec.Groups
	for _, entry := range list.Entries {
		if entry.State == router.Up && (len(groups) == 0 || slices.Contains(groups, entry.Group)) {
			r.listed[entry.ID] = entry
		} else {
			delete(r.listed, entry.ID)
		}
	}
	r.stopCheckers()
	r.node.GroupsChanged()
	counts.lists.Add(1)
	counts.entries.Add(int64(len(list.Entries)))
	r.process.arrivals.listReceived(list.Revision)
}

// The methods below implement fleet.Router.

// Post queues an event for the router's goroutine. It blocks while the queue is full.
func (r *hollowRouter) Post(event func()) { r.events <- event }

// Now returns the current time in Unix ms.
func (r *hollowRouter) Now() float64 { return unixMs() }

// HoldWrites does nothing: there are no clients.
func (r *hollowRouter) HoldWrites(int, float64) {}

// Writes returns zeros: there are no clients.
func (r *hollowRouter) Writes(int) (running, waiting int) { return 0, 0 }

// Groups returns the listed members by group.
func (r *hollowRouter) Groups() map[int][]fleet.Member {
	groups := map[int][]fleet.Member{}
	for _, entry := range r.listed {
		groups[entry.Group] = append(groups[entry.Group], fleet.Member{ID: entry.ID, Addr: entry.Addr, Started: startedMs(entry)})
	}
	return groups
}

// startedMs returns the start time of a member in Unix ms, or 0 if it is unknown.
func startedMs(entry discovery.Entry) float64 {
	if entry.Started == router.Never {
		return 0
	}
	return entry.Started
}

// ApplyPolicy counts and records the reception of a version of the policy; the document has no effect.
func (r *hollowRouter) ApplyPolicy(policy.Version, policy.Document) error {
	r.process.counts.policies.Add(1)
	r.process.arrivals.policyApplied()
	return nil
}

// PeerReported counts a report from a health-share lease holder, and records it if it is of a primary.
func (r *hollowRouter) PeerReported(report healthshare.Report) {
	r.process.counts.reportsReceived.Add(1)
	if report.Primary {
		r.lastReported = r.process.arrivals.primaryReported(report.Member, r.lastReported)
	}
}

func (p *hollowRouters) respond(request ChildRequest) (ChildResponse, error) {
	switch request.Command {
	case CommandCount:
		return ChildResponse{Counts: p.allCounts()}, nil
	case CommandSetFilter:
		p.arrivals.setFilter(request.Filter)
		return ChildResponse{}, nil
	case CommandReceivedTimes:
		return ChildResponse{ReceivedTimes: p.arrivals.times()}, nil
	}
	return ChildResponse{}, unknownCommand(request.Command)
}

// allCounts returns the counts by their keys in reports.
func (p *hollowRouters) allCounts() map[string]int64 {
	c := &p.counts
	counts := map[string]int64{
		"lists":             c.lists.Load(),
		"entries":           c.entries.Load(),
		"list_alive":        c.listKeepalives.Load(),
		"list_failed":       c.listFailures.Load(),
		"policies":          c.policies.Load(),
		"sighted":           c.reportsReceived.Load(),
		"looks":             c.checks.Load(),
		"looks_passed_over": c.checksSkipped.Load(),
	}
	p.messages.addTo(counts)
	return counts
}
