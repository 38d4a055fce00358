package server

import (
	"context"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/sirupsen/logrus"
)

// The platform sends SIGKILL at the earliest when the longest deadline of the deployment, counted as 3 s at most, and 0.7 s are over
// since SIGTERM. A router may be held up for 0.15 s before it notes the signal, and again before it writes an answer.
const (
	longestCounted = 3000. // ms
	beforeKill     = 700.  // ms
	heldUp         = 150.  // ms
)

// NotifySignals hears the signals that end the process or have it read its configuration again. Each kind has a channel of its own, that
// holds one: guards against a signal to end that is dropped behind many others. One more of a kind that waits already tells nothing
// new: the process ends once, and the file is read after the last of them.
func NotifySignals() <-chan os.Signal {
	ends, reloads := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(ends, syscall.SIGTERM, os.Interrupt)
	signal.Notify(reloads, syscall.SIGHUP)
	both := make(chan os.Signal)
	go func() {
		for {
			select {
			case sig := <-ends:
				both <- sig
			case sig := <-reloads:
				both <- sig
			}
		}
	}()
	return both
}

// follow does what signals say until ctx ends. A configuration that is slow to read keeps no signal to end waiting.
func (s *service) follow(ctx context.Context, conf *Config, signals <-chan os.Signal) {
	reloads := make(chan struct{}, 1)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-reloads:
				s.reload(conf)
			}
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return
		case sig := <-signals:
			if sig != syscall.SIGHUP {
				s.drain(sig, conf)
				continue
			}
			select {
			case reloads <- struct{}{}:
			default: // the file is about to be read
			}
		}
	}
}

// drain has the clients' side end, once all that was taken is answered.
func (s *service) drain(sig os.Signal, conf *Config) {
	signalled := s.host.Clock()
	logrus.WithField("signal", sig).Info("draining")
	s.resign() // another has its leases at once; clients are served to the end
	s.host.Post(func() { s.front.Drain(signalled, conf.drainWithin()) })
}

// drainWithin is the time in ms from a signal to end within which each request must have its final answer.
func (c *Config) drainWithin() float64 {
	longest := 0.
	for _, kind := range c.Router.RequestClasses {
		longest = max(longest, kind.Deadline)
	}
	if !strings.HasSuffix(c.path, ".toml") { // who runs a router by a file of its own says how long it may take
		longest = min(longest, longestCounted)
	}
	return longest + beforeKill - 2*heldUp
}
