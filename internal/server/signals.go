package server

import (
	"context"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/sirupsen/logrus"
)

// The platform sends SIGKILL at the earliest when the longest deadline of the deployment, counted as maxCountedDeadlineMs at most, and
// killDelayMs have passed since SIGTERM. The process may be held up for maxStallMs before it notes the signal, and again before it
// writes a response.
const (
	maxCountedDeadlineMs = 3000.
	killDelayMs          = 700.
	maxStallMs           = 150.
)

// NotifySignals returns a channel of the signals that end the process (SIGTERM, SIGINT) or have it reload its configuration (SIGHUP).
// Each of the two kinds has a buffer of its own: this guards against a signal to end that is dropped behind many others. A second one
// of a kind that is buffered is dropped, and would add nothing: the process ends once, and the file is read after the last of them.
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

// handleSignals drains or reloads as signals ask until ctx ends. Reloads have a goroutine of their own, so that a configuration that
// is slow to read does not delay a signal to end.
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
			default: // the file is about to be read
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

// reload reads the file that the router was started with again. Only the discovery address can change while the router runs; an
// invalid file changes nothing.
func (s *server) reload() {
	changed, err := Load(s.config.path)
	if err != nil {
		logrus.WithError(err).Error("configuration invalid: the old one stays in force")
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

// drain leaves the fleet, so that others get its leases at once, and has the frontend end its sessions once each request that was
// taken has its response.
func (s *server) drain(sig os.Signal) {
	signalled := s.driver.Clock()
	logrus.WithField("signal", sig).Info("draining")
	if s.fleet != nil {
		s.fleet.leave()
	}
	s.driver.Post(func() { s.frontend.Drain(signalled, s.config.drainTimeoutMs()) })
}

// drainTimeoutMs is the time in ms from a signal to end within which each request must have its final response.
func (c *Config) drainTimeoutMs() float64 {
	longest := 0.
	for _, class := range c.Router.RequestClasses {
		longest = max(longest, class.Deadline)
	}
	if c.onPlatform() { // elsewhere the operator says how long the process may take to end
		longest = min(longest, maxCountedDeadlineMs)
	}
	return longest + killDelayMs - 2*maxStallMs
}
