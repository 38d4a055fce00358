// Package server joins the parts of one router and runs them: it reads the configuration (Load), builds the event loop, the
// frontend, the backend, the discovery watcher and the node of the fleet, and serves until a signal ends it (Run). The commands of
// cmd/wayloft call it. It decides nothing about a request: package router does.
package server

import (
	"context"
	"fmt"
	"net"
	"os"

	"github.com/sirupsen/logrus"

	"wayloft/internal/backend"
	"wayloft/internal/discovery"
	"wayloft/internal/eventloop"
	"wayloft/internal/failpoint"
	"wayloft/internal/frontend"
	"wayloft/router"
)

// server is one router. Its fields are set before the event loop runs; what changes later belongs to the event loop.
type server struct {
	config   *Config
	driver   *eventloop.Driver
	frontend *frontend.Frontend
	backend  *backend.Backend
	watcher  *discovery.Watcher // nil: the members are those of the configuration
	fleet    *fleetNode         // nil: the router takes no part in a fleet

	listRequests   chan struct{} // the decision module wants the endpoint list, where it is polled
	discoveryError string        // why the endpoint list is unavailable; empty: it is available
	startTimes     *eventloop.StartTimes
	untranslated   map[string]discovery.Entry // members with a start, until starts can be translated; then nil
}

// Run runs a router on a listener until a signal other than SIGHUP comes and each request that was taken has its response.
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
	s.driver.Run()
	if s.fleet != nil {
		s.fleet.close()
	}
	s.logStatus("stopped")
	return nil
}

// newServer builds the parts that every router has.
func newServer(config *Config) *server {
	s := &server{config: config, listRequests: make(chan struct{}, 1), untranslated: map[string]discovery.Entry{}}
	loop := eventloop.NewLoopAt(config.maxDescriptors, config.now())
	s.startTimes = eventloop.NewStartTimes(loop)
	module := router.New(config.Router, config.seed)
	s.driver = eventloop.New(loop, module, config.Router.RequestClasses, s.requestList)
	s.frontend = newFrontend(s.driver, config, s.knownParameters)
	s.backend = newBackend(s.driver, config)
	s.driver.SetBackend(s.backend)
	s.driver.OnClockSettled(s.translateStarts)
	if config.Router.CanHealthCheck && config.runtime.HealthReports {
		s.driver.EnablePositionChecks()
	}
	if config.Router.Lag != router.LagAnswers {
		s.driver.MembersCheckStaleness()
	}
	return s
}

// requestList has the endpoint list polled, unless it is about to be.
func (s *server) requestList() {
	select {
	case s.listRequests <- struct{}{}:
	default:
	}
}

// postInitialList posts the list of the configuration. It must be the first call in the event loop's mailbox: this guards against a
// newer list, that the watcher delivers before the loop's first turn, being undone by the older one.
func (s *server) postInitialList() {
	initial := *s.config.Members
	initial.Complete = true
	s.driver.Post(func() { s.applyList(&initial) })
}

// createWatcher creates the watcher of the endpoint list, if the configuration names a discovery address.
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

// listen has the frontend accept clients.
func (s *server) listen(listener net.Listener) error {
	// One message may be unread while the next is written.
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
		logrus.Info("discovery is not configured: the members are those of the configuration")
	case s.config.Router.PollsList:
		go s.watcher.Poll(ctx, s.listRequests)
	default:
		go s.watcher.Watch(ctx)
	}
}
