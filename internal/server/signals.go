package server

import (
	"context"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/sirupsen/logrus"
)

// After SIGTERM the platform waits for at least the longest deadline of the deployment, capped at maxCountedDeadlineMs, plus killDelayMs
// before it sends SIGKILL. The process may stall for up to maxStallMs before it handles SIGTERM, and again before it writes a response.
const (
	maxCountedDeadlineMs = 3000.
	killDelayMs          = 700.
	maxStallMs           = 150.
)

// NotifySignals returns a channel of the signals that stop the process (SIGTERM, SIGINT) or make it reload its configuration (SIGHUP).
// Each of the two kinds has its own buffer, so that a burst of SIGHUP can't cause a termination signal to be dropped. A signal is dropped
// if one of its kind is already buffered, which loses nothing: the process stops once, and the file is read after the last SIGHUP.
func NotifySignals() <-chan os.Signal {
	terminations, reloads := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(terminations, syscall.SIGTERM, os.Interrupt)
	signal.Notify(reloads, syscall.SIGHUP)
	merged := make(chan os.Signal)
	go func() {
		for {
			select {
			case sig := <-terminations:
				merged <- sig
			case sig := <-reloads:
				merged <- sig
			}
		}
	}()
	return merged
}

// handleSignals drains or reloads on signals until ctx ends. Reloads run on their own goroutine, so that a configuration that is slow
// to read does not delay a termination signal.
func (s *server) handleSignals(ctx context.Context, signals <-chan os.Signal) {
	reloads := make(chan struct{}, 1)
	go s.handleReloads(ctx, reloads)
	for {
		select {
		case <-ctx.Done():
			return
		case sig := <-signals:
			if sig != syscall.SIGHUP {
				s.drain(sig)
				continue
			}
			select {
			case reloads <- struct{}{}:
			default: // a reload is already pending
			}
		}
	}
}

func (s *server) handleReloads(ctx context.Context, reloads <-chan struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-reloads:
			s.reload()
		}
	}
}

// reload reads the configuration file again. Only the discovery address can change while the router runs; an invalid file changes
// nothing.
func (s *server) reload() {
	changed, err := Load(s.config.path)
	if err != nil {
		logrus.WithError(err).Error("configuration invalid; keeping the current one")
		return
	}
	if s.watcher != nil {
		s.watcher.ChangeAddress(changed.Discovery)
	}
	entry := logrus.WithField("discovery", changed.Discovery)
	if fields := s.config.changedRestartFields(changed); len(fields) > 0 {
		entry = entry.WithField("restart_for", strings.Join(fields, ","))
	}
	entry.Info("configuration reloaded")
}

// drain leaves the fleet, so that other processes can acquire its leases at once, and makes the frontend end the client sessions once
// each accepted request has its response.
func (s *server) drain(sig os.Signal) {
	signalled := s.driver.Clock()
	logrus.WithField("signal", sig).Info("draining")
	if s.fleet != nil {
		s.fleet.leave()
	}
	s.driver.Post(func() { s.frontend.Drain(signalled, s.config.drainTimeoutMs()) })
}

// drainTimeoutMs returns the time in ms from a termination signal within which each request must have its final response.
func (c *Config) drainTimeoutMs() float64 {
	longest := 0.
	for _, class := range c.Router.RequestClasses {
		longest = max(longest, class.Deadline)
	}
	if c.onPlatform() { // elsewhere the operator sets how long the process may take to stop
		longest = min(longest, maxCountedDeadlineMs)
	}
	return longest + killDelayMs - 2*maxStallMs
}
