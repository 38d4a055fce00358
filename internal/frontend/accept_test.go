//go:build debug

package frontend

import (
	"net"
	"os"
	"sync/atomic"
	"testing"

	"golang.org/x/sys/unix"

	"wayloft/internal/failpoint"
)

// failures has a point fail so many times with an error, and counts the calls.
func failures(point string, times int64, err error) (calls *atomic.Int64, clear func()) {
	calls = &atomic.Int64{}
	return calls, failpoint.SetError(point, func() error {
		if calls.Add(1) <= times {
			return err
		}
		return nil
	})
}

// Whatever accept fails with, and however often, those who connect meanwhile are served once it does not fail.
func TestAcceptFails(t *testing.T) {
	for _, errno := range []unix.Errno{unix.ECONNABORTED, unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EPROTO, unix.ENETDOWN,
		unix.ENOPROTOOPT, unix.EHOSTDOWN, unix.ENONET, unix.EHOSTUNREACH, unix.EOPNOTSUPP, unix.ENETUNREACH, unix.EPERM, unix.EINTR,
		unix.EAGAIN, unix.ETIMEDOUT} {
		t.Run(unix.ErrnoName(errno), func(t *testing.T) {
			f := newFront(t, 10)
			defer f.dial("plain", true).Close()
			calls, clear := failures("clients.accept", 3, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)})
			defer clear()
			f.dial("plain", true).Close() // what waits in accept already is served
			f.dial("plain", true).Close()
			if calls.Load() == 0 {
				t.Error("accept was not called")
			}
		})
	}
}

// A connection was accepted, and no descriptor is left for the poller's copy of it: it waits for one, and its client's request is
// answered.
func TestAcceptedConnectionWaitsForADescriptor(t *testing.T) {
	for _, errno := range []unix.Errno{unix.EMFILE, unix.ENFILE} {
		t.Run(unix.ErrnoName(errno), func(t *testing.T) {
			f := newFront(t, 10)
			calls, clear := failures("eventloop.adopt", 3, os.NewSyscallError("dup", errno))
			defer clear()
			for range 2 {
				f.dial("plain", true).Close()
			}
			if calls.Load() < 5 {
				t.Errorf("%d calls for a copy, 3 of which fail", calls.Load())
			}
			f.do(func() {
				if let := f.all.gate.accepted.Load(); let != 2 || f.all.gate.started != 2 {
					t.Errorf("%d let in, %d taken", let, f.all.gate.started)
				}
			})
		})
	}
}

// A connection is accepted and waits for a descriptor while the process would end for want of sessions: it doesn't, until the
// request is answered.
func TestAcceptedConnectionWaitsForADescriptor_WhileDraining(t *testing.T) {
	f := newFront(t, 10)
	var ends atomic.Int64 // times that the process would have ended
	defer failpoint.Set("clients.last", func() { ends.Add(1) })()
	defer failpoint.SetError("eventloop.adopt", func() error {
		if ends.Load() < 3 {
			return os.NewSyscallError("dup", unix.EMFILE)
		}
		return nil
	})()
	f.do(func() { f.all.Drain(f.all.driver.Clock(), acceptPeriodMs+1e6) })
	f.dial("plain", true).Close()
	if ends.Load() < 3 {
		t.Error("answered before the process would have ended")
	}
}
