// Package server assembles the components of one router and runs them: it reads the configuration (Load), builds the event loop, the
// frontend, the backend, the discovery watcher and the fleet node, and serves until a termination signal (Run). The commands of
// cmd/wayloft call it. All decisions about requests are made in package router.
package server

import (
	"context"
	"fmt"
	"net"
	"os"

	"github.com/sirupsen/logrus"

	"wayloft/internal/backend"
	"wayloft/internal/decide/memory"
	"wayloft/internal/discovery"
	"wayloft/internal/eventloop"
	"wayloft/internal/failpoint"
	"wayloft/internal/frontend"
	"wayloft/router"
)

// server is one router. Its fields are set before the event loop runs; those that change later are accessed only on the event loop.
type server struct {
	config   *Config
	driver   *eventloop.Driver
	memory   *memory.Account // what clients and members make the process hold
	frontend *frontend.Frontend
	backend  *backend.Backend
	watcher  *discovery.Watcher // nil: the members are those listed in the configuration
	fleet    *fleetNode         // nil: the router belongs to no fleet

	listRequests   chan struct{} // requests of the decision module to poll the endpoint list
	discoveryError string        // why the endpoint list is unavailable; empty if it is available
	startTimes     *eventloop.StartTimes
	pendingStarts  map[string]discovery.Entry // members with a start time, until start times can be converted; then nil
}

// Run runs a router on a listener until a signal other than SIGHUP arrives and each accepted request has its response.
func Run(config *Config, listener net.Listener, signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := newServer(config)
	s.postInitialList()
	s.createWatcher()
	if err := s.joinFleet(); err != nil {
		return err
	}
	if err := s.listen(listener); err != nil {
		return err
	}
	s.followList(ctx)
	go s.handleSignals(ctx, signals)
	s.driver.After(statusIntervalMs, s.logPeriodicStatus)
	releaseProgramPages()
	s.driver.Run()
	if s.fleet != nil {
		s.fleet.close()
	}
	s.logStatus("stopped")
	return nil
}

// newServer builds the components that every router has.
func newServer(config *Config) *server {
	s := &server{config: config, listRequests: make(chan struct{}, 1), pendingStarts: map[string]discovery.Entry{}}
	loop := eventloop.NewLoopAt(config.maxDescriptors, config.now())
	s.startTimes = eventloop.NewStartTimes(loop)
	module := router.New(config.Router, config.seed)
	s.driver = eventloop.New(loop, module, config.Router.RequestClasses, s.requestList)
	s.memory = memory.NewAccount(memory.PeersLimit(config.memoryBytes))
	s.frontend = newFrontend(s.driver, config, s.memory, s.knownParameters)
	s.frontend.OnMemoryScarce(s.logMemory)
	s.backend = newBackend(s.driver, config, s.memory)
	s.driver.SetBackend(s.backend)
	s.driver.OnClockSettled(s.convertPendingStarts)
	if config.Router.CanHealthCheck && config.runtime.HealthReports {
		s.driver.EnablePositionChecks()
	}
	if config.Router.LagBehavior != router.LagServes {
		s.driver.MembersCheckStaleness()
	}
	return s
}

// requestList requests a poll of the endpoint list, unless one is already pending.
func (s *server) requestList() {
	select {
	case s.listRequests <- struct{}{}:
	default:
	}
}

// postInitialList posts the endpoint list from the configuration. It must be the first call in the event loop's mailbox: otherwise this
// list could overwrite a newer one that the watcher delivers before the loop's first iteration.
func (s *server) postInitialList() {
	initial := *s.config.Members
	initial.Complete = true
	s.driver.Post(func() { s.applyList(&initial) })
}

// createWatcher creates the endpoint list watcher, if the configuration has a discovery address.
func (s *server) createWatcher() {
	if s.config.Discovery == "" {
		return
	}
	deliver := func(list *discovery.List) {
		s.driver.Post(func() { s.receiveList(list) })
		failpoint.Hit("server.list_posted")
	}
	fail := func(err error) { s.driver.Post(func() { s.listUnavailable(err) }) }
	s.watcher = discovery.NewWatcher(s.config.Discovery, s.config.Members.Revision, deliver, fail)
}

// listen makes the frontend accept clients.
func (s *server) listen(listener net.Listener) error {
	// A client may have one message yet to read while the next is written.
	maxUnsent := 2 * s.config.maxMessageBytes()
	if err := s.driver.Listen(s.frontend.Gate(listener), maxUnsent, s.frontend.Accept); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	logrus.WithFields(logrus.Fields{
		"name":     s.config.Name,
		"listen":   s.config.Listen,
		"revision": s.config.Members.Revision,
		"members":  len(s.config.Members.Entries),
	}).Info("serving")
	return nil
}

// followList starts to watch or poll the endpoint list until ctx ends.
func (s *server) followList(ctx context.Context) {
	switch {
	case s.watcher == nil:
		logrus.Info("discovery is not configured; using the members listed in the configuration")
	case s.config.Router.PollsEndpointList:
		go s.watcher.Poll(ctx, s.listRequests)
	default:
		go s.watcher.Watch(ctx)
	}
}
